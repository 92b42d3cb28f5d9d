// HTTP/1.1 server for clients: one request at a time on a connection, opaque bodies.
//
//   ClientServer server(io_context, {.listen = {"127.0.0.1", 8080}}, limits, handler);
//   Status opened = server.Open();
//   server.BeginDrain();   // connections end after their request
//
// The handler receives the complete request and responds through a ResponseSink, at once or in
// parts. Used by the thread of its event loop.
#ifndef VERBENARIDGE_FORWARDING_CLIENT_SERVER_H_
#define VERBENARIDGE_FORWARDING_CLIENT_SERVER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

// Destination of one response. Calls after the end of the response or of the connection have no
// effect.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // Sends a complete response. Adds the headers for connection and length.
  virtual void Respond(http1::ResponseHead head, std::string_view body) = 0;

  // A response in parts. `length`: of the body; empty: not known, and the body is sent in chunks.
  virtual void Begin(http1::ResponseHead head, std::optional<std::uint64_t> length) = 0;
  virtual void Send(std::string_view data) = 0;
  virtual void End() = 0;

  // Closes the connection, so that a response in parts does not appear complete.
  virtual void Abort() = 0;

  // Bytes not yet written to the client's connection.
  virtual std::size_t unsent_bytes() const = 0;
};

// A request in progress. It is released after its response or when its client disconnects.
class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;

  virtual void OnClientGone() = 0;
  // All pending bytes were written to the client.
  virtual void OnClientDrained() = 0;
  // The process will end soon. Called again shortly before.
  virtual void OnStopping() = 0;
  // The process ends, and the connection is closed after this call.
  virtual void OnServerStopped() = 0;
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // `sink` is valid until the response has ended or OnClientGone.
  virtual std::shared_ptr<ActiveRequest> Start(IncomingRequest request,
                                               std::shared_ptr<ResponseSink> sink) = 0;

  virtual directory::ClientLimits limits() const = 0;

  // A request that could not be parsed, or that arrives too slowly, was rejected with this status.
  // `reason` is for logs.
  virtual void OnRejected(int status, std::string_view reason) = 0;

  // A connection was closed because its client did not read a complete response.
  virtual void OnResponseNotRead(std::size_t unsent_bytes) = 0;

  // A connection was closed after bytes beyond the request of its last response were read. They
  // may be another request, which its client has sent in vain.
  virtual void OnInputDiscarded(std::size_t bytes) = 0;

  // A connection was closed because too many are open.
  virtual void OnConnectionRefused() = 0;
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

  // Errors: kInvalidArgument if the address is not an IP address; the system's error if it is in
  // use.
  Status Open();
  std::uint16_t port() const;

  // Closes each connection after its next response, and those that wait for another request at
  // once. New ones are still served, also those that were accepted before. Requests in progress are
  // told.
  void BeginDrain();
  // Tells the requests in progress that the time for their responses is over. Their timers may be
  // late, because they do not count the time in which the host was suspended.
  void EndRequests();
  // Closes all connections on which no request is in progress or has arrived.
  void CloseIdle();
  // Accepts no new connections.
  void StopAccepting();
  // Closes all connections. Returns the number of requests whose response was not completely
  // written.
  std::size_t CloseAll();

  std::size_t connections() const;
  // Requests whose response is not completely written.
  std::size_t busy() const;

 private:
  class Connection;
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_CLIENT_SERVER_H_
