// One completion stream of an endpoint: checks its events and watches its progress.
#ifndef VERBENARIDGE_ENGINE_INTERNAL_GENERATION_STREAM_H_
#define VERBENARIDGE_ENGINE_INTERNAL_GENERATION_STREAM_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "verbenaridge/engine/endpoint_client.h"
#include "verbenaridge/engine/sse_parser.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::engine::internal {

// True if the endpoint states that it refused before execution.
bool IsRefusal(const net::HttpResponseHead& head);

class StreamOwner {
 public:
  virtual ~StreamOwner() = default;

  // Forgets the stream and ends its HTTP call if that still runs.
  virtual void Discard(GenerationId id) = 0;

  // Tells the engine to free the stream's memory, repeatedly within a bound.
  virtual void FreeAtEngine(const std::string& base_url, const RequestId& request,
                            AttemptNumber attempt) = 0;
};

struct StreamLimits {
  std::size_t max_event_bytes = 0;
  Duration drain_timeout{};
};

class GenerationStream final : public net::HttpObserver,
                               public std::enable_shared_from_this<GenerationStream> {
 public:
  GenerationStream(asio::io_context& io_context, std::weak_ptr<StreamOwner> owner, GenerationId id,
                   std::string base_url, Generation generation,
                   std::shared_ptr<GenerationObserver> observer, StreamLimits limits);

  // Starts the timer for the first token.
  void Started(net::HttpCallId http_call);

  // The observer hears nothing more.
  void Detach();

  // A paused stream makes no progress by the caller's fault, so its timer stands still.
  void SetPaused(bool paused);

  void OnHead(const net::HttpResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnDone(const Status& status, net::RequestProgress progress) override;

  bool ended() const { return ended_; }
  net::HttpCallId http_call() const { return http_call_; }
  const std::string& base_url() const { return base_url_; }
  const RequestId& request_id() const { return request_id_; }
  AttemptNumber attempt() const { return attempt_; }

 private:
  // Returns false if no further event is wanted.
  bool TakeEvent(const SseEvent& event);
  bool TakeToken(TokenCount index, std::string_view text);

  void ArmTimer(Duration limit);
  void OnTimer();
  Duration progress_limit() const;

  // Ends a stream that the engine may still be running.
  void Fail(AttemptEnd end, std::string detail);
  void End(const GenerationEnd& end);

  const std::weak_ptr<StreamOwner> owner_;
  const GenerationId id_;
  const std::string base_url_;
  const RequestId request_id_;
  const AttemptNumber attempt_;
  const Duration first_token_limit_;
  const Duration token_gap_limit_;
  const StreamLimits limits_;
  std::shared_ptr<GenerationObserver> observer_;
  asio::steady_timer timer_;
  SseParser parser_;
  net::HttpCallId http_call_ = 0;
  TokenCount next_index_;
  int status_ = 0;
  bool refused_ = false;
  bool any_token_ = false;
  bool paused_ = false;
  bool ended_ = false;
  std::string error_body_;
};

}  // namespace verbenaridge::engine::internal

#endif  // VERBENARIDGE_ENGINE_INTERNAL_GENERATION_STREAM_H_
