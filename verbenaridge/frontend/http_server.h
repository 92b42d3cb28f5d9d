// HTTP/1.1 server on one event loop. RESTinio stays behind http_server.cc, because its headers take
// many seconds to compile.
//
//   HttpServer server(io_context, {.address = "127.0.0.1", .port = 0}, service);
//   if (Status status = server.Open(); status.has_error()) ...
#ifndef VERBENARIDGE_FRONTEND_HTTP_SERVER_H_
#define VERBENARIDGE_FRONTEND_HTTP_SERVER_H_

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"

namespace verbenaridge::frontend {

struct HeaderField {
  std::string_view name;
  std::string_view value;
};

// One request. The views are valid during HttpService::Handle.
struct HttpCall {
  std::string_view method{};
  std::string_view target{};
  std::span<const HeaderField> headers{};
  std::string_view body{};

  // Value of the first header with this name, compared without case; empty if absent.
  std::string_view header(std::string_view name) const;
};

struct ResponseHeader {
  std::string name;
  std::string value;
};

// Writes one response, either Send alone or StartStream, Append*, Finish or Abort. Calls after the
// caller left are ignored. Used from the loop's thread alone.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  virtual void Send(int status, std::span<const ResponseHeader> headers, std::string body) = 0;

  // A response whose length is not known yet.
  virtual void StartStream(int status, std::span<const ResponseHeader> headers) = 0;
  virtual void Append(std::string_view data) = 0;
  virtual void Finish() = 0;

  // Closes the connection in the middle of a stream, so that the caller sees a broken transfer.
  virtual void Abort() = 0;

  // Bytes appended and not yet written to the socket.
  virtual std::size_t unsent_bytes() const = 0;

  // `gone` runs once if the caller leaves before the response was handed over; `drained` runs each
  // time bytes were written. Both run from the loop, never from within a call.
  virtual void SetCallbacks(std::function<void()> gone, std::function<void()> drained) = 0;
};

class HttpService {
 public:
  virtual ~HttpService() = default;

  virtual void Handle(const HttpCall& call, std::shared_ptr<ResponseWriter> writer) = 0;
};

class HttpServer {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;  // 0: any free port
    bool share_port = true;  // SO_REUSEPORT, one server per traffic thread
    std::size_t max_body_bytes = std::size_t{8} << 20;
    std::size_t max_header_value_bytes = std::size_t{8} << 10;
    std::size_t max_header_count = 64;
    std::size_t max_target_bytes = std::size_t{4} << 10;
    std::size_t max_connections = 20000;
    Duration read_timeout = std::chrono::seconds(30);   // a whole request, also idle keep-alive
    Duration write_timeout = std::chrono::seconds(30);  // one group of appended bytes
    Duration quiet_timeout = std::chrono::hours(1);     // between two writes of a response
    Duration timeout_check_period = std::chrono::seconds(1);
  };

  // `service` must outlive this object.
  HttpServer(asio::io_context& io_context, const Options& options, HttpService& service);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Call from the loop's thread, or before the loop runs.
  Status Open();

  // Takes no new connections and closes each connection after its current response.
  void StopAccepting();

  std::uint16_t port() const;

  // Responses that are not finished.
  std::size_t open_responses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace verbenaridge::frontend

#endif  // VERBENARIDGE_FRONTEND_HTTP_SERVER_H_
