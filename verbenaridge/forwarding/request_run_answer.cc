// The part of RequestRun that handles the responses of endpoints.
#include <algorithm>
#include <string>
#include <utility>

#include "verbenaridge/forwarding/request_run.h"

namespace verbenaridge::forwarding {
namespace {

bool IsEventStream(const http1::ResponseHead& head) {
  return head.header("Content-Type").starts_with("text/event-stream");
}

}  // namespace

void RequestRun::OnResponseHead(http1::ResponseHead head) {
  response_metadata_ = context_.adapter.ReadResponse(head);
  const bool ok = head.status >= 200 && head.status < 300;
  streaming_ = ok && route_->kind == directory::RequestKind::kStream && IsEventStream(head);
  response_ = std::move(head);
}

void RequestRun::OnResponseBody(std::string_view data) {
  const std::shared_ptr<RequestRun> self = shared_from_this();
  if (finished_ || exchange_ == nullptr) return;
  if (streaming_) {
    OnEvents(data);
    return;
  }
  body_.append(data);
  if (body_.size() > context_.options.max_buffered_response) {
    AttemptFailed(AttemptFailure::kBroken, "answer_too_large");
  }
}

void RequestRun::OnEvents(std::string_view data) {
  if (response_metadata_.attempt_id != request_metadata_.attempt_id || !response_metadata_.sealed ||
      response_metadata_.encoded) {
    AttemptFailed(AttemptFailure::kBroken, "answer_not_of_this_request");
    return;
  }
  for (const Event& event : splitter_.Feed(data)) {
    if (!AcceptEvent(event)) return;
  }
  if (splitter_.too_long()) {
    AttemptFailed(AttemptFailure::kBroken, "event_too_long");
    return;
  }
  if (sink_->unsent_bytes() > context_.options.max_unsent_bytes) exchange_->Pause();
}

bool RequestRun::AcceptEvent(const Event& event) {
  const std::optional<std::uint64_t> before =
      last_event_ ? last_event_ : request_metadata_.last_event_id;
  if (!event.id) {
    AttemptFailed(AttemptFailure::kBroken, "event_without_id");
    return false;
  }
  // A resumed stream must continue with the next event.
  if (before && *event.id != *before + 1) {
    AttemptFailed(AttemptFailure::kBroken, "event_out_of_order");
    return false;
  }
  const TimePoint now = context_.clock.Now();
  if (!first_event_seen_) OnFirstEvent();
  if (events_sent_ > 0) max_gap_ = std::max(max_gap_, now - last_event_at_);
  last_event_at_ = now;
  if (reservations_ != nullptr) reservations_->OnProgress();
  last_event_ = event.id;
  ++events_sent_;
  sink_->Send(event.bytes);
  if (finished_) return false;
  ArmAttemptTimeout(
      std::max(FromSeconds(context_.options.gap_timeout_factor * ToSeconds(route_->target_gap)),
               context_.options.min_gap_timeout));
  return true;
}

void RequestRun::OnFirstEvent() {
  first_event_seen_ = true;
  for (const dispatch::TaskId task : assignment_.tasks) context_.dispatcher.OnFirstEvent(task);
  context_.dispatcher.OnSuccess(assignment_.members.front());
  if (response_started_) return;
  response_started_ = true;
  first_event_after_ = Elapsed();
  context_.metrics.latency.With({std::to_string(priority_)}).Observe(ToSeconds(first_event_after_));
  sink_->Begin(ClientHead());
}

// Returns the endpoint's response head without the headers of its connection.
http1::ResponseHead RequestRun::ClientHead() const {
  http1::ResponseHead head{.status = response_->status};
  const std::string_view connection = response_->header("Connection");
  for (const http1::Header& header : response_->headers) {
    if (http1::IsHopByHop(header.name, connection)) continue;
    if (http1::EqualsIgnoringCase(header.name, "Content-Length")) continue;
    head.headers.push_back(header);
  }
  return head;
}

void RequestRun::OnResponseEnd() {
  const std::shared_ptr<RequestRun> self = shared_from_this();
  exchange_ = nullptr;
  if (finished_) return;
  wait_timer_.cancel();
  if (!streaming_) {
    OnCompleteResponse();
    return;
  }
  if (splitter_.partial() || !first_event_seen_) {
    AttemptFailed(AttemptFailure::kBroken, "stream_cut_off");
    return;
  }
  context_.crashes.OnCompleted(digest_);
  Finish("served", response_->status);
  sink_->End();
}

void RequestRun::OnCompleteResponse() {
  const int status = response_->status;
  const bool wrong_id = !response_metadata_.attempt_id.empty() &&
                        response_metadata_.attempt_id != request_metadata_.attempt_id;
  // A refusal of another request says nothing about this one, which may be running.
  if (!wrong_id && (response_metadata_.not_executed || status == 421)) {
    AttemptFailed(AttemptFailure::kRefused, std::to_string(status));
    return;
  }
  const bool ok = status >= 200 && status < 300;
  const bool unverified = ok && (response_metadata_.attempt_id.empty() ||
                                 !response_metadata_.sealed || response_metadata_.encoded);
  if (wrong_id || unverified || response_started_) {
    AttemptFailed(AttemptFailure::kBroken, "answer_not_of_this_request");
    return;
  }
  if (status >= 500 && MayRetry(AttemptFailure::kServerError)) {
    AttemptFailed(AttemptFailure::kServerError, std::to_string(status));
    return;
  }
  if (status < 500) context_.dispatcher.OnSuccess(assignment_.members.front());
  context_.crashes.OnCompleted(digest_);
  first_event_after_ = Elapsed();
  context_.metrics.latency.With({std::to_string(priority_)}).Observe(ToSeconds(first_event_after_));
  http1::ResponseHead head = ClientHead();
  Finish(ok ? "served" : "endpoint_failure", status);
  sink_->Respond(std::move(head), body_);
}

}  // namespace verbenaridge::forwarding
