// The part of RequestRun that handles failed attempts.
#include <string>
#include <string_view>
#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/forwarding/request_run.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {
namespace {

using telemetry::Level;

// Status of a process that is not the endpoint to which the request was addressed.
constexpr int kMisdirected = 421;

double Milliseconds(Duration duration) { return ToSeconds(duration) * 1000; }

}  // namespace

void RequestRun::OnExchangeFailed(ExchangeFailure failure, std::string_view detail) {
  const std::shared_ptr<RequestRun> self = shared_from_this();
  exchange_ = nullptr;
  if (finished_) return;
  // A refusal counts from its head on. Its body is not needed.
  if (failure == ExchangeFailure::kBroken && !streaming_ && IsRefusal()) {
    AttemptFailed(AttemptFailure::kRefused, std::to_string(response_->status));
    return;
  }
  AttemptFailure attempt_failure = AttemptFailure::kBroken;
  if (failure == ExchangeFailure::kNotConnected) attempt_failure = AttemptFailure::kNotConnected;
  if (failure == ExchangeFailure::kNotSent) attempt_failure = AttemptFailure::kNotSent;
  if (failure == ExchangeFailure::kBroken) {
    OnConnectionLost(detail);
  } else {
    AttemptFailed(attempt_failure, detail);
  }
}

bool RequestRun::IsRefusal() const {
  return response_ && (response_metadata_.not_executed || response_->status == kMisdirected);
}

void RequestRun::OnConnectionLost(std::string_view detail) {
  connection_lost_ = true;
  AttemptFailed(AttemptFailure::kBroken, detail);
}

// Returns the member that the response names as the cause, or else the one that received the
// request.
const directory::Endpoint& RequestRun::EndpointAtFault() const {
  for (const directory::Endpoint& member : assignment_.members) {
    if (member.id == response_metadata_.endpoint_at_fault) return member;
  }
  return assignment_.members.front();
}

void RequestRun::RecordHealth(AttemptFailure failure) {
  const directory::Endpoint& endpoint = EndpointAtFault();
  using dispatch::FailureKind;
  switch (failure) {
    case AttemptFailure::kNotConnected:
    case AttemptFailure::kMemberLost:
      context_.dispatcher.OnFailure(endpoint, FailureKind::kUnreachable);
      return;
    case AttemptFailure::kNotSent:  // says nothing of the endpoint
      return;
    case AttemptFailure::kTimedOut:  // the connection works
      context_.dispatcher.OnFailure(endpoint, FailureKind::kError);
      return;
    case AttemptFailure::kRefused:
      context_.dispatcher.OnFailure(endpoint, response_ && response_->status == kMisdirected
                                                  ? FailureKind::kReplaced
                                                  : FailureKind::kFull);
      return;
    case AttemptFailure::kBroken:
      context_.dispatcher.OnFailure(endpoint, FailureKind::kBroken);
      return;
    case AttemptFailure::kServerError:
      context_.dispatcher.OnFailure(endpoint, FailureKind::kError);
      return;
  }
}

bool RequestRun::MayRetry(AttemptFailure failure) {
  const TimePoint now = context_.clock.Now();
  if (attempts_ >= context_.options.max_attempts || now >= deadline_) return false;
  if (passing_through_) return false;  // only a stream can be resumed
  if (failure == AttemptFailure::kNotConnected || failure == AttemptFailure::kNotSent) return true;
  const bool may_have_run = failure != AttemptFailure::kRefused;
  if (may_have_run) {
    if (!route_->idempotent() || runs_ + 1 >= route_->max_attempts) return false;
    // A further endpoint is not risked for a request that may be the cause of crashes.
    if (probing_) return false;
    if (MayBeCauseOfCrash() &&
        context_.suspects.IsSuspected(crash_keys_, EndpointKey(EndpointAtFault()), now)) {
      return false;
    }
  }
  return context_.BudgetOf(service_).Remaining(snapshot_->hosts, now) >= 1;
}

bool RequestRun::TakeRetry(AttemptFailure failure) {
  if (failure == AttemptFailure::kNotConnected || failure == AttemptFailure::kNotSent) return true;
  return context_.BudgetOf(service_).Take(snapshot_->hosts, context_.clock.Now());
}

void RequestRun::RecordAttempt(AttemptFailure failure, std::string_view detail) {
  const bool may_have_run = failure != AttemptFailure::kNotConnected &&
                            failure != AttemptFailure::kNotSent &&
                            failure != AttemptFailure::kRefused;
  if (may_have_run) ++runs_;
  LogFailedAttempt(failure, detail);
  RecordHealth(failure);
}

void RequestRun::AttemptFailed(AttemptFailure failure, std::string_view detail) {
  CancelHandOver();
  const bool retry = MayRetry(failure) && TakeRetry(failure);
  RecordAttempt(failure, detail);
  const Digest endpoint = EndpointKey(EndpointAtFault());
  if (failure == AttemptFailure::kBroken && MayBeCauseOfCrash()) RecordCrash(endpoint);
  if (failure != AttemptFailure::kNotSent) excluded_.push_back(endpoint);
  StopAttempt();
  if (retry) {
    FindEndpoint();
  } else {
    FailRequest(failure);
  }
}

bool RequestRun::MayBeCauseOfCrash() const {
  return connection_lost_ && attempt_events_ < context_.options.sound_events;
}

void RequestRun::RecordCrash(Digest endpoint) {
  const dispatch::EndpointCrash crash{.endpoint = endpoint,
                                      .request = digest_,
                                      .begun = response_.has_value(),
                                      .parts = {crash_keys_.begin() + 1, crash_keys_.end()}};
  context_.suspects.OnCrash(crash, context_.clock.Now());
  context_.dispatcher.OnCrash(crash);
}

void RequestRun::FailRequest(AttemptFailure failure) {
  if (response_started_) {
    Finish("stream_broken", 0);
    sink_->Abort();
  } else if (runs_ == 0) {
    Refuse(503, failure == AttemptFailure::kRefused ? "endpoints_full" : "endpoints_unreachable");
  } else {
    Refuse(502, "outcome_unknown");
  }
}

std::string_view RequestRun::NameOf(AttemptFailure failure) {
  constexpr std::string_view kNames[] = {"not_connected", "not_sent",     "refused",    "silent",
                                         "broken",        "server_error", "member_lost"};
  return kNames[static_cast<std::size_t>(failure)];
}

void RequestRun::LogFailedAttempt(AttemptFailure failure, std::string_view detail) const {
  const std::string_view name = NameOf(failure);
  context_.metrics.attempts.With({name}).Add();
  telemetry::Log(Level::kInfo, "attempt_failed",
                 {{"id", request_metadata_.attempt_id},
                  {"request_key", ToHex(digest_)},
                  {"end", name},
                  {"detail", detail},
                  {"endpoint", EndpointAtFault().id.value()},
                  {"offer", attempts_},
                  {"runs", runs_},
                  {"after_ms", Milliseconds(context_.clock.Now() - attempt_started_)},
                  {"reused_connection", exchange_ != nullptr && exchange_->reused()},
                  {"predicted_ms", Milliseconds(assignment_.predicted)},
                  {"events", events_sent_},
                  {"status", response_ ? response_->status : 0},
                  {"event_received", attempt_events_ > 0},
                  {"attempt_events", attempt_events_},
                  {"prompt_parts", PromptParts()},
                  {"candidates", assignment_.candidates}});
}
}  // namespace verbenaridge::forwarding
