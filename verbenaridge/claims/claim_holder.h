// The ingress side of a claim: requests it, permits the dispatch at most once and in time, and
// reports the outcome to the writer.
//
//   ClaimHolder holder({}, clock, random, request);
//   Execute(holder.RequestClaim());
//   Execute(holder.OnReply(reply));            // Granted, or Refused with the reply to the caller
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
  // Measured on the monotonic clock from before the claim was requested. A holder whose process was
  // paused after its claim must not run a call that its caller gave up long ago.
  Duration dispatch_limit = std::chrono::seconds(2);
  // The caller receives "not_run" within 1 s when the store or the writer is down.
  Duration reply_timeout = std::chrono::seconds(1);
  Duration initial_retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::seconds(5);
};

// Send the claim request once to the bucket's writer; the transport must not repeat it.
struct SendClaim {
  ClaimRequest request;
};
// The claim is granted. Call TryDispatch directly before the first byte is sent.
struct Granted {};
// This call was not dispatched; send `reply` to the caller. With `kUnavailable`, `kFull` and
// `kExpired`, an earlier call with the same key may have run: the caller repeats the call with the
// same key or looks the key up.
struct Refused {
  ClaimReply reply;
};
struct SendOutcome {
  OutcomeRequest request;
};
// No more actions follow; the object may be destroyed.
struct Finished {
  bool recorded = false;
};

using HolderAction = std::variant<SendClaim, Granted, Refused, SendOutcome, Finished>;
using HolderActions = std::vector<HolderAction>;

// Not thread-safe; used on the traffic thread of the request.
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

  // The writer's reply, or the error of the call to it. Late and duplicate replies have no effect.
  HolderActions OnReply(const Result<ClaimReply>& reply);

  // Returns true at most once. If it returns false, the added actions release the claim and refuse
  // the call.
  bool TryDispatch(HolderActions& actions);

  // The caller disconnected, or the deadline of the request passed, before the dispatch.
  HolderActions OnCancelled();

  // The attempt ended. Pass kNotRun only if no byte was sent or the endpoint refused the call
  // before it ran.
  HolderActions OnEnd(Outcome outcome, const ClaimResult& result);

  // The writer's reply to SendOutcome, or the error of the call.
  HolderActions OnOutcomeReply(const Result<ClaimReply>& reply);

  HolderActions OnTimer();
  std::optional<TimePoint> next_wake() const { return wake_at_; }

  State state() const { return state_; }

 private:
  void Refuse(const ClaimReply& reply, bool release, HolderActions& actions);
  void StartRecording(Outcome outcome, const ClaimResult& result, HolderActions& actions);
  void Finish(bool recorded, HolderActions& actions);

  ClaimHolderOptions options_;
  const Clock& clock_;
  RandomSource& random_;
  ClaimRequest request_;
  OutcomeRequest outcome_;
  State state_ = State::kCreated;
  TimePoint requested_at_{};
  int outcome_sends_ = 0;
  std::optional<TimePoint> wake_at_;
};

}  // namespace verbenaridge::claims

#endif  // VERBENARIDGE_CLAIMS_CLAIM_HOLDER_H_
