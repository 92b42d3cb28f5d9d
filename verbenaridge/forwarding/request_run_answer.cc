// The part of RequestRun that handles the responses of endpoints.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "verbenaridge/forwarding/request_run.h"

namespace verbenaridge::forwarding {
namespace {

bool IsEventStream(const http1::ResponseHead& head) {
  return head.header("Content-Type").starts_with("text/event-stream");
}

bool IsSuccess(const http1::ResponseHead& head) { return head.status >= 200 && head.status < 300; }

// Length of the body as the head states it; empty if the body is sent in chunks or until the close.
std::optional<std::uint64_t> BodyLength(const http1::ResponseHead& head) {
  if (!head.header("Transfer-Encoding").empty()) return std::nullopt;
  return http1::ParseUnsigned(head.header("Content-Length"));
}

}  // namespace

bool RequestRun::IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void RequestRun::OnResponseHead(http1::ResponseHead head) {
  const std::shared_ptr<RequestRun> self = shared_from_this();
  response_metadata_ = context_.adapter.ReadResponse(head);
  streaming_ =
      IsSuccess(head) && route_->kind == directory::RequestKind::kStream && IsEventStream(head);
  response_ = std::move(head);
  if (finished_ || exchange_ == nullptr) return;
  if (!IsOfThisRequest()) AttemptFailed(AttemptFailure::kBroken, "answer_not_of_this_request");
}

// A success must name the request and carry the endpoint's signature. Other responses may come
// without a name, but not on a connection that carried other requests: they could be responses to
// those that were sent once more.
bool RequestRun::IsOfThisRequest() const {
  const bool named = !response_metadata_.attempt_id.empty();
  if (named && response_metadata_.attempt_id != request_metadata_.attempt_id) return false;
  if (!named && exchange_->reused()) return false;
  if (!IsSuccess(*response_)) return true;
  return named && response_metadata_.sealed && !response_metadata_.encoded;
}

void RequestRun::OnResponseBody(std::string_view data) {
  const std::shared_ptr<RequestRun> self = shared_from_this();
  if (finished_ || exchange_ == nullptr) return;
  if (streaming_) {
    OnEvents(data);
    return;
  }
  if (passing_through_) {
    PassThrough(data);
    return;
  }
  body_.append(data);
  SetHeldBytes(body_.size());
  if (IsWithinLimit(context_.options.max_held_response) || HoldsResponse()) return;
  if (!BodyLength(*response_)) {
    AttemptFailed(AttemptFailure::kBroken, "longer_than_max_held_response_bytes");
  } else if (!TryElsewhere()) {
    BeginPassThrough();
  } else if (HoldsResponse()) {
    exchange_->Pause();
  }
}

void RequestRun::SetHeldBytes(std::size_t bytes) {
  context_.held_bytes += bytes - std::exchange(held_bytes_, bytes);
  context_.metrics.held_bytes.Set(static_cast<double>(context_.held_bytes));
}

bool RequestRun::IsWithinLimit(std::size_t limit) const {
  const bool full = context_.held_bytes > context_.options.max_held_total;
  const double share = full ? context_.options.held_share_when_full : 1;
  return static_cast<double>(held_bytes_) <= static_cast<double>(limit) * share;
}

void RequestRun::BeginPassThrough() {
  CancelHandOver();
  passing_through_ = response_started_ = true;
  wait_timer_.cancel();  // from here on, the deadline limits the time
  ObserveLatency();
  sink_->Begin(ClientHead(), BodyLength(*response_));
  SetHeldBytes(0);
  PassThrough(std::exchange(body_, {}));
}

void RequestRun::PassThrough(std::string_view data) {
  sink_->Send(data);
  if (!finished_ && sink_->unsent_bytes() > context_.options.max_unsent_bytes) exchange_->Pause();
}

void RequestRun::OnEvents(std::string_view data) {
  for (const Event& event : splitter_.Feed(data)) {
    if (!AcceptEvent(event)) return;
  }
  SetHeldBytes(splitter_.size());
  if (!IsWithinLimit(EventSplitter::kMaxEventBytes)) {
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
  if (!event.well_formed) {
    AttemptFailed(AttemptFailure::kBroken, "event_malformed");
    return false;
  }
  // A resumed stream must continue with the next event.
  if (before && *event.id != *before + 1) {
    AttemptFailed(AttemptFailure::kBroken, "event_out_of_order");
    return false;
  }
  const TimePoint now = context_.clock.Now();
  if (++attempt_events_ == 1) OnFirstEvent();
  if (attempt_events_ == context_.options.sound_events) OnSoundResponse();
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
  pace_.OnEvent(now);
  if (!IsTooSlow(now)) {
    CancelHandOver();  // the endpoint was silent, but has not stalled
    return true;
  }
  if (now < next_pace_check_) return true;
  const std::shared_ptr<Exchange> exchange = exchange_;
  SeekHandOver(AttemptFailure::kTimedOut, "too_slow_for_deadline");
  return exchange_ == exchange;
}

bool RequestRun::IsTooSlow(TimePoint now) const {
  const dispatch::PassModel* const model = context_.dispatcher.ModelOf(service_);
  if (model == nullptr || assignment_.members.size() > 1) return false;
  return pace_.MustMove(RestOfStream(*model, now));
}

dispatch::StreamRest RequestRun::RestOfStream(const dispatch::PassModel& model,
                                              TimePoint now) const {
  const auto tokens_per_event = static_cast<std::uint64_t>(std::max(model.timing().stride, 1));
  const auto tokens = static_cast<std::uint64_t>(request_metadata_.max_output_tokens);
  const std::uint64_t events = (tokens + tokens_per_event - 1) / tokens_per_event;
  const std::uint64_t done = std::min(last_event_.value_or(0), events);
  const auto context =
      request_metadata_.prompt_tokens + static_cast<TokenCount>(done * tokens_per_event);
  const Duration gap = model.LongestPassTime();
  return {.events_left = static_cast<std::size_t>(events - done),
          .expected_gap = gap,
          .restart = model.PrefillTime(context, 1) + gap,
          .remaining = deadline_ - now};
}

void RequestRun::OnFirstEvent() {
  for (const dispatch::TaskId task : assignment_.tasks) context_.dispatcher.OnFirstEvent(task);
  context_.dispatcher.OnSuccess(assignment_.members.front());
  if (response_started_) return;
  response_started_ = true;
  ObserveLatency();
  sink_->Begin(ClientHead(), std::nullopt);
}

void RequestRun::OnSoundResponse() {
  for (const Digest key : context_.suspects.OnSoundResponse(crash_keys_, context_.clock.Now())) {
    context_.dispatcher.OnSoundKey(key, context_.suspects.OwnRecord(key));
  }
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
  if (splitter_.partial() || attempt_events_ == 0) {
    OnConnectionLost("stream_cut_off");
    return;
  }
  if (attempt_events_ < context_.options.sound_events) OnSoundResponse();
  Finish("served", response_->status);
  sink_->End();
}

bool RequestRun::TryElsewhere() {
  if (HoldsResponse()) return true;
  CancelHandOver();  // what timed out has responded
  const int status = response_->status;
  if (IsRefusal()) {
    AttemptFailed(AttemptFailure::kRefused, std::to_string(status));
    return true;
  }
  if (response_started_) {  // a stream is resumed by events only
    AttemptFailed(AttemptFailure::kBroken, "answer_not_of_this_request");
    return true;
  }
  const bool unproven = IsPromise(status);
  if (status < 500 && !unproven) return false;
  if (SeekHandOver(AttemptFailure::kServerError, std::to_string(status))) return true;
  if (!unproven) return false;
  ReturnHeldResponse();
  return true;
}

void RequestRun::OnCompleteResponse() {
  if (passing_through_ || !TryElsewhere()) ReturnResponse();
}

void RequestRun::ReturnResponse() {
  const int status = response_->status;
  if (status < 500) context_.dispatcher.OnSuccess(assignment_.members.front());
  if (IsSuccess(*response_)) OnSoundResponse();
  if (!passing_through_) ObserveLatency();
  Finish(IsSuccess(*response_) ? "served" : "endpoint_failure", status);
  if (passing_through_) {
    sink_->End();
  } else {
    sink_->Respond(ClientHead(), body_);
  }
}

void RequestRun::ObserveLatency() {
  first_event_after_ = Elapsed();
  context_.metrics.latency.With({std::to_string(priority_)}).Observe(ToSeconds(first_event_after_));
}

}  // namespace verbenaridge::forwarding
