// State machine of one request at its ingress: permits, attempts, retries and the result for the
// caller.
//
//   RequestMachine machine(options, budgets, random, now);
//   for (const Action& action : machine.Start(now)) Execute(action);
//   ... machine.OnPermitGranted({.attempt = 1, .permit = 7, .endpoint = endpoint}, now) ...
//
// The machine holds no text and does no I/O. The owner executes the returned actions in order and
// calls OnTime at `next_wake()`. Inputs carry the attempt number. Inputs of other attempts are
// ignored, so replies may be late, duplicated or reordered.
#ifndef VERBENARIDGE_ATTEMPTS_REQUEST_MACHINE_H_
#define VERBENARIDGE_ATTEMPTS_REQUEST_MACHINE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "verbenaridge/attempts/retry.h"
#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::attempts {

enum class State : std::uint8_t {
  kCreated,    // waiting for a permit, or for the time to request one
  kPermitted,  // has a permit, waiting for the claim
  kDispatched,
  kStreaming,
  kCompleted,
  kFailedNotRun,
  kFailedUnknown,
  kCancelled,
};

std::string_view StateName(State state);

enum class AttemptEnd : std::uint8_t {
  kCompleted,
  kNotSent,  // no byte was sent to the endpoint
  kRefused,  // the endpoint refused before execution
  kBroken,   // failed or was incomplete after it was sent
  kStalled,
};

enum class FailureReason : std::uint8_t {
  kDeadline,
  kPermitRefused,
  kClaimRefused,
  kAttemptFailed,  // and a retry is not permitted or not affordable
};

// Requests a permit from an endpoint owner. `readmit` is set after a broken or stalled attempt: the
// account owner must then admit the request again first, because the request itself may have
// crashed the endpoint.
struct RequestPermit {
  AttemptNumber attempt = 0;
  bool readmit = false;
  Duration remaining{};
};
// Only for calls that need a claim. The result arrives in OnClaimGranted or OnClaimRefused.
struct RequestClaim {
  AttemptNumber attempt = 0;
};
struct Dispatch {
  AttemptNumber attempt = 0;
  std::uint64_t permit = 0;
  EndpointId endpoint;
  TokenCount resume_from = 0;
  Duration remaining{};
};
// Forwards the last received token to the caller.
struct DeliverToken {
  TokenCount index = 0;
};
struct Finish {};
struct Fail {
  Outcome outcome = Outcome::kUnknown;
  FailureReason reason = FailureReason::kAttemptFailed;
};
struct CancelAttempt {
  AttemptNumber attempt = 0;
};
struct ReleasePermit {
  AttemptNumber attempt = 0;
  std::uint64_t permit = 0;
  Outcome outcome = Outcome::kNotRun;  // of this attempt
};
struct WaitUntil {
  TimePoint time{};
};

using Action = std::variant<RequestPermit, RequestClaim, Dispatch, DeliverToken, Finish, Fail,
                            CancelAttempt, ReleasePermit, WaitUntil>;
using Actions = std::vector<Action>;

struct PermitGrant {
  AttemptNumber attempt = 0;
  std::uint64_t permit = 0;
  EndpointId endpoint;
};

struct PermitRefusal {
  AttemptNumber attempt = 0;
  bool retryable = true;  // false: no other endpoint would grant it
  Duration retry_after{};
};

struct AttemptResult {
  AttemptNumber attempt = 0;
  AttemptEnd end = AttemptEnd::kBroken;
  // Length of the complete response, if the endpoint reported it. A completed response of another
  // length is treated as broken.
  std::optional<TokenCount> total_tokens;
};

struct RequestOptions {
  ClientAccountId client_account;
  bool repeatable = true;
  bool needs_claim = false;
  TimePoint deadline{};
  int max_dispatches = 4;
  int max_permit_requests = 12;
  BackOffOptions back_off;
};

// Not thread-safe; lives on the request's traffic thread. `budgets` and `random` outlive it.
class RequestMachine {
 public:
  RequestMachine(RequestOptions options, RetryBudgets& budgets, RandomSource& random);

  Actions Start(TimePoint now);

  // A grant that the request does not wait for is released immediately.
  Actions OnPermitGranted(const PermitGrant& grant, TimePoint now);
  Actions OnPermitRefused(const PermitRefusal& refusal, TimePoint now);
  // The endpoint owner revoked the permit. A dispatched call that may not be repeated keeps
  // running.
  Actions OnPermitRevoked(std::uint64_t permit, TimePoint now);

  Actions OnClaimGranted(TimePoint now);
  Actions OnClaimRefused(TimePoint now);

  Actions OnToken(AttemptNumber attempt, TokenCount index, TimePoint now);
  Actions OnAttemptEnd(const AttemptResult& ended, TimePoint now);

  // A dispatched call that may not be repeated keeps running, so that its outcome is recorded.
  Actions OnCallerGone(TimePoint now);

  Actions OnTime(TimePoint now);

  State state() const { return state_; }
  bool ended() const { return state_ >= State::kCompleted; }
  AttemptNumber attempt() const { return attempt_; }
  TokenCount delivered() const { return delivered_; }

  // The next time at which OnTime must be called; empty once the request has ended.
  std::optional<TimePoint> next_wake() const;

 private:
  enum class Claim : std::uint8_t { kNone, kPending, kGranted };

  bool dispatched() const { return state_ == State::kDispatched || state_ == State::kStreaming; }
  bool awaiting_permit() const { return state_ == State::kCreated && !retry_at_; }

  bool PastDeadline(TimePoint now, Actions& actions);
  void RequestNextPermit(TimePoint now, Actions& actions);
  void StartAttempt(TimePoint now, Actions& actions);
  void Wait(Duration delay, TimePoint now, Actions& actions);
  void FinishAttempt(AttemptEnd end, TimePoint now, Actions& actions);
  void RetryOrFail(AttemptEnd end, TimePoint now, Actions& actions);
  void Release(Outcome outcome, Actions& actions);
  void End(FailureReason reason, Actions& actions);

  RequestOptions options_;
  RetryBudgets& budgets_;
  RandomSource& random_;
  State state_ = State::kCreated;
  Claim claim_ = Claim::kNone;
  AttemptNumber attempt_ = 0;
  std::uint64_t permit_ = 0;  // 0: none
  EndpointId endpoint_;
  TokenCount delivered_ = 0;
  int dispatches_ = 0;
  int refusals_ = 0;
  int failures_ = 0;
  bool may_have_run_ = false;
  bool readmit_ = false;
  bool counted_ = false;  // in the retry budgets
  std::optional<TimePoint> retry_at_;
};

}  // namespace verbenaridge::attempts

#endif  // VERBENARIDGE_ATTEMPTS_REQUEST_MACHINE_H_
