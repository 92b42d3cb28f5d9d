// Tags that prove the sender of a UDP datagram by the fleet key, and that let it count only once.
//
//   DatagramSealer sealer(keys, HostId("furano-e1"), clock);
//   Result<std::string> packet = sealer.Seal(Encode(datagram));
//   DatagramOpener opener(keys, clock);
//   Result<OpenedDatagram> opened = opener.Open(packet.value());
//
// A packet is: "VD1", key id (8 bytes), stamp (8), length of the host id (1), host id, payload, and
// HMAC-SHA256 over all of them cut to 16 bytes. The stamp is the sender's wall-clock time in
// microseconds, made strictly increasing. A receiver refuses stamps more than kDatagramWindow from
// its own time and stamps that it has seen from the host, so neither side stores anything across a
// restart. The tag does not name the receiver: within the window a datagram may be replayed to a
// host that has not received it, which gossip and probes tolerate.
//
// There is no negotiation: the sender uses its first key. So a rotation adds the new key in second
// place on every host, then moves it to the first place, then removes the old one.
//
// Not thread-safe.
#ifndef VERBENARIDGE_WIRE_DATAGRAM_TAG_H_
#define VERBENARIDGE_WIRE_DATAGRAM_TAG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/wire/handshake.h"

namespace verbenaridge::wire {

inline constexpr std::size_t kMaxDatagramBytes = 1200;

// Several times the clock-skew bound of 5 s: a host whose clock is off by little more than the
// bound must not seem dead.
inline constexpr Duration kDatagramWindow = std::chrono::seconds(30);

class DatagramSealer {
 public:
  DatagramSealer(const FleetKeys& keys, HostId self, const Clock& clock);

  // Errors: kTooLarge if the payload exceeds max_payload_bytes().
  Result<std::string> Seal(std::string_view payload);

  std::size_t max_payload_bytes() const;

 private:
  FleetKeys keys_;
  HostId self_;
  const Clock& clock_;
  std::uint64_t last_stamp_ = 0;
};

struct OpenedDatagram {
  HostId sender;
  std::string_view payload;  // within the packet
};

class DatagramOpener {
 public:
  DatagramOpener(const FleetKeys& keys, const Clock& clock);

  // Errors: kMalformed; kTooLarge; kPermissionDenied for an unknown key or a wrong tag; kTimeout
  // for a stamp outside the window; kConflict for a replay; kResourceExhausted above kMaxSenders.
  Result<OpenedDatagram> Open(std::string_view packet);

  // Five times the daemons of the largest fleet, so that replaced hosts fit beside new ones.
  static constexpr std::size_t kMaxSenders = 2000;

 private:
  // Stamps accepted from one host, ascending.
  struct Seen {
    std::vector<std::uint64_t> stamps;
    std::uint64_t floor = 0;  // stamps up to here are refused
  };

  Status Remember(const HostId& sender, std::uint64_t stamp);
  void ForgetOldSenders();

  FleetKeys keys_;
  const Clock& clock_;
  std::unordered_map<HostId, Seen> senders_;
};

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_DATAGRAM_TAG_H_
