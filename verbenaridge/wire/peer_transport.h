// Calls between daemons.
//
//   transport.Call({.ip = "127.0.0.1", .port = 7001}, wire::StatusRequest{},
//   std::chrono::seconds(1),
//                  [](Result<wire::Reply> reply) { ... });
#ifndef VERBENARIDGE_WIRE_PEER_TRANSPORT_H_
#define VERBENARIDGE_WIRE_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::wire {

struct PeerAddress {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

using CallId = std::uint64_t;
using ReplyCallback = std::function<void(Result<Reply>)>;

// Client side. Used from the thread of its event loop alone.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Sends one request. The callback runs once, on the event loop, never from within Call. Errors:
  // kTimeout after `deadline`, kUnavailable if the connection failed, kPermissionDenied if the peer
  // did not prove the fleet key, kMalformed for an undecodable reply.
  virtual CallId Call(const PeerAddress& peer, Request request, Duration deadline,
                      ReplyCallback callback) = 0;

  // Resets the stream, which the server sees; the callback does not run.
  virtual void Cancel(CallId id) = 0;
};

// One call at the server. Methods may be called on any later turn of the same event loop.
class ServerCall {
 public:
  virtual ~ServerCall() = default;

  virtual void Answer(Reply reply) = 0;
  virtual void Fail(Errc error) = 0;

  // Runs when the caller reset the stream or its connection closed before the answer.
  virtual void OnCancelled(std::function<void()> callback) = 0;

  // Time the caller still waits.
  virtual Duration remaining() const = 0;
};

// Server side: receives the calls of authenticated peers.
class PeerService {
 public:
  virtual ~PeerService() = default;

  virtual void Serve(Request request, std::shared_ptr<ServerCall> call) = 0;
};

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_PEER_TRANSPORT_H_
