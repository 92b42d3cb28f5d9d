// The answers of endpoints, as RequestRun passes them on.
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

void RequestRun::OnAnswerHead(http1::ResponseHead head) {
  answer_facts_ = context_.adapter.ReadResponse(head);
  const bool ok = head.status >= 200 && head.status < 300;
  events_ = ok && route_->kind == directory::RequestKind::kStream && IsEventStream(head);
  answer_ = std::move(head);
}

void RequestRun::OnAnswerBody(std::string_view data) {
  const std::shared_ptr<RequestRun> self = shared_from_this();
  if (finished_ || exchange_ == nullptr) return;
  if (events_) {
    OnEvents(data);
    return;
  }
  body_.append(data);
  if (body_.size() > context_.options.max_whole_answer) {
    AttemptFailed(AttemptEnd::kBroken, "answer_too_large");
  }
}

void RequestRun::OnEvents(std::string_view data) {
  if (answer_facts_.attempt_id != facts_.attempt_id || !answer_facts_.sealed ||
      answer_facts_.encoded) {
    AttemptFailed(AttemptEnd::kBroken, "answer_not_of_this_request");
    return;
  }
  for (const Event& event : splitter_.Feed(data)) {
    if (!AcceptEvent(event)) return;
  }
  if (splitter_.too_long()) {
    AttemptFailed(AttemptEnd::kBroken, "event_too_long");
    return;
  }
  if (port_->pending() > context_.options.max_pending) exchange_->Pause();
}

bool RequestRun::AcceptEvent(const Event& event) {
  const std::optional<std::uint64_t> before = last_event_ ? last_event_ : facts_.last_event_id;
  if (!event.id) {
    AttemptFailed(AttemptEnd::kBroken, "event_without_id");
    return false;
  }
  // A stream that goes on must do so with the next event.
  if (before && *event.id != *before + 1) {
    AttemptFailed(AttemptEnd::kBroken, "event_out_of_order");
    return false;
  }
  const TimePoint now = context_.clock.Now();
  if (!first_seen_) OnFirstEvent();
  if (events_sent_ > 0) longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  last_event_at_ = now;
  last_event_ = event.id;
  ++events_sent_;
  port_->Send(event.bytes);
  if (finished_) return false;
  ArmPatience(
      std::max(FromSeconds(context_.options.gap_timeout_factor * ToSeconds(route_->target_gap)),
               context_.options.min_gap_timeout));
  return true;
}

void RequestRun::OnFirstEvent() {
  first_seen_ = true;
  for (const dispatch::TaskId work : assignment_.tasks) context_.dispatcher.OnFirstEvent(work);
  context_.dispatcher.OnSuccess(assignment_.members.front());
  if (begun_) return;
  begun_ = true;
  first_event_after_ = Elapsed();
  context_.metrics.latency.With({std::to_string(priority_)}).Observe(ToSeconds(first_event_after_));
  port_->Begin(ClientHead());
}

// The endpoint's head without what concerns its connection.
http1::ResponseHead RequestRun::ClientHead() const {
  http1::ResponseHead head{.status = answer_->status};
  const std::string_view connection = answer_->header("Connection");
  for (const http1::Header& header : answer_->headers) {
    if (http1::IsHopByHop(header.name, connection)) continue;
    if (http1::EqualsIgnoringCase(header.name, "Content-Length")) continue;
    head.headers.push_back(header);
  }
  return head;
}

void RequestRun::OnAnswerEnd() {
  const std::shared_ptr<RequestRun> self = shared_from_this();
  exchange_ = nullptr;
  if (finished_) return;
  patience_timer_.cancel();
  if (!events_) {
    OnWholeAnswer();
    return;
  }
  if (splitter_.partial() || !first_seen_) {
    AttemptFailed(AttemptEnd::kBroken, "stream_cut_off");
    return;
  }
  context_.crashes.OnCompleted(digest_);
  Finish("served", answer_->status);
  port_->End();
}

void RequestRun::OnWholeAnswer() {
  const int status = answer_->status;
  if (answer_facts_.not_executed || status == 421) {
    AttemptFailed(AttemptEnd::kRefused, std::to_string(status));
    return;
  }
  const bool ok = status >= 200 && status < 300;
  const bool other_id =
      !answer_facts_.attempt_id.empty() && answer_facts_.attempt_id != facts_.attempt_id;
  const bool unproved =
      ok && (answer_facts_.attempt_id.empty() || !answer_facts_.sealed || answer_facts_.encoded);
  if (other_id || unproved || begun_) {
    AttemptFailed(AttemptEnd::kBroken, "answer_not_of_this_request");
    return;
  }
  if (status >= 500 && MayTryAgain(AttemptEnd::kServerError)) {
    AttemptFailed(AttemptEnd::kServerError, std::to_string(status));
    return;
  }
  if (status < 500) context_.dispatcher.OnSuccess(assignment_.members.front());
  context_.crashes.OnCompleted(digest_);
  first_event_after_ = Elapsed();
  context_.metrics.latency.With({std::to_string(priority_)}).Observe(ToSeconds(first_event_after_));
  http1::ResponseHead head = ClientHead();
  Finish(ok ? "served" : "endpoint_failure", status);
  port_->Answer(std::move(head), body_);
}

}  // namespace verbenaridge::forwarding
