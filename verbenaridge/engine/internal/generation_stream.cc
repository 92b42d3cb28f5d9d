#include "verbenaridge/engine/internal/generation_stream.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/engine/engine_json.h"

namespace verbenaridge::engine::internal {
namespace {

// Of an error answer, this much is kept for the log.
constexpr std::size_t kMaxErrorBytes = 1024;

}  // namespace

bool IsRefusal(const net::HttpResponseHead& head) {
  return (head.status == 409 || head.status == 429 || head.status == 503) &&
         head.header("X-Not-Run") == "1";
}

GenerationStream::GenerationStream(asio::io_context& io_context, std::weak_ptr<StreamOwner> owner,
                                   GenerationId id, std::string base_url, Generation generation,
                                   std::shared_ptr<GenerationObserver> observer,
                                   StreamLimits limits)
    : owner_(std::move(owner)),
      id_(id),
      base_url_(std::move(base_url)),
      request_id_(std::move(generation.request_id)),
      attempt_(generation.attempt),
      first_token_limit_(generation.first_token_limit),
      token_gap_limit_(generation.token_gap_limit),
      limits_(limits),
      observer_(std::move(observer)),
      timer_(io_context),
      parser_(limits.max_event_bytes),
      next_index_(generation.resume_from) {}

void GenerationStream::Started(net::HttpCallId http_call) {
  http_call_ = http_call;
  ArmTimer(progress_limit());
}

void GenerationStream::Detach() {
  ended_ = true;
  observer_.reset();
  timer_.cancel();
}

void GenerationStream::SetPaused(bool paused) {
  if (ended_ || paused_ == paused) return;
  paused_ = paused;
  if (paused_) {
    timer_.cancel();
  } else {
    ArmTimer(progress_limit());
  }
}

void GenerationStream::OnHead(const net::HttpResponseHead& head) {
  status_ = head.status;
  refused_ = IsRefusal(head);
}

void GenerationStream::OnBody(std::string_view data) {
  if (ended_) return;
  if (status_ != 200) {
    error_body_.append(
        data.substr(0, kMaxErrorBytes - std::min(kMaxErrorBytes, error_body_.size())));
    return;
  }
  // The observer may cancel this stream, which drops the owner's reference.
  const auto self = shared_from_this();
  const bool ok = parser_.Feed(data, [this](const SseEvent& event) { return TakeEvent(event); });
  if (!ok && !ended_) Fail(AttemptEnd::kBroken, "event too large");
}

void GenerationStream::OnDone(const Status& status, net::RequestProgress progress) {
  const auto self = shared_from_this();
  if (!ended_) {
    GenerationEnd end{.end = AttemptEnd::kBroken,
                      .finish_reason = {},
                      .prompt_tokens = 0,
                      .cached_tokens = 0,
                      .status = status_,
                      .detail = error_body_};
    if (status.has_error()) {
      end.detail = status.error().message();
      if (progress == net::RequestProgress::kNothingSent) end.end = AttemptEnd::kNotSent;
    } else if (refused_) {
      end.end = AttemptEnd::kRefused;
    } else if (status_ == 200) {
      end.detail = "the stream ended without a final event";
    }
    End(end);
  }
  timer_.cancel();
  if (const auto owner = owner_.lock()) owner->Discard(id_);
}

bool GenerationStream::TakeEvent(const SseEvent& event) {
  if (ended_) return false;
  if (event.type == "error") {
    Fail(AttemptEnd::kBroken, std::string(event.data.substr(0, kMaxErrorBytes)));
    return false;
  }
  if (!event.type.empty() && event.type != "message") return true;
  if (event.data == "[DONE]") {
    Fail(AttemptEnd::kBroken, "the stream ended without a final event");
    return false;
  }
  Result<StreamEvent> parsed = ParseStreamEvent(event.data);
  if (parsed.has_error()) {
    Fail(AttemptEnd::kBroken, "malformed event");
    return false;
  }
  StreamEvent& value = parsed.value();
  // Answers may arrive crossed; an event of another attempt is no progress of this one.
  if (value.request_id != request_id_.value() || value.attempt != attempt_) return true;
  if (!value.last) return TakeToken(value.index, value.text);
  if (value.index >= 0 && value.index != next_index_) {
    Fail(AttemptEnd::kBroken, "tokens are missing at the end");
    return false;
  }
  ArmTimer(limits_.drain_timeout);
  End({.end = AttemptEnd::kCompleted,
       .finish_reason = std::move(value.finish_reason),
       .prompt_tokens = value.prompt_tokens,
       .cached_tokens = value.cached_tokens,
       .status = status_,
       .detail = {}});
  return false;
}

bool GenerationStream::TakeToken(TokenCount index, std::string_view text) {
  if (index < next_index_) return true;
  if (index > next_index_) {
    Fail(AttemptEnd::kBroken, "a token is missing");
    return false;
  }
  any_token_ = true;
  ++next_index_;
  if (!paused_) ArmTimer(progress_limit());
  const auto observer = observer_;
  observer->OnToken(index, text);
  return !ended_;
}

Duration GenerationStream::progress_limit() const {
  return any_token_ ? token_gap_limit_ : first_token_limit_;
}

void GenerationStream::ArmTimer(Duration limit) {
  timer_.cancel();
  if (limit <= Duration::zero()) return;
  timer_.expires_after(limit);
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto self = weak.lock();
    if (!error && self) self->OnTimer();
  });
}

void GenerationStream::OnTimer() {
  // The wait may have been due already when the timer was set anew.
  if (timer_.expiry() > std::chrono::steady_clock::now()) return;
  if (ended_) {
    if (const auto owner = owner_.lock()) owner->Discard(id_);
  } else if (!paused_) {
    Fail(AttemptEnd::kStalled, any_token_ ? "no token within the limit" : "no first token");
  }
}

void GenerationStream::Fail(AttemptEnd end, std::string detail) {
  const auto owner = owner_.lock();
  if (owner) {
    owner->Discard(id_);
    owner->FreeAtEngine(base_url_, request_id_, attempt_);
  }
  timer_.cancel();
  End({.end = end,
       .finish_reason = {},
       .prompt_tokens = 0,
       .cached_tokens = 0,
       .status = status_,
       .detail = std::move(detail)});
}

void GenerationStream::End(const GenerationEnd& end) {
  ended_ = true;
  const auto observer = std::exchange(observer_, nullptr);
  if (observer) observer->OnEnd(end);
}

}  // namespace verbenaridge::engine::internal
