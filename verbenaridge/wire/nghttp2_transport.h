// Calls between daemons over HTTP/2 (nghttp2) on Asio sockets, one stream a call.
//
//   wire::Nghttp2Transport transport(io_context, {.self = HostId("furano-e1"), .keys = keys});
//   wire::Nghttp2Server server(io_context, {.listen = {"127.0.0.1", 7001},
//                                           .self = HostId("furano-e1"), .keys = keys}, service);
//   Status listening = server.Listen();
//
// The body of a call and of its reply is one MessagePack message; the remaining milliseconds of
// the deadline travel in the header `x-deadline-ms`, and an error in the header `x-errc`.
// Both classes are used from the thread of their io_context alone and destroyed before it.
#ifndef VERBENARIDGE_WIRE_NGHTTP2_TRANSPORT_H_
#define VERBENARIDGE_WIRE_NGHTTP2_TRANSPORT_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/wire/handshake.h"
#include "verbenaridge/wire/peer_transport.h"
#include "verbenaridge/wire/transport_options.h"

namespace asio {
class io_context;
}

namespace verbenaridge::wire {

struct TransportOptions {
  HostId self;
  FleetKeys keys;
  ConnectionTimeouts timeouts{};
};

// Keeps one connection per peer address, opened by the first call and again by the first call after
// it closed. Calls in flight on a connection that closes fail with kUnavailable; they may have run.
// Beyond the errors of PeerTransport: kTooLarge for a request above kMaxMessageBytes,
// kResourceExhausted above kMaxConcurrentStreams calls or kMaxConnectionBufferBytes of requests to
// one peer.
class Nghttp2Transport final : public PeerTransport {
 public:
  Nghttp2Transport(asio::io_context& context, TransportOptions options);
  // Drops calls in flight; their callbacks do not run.
  ~Nghttp2Transport() override;

  CallId Call(const PeerAddress& peer, Request request, Duration deadline,
              ReplyCallback callback) override;
  void Cancel(CallId id) override;

  const TransportCounters& counters() const;
  std::size_t calls_in_flight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

struct ServerOptions {
  PeerAddress listen;  // port 0: chosen by the system
  // Several servers, one for each traffic thread, listen on the same address; the kernel spreads
  // the connections.
  bool reuse_port = false;
  HostId self;
  FleetKeys keys;
  std::size_t max_connections = 1024;
  ConnectionTimeouts timeouts{};
};

// Accepts connections, checks the fleet key and passes the calls to the service, on later turns of
// the event loop than the accept. The service outlives the server.
class Nghttp2Server {
 public:
  Nghttp2Server(asio::io_context& context, ServerOptions options, PeerService& service);
  // Closes all connections; OnCancelled callbacks do not run.
  ~Nghttp2Server();

  // Errors: kInvalidArgument for an address that is no IP; the system's error if it is in use.
  Status Listen();

  std::uint16_t port() const;

  // Stops accepting, tells peers to open no further streams, and lets open streams finish. `done`
  // runs once, on a later turn, when the last connection has closed.
  void Drain(std::function<void()> done);

  const TransportCounters& counters() const;
  std::size_t connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_NGHTTP2_TRANSPORT_H_
