#include "verbenaridge/daemon/request_run.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/daemon/conversions.h"
#include "verbenaridge/daemon/owners.h"

namespace verbenaridge::daemon {
namespace {

// Beyond this the ingress decides with its own share of the limits.
constexpr Duration kAdmitDeadline = std::chrono::milliseconds(200);
constexpr Duration kFinishDeadline = std::chrono::seconds(2);
constexpr Duration kSuspectMemory = std::chrono::hours(1);

calls::FailureKind KindOf(wire::RefusalReason reason) {
  switch (reason) {
    case wire::RefusalReason::kRateLimited:
    case wire::RefusalReason::kConcurrencyLimited:
    case wire::RefusalReason::kDuplicateInFlight:
      return calls::FailureKind::kRateLimited;
    case wire::RefusalReason::kPoison:
      return calls::FailureKind::kPoison;
    case wire::RefusalReason::kQueueFull:
    case wire::RefusalReason::kDeadline:
    case wire::RefusalReason::kBusy:
      return calls::FailureKind::kOverloaded;
    case wire::RefusalReason::kTooLarge:
      return calls::FailureKind::kTooLong;
    case wire::RefusalReason::kPlanForbids:
      return calls::FailureKind::kForbidden;
    default:
      return calls::FailureKind::kUnavailable;
  }
}

std::string_view DetailOf(wire::RefusalReason reason) {
  switch (reason) {
    case wire::RefusalReason::kRateLimited:
      return "the plan's rate limit is reached";
    case wire::RefusalReason::kConcurrencyLimited:
      return "the plan's limit on concurrent work is reached";
    case wire::RefusalReason::kDuplicateInFlight:
      return "identical requests are still running";
    case wire::RefusalReason::kPoison:
      return "endpoints died while they ran this request";
    case wire::RefusalReason::kQueueFull:
      return "the queues are full";
    case wire::RefusalReason::kDeadline:
    case wire::RefusalReason::kBusy:
      return "the predicted finish misses the deadline";
    case wire::RefusalReason::kTooLarge:
      return "no endpoint can hold the prompt";
    case wire::RefusalReason::kPlanForbids:
      return "the plan does not permit this";
    default:
      return "no endpoint is available";
  }
}

}  // namespace

RequestRun::RequestRun(RunContext& context, RequestIdentity identity, RequestCharge charge,
                       attempts::RequestOptions options)
    : context_(context),
      identity_(std::move(identity)),
      holder_(context.NextHolder()),
      started_(context.clock.Now()),
      deadline_(started_ + identity_.deadline),
      machine_((options.client_account = identity_.client_account, options.deadline = deadline_,
                options),
               context.budgets, context.random),
      charge_(charge),
      repeatable_(options.repeatable),
      timer_(context.loop.io_context()),
      admission_timer_(context.loop.io_context()) {}

void RequestRun::Start() {
  Admit([this] {
    machine_started_ = true;
    Execute(machine_.Start(now()));
  });
}

wire::AdmitRequest RequestRun::AdmitMessage(bool present) const {
  return {.holder = holder_,
          .client_account = identity_.client_account,
          .priority = identity_.priority,
          .digest = charge_.digest,
          .tokens = charge_.tokens,
          .cost_seconds = charge_.cost_seconds,
          .present = present};
}

void RequestRun::Admit(std::function<void()> admitted) {
  account_owner_ = AccountOwnerOf(*context_.snapshot, identity_.client_account);
  context_.router.Call(
      account_owner_, AdmitMessage(false), std::min(kAdmitDeadline, remaining()),
      [self = shared_from_this(), admitted = std::move(admitted)](Result<wire::Reply> reply) {
        const auto* answer =
            reply.has_value() ? std::get_if<wire::AdmitReply>(&reply.value()) : nullptr;
        const bool usable = answer != nullptr && answer->reason != wire::RefusalReason::kNotServing;
        self->admitted_locally_ = !usable;
        self->OnAdmitReply(usable ? *answer
                                  : self->context_.local_admission.Admit(self->AdmitMessage(false),
                                                                         *self->context_.snapshot),
                           admitted);
      });
}

void RequestRun::OnAdmitReply(const wire::AdmitReply& reply, std::function<void()> admitted) {
  if (ended_) {
    admitted_ = reply.verdict == wire::Verdict::kGranted;
    FinishAdmission(false);
    return;
  }
  if (reply.verdict == wire::Verdict::kGranted) {
    admitted_ = true;
    isolate_ = reply.isolate;
    release_since_admission_ = false;
    dispatched_since_admission_ = false;
    admitted();
    return;
  }
  const bool may_wait = reply.reason == wire::RefusalReason::kDuplicateInFlight;
  if (may_wait && remaining() > 2 * reply.retry_after) {
    RetryAdmission(reply.retry_after, std::move(admitted));
    return;
  }
  SetFailure(KindOf(reply.reason), std::string(DetailOf(reply.reason)), reply.retry_after);
  const bool may_have_run = machine_started_ && release_since_admission_;
  ReportFailure(FailureFor({.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
                            .reason = attempts::FailureReason::kPermitRefused}));
  End(calls::FailureName(*failure_kind_), false);
}

void RequestRun::RetryAdmission(Duration delay, std::function<void()> admitted) {
  admission_timer_.expires_after(delay);
  admission_timer_.async_wait(
      [self = shared_from_this(), admitted = std::move(admitted)](std::error_code error) {
        if (!error && !self->ended_) self->Admit(admitted);
      });
}

void RequestRun::PresentAdmission() {
  if (!admitted_ || admitted_locally_ || ended_) return;
  const HostId owner = AccountOwnerOf(*context_.snapshot, identity_.client_account);
  if (owner == account_owner_) return;
  account_owner_ = owner;
  context_.router.Call(owner, AdmitMessage(true), kFinishDeadline,
                       [](const Result<wire::Reply>&) {});
}

void RequestRun::FinishAdmission(bool completed) {
  if (!admitted_) return;
  admitted_ = false;
  wire::FinishAdmissionRequest finish = {.holder = holder_,
                                         .client_account = identity_.client_account,
                                         .digest = charge_.digest,
                                         .tokens_admitted = charge_.tokens,
                                         .tokens_used = completed ? tokens_used() : charge_.tokens,
                                         .completed = completed,
                                         .dispatched = dispatched_since_admission_,
                                         .deaths = std::move(deaths_)};
  deaths_.clear();
  if (admitted_locally_) {
    context_.local_admission.Finish(finish);
    return;
  }
  context_.router.Call(account_owner_, std::move(finish), kFinishDeadline,
                       [](const Result<wire::Reply>&) {});
}

void RequestRun::Execute(const attempts::Actions& actions) {
  for (const attempts::Action& action : actions) {
    if (const auto* ask = std::get_if<attempts::RequestPermit>(&action)) {
      AskWhenReleased(*ask);
    } else if (std::holds_alternative<attempts::RequestClaim>(action)) {
      RequestClaim();
    } else if (const auto* dispatch = std::get_if<attempts::Dispatch>(&action)) {
      dispatched_since_admission_ = true;
      Dispatch(*dispatch);
    } else if (const auto* token = std::get_if<attempts::DeliverToken>(&action)) {
      DeliverToken(*token);
    } else if (const auto* cancel = std::get_if<attempts::CancelAttempt>(&action)) {
      CancelAttempt(cancel->attempt);
    } else if (const auto* release = std::get_if<attempts::ReleasePermit>(&action)) {
      ++releases_in_flight_;
      release_since_admission_ = release_since_admission_ || release->outcome != Outcome::kNotRun;
      ReleasePermit(*release, [self = shared_from_this()] {
        --self->releases_in_flight_;
        if (self->ended_) return;
        if (auto ask = std::exchange(self->waiting_ask_, std::nullopt)) self->AskWhenReleased(*ask);
      });
    } else if (std::holds_alternative<attempts::Finish>(action)) {
      Finish();
      End("completed", true);
    } else if (const auto* fail = std::get_if<attempts::Fail>(&action)) {
      const calls::Failure failure = FailureFor(*fail);
      ReportFailure(failure);
      End(calls::FailureName(failure.kind), false);
    }
  }
  ArmTimer();
}

// A request that may have crashed its endpoint is admitted again before its next attempt, after the
// endpoint owner has said whether the endpoint died.
void RequestRun::AskWhenReleased(const attempts::RequestPermit& ask) {
  if (ask.readmit && releases_in_flight_ > 0) {
    waiting_ask_ = ask;
    return;
  }
  if (!ask.readmit || !release_since_admission_) {
    RequestPermit(ask);
    return;
  }
  FinishAdmission(false);
  Admit([self = shared_from_this(), ask] {
    if (!self->machine_.ended() && self->machine_.attempt() == ask.attempt) {
      self->RequestPermit(ask);
    }
  });
}

void RequestRun::Granted(const attempts::PermitGrant& grant) {
  Execute(machine_.OnPermitGranted(grant, now()));
}

void RequestRun::Refused(const attempts::PermitRefusal& refusal, wire::RefusalReason reason) {
  SetFailure(KindOf(reason), std::string(DetailOf(reason)), refusal.retry_after);
  Execute(machine_.OnPermitRefused(refusal, now()));
}

void RequestRun::NoteDeath(const EndpointId& endpoint, Incarnation incarnation) {
  deaths_.push_back(
      {.digest = charge_.digest,
       .endpoint = endpoint,
       .endpoint_incarnation = incarnation,
       .expiry_unix_ms = ToUnixMilliseconds(context_.clock.WallNow() + kSuspectMemory)});
}

void RequestRun::SetFailure(calls::FailureKind kind, std::string detail, Duration retry_after) {
  failure_kind_ = kind;
  failure_detail_ = std::move(detail);
  failure_retry_after_ = retry_after;
}

calls::Failure RequestRun::FailureFor(const attempts::Fail& fail) const {
  calls::Failure failure;
  failure.outcome = fail.outcome;
  failure.kind = calls::FailureKind::kInterrupted;
  failure.detail = "the attempt broke off and may not or cannot be repeated";
  if (fail.reason == attempts::FailureReason::kDeadline && !failure_kind_) {
    failure.kind = calls::FailureKind::kDeadlineExceeded;
    failure.detail = "the deadline passed";
  } else if (fail.reason != attempts::FailureReason::kAttemptFailed && failure_kind_) {
    failure.kind = *failure_kind_;
    failure.detail = failure_detail_;
  } else if (fail.outcome == Outcome::kNotRun) {
    failure.kind = calls::FailureKind::kUnavailable;
    failure.detail = "no endpoint took the request";
  }
  const bool may_repeat = failure.kind == calls::FailureKind::kRateLimited ||
                          failure.kind == calls::FailureKind::kOverloaded ||
                          failure.kind == calls::FailureKind::kUnavailable;
  if (may_repeat) {
    constexpr Duration kShortestRetry = std::chrono::seconds(1);
    failure.retry_after = std::max(kShortestRetry, failure_retry_after_);
  }
  return failure;
}

void RequestRun::OnCallerGone() {
  if (ended_) return;
  WithdrawPermitRequest();
  Execute(machine_.OnCallerGone(now()));
  // A call that may not be repeated and was dispatched runs on, so that its outcome is recorded.
  if (!machine_started_ || machine_.ended()) End("cancelled", false);
}

void RequestRun::End(std::string_view result, bool completed) {
  if (ended_) return;
  ended_ = true;
  WithdrawPermitRequest();
  timer_.cancel();
  admission_timer_.cancel();
  FinishAdmission(completed);
  context_.metrics.OnRequestEnd(identity_.client_account, identity_.priority, result,
                                now() - started_);
}

void RequestRun::ArmTimer() {
  const auto wake = ended_ ? std::nullopt : machine_.next_wake();
  timer_.cancel();
  if (!wake) return;
  timer_.expires_after(std::max(Duration{}, *wake - now()));
  timer_.async_wait([self = shared_from_this()](std::error_code error) {
    if (!error && !self->ended_) self->Execute(self->machine_.OnTime(self->now()));
  });
}

}  // namespace verbenaridge::daemon
