// EndpointClient over HTTP, as docs/endpoint_protocol.md describes.
//
//   HttpEndpointClient client(io_context, http_client, {});
#ifndef VERBENARIDGE_ENGINE_HTTP_ENDPOINT_CLIENT_H_
#define VERBENARIDGE_ENGINE_HTTP_ENDPOINT_CLIENT_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "verbenaridge/engine/endpoint_client.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::engine {

class HttpEndpointClient final : public EndpointClient {
 public:
  struct Options {
    Duration connect_timeout = std::chrono::seconds(1);
    std::size_t max_event_bytes = std::size_t{1} << 20;
    std::size_t max_answer_bytes = std::size_t{8} << 20;
    Duration order_timeout = std::chrono::seconds(5);
    // Cancel orders are repeated with doubled pauses: 6 tries end about 3 s after the first.
    int cancel_tries = 6;
    Duration cancel_timeout = std::chrono::seconds(1);
    Duration cancel_pause = std::chrono::milliseconds(100);
    // After its last event, a stream's connection may take this long to become reusable.
    Duration drain_timeout = std::chrono::seconds(2);
  };

  // `http` must outlive this object.
  HttpEndpointClient(asio::io_context& io_context, net::HttpClient& http, Options options);
  ~HttpEndpointClient() override;

  HttpEndpointClient(const HttpEndpointClient&) = delete;
  HttpEndpointClient& operator=(const HttpEndpointClient&) = delete;

  GenerationId Generate(std::string_view base_url, Generation generation,
                        std::shared_ptr<GenerationObserver> observer) override;
  void Cancel(GenerationId id) override;
  void Pause(GenerationId id) override;
  void Resume(GenerationId id) override;
  void CallService(std::string_view base_url, ServiceRequest request,
                   std::function<void(ServiceEnd)> done) override;
  void FetchLoad(std::string_view base_url, Duration timeout,
                 std::function<void(Result<LoadReport>)> done) override;
  void FetchCacheEvents(std::string_view base_url, std::uint64_t after_sequence, Duration timeout,
                        std::function<void(Result<std::vector<CacheEvent>>)> done) override;
  void CancelStream(std::string_view base_url, const RequestId& request, AttemptNumber attempt,
                    std::function<void(Status)> done) override;
  void Order(std::string_view base_url, const EndpointOrder& order,
             std::function<void(Status)> done) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace verbenaridge::engine

#endif  // VERBENARIDGE_ENGINE_HTTP_ENDPOINT_CLIENT_H_
