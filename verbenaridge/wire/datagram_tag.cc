#include "verbenaridge/wire/datagram_tag.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/wire/internal/crypto.h"

namespace verbenaridge::wire {
namespace {

using internal::HmacSha256;

constexpr std::string_view kMagic = "VD1";
constexpr std::string_view kPurpose = "verbenaridge datagram";
constexpr std::size_t kKeyIdBytes = 8;
constexpr std::size_t kStampBytes = 8;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kFixedBytes = kMagic.size() + kKeyIdBytes + kStampBytes + 1;
constexpr std::size_t kMaxHostIdBytes = 255;

// Datagrams of one host that may overtake each other and still be accepted.
constexpr std::size_t kRememberedStamps = 64;

std::uint64_t MicrosecondsNow(const Clock& clock) {
  const auto now = std::chrono::floor<std::chrono::microseconds>(clock.WallNow());
  return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

constexpr std::uint64_t kWindowMicroseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(kDatagramWindow).count();

bool IsWithinWindow(std::uint64_t stamp, std::uint64_t now) {
  return (stamp > now ? stamp - now : now - stamp) <= kWindowMicroseconds;
}

}  // namespace

DatagramSealer::DatagramSealer(const FleetKeys& keys, HostId self, const Clock& clock)
    : keys_(keys), self_(std::move(self)), clock_(clock) {}

std::size_t DatagramSealer::max_payload_bytes() const {
  return kMaxDatagramBytes - kFixedBytes - kTagBytes -
         std::min(self_.value().size(), kMaxHostIdBytes);
}

Result<std::string> DatagramSealer::Seal(std::string_view payload) {
  if (payload.size() > max_payload_bytes()) return Errc::kTooLarge;
  last_stamp_ = std::max(last_stamp_ + 1, MicrosecondsNow(clock_));
  const FleetKeys::Key& key = keys_.keys().front();
  std::string_view host = self_.value();
  host = host.substr(0, kMaxHostIdBytes);
  std::string packet;
  packet.reserve(kMaxDatagramBytes);
  packet.append(kMagic).append(key.id);
  internal::AppendUint64(packet, last_stamp_);
  packet.push_back(static_cast<char>(host.size()));
  packet.append(host).append(payload);
  packet.append(HmacSha256(key.secret, {kPurpose, packet}).substr(0, kTagBytes));
  return packet;
}

DatagramOpener::DatagramOpener(const FleetKeys& keys, const Clock& clock)
    : keys_(keys), clock_(clock) {}

Result<OpenedDatagram> DatagramOpener::Open(std::string_view packet) {
  if (packet.size() > kMaxDatagramBytes) return Errc::kTooLarge;
  if (packet.size() < kFixedBytes + kTagBytes || !packet.starts_with(kMagic)) {
    return Errc::kMalformed;
  }
  const std::string_view signed_part = packet.substr(0, packet.size() - kTagBytes);
  const auto host_size = static_cast<unsigned char>(packet[kFixedBytes - 1]);
  if (host_size == 0 || signed_part.size() < kFixedBytes + host_size) return Errc::kMalformed;

  const FleetKeys::Key* key = keys_.Find(packet.substr(kMagic.size(), kKeyIdBytes));
  if (key == nullptr) return Errc::kPermissionDenied;
  const std::string tag = HmacSha256(key->secret, {kPurpose, signed_part}).substr(0, kTagBytes);
  if (!internal::EqualConstantTime(packet.substr(signed_part.size()), tag)) {
    return Errc::kPermissionDenied;
  }
  const std::uint64_t stamp = internal::ReadUint64(packet.substr(kMagic.size() + kKeyIdBytes));
  HostId sender(std::string(signed_part.substr(kFixedBytes, host_size)));
  BOOST_OUTCOME_TRYV(Remember(sender, stamp));
  return OpenedDatagram{std::move(sender), signed_part.substr(kFixedBytes + host_size)};
}

Status DatagramOpener::Remember(const HostId& sender, std::uint64_t stamp) {
  if (!IsWithinWindow(stamp, MicrosecondsNow(clock_))) return Errc::kTimeout;
  if (senders_.size() >= kMaxSenders && !senders_.contains(sender)) {
    ForgetOldSenders();
    if (senders_.size() >= kMaxSenders) return Errc::kResourceExhausted;
  }
  Seen& seen = senders_[sender];
  const auto place = std::lower_bound(seen.stamps.begin(), seen.stamps.end(), stamp);
  if (stamp <= seen.floor || (place != seen.stamps.end() && *place == stamp)) {
    return Errc::kConflict;
  }
  seen.stamps.insert(place, stamp);
  if (seen.stamps.size() > kRememberedStamps) {
    seen.floor = seen.stamps.front();
    seen.stamps.erase(seen.stamps.begin());
  }
  return Ok();
}

// Replays from these are refused by their stamps alone.
void DatagramOpener::ForgetOldSenders() {
  const std::uint64_t now = MicrosecondsNow(clock_);
  std::erase_if(senders_, [now](const auto& entry) {
    return entry.second.stamps.empty() || !IsWithinWindow(entry.second.stamps.back(), now);
  });
}

}  // namespace verbenaridge::wire
