// HTTP/1.1 server for clients: one request at a time on a connection, opaque bodies.
//
//   ClientServer server(io_context, {.listen = {"127.0.0.1", 8080}}, limits, handler);
//   Status opened = server.Open();
//   server.BeginDrain();   // connections end after their request
//
// The handler gets a whole request and answers through ResponseSink, at once or in parts. Used by
// the thread of its event loop.
#ifndef VERBENARIDGE_FORWARDING_CLIENT_SERVER_H_
#define VERBENARIDGE_FORWARDING_CLIENT_SERVER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/directory/configuration.h"
#include "verbenaridge/http1/message.h"

namespace verbenaridge::forwarding {

struct IncomingRequest {
  http1::RequestHead head;
  std::shared_ptr<const std::string> body;
  TimePoint arrived{};
};

// Where the answer goes. Calls after the end of the answer or of the connection have no effect.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // A whole answer. Headers about the connection and the length are added.
  virtual void Answer(http1::ResponseHead head, std::string_view body) = 0;

  // An answer in parts, of unknown length.
  virtual void Begin(http1::ResponseHead head) = 0;
  virtual void Send(std::string_view data) = 0;
  virtual void End() = 0;

  // Closes the connection, so that an answer in parts does not look complete.
  virtual void Abort() = 0;

  // Bytes that the client has not taken yet.
  virtual std::size_t pending() const = 0;
};

// A request in work. It is released when it has answered or its client left.
class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;

  virtual void OnClientGone() = 0;
  // All bytes were taken.
  virtual void OnClientDrained() = 0;
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // `port` is valid until the request has answered or OnClientGone.
  virtual std::shared_ptr<ActiveRequest> Start(IncomingRequest request,
                                               std::shared_ptr<ResponseSink> port) = 0;

  virtual directory::ClientLimits limits() const = 0;

  // A request that could not be read got this status.
  virtual void OnRejected(int status) = 0;
};

struct ServerOptions {
  std::string ip;
  std::uint16_t port = 0;  // 0: chosen by the system
  std::size_t max_connections = 1'000;
};

class ClientServer {
 public:
  ClientServer(asio::io_context& io_context, const ServerOptions& options, const Clock& clock,
               RequestHandler& handler);
  ~ClientServer();

  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  // Errors: kInvalidArgument for an address that is no IP; the system's error if it is in use.
  Status Open();
  std::uint16_t port() const;

  // Each connection ends after its next answer, idle ones at once. New ones are still served.
  void BeginDrain();
  // No new connections.
  void StopAccepting();

  std::size_t connections() const;
  std::size_t busy() const;

 private:
  class Connection;
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_CLIENT_SERVER_H_
