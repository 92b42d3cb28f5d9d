#include "verbenaridge/attempts/request_machine.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::attempts {
namespace {

bool CertainlyNotRun(AttemptEnd end) {
  if (Mutated(Mutation::kBrokenIsNotRun) && end == AttemptEnd::kBroken) return true;
  return end == AttemptEnd::kNotSent || end == AttemptEnd::kRefused;
}

}  // namespace

std::string_view StateName(State state) {
  switch (state) {
    case State::kCreated:
      return "created";
    case State::kPermitted:
      return "permitted";
    case State::kDispatched:
      return "dispatched";
    case State::kStreaming:
      return "streaming";
    case State::kCompleted:
      return "completed";
    case State::kFailedNotRun:
      return "failed_not_run";
    case State::kFailedUnknown:
      return "failed_unknown";
    case State::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

RequestMachine::RequestMachine(RequestOptions options, RetryBudgets& budgets, RandomSource& random)
    : options_(std::move(options)), budgets_(budgets), random_(random) {}

Actions RequestMachine::Start(TimePoint now) {
  Actions actions;
  if (!PastDeadline(now, actions)) RequestNextPermit(now, actions);
  return actions;
}

Actions RequestMachine::OnPermitGranted(const PermitGrant& grant, TimePoint now) {
  Actions actions;
  const bool expired = PastDeadline(now, actions);
  if (!expired && permit_ != 0 && grant.permit == permit_) return actions;  // duplicate reply
  if (expired || !awaiting_permit() || grant.attempt != attempt_) {
    actions.emplace_back(ReleasePermit{.attempt = grant.attempt, .permit = grant.permit});
    return actions;
  }
  permit_ = grant.permit;
  endpoint_ = grant.endpoint;
  state_ = State::kPermitted;
  if (!options_.needs_claim || claim_ == Claim::kGranted || Mutated(Mutation::kDispatchUnclaimed)) {
    StartAttempt(now, actions);
  } else if (claim_ == Claim::kNone) {
    claim_ = Claim::kPending;
    actions.emplace_back(RequestClaim{.attempt = attempt_});
  }
  return actions;
}

Actions RequestMachine::OnPermitRefused(const PermitRefusal& refusal, TimePoint now) {
  Actions actions;
  if (PastDeadline(now, actions)) return actions;
  if (!awaiting_permit() || refusal.attempt != attempt_) return actions;
  ++refusals_;
  if (!refusal.retryable || refusals_ >= options_.max_permit_requests) {
    End(FailureReason::kPermitRefused, actions);
    return actions;
  }
  Wait(std::max(refusal.retry_after, BackOff(options_.back_off, refusals_, random_)), now, actions);
  return actions;
}

Actions RequestMachine::OnPermitRevoked(std::uint64_t permit, TimePoint now) {
  Actions actions;
  if (PastDeadline(now, actions)) return actions;
  if (permit == 0 || permit != permit_) return actions;
  if (dispatched()) {
    if (!options_.repeatable) return actions;
    actions.emplace_back(CancelAttempt{.attempt = attempt_});
    Release(Outcome::kUnknown, actions);
    --dispatches_;
  } else {
    Release(Outcome::kNotRun, actions);
  }
  // Preemption is deliberate, so neither a retry budget nor a back-off applies. The dispatch limit
  // does not count it either. The deadline bounds the number of preemptions.
  RequestNextPermit(now, actions);
  return actions;
}

Actions RequestMachine::OnClaimGranted(TimePoint now) {
  Actions actions;
  if (PastDeadline(now, actions) || ended() || claim_ != Claim::kPending) return actions;
  claim_ = Claim::kGranted;
  if (state_ == State::kPermitted) StartAttempt(now, actions);
  return actions;
}

Actions RequestMachine::OnClaimRefused(TimePoint now) {
  Actions actions;
  if (PastDeadline(now, actions) || ended() || dispatched()) return actions;
  if (claim_ == Claim::kNone) return actions;
  Release(Outcome::kNotRun, actions);
  End(FailureReason::kClaimRefused, actions);
  return actions;
}

Actions RequestMachine::OnToken(AttemptNumber attempt, TokenCount index, TimePoint now) {
  Actions actions;
  if (PastDeadline(now, actions) || !dispatched()) return actions;
  if (attempt != attempt_ && !Mutated(Mutation::kIgnoreAttemptNumber)) return actions;
  if (!Mutated(Mutation::kIgnoreTokenIndex)) {
    if (index < delivered_) return actions;  // duplicate
    if (index > delivered_) {                // a token is missing
      actions.emplace_back(CancelAttempt{.attempt = attempt_});
      FinishAttempt(AttemptEnd::kBroken, now, actions);
      return actions;
    }
  }
  state_ = State::kStreaming;
  ++delivered_;
  actions.emplace_back(DeliverToken{.index = index});
  return actions;
}

Actions RequestMachine::OnAttemptEnd(const AttemptResult& ended, TimePoint now) {
  Actions actions;
  if (PastDeadline(now, actions) || !dispatched()) return actions;
  if (ended.attempt != attempt_ && !Mutated(Mutation::kIgnoreAttemptNumber)) return actions;
  AttemptEnd end = ended.end;
  const bool incomplete =
      end == AttemptEnd::kCompleted && ended.total_tokens && *ended.total_tokens != delivered_;
  if (incomplete && !Mutated(Mutation::kIgnoreLength)) end = AttemptEnd::kBroken;
  // An attempt that produced output did run, so kNotSent and kRefused cannot be right.
  if (CertainlyNotRun(end) && state_ == State::kStreaming) end = AttemptEnd::kBroken;
  if (end == AttemptEnd::kStalled || end == AttemptEnd::kBroken) {
    actions.emplace_back(CancelAttempt{.attempt = attempt_});
  }
  FinishAttempt(end, now, actions);
  return actions;
}

Actions RequestMachine::OnCallerGone(TimePoint now) {
  Actions actions;
  if (PastDeadline(now, actions) || ended()) return actions;
  if (dispatched()) {
    if (!options_.repeatable) return actions;
    actions.emplace_back(CancelAttempt{.attempt = attempt_});
    Release(Outcome::kUnknown, actions);
  } else {
    Release(Outcome::kNotRun, actions);
  }
  state_ = State::kCancelled;
  retry_at_.reset();
  return actions;
}

Actions RequestMachine::OnTime(TimePoint now) {
  Actions actions;
  if (PastDeadline(now, actions) || ended()) return actions;
  if (retry_at_ && now >= *retry_at_) RequestNextPermit(now, actions);
  return actions;
}

std::optional<TimePoint> RequestMachine::next_wake() const {
  if (ended()) return std::nullopt;
  return retry_at_ ? std::min(*retry_at_, options_.deadline) : options_.deadline;
}

// Ends the request if its deadline has passed. Returns true if no further input may act on it.
bool RequestMachine::PastDeadline(TimePoint now, Actions& actions) {
  if (ended()) return true;
  if (now < options_.deadline || Mutated(Mutation::kNoDeadline)) return false;
  const bool running = dispatched();
  if (running) actions.emplace_back(CancelAttempt{.attempt = attempt_});
  Release(running ? Outcome::kUnknown : Outcome::kNotRun, actions);
  End(FailureReason::kDeadline, actions);
  return true;
}

void RequestMachine::RequestNextPermit(TimePoint now, Actions& actions) {
  state_ = State::kCreated;
  retry_at_.reset();
  ++attempt_;
  actions.emplace_back(RequestPermit{
      .attempt = attempt_, .readmit = readmit_, .remaining = options_.deadline - now});
  actions.emplace_back(WaitUntil{options_.deadline});
}

void RequestMachine::StartAttempt(TimePoint now, Actions& actions) {
  state_ = State::kDispatched;
  if (!counted_) budgets_.OnRequest(options_.client_account, endpoint_, now);
  counted_ = true;
  ++dispatches_;
  actions.emplace_back(Dispatch{.attempt = attempt_,
                                .permit = permit_,
                                .endpoint = endpoint_,
                                .resume_from = Mutated(Mutation::kResumeFromStart) ? 0 : delivered_,
                                .remaining = options_.deadline - now});
}

void RequestMachine::Wait(Duration delay, TimePoint now, Actions& actions) {
  state_ = State::kCreated;
  retry_at_ = now + delay;
  actions.emplace_back(WaitUntil{std::min(*retry_at_, options_.deadline)});
}

void RequestMachine::FinishAttempt(AttemptEnd end, TimePoint now, Actions& actions) {
  if (end == AttemptEnd::kCompleted) {
    Release(Outcome::kRan, actions);
    state_ = State::kCompleted;
    actions.emplace_back(Finish{});
    return;
  }
  const bool not_run = CertainlyNotRun(end);
  Release(not_run ? Outcome::kNotRun : Outcome::kUnknown, actions);
  if (!not_run) {
    may_have_run_ = true;
    readmit_ = true;
  }
  RetryOrFail(end, now, actions);
}

void RequestMachine::RetryOrFail(AttemptEnd end, TimePoint now, Actions& actions) {
  ++failures_;
  const bool repeatable =
      options_.repeatable || (Mutated(Mutation::kRedispatchUnrepeatable) && !CertainlyNotRun(end));
  if (!repeatable || dispatches_ >= options_.max_dispatches ||
      !budgets_.TryRetry(options_.client_account, endpoint_, now)) {
    End(FailureReason::kAttemptFailed, actions);
    return;
  }
  Wait(BackOff(options_.back_off, failures_, random_), now, actions);
}

void RequestMachine::Release(Outcome outcome, Actions& actions) {
  if (permit_ == 0 || Mutated(Mutation::kKeepPermit)) return;
  if (dispatched() && outcome == Outcome::kUnknown) may_have_run_ = true;
  actions.emplace_back(ReleasePermit{.attempt = attempt_, .permit = permit_, .outcome = outcome});
  permit_ = 0;
}

void RequestMachine::End(FailureReason reason, Actions& actions) {
  state_ = may_have_run_ ? State::kFailedUnknown : State::kFailedNotRun;
  retry_at_.reset();
  const Outcome outcome = may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun;
  actions.emplace_back(Fail{.outcome = outcome, .reason = reason});
}

}  // namespace verbenaridge::attempts
