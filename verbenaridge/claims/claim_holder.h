// The ingress side of a claim: asks for it, permits the dispatch at most once and in time, and
// has the outcome recorded.
//
//   ClaimHolder holder({}, clock, random, request);
//   Execute(holder.RequestClaim());
//   Execute(holder.OnReply(answer));          // Granted, or Refused with what to tell the caller
//   if (holder.TryDispatch(actions)) Send();   // directly before the first byte
//   Execute(holder.OnEnd(Outcome::kRan, result));
#ifndef VERBENARIDGE_CLAIMS_CLAIM_HOLDER_H_
#define VERBENARIDGE_CLAIMS_CLAIM_HOLDER_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/claims/claim_types.h"

namespace verbenaridge::claims {

struct ClaimHolderOptions {
  // From before the claim was asked, on the monotonic clock: a holder that was paused after its
  // claim does not run an order that its caller has given up long ago.
  Duration dispatch_limit = std::chrono::seconds(2);
  // The caller hears "not_run" within 1 s when the store or the writer is down.
  Duration reply_timeout = std::chrono::seconds(1);
  Duration initial_retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::seconds(5);
};

// Send the claim request once to the bucket's writer; the transport must not repeat it.
struct SendClaim {
  ClaimRequest request;
};
// The claim is held; call TryDispatch directly before the first byte goes out.
struct Granted {};
// Tell the caller. This call was not dispatched. With `kUnavailable`, `kFull` and `kExpired` an
// earlier call with the same key may nevertheless have run; the caller repeats with the same key
// or looks the key up.
struct Refused {
  ClaimReply reply;
};
struct SendOutcome {
  OutcomeRequest request;
};
// Nothing more will happen; the object may be destroyed.
struct Finished {
  bool recorded = false;
};

using HolderAction = std::variant<SendClaim, Granted, Refused, SendOutcome, Finished>;
using HolderActions = std::vector<HolderAction>;

// Not thread-safe; lives on the request's traffic thread.
class ClaimHolder {
 public:
  enum class State : std::uint8_t {
    kCreated,
    kRequested,
    kGranted,
    kDispatched,
    kRecording,  // the outcome, or the release of a claim that was not dispatched
    kFinished,
  };

  ClaimHolder(const ClaimHolderOptions& options, const Clock& clock, RandomSource& random,
              ClaimRequest request);

  HolderActions RequestClaim();

  // The writer's answer, or the error of the call to it. Late and doubled answers change nothing.
  HolderActions OnReply(const Result<ClaimReply>& reply);

  // Returns true at most once. On false the claim is released and the caller is refused, as the
  // added actions say.
  bool TryDispatch(HolderActions& actions);

  // The caller left, or the request's deadline passed, before the dispatch.
  HolderActions OnCancelled();

  // The attempt ended. kNotRun only if no byte was sent or the endpoint refused before execution.
  HolderActions OnEnd(Outcome outcome, const ClaimResult& result);

  // The writer's answer to SendOutcome, or the error of the call.
  HolderActions OnOutcomeReply(const Result<ClaimReply>& reply);

  HolderActions OnTimer();
  std::optional<TimePoint> next_wake() const { return wake_; }

  State state() const { return state_; }

 private:
  void Refuse(const ClaimReply& reply, bool release, HolderActions& actions);
  void StartRecording(Outcome outcome, const ClaimResult& result, HolderActions& actions);
  void Settle(bool recorded, HolderActions& actions);

  ClaimHolderOptions options_;
  const Clock& clock_;
  RandomSource& random_;
  ClaimRequest request_;
  OutcomeRequest outcome_;
  State state_ = State::kCreated;
  TimePoint asked_at_{};
  int sent_ = 0;
  std::optional<TimePoint> wake_;
};

}  // namespace verbenaridge::claims

#endif  // VERBENARIDGE_CLAIMS_CLAIM_HOLDER_H_
