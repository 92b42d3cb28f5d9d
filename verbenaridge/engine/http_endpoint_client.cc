#include "verbenaridge/engine/http_endpoint_client.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>

#include "verbenaridge/engine/engine_json.h"
#include "verbenaridge/engine/internal/generation_stream.h"

namespace verbenaridge::engine {
namespace {

std::string EncodePathPart(std::string_view text) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      out.push_back(c);
    } else {
      out.push_back('%');
      out.push_back(kHex[byte >> 4]);
      out.push_back(kHex[byte & 15]);
    }
  }
  return out;
}

net::HttpRequest PostJson(std::string url, std::string body, Duration connect_timeout) {
  return {.method = "POST",
          .url = std::move(url),
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(body),
          .connect_timeout = connect_timeout,
          .timeout = {}};
}

ServiceEnd ServiceEndOf(Result<net::HttpResponse> result, net::RequestProgress progress) {
  ServiceEnd end;
  if (result.has_error()) {
    if (progress == net::RequestProgress::kNothingSent) {
      end.end = AttemptEnd::kNotSent;
    } else {
      end.end = result.error() == Errc::kTimeout ? AttemptEnd::kStalled : AttemptEnd::kBroken;
    }
    return end;
  }
  net::HttpResponse& response = result.value();
  net::HttpResponseHead head{.status = response.status, .headers = std::move(response.headers)};
  end.end = internal::IsRefusal(head) ? AttemptEnd::kRefused : AttemptEnd::kCompleted;
  end.status = head.status;
  end.content_type = head.header("Content-Type");
  end.body = std::move(response.body);
  return end;
}

Errc ErrorOfStatus(int status) {
  switch (status) {
    case 400:
      return Errc::kInvalidArgument;
    case 404:
      return Errc::kNotFound;
    case 409:
      return Errc::kConflict;
    default:
      return Errc::kUnavailable;
  }
}

}  // namespace

class HttpEndpointClient::Impl final : public internal::StreamOwner,
                                       public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io_context, net::HttpClient& http, Options options)
      : io_context_(io_context), http_(http), options_(options) {}

  // Observers hear nothing after the client's end.
  void Close() {
    for (auto& [id, stream] : std::exchange(streams_, {})) {
      stream->Detach();
      http_.Cancel(stream->http_call());
    }
  }

  GenerationId Generate(std::string_view base_url, Generation generation,
                        std::shared_ptr<GenerationObserver> observer) {
    const GenerationId id = ++last_id_;
    net::HttpRequest request = PostJson(std::string(base_url) + "/v1/completions",
                                        EncodeGeneration(generation), options_.connect_timeout);
    request.headers.push_back({"X-Request-Id", generation.request_id.value()});
    if (!generation.traceparent.empty()) {
      request.headers.push_back({"traceparent", generation.traceparent});
    }
    auto stream = std::make_shared<internal::GenerationStream>(
        io_context_, weak_from_this(), id, std::string(base_url), std::move(generation),
        std::move(observer),
        internal::StreamLimits{.max_event_bytes = options_.max_event_bytes,
                               .drain_timeout = options_.drain_timeout});
    streams_.emplace(id, stream);
    stream->Started(http_.Start(std::move(request), stream));
    return id;
  }

  void Cancel(GenerationId id) {
    const auto it = streams_.find(id);
    if (it == streams_.end()) return;
    const auto stream = it->second;
    // A stream that has ended only waits for its connection, and the engine keeps nothing for it.
    if (stream->ended()) return;
    stream->Detach();
    Discard(id);
    FreeAtEngine(stream->base_url(), stream->request_id(), stream->attempt());
  }

  void SetPaused(GenerationId id, bool paused) {
    const auto it = streams_.find(id);
    if (it == streams_.end() || it->second->ended()) return;
    it->second->SetPaused(paused);
    if (paused) {
      http_.Pause(it->second->http_call());
    } else {
      http_.Resume(it->second->http_call());
    }
  }

  // StreamOwner:
  void Discard(GenerationId id) override {
    const auto it = streams_.find(id);
    if (it == streams_.end()) return;
    http_.Cancel(it->second->http_call());
    streams_.erase(it);
  }

  void FreeAtEngine(const std::string& base_url, const RequestId& request,
                    AttemptNumber attempt) override {
    RepeatCancel(base_url, request, attempt, options_.cancel_tries, options_.cancel_pause);
  }

  void CancelOnce(std::string_view base_url, const RequestId& request, AttemptNumber attempt,
                  Duration timeout, std::function<void(Status)> done) {
    net::HttpRequest call = PostJson(std::string(base_url) + "/v1/cancel",
                                     EncodeCancel(request, attempt), options_.connect_timeout);
    call.timeout = timeout;
    Fetch(std::move(call), [done = std::move(done)](Result<net::HttpResponse> result) {
      done(result.has_error() ? Status(result.error()) : Ok());
    });
  }

  // Starts a call whose answer must have status 200.
  void Fetch(net::HttpRequest request, std::function<void(Result<net::HttpResponse>)> done) {
    net::FetchWhole(
        http_, std::move(request), options_.max_answer_bytes,
        [done = std::move(done)](Result<net::HttpResponse> result, net::RequestProgress) {
          if (result.has_value() && result.value().status != 200) {
            done(ErrorOfStatus(result.value().status));
          } else {
            done(std::move(result));
          }
        });
  }

  net::HttpClient& http() { return http_; }
  const Options& options() const { return options_; }

 private:
  void RepeatCancel(const std::string& base_url, const RequestId& request, AttemptNumber attempt,
                    int tries, Duration pause) {
    CancelOnce(base_url, request, attempt, options_.cancel_timeout,
               [weak = weak_from_this(), base_url, request, attempt, tries, pause](Status status) {
                 const auto self = weak.lock();
                 if (!self || status.has_value() || tries <= 1) return;
                 auto timer = std::make_shared<asio::steady_timer>(self->io_context_, pause);
                 timer->async_wait([weak, timer, base_url, request, attempt, tries,
                                    pause](std::error_code error) {
                   const auto again = weak.lock();
                   if (error || !again) return;
                   again->RepeatCancel(base_url, request, attempt, tries - 1, pause * 2);
                 });
               });
  }

  asio::io_context& io_context_;
  net::HttpClient& http_;
  const Options options_;
  GenerationId last_id_ = 0;
  std::unordered_map<GenerationId, std::shared_ptr<internal::GenerationStream>> streams_;
};

HttpEndpointClient::HttpEndpointClient(asio::io_context& io_context, net::HttpClient& http,
                                       Options options)
    : impl_(std::make_shared<Impl>(io_context, http, options)) {}

HttpEndpointClient::~HttpEndpointClient() { impl_->Close(); }

GenerationId HttpEndpointClient::Generate(std::string_view base_url, Generation generation,
                                          std::shared_ptr<GenerationObserver> observer) {
  return impl_->Generate(base_url, std::move(generation), std::move(observer));
}

void HttpEndpointClient::Cancel(GenerationId id) { impl_->Cancel(id); }
void HttpEndpointClient::Pause(GenerationId id) { impl_->SetPaused(id, true); }
void HttpEndpointClient::Resume(GenerationId id) { impl_->SetPaused(id, false); }

void HttpEndpointClient::CallService(std::string_view base_url, ServiceRequest request,
                                     std::function<void(ServiceEnd)> done) {
  net::HttpRequest call =
      PostJson(std::string(base_url) + "/services/" + EncodePathPart(request.operation),
               std::move(request.body), impl_->options().connect_timeout);
  call.timeout = request.timeout;
  call.headers.push_back({"X-Request-Id", request.request_id.value()});
  call.headers.push_back({"X-Attempt", std::to_string(request.attempt)});
  if (!request.idempotency_key.empty()) {
    call.headers.push_back({"Idempotency-Key", request.idempotency_key});
  }
  if (!request.traceparent.empty()) call.headers.push_back({"traceparent", request.traceparent});
  net::FetchWhole(
      impl_->http(), std::move(call), impl_->options().max_answer_bytes,
      [done = std::move(done)](Result<net::HttpResponse> result, net::RequestProgress progress) {
        done(ServiceEndOf(std::move(result), progress));
      });
}

void HttpEndpointClient::FetchLoad(std::string_view base_url, Duration timeout,
                                   std::function<void(Result<LoadReport>)> done) {
  impl_->Fetch({.method = "GET",
                .url = std::string(base_url) + "/load",
                .headers = {},
                .body = {},
                .connect_timeout = impl_->options().connect_timeout,
                .timeout = timeout},
               [done = std::move(done)](Result<net::HttpResponse> result) {
                 done(result.has_error() ? Result<LoadReport>(result.error())
                                         : ParseLoadReport(result.value().body));
               });
}

void HttpEndpointClient::FetchCacheEvents(
    std::string_view base_url, std::uint64_t after_sequence, Duration timeout,
    std::function<void(Result<std::vector<CacheEvent>>)> done) {
  impl_->Fetch(
      {.method = "GET",
       .url = std::string(base_url) + "/cache/events?after=" + std::to_string(after_sequence),
       .headers = {},
       .body = {},
       .connect_timeout = impl_->options().connect_timeout,
       .timeout = timeout},
      [done = std::move(done)](Result<net::HttpResponse> result) {
        done(result.has_error() ? Result<std::vector<CacheEvent>>(result.error())
                                : ParseCacheEvents(result.value().body));
      });
}

void HttpEndpointClient::CancelStream(std::string_view base_url, const RequestId& request,
                                      AttemptNumber attempt, std::function<void(Status)> done) {
  impl_->CancelOnce(base_url, request, attempt, impl_->options().cancel_timeout, std::move(done));
}

void HttpEndpointClient::Order(std::string_view base_url, const EndpointOrder& order,
                               std::function<void(Status)> done) {
  net::HttpRequest call = PostJson(std::string(base_url) + "/orders", EncodeOrder(order),
                                   impl_->options().connect_timeout);
  call.timeout = impl_->options().order_timeout;
  impl_->Fetch(std::move(call), [done = std::move(done)](Result<net::HttpResponse> result) {
    done(result.has_error() ? Status(result.error()) : Ok());
  });
}

}  // namespace verbenaridge::engine
