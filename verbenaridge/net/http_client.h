// HTTP client for endpoints, the platform and the tools.
//
//   net::CurlHttpClient client(io_context);
//   client.Start({.method = "GET", .url = "http://127.0.0.1:8000/load"}, observer);
#ifndef VERBENARIDGE_NET_HTTP_CLIENT_H_
#define VERBENARIDGE_NET_HTTP_CLIENT_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"

namespace verbenaridge::net {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<HttpHeader> headers;
  std::string body;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration timeout{};  // whole call; zero: no limit
  // A response over these limits ends the call with kTooLarge while it arrives.
  std::size_t max_head_bytes = std::size_t{64} * 1024;
  std::size_t max_body_bytes = 0;  // zero: no limit
};

struct HttpResponseHead {
  int status = 0;
  std::vector<HttpHeader> headers;

  // Value of the first header with this name, compared without case; empty if absent.
  std::string_view header(std::string_view name) const;
};

// What is known about the bytes of a request whose call ended in an error.
enum class RequestProgress : std::uint8_t {
  kNothingSent,   // no byte of the request left this process
  kPossiblySent,  // some bytes may have reached the server
};

// Receives one response: OnHead, OnBody*, then OnDone once. No call follows Cancel.
class HttpObserver {
 public:
  virtual ~HttpObserver() = default;

  virtual void OnHead(const HttpResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnDone(const Status& status, RequestProgress progress) = 0;
};

using HttpCallId = std::uint64_t;

// Used from the thread of its event loop alone, also from within observer calls.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  virtual HttpCallId Start(HttpRequest request, std::shared_ptr<HttpObserver> observer) = 0;

  // Ends the call and closes its connection. Ignores ids that ended.
  virtual void Cancel(HttpCallId id) = 0;

  // Stops and restarts reading from the connection, so that a slow reader holds bounded memory.
  virtual void Pause(HttpCallId id) = 0;
  virtual void Resume(HttpCallId id) = 0;
};

struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Starts a call and hands over the whole response. Bodies over `max_body_bytes` give
// Errc::kTooLarge.
HttpCallId FetchWhole(HttpClient& client, HttpRequest request, std::size_t max_body_bytes,
                      std::function<void(Result<HttpResponse>, RequestProgress)> done);

// HttpClient on libcurl's multi interface, driven by the sockets and timers of an Asio loop.
// The loop must not run after this object is destroyed, except to discard its handlers.
class CurlHttpClient final : public HttpClient {
 public:
  struct Options {
    long max_idle_connections = 512;
  };

  explicit CurlHttpClient(asio::io_context& io_context);
  CurlHttpClient(asio::io_context& io_context, Options options);
  ~CurlHttpClient() override;

  CurlHttpClient(const CurlHttpClient&) = delete;
  CurlHttpClient& operator=(const CurlHttpClient&) = delete;

  HttpCallId Start(HttpRequest request, std::shared_ptr<HttpObserver> observer) override;
  void Cancel(HttpCallId id) override;
  void Pause(HttpCallId id) override;
  void Resume(HttpCallId id) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace verbenaridge::net

#endif  // VERBENARIDGE_NET_HTTP_CLIENT_H_
