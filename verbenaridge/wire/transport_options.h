// Times, limits and counters that both sides of a connection share.
#ifndef VERBENARIDGE_WIRE_TRANSPORT_OPTIONS_H_
#define VERBENARIDGE_WIRE_TRANSPORT_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "verbenaridge/base/clock.h"

namespace verbenaridge::wire {

// Tests shorten these; the daemon uses the defaults. A limit of the peer that has passed is
// confirmed after a further quarter of `ping_answer`, since this process may have been paused.
struct ConnectionTimeouts {
  // From opening the connection to the end of the handshake.
  Duration handshake = std::chrono::seconds(2);
  // A connection with open streams is pinged after this time without a received byte, and closed
  // when no byte arrives within `ping_answer` after the ping.
  Duration silence = std::chrono::seconds(1);
  Duration ping_answer = std::chrono::seconds(2);
  // Longest time in which the peer accepts no further 64 KiB of output.
  Duration write = std::chrono::seconds(5);
  // A connection without streams is not pinged, because pings to 380 peers would exceed the 4 KB/s
  // of control traffic. The client closes it after this time, the server after twice this time.
  Duration idle = std::chrono::seconds(60);
  // Longest time in which a request that has begun arrives.
  Duration request_body = std::chrono::seconds(10);
  // Between the notice of a drain and the refusal of new streams; covers the round trip in which
  // peers still open streams.
  Duration drain_notice = std::chrono::milliseconds(100);
};

// Bytes of messages that one connection holds at once, in each direction.
inline constexpr std::size_t kMaxConnectionBufferBytes = 64UL * 1024 * 1024;

inline constexpr std::uint32_t kMaxConcurrentStreams = 4096;

struct TransportCounters {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_refused = 0;  // above the limit
  std::uint64_t handshake_failures = 0;
  std::uint64_t silent_closes = 0;  // unanswered pings and stalled writes
};

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_TRANSPORT_OPTIONS_H_
