#include "verbenaridge/daemon/service_run.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/daemon/conversions.h"
#include "verbenaridge/daemon/owners.h"

namespace verbenaridge::daemon {
namespace {

constexpr Duration kClaimDeadline = std::chrono::seconds(1);
constexpr Duration kOutcomeDeadline = std::chrono::seconds(2);
constexpr Duration kNoEndpointRetry = std::chrono::milliseconds(250);
constexpr Duration kClaimRetry = std::chrono::seconds(1);

attempts::RequestOptions OptionsFor(const ServiceInput& input) {
  attempts::RequestOptions options;
  options.repeatable = input.repeatable;
  options.needs_claim = !input.repeatable;
  return options;
}

Outcome OutcomeOf(engine::AttemptEnd end) {
  switch (end) {
    case engine::AttemptEnd::kCompleted:
      return Outcome::kRan;
    case engine::AttemptEnd::kNotSent:
    case engine::AttemptEnd::kRefused:
      return Outcome::kNotRun;
    default:
      return Outcome::kUnknown;
  }
}

}  // namespace

ServiceRun::ServiceRun(RunContext& context, RequestIdentity identity, RequestCharge charge,
                       ServiceInput input, std::shared_ptr<calls::ServiceSink> sink)
    : RequestRun(context, std::move(identity), charge, OptionsFor(input)),
      input_(std::move(input)),
      sink_(std::move(sink)),
      claim_timer_(context.loop.io_context()) {}

std::shared_ptr<ServiceRun> ServiceRun::Self() {
  return std::static_pointer_cast<ServiceRun>(shared_from_this());
}

const EndpointView* ServiceRun::ChooseEndpoint(const Snapshot& snapshot) const {
  std::vector<const EndpointView*> local;
  std::vector<const EndpointView*> remote;
  for (const EndpointView& view : snapshot.endpoints) {
    if (view.settings.service != input_.service || view.leaving) continue;
    if (!context_.BreakerOf(view.settings.id).WouldAllow(now())) continue;
    const bool own = HashOf(view.settings.data_centre.value()) == snapshot.own_data_centre;
    (own ? local : remote).push_back(&view);
  }
  const auto& pool = local.empty() ? remote : local;
  return pool.empty() ? nullptr : pool[context_.random.Below(pool.size())];
}

// Plain services queue by themselves, so the permit is local.
void ServiceRun::RequestPermit(const attempts::RequestPermit& ask) {
  const EndpointView* endpoint = ChooseEndpoint(*context_.snapshot);
  if (endpoint == nullptr) {
    Refused({.attempt = ask.attempt, .retry_after = kNoEndpointRetry}, wire::RefusalReason::kNone);
    return;
  }
  endpoint_ = endpoint->settings.id;
  url_ = endpoint->settings.url;
  Granted({.attempt = ask.attempt, .permit = holder_.sequence, .endpoint = endpoint_});
}

claims::ClaimRequest ServiceRun::ClaimMessage() const {
  const std::int64_t expiry = ToUnixMilliseconds(input_.key_expiry);
  return {.key = {.client_account = identity_.client_account,
                  .service = input_.service,
                  .operation = input_.operation,
                  .idempotency_key = input_.idempotency_key},
          .fingerprint = HashOf({input_.body, std::to_string(expiry)}),
          .holder = holder_,
          .expiry = FromUnixMilliseconds(expiry)};
}

void ServiceRun::RequestClaim() {
  claim_.emplace(claims::ClaimHolderOptions{}, context_.clock, context_.random, ClaimMessage());
  ExecuteHolder(claim_->RequestClaim());
}

void ServiceRun::ExecuteHolder(const claims::HolderActions& actions) {
  for (const claims::HolderAction& action : actions) {
    if (const auto* send = std::get_if<claims::SendClaim>(&action)) {
      SendClaim(send->request);
    } else if (std::holds_alternative<claims::Granted>(action)) {
      Execute(machine_.OnClaimGranted(now()));
    } else if (const auto* refused = std::get_if<claims::Refused>(&action)) {
      OnClaimRefused(refused->reply);
    } else if (const auto* outcome = std::get_if<claims::SendOutcome>(&action)) {
      SendOutcome(outcome->request);
    }
  }
  ArmHolderTimer();
}

void ServiceRun::SendClaim(const claims::ClaimRequest& request) {
  const HostId writer = ClaimWriterOf(*context_.snapshot, claims::BucketOf(request.key));
  context_.router.Call(
      writer, ToWireClaim(request), kClaimDeadline, [self = Self()](Result<wire::Reply> reply) {
        if (reply.has_error()) {
          self->ExecuteHolder(self->claim_->OnReply(reply.error()));
          return;
        }
        const auto* answer = std::get_if<wire::ClaimReply>(&reply.value());
        self->ExecuteHolder(
            self->claim_->OnReply(answer ? Result<claims::ClaimReply>(ToClaimReply(*answer))
                                         : Result<claims::ClaimReply>(Errc::kMalformed)));
      });
}

void ServiceRun::SendOutcome(const claims::OutcomeRequest& outcome) {
  const HostId writer = ClaimWriterOf(*context_.snapshot, claims::BucketOf(outcome.key));
  context_.router.Call(writer, ToWireOutcome(outcome), kOutcomeDeadline,
                       [self = Self()](Result<wire::Reply> reply) {
                         if (reply.has_error()) {
                           self->ExecuteHolder(self->claim_->OnOutcomeReply(reply.error()));
                           return;
                         }
                         const auto* answer = std::get_if<wire::ClaimReply>(&reply.value());
                         if (answer == nullptr) return;
                         self->ExecuteHolder(self->claim_->OnOutcomeReply(ToClaimReply(*answer)));
                       });
}

void ServiceRun::OnClaimRefused(const claims::ClaimReply& answer) {
  calls::Failure failure{.kind = calls::FailureKind::kInterrupted, .outcome = Outcome::kUnknown};
  switch (answer.verdict) {
    case claims::ClaimVerdict::kRecorded:
      sink_->OnAnswer({.status = answer.result.status,
                       .content_type = answer.result.content_type,
                       .body = answer.result.body,
                       .replayed = true});
      answered_ = true;
      break;
    case claims::ClaimVerdict::kInProgress:
      failure.detail = "a call with this idempotency key is running";
      failure.retry_after = kClaimRetry;
      break;
    case claims::ClaimVerdict::kKeyReused:
      failure = {.kind = calls::FailureKind::kKeyReused,
                 .outcome = Outcome::kNotRun,
                 .detail = "this idempotency key was used for another request"};
      break;
    case claims::ClaimVerdict::kExpired:
      // An earlier call with this key may have run.
      failure = {.kind = calls::FailureKind::kBadRequest,
                 .outcome = Outcome::kUnknown,
                 .detail =
                     "the idempotency key has expired or expires too late; this call did not "
                     "run, an earlier call with the same key may have"};
      break;
    case claims::ClaimVerdict::kUnavailable:
    case claims::ClaimVerdict::kFull:
      failure = {.kind = calls::FailureKind::kUnavailable,
                 .outcome = Outcome::kNotRun,
                 .detail =
                     "the claim could not be stored; this call did not run, an earlier call "
                     "with the same key may have",
                 .retry_after = kClaimRetry};
      break;
    default:
      failure.detail = "a call with this idempotency key was sent and its result is not known";
      break;
  }
  if (!answered_) ReportFailure(failure);
  Execute(machine_.OnClaimRefused(now()));
}

void ServiceRun::Dispatch(const attempts::Dispatch& dispatch) {
  if (claim_) {
    claims::HolderActions actions;
    if (!claim_->TryDispatch(actions)) {
      ExecuteHolder(actions);
      Execute(machine_.OnAttemptEnd(
          {.attempt = dispatch.attempt, .end = attempts::AttemptEnd::kNotSent}, now()));
      return;
    }
  }
  if (!context_.BreakerOf(endpoint_).Allow(now())) {
    context_.loop.Post([self = Self(), attempt = dispatch.attempt] {
      self->dispatched_ = attempt;
      self->OnServiceEnd(attempt, {.end = engine::AttemptEnd::kNotSent});
    });
    return;
  }
  dispatched_ = dispatch.attempt;
  context_.endpoints.CallService(
      url_,
      {.request_id = identity_.request_id,
       .attempt = dispatch.attempt,
       .operation = input_.operation,
       .idempotency_key = input_.idempotency_key,
       .body = input_.body,
       .timeout = dispatch.remaining,
       .traceparent = identity_.traceparent},
      [self = Self(), attempt = dispatch.attempt](engine::ServiceEnd end) {
        self->OnServiceEnd(attempt, std::move(end));
      });
}

void ServiceRun::OnServiceEnd(AttemptNumber attempt, engine::ServiceEnd end) {
  if (attempt != dispatched_) return;
  dispatched_ = 0;
  attempts::CircuitBreaker& breaker = context_.BreakerOf(endpoint_);
  if (end.end == engine::AttemptEnd::kCompleted || end.end == engine::AttemptEnd::kRefused) {
    breaker.OnSuccess();
  } else {
    breaker.OnFailure(now());
  }
  answer_ = calls::ServiceAnswer{
      .status = end.status, .content_type = end.content_type, .body = std::move(end.body)};
  EndClaim(end.end);
  Execute(machine_.OnAttemptEnd({.attempt = attempt, .end = ToAttemptEnd(end.end)}, now()));
}

void ServiceRun::EndClaim(engine::AttemptEnd end) {
  if (!claim_) return;
  claims::ClaimResult result;
  if (end == engine::AttemptEnd::kCompleted) {
    result = {
        .status = answer_->status, .content_type = answer_->content_type, .body = answer_->body};
  }
  ExecuteHolder(claim_->OnEnd(OutcomeOf(end), result));
}

// A call that was sent is not cancelled at the service; its answer still settles the claim.
void ServiceRun::CancelAttempt(AttemptNumber) {}

void ServiceRun::ReleasePermit(const attempts::ReleasePermit&, std::function<void()> done) {
  context_.loop.Post(std::move(done));
}

void ServiceRun::Finish() {
  if (!std::exchange(answered_, true)) sink_->OnAnswer(*answer_);
}

void ServiceRun::ReportFailure(const calls::Failure& failure) {
  if (claim_ && dispatched_ == 0 && claim_->state() < claims::ClaimHolder::State::kDispatched) {
    ExecuteHolder(claim_->OnCancelled());
  }
  if (!std::exchange(answered_, true)) sink_->OnFailure(failure);
}

void ServiceRun::ArmHolderTimer() {
  if (!claim_) return;
  claim_timer_.cancel();
  const auto wake = claim_->next_wake();
  if (!wake) return;
  claim_timer_.expires_after(std::max(Duration{}, *wake - now()));
  claim_timer_.async_wait([self = Self()](std::error_code error) {
    if (!error) self->ExecuteHolder(self->claim_->OnTimer());
  });
}

}  // namespace verbenaridge::daemon
