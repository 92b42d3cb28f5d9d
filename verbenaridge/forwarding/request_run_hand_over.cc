// The part of RequestRun that moves a request to another endpoint before its attempt has ended.
//
// A silent or slow endpoint may still complete its response, and a failed response is better than
// none. So the attempt is given up only for an endpoint that takes the request.
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "verbenaridge/forwarding/request_run.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {
namespace {

std::string_view OutcomeName(Assignment::Outcome outcome) {
  switch (outcome) {
    case Assignment::Outcome::kAssigned:
      return "assigned";
    case Assignment::Outcome::kNoEndpoint:
      return "no_endpoint";
    case Assignment::Outcome::kTooLarge:
      return "too_large";
    case Assignment::Outcome::kDeadlineExceeded:
      return "deadline_exceeded";
    case Assignment::Outcome::kUnservable:
      return "deadline_unreachable";
    case Assignment::Outcome::kLimited:
      return "endpoints_limited";
    case Assignment::Outcome::kNoRoom:
      return "no_room";
    case Assignment::Outcome::kOverShare:
      return "over_share";
  }
  return "unknown";
}

}  // namespace

bool RequestRun::SeekHandOver(AttemptFailure failure, std::string_view detail) {
  if (hand_over_) return true;
  if (!MayRetry(failure)) return false;
  if (!FitsElsewhere()) {
    LogHandOver({.failure = failure, .detail = std::string(detail)}, "kept", "stopping");
    return false;
  }
  hand_over_ = {.failure = failure, .detail = std::string(detail)};
  if (exchange_ == nullptr) StopAttempt();  // the response is complete
  std::vector<Digest> excluded = excluded_;
  excluded.push_back(EndpointKey(EndpointAtFault()));
  Place(std::move(excluded), &RequestRun::OnHandOverAssigned);
  return true;
}

// Another endpoint prefills the prompt again before the next event, while the present one may only
// be in a long pass.
bool RequestRun::FitsElsewhere() const {
  if (!response_started_ || deadline_ != context_.stop.end()) return true;
  const dispatch::PassModel* const model = context_.dispatcher.ModelOf(service_);
  if (model == nullptr) return true;
  const dispatch::StreamRest rest = RestOfStream(*model, context_.clock.Now());
  return rest.restart + context_.stop.UsualTime(rest.events_left, rest.expected_gap) <=
         rest.remaining;
}

void RequestRun::OnHandOverAssigned(Assignment assignment) {
  if (!hand_over_) return;
  const HandOver hand_over = *std::exchange(hand_over_, std::nullopt);
  if (assignment.outcome != Assignment::Outcome::kAssigned) {
    KeepAttempt(hand_over, OutcomeName(assignment.outcome));
    return;
  }
  if (!TakeRetry(hand_over.failure)) {
    for (const dispatch::TaskId task : assignment.tasks) context_.dispatcher.OnEnd(task);
    KeepAttempt(hand_over, "no_retry");
    return;
  }
  LogHandOver(hand_over, "moved", {});
  RecordAttempt(hand_over.failure, hand_over.detail);
  excluded_.push_back(EndpointKey(EndpointAtFault()));
  StopAttempt();
  OnAssigned(std::move(assignment));
}

void RequestRun::KeepAttempt(const HandOver& hand_over, std::string_view reason) {
  LogHandOver(hand_over, "kept", reason);
  if (hand_over.failure == AttemptFailure::kServerError) {
    ReturnHeldResponse();
    return;
  }
  // The next event arms the timer anew.
  const Duration retry_delay = context_.options.first_event_timeout_margin;
  next_pace_check_ = context_.clock.Now() + retry_delay;
  ArmAttemptTimeout(retry_delay);
}

void RequestRun::CancelHandOver() {
  if (!hand_over_) return;
  hand_over_.reset();
  if (dispatch_id_ != 0) context_.placement.Cancel(std::exchange(dispatch_id_, 0));
}

bool RequestRun::HoldsResponse() const {
  return hand_over_ && hand_over_->failure == AttemptFailure::kServerError;
}

void RequestRun::ReturnHeldResponse() {
  if (IsPromise(response_->status)) {
    RecordAttempt(AttemptFailure::kServerError, "refusal_without_not_executed");
    StopAttempt();
    FailRequest(AttemptFailure::kServerError);
  } else if (exchange_ != nullptr) {
    BeginPassThrough();
    if (!finished_) exchange_->Resume();
  } else {
    ReturnResponse();
  }
}

void RequestRun::LogHandOver(const HandOver& hand_over, std::string_view outcome,
                             std::string_view reason) const {
  context_.metrics.hand_overs.With({outcome}).Add();
  telemetry::Log(telemetry::Level::kInfo, "hand_over",
                 {{"id", request_metadata_.attempt_id},
                  {"outcome", outcome},
                  {"reason", reason},
                  {"end", NameOf(hand_over.failure)},
                  {"detail", hand_over.detail},
                  {"endpoint", EndpointAtFault().id.value()},
                  {"offer", attempts_},
                  {"events", events_sent_}});
}

}  // namespace verbenaridge::forwarding
