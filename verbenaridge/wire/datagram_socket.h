// Tagged UDP datagrams on an io_context.
//
//   wire::DatagramSocket socket(io_context, {.listen = {"127.0.0.1", 7002}, .self = host,
//                                            .keys = keys}, clock, handler);
//   Status opened = socket.Open();
//   Status sent = socket.Send({"127.0.0.1", 7003}, wire::PingRequest{...});
//
// Used from the thread of its io_context alone and destroyed before it. The handler runs on the
// event loop, never from within Send, and only for datagrams whose tag is right, whose message
// decodes and whose `sender` is the host that the tag proves. The rest is counted.
#ifndef VERBENARIDGE_WIRE_DATAGRAM_SOCKET_H_
#define VERBENARIDGE_WIRE_DATAGRAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/wire/datagram_tag.h"
#include "verbenaridge/wire/messages.h"
#include "verbenaridge/wire/peer_transport.h"

namespace asio {
class io_context;
}

namespace verbenaridge::wire {

struct DatagramCounters {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t datagrams_in = 0;
  std::uint64_t datagrams_out = 0;
  std::uint64_t refused = 0;  // wrong tag, replay, outside the time window
  std::uint64_t malformed = 0;
  std::uint64_t dropped = 0;  // not sent, because the system's buffer was full or had no route
};

struct DatagramOptions {
  PeerAddress listen;  // port 0: chosen by the system
  HostId self;
  FleetKeys keys;
};

class DatagramSocket {
 public:
  using Handler = std::function<void(Datagram datagram, const PeerAddress& from)>;

  DatagramSocket(asio::io_context& context, DatagramOptions options, const Clock& clock,
                 Handler handler);
  ~DatagramSocket();

  // Errors: kInvalidArgument for an address that is no IP; the system's error if it is in use.
  Status Open();

  std::uint16_t port() const;

  // Success means that the system took the datagram. Errors: kTooLarge if it exceeds
  // max_message_bytes() when encoded; kInvalidArgument for an address that is no IP; kUnavailable
  // if it was dropped.
  Status Send(const PeerAddress& to, const Datagram& datagram);

  // Encoded bytes that fit beside the tag.
  std::size_t max_message_bytes() const;

  const DatagramCounters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_DATAGRAM_SOCKET_H_
