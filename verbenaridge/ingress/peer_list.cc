#include "verbenaridge/ingress/peer_list.h"

#include <algorithm>

namespace verbenaridge::ingress {

void PeerList::AddSeed(std::string_view ip) {
  if (ip != own_ip_) seeds_.emplace_back(ip);
}

PeerList::Heard PeerList::OnHeard(const HostId& host, std::string_view ip, Incarnation incarnation,
                                  TimePoint now) {
  if (host == self_) return {};
  Peer& peer = peers_[host];
  const bool was_heard = std::exchange(peer.heard, true);
  const Incarnation before = std::exchange(peer.incarnation, incarnation);
  peer.ip = ip;
  peer.last = now;
  if (!was_heard) return {.news = News::kNew};
  if (before != incarnation) return {.news = News::kRestarted, .before = before};
  return {};
}

std::optional<Incarnation> PeerList::OnLeaving(const HostId& host) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) return {};
  const Peer peer = found->second;
  peers_.erase(found);
  return peer.heard ? std::optional<Incarnation>(peer.incarnation) : std::nullopt;
}

void PeerList::OnNamed(const HostId& host, std::string_view ip, TimePoint now) {
  if (host == self_ || ip == own_ip_ || peers_.contains(host)) return;
  peers_[host] = {.ip = std::string(ip), .last = now};
}

std::vector<std::pair<HostId, Incarnation>> PeerList::RemoveSilent(TimePoint now) {
  std::vector<std::pair<HostId, Incarnation>> silent;
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const Duration limit = peer->second.heard ? options_.silence : options_.introduction;
    if (now - peer->second.last <= limit) {
      ++peer;
      continue;
    }
    if (peer->second.heard) silent.emplace_back(peer->first, peer->second.incarnation);
    peer = peers_.erase(peer);
  }
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
  return 1 +
         static_cast<std::size_t>(std::count_if(
             peers_.begin(), peers_.end(), [](const auto& entry) { return entry.second.heard; }));
}

std::size_t PeerList::MostLately(TimePoint now) {
  if (!started_) started_ = now;
  const std::size_t count = live();
  while (!counts_.empty() && counts_.back().second <= count) counts_.pop_back();
  counts_.emplace_back(now, count);
  while (now - counts_.front().first > options_.lately) counts_.pop_front();
  const std::size_t most = counts_.front().second;
  return now - *started_ < options_.hearing_time ? std::max(most, options_.assumed_hosts) : most;
}

}  // namespace verbenaridge::ingress
