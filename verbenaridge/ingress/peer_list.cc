#include "verbenaridge/ingress/peer_list.h"

#include <algorithm>

namespace verbenaridge::ingress {

void PeerList::AddSeed(std::string_view ip) {
  if (ip != own_ip_) seeds_.emplace_back(ip);
}

PeerList::Heard PeerList::OnHeard(const HostId& host, std::string_view ip, Incarnation incarnation,
                                  TimePoint now) {
  if (host == self_) return Heard::kKnown;
  Peer& peer = peers_[host];
  const bool was_heard = std::exchange(peer.heard, true);
  const bool restarted = was_heard && peer.incarnation != incarnation;
  peer.ip = ip;
  peer.incarnation = incarnation;
  peer.last = now;
  if (restarted) return Heard::kRestarted;
  return was_heard ? Heard::kKnown : Heard::kNew;
}

void PeerList::OnNamed(const HostId& host, std::string_view ip, TimePoint now) {
  if (host == self_ || ip == own_ip_ || peers_.contains(host)) return;
  peers_[host] = {.ip = std::string(ip), .last = now};
}

std::vector<HostId> PeerList::RemoveSilent(TimePoint now) {
  std::vector<HostId> silent;
  for (const auto& [host, peer] : peers_) {
    if (now - peer.last <= (peer.heard ? options_.silence : options_.introduction)) continue;
    silent.push_back(host);
  }
  for (const HostId& host : silent) peers_.erase(host);
  return silent;
}

std::vector<std::string> PeerList::Addresses(TimePoint /*now*/) const {
  std::vector<std::string> addresses;
  for (const auto& [host, peer] : peers_) addresses.push_back(peer.ip);
  for (const std::string& seed : seeds_) {
    if (std::find(addresses.begin(), addresses.end(), seed) == addresses.end()) {
      addresses.push_back(seed);
    }
  }
  return addresses;
}

std::vector<std::string> PeerList::LiveAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [host, peer] : peers_) {
    if (peer.heard) addresses.push_back(peer.ip);
  }
  return addresses;
}

std::vector<std::pair<HostId, std::string>> PeerList::Sample(RandomSource& random) const {
  std::vector<std::pair<HostId, std::string>> sample;
  for (const auto& [host, peer] : peers_) {
    if (peer.heard) sample.emplace_back(host, peer.ip);
  }
  // A partial shuffle: the first entries are a uniform sample.
  const std::size_t count = std::min(options_.sample, sample.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(sample[i], sample[i + random.Below(sample.size() - i)]);
  }
  sample.resize(count);
  return sample;
}

std::size_t PeerList::live() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 peers_.begin(), peers_.end(), [](const auto& entry) { return entry.second.heard; }));
}

}  // namespace verbenaridge::ingress
