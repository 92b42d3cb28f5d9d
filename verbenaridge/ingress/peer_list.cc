#include "verbenaridge/ingress/peer_list.h"

#include <algorithm>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/base/rendezvous.h"

namespace verbenaridge::ingress {

void PeerList::AddSeed(std::string_view ip) {
  const bool known = std::find(seeds_.begin(), seeds_.end(), ip) != seeds_.end();
  if (ip != self_.ip && !known) seeds_.emplace_back(ip);
}

PeerList::GossipResult PeerList::OnGossip(const PeerInfo& info, TimePoint now) {
  if (info.host == self_.host) return {};
  Peer& peer = peers_[info.host];
  const bool was_live = std::exchange(peer.live, true);
  const Incarnation previous = peer.info.incarnation;
  peer.info = info;
  peer.last_seen = now;
  if (!was_live) return {.change = Change::kNew};
  if (previous != info.incarnation) return {.change = Change::kRestarted, .previous = previous};
  return {};
}

void PeerList::OnAddress(const HostId& host, std::string_view ip, TimePoint now) {
  if (host == self_.host || ip == self_.ip) return;
  Peer& peer = peers_[host];
  if (peer.live) return;
  peer.info.host = host;
  peer.info.ip = ip;
  peer.last_seen = now;
}

std::optional<Incarnation> PeerList::OnLeaving(const HostId& host) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) return {};
  const Peer peer = found->second;
  peers_.erase(found);
  return peer.live ? std::optional<Incarnation>(peer.info.incarnation) : std::nullopt;
}

std::vector<std::pair<HostId, Incarnation>> PeerList::RemoveTimedOut(TimePoint now) {
  std::vector<std::pair<HostId, Incarnation>> timed_out;
  for (auto& [host, peer] : peers_) {
    if (!peer.live || now - peer.last_seen <= options_.peer_timeout) continue;
    peer.live = false;
    timed_out.emplace_back(host, peer.info.incarnation);
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return !entry.second.live && now - entry.second.last_seen > options_.address_retention;
  });
  return timed_out;
}

PeerList::Rank PeerList::RankOf(const PeerInfo& info) {
  // All hosts must hash the same text to agree on the ranks.
  static const Digest rank_key = HashOf("load board");
  return {info.capacity, RendezvousScore(rank_key, HashOf(info.host.value()), 1)};
}

bool PeerList::IsScheduler() const {
  const Rank own = RankOf(self_);
  const auto ranked_before = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.live && peer.info.is_scheduler && peer.info.data_centre == self_.data_centre &&
           RankOf(peer.info) > own;
  });
  return static_cast<std::size_t>(ranked_before) < options_.schedulers_per_data_centre;
}

std::vector<std::string> PeerList::Schedulers() const {
  std::vector<const PeerInfo*> schedulers;
  for (const auto& [host, peer] : peers_) {
    if (peer.live && peer.info.is_scheduler) schedulers.push_back(&peer.info);
  }
  std::sort(schedulers.begin(), schedulers.end(), [&](const PeerInfo* a, const PeerInfo* b) {
    const bool local_a = a->data_centre == self_.data_centre;
    const bool local_b = b->data_centre == self_.data_centre;
    return local_a != local_b ? local_a : RankOf(*a) > RankOf(*b);
  });
  std::vector<std::string> addresses;
  addresses.reserve(schedulers.size());
  for (const PeerInfo* scheduler : schedulers) addresses.push_back(scheduler->ip);
  return addresses;
}

bool PeerList::HasLocalScheduler() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.live && peer.info.is_scheduler && peer.info.data_centre == self_.data_centre;
  });
}

std::vector<std::string> PeerList::GossipTargets() const {
  std::vector<std::string> addresses;
  const auto add = [&](const std::string& ip) {
    if (std::find(addresses.begin(), addresses.end(), ip) == addresses.end()) {
      addresses.push_back(ip);
    }
  };
  if (!IsScheduler()) {
    addresses = Schedulers();
    if (!addresses.empty()) return addresses;
  }
  for (const auto& [host, peer] : peers_) add(peer.info.ip);
  for (const std::string& seed : seeds_) add(seed);
  return addresses;
}

std::vector<std::string> PeerList::LocalTargets() const {
  std::vector<std::string> addresses;
  for (const auto& [host, peer] : peers_) {
    if (peer.live && peer.info.data_centre == self_.data_centre) addresses.push_back(peer.info.ip);
  }
  return addresses;
}

std::vector<std::pair<HostId, std::string>> PeerList::Sample(RandomSource& random) const {
  std::vector<std::pair<HostId, std::string>> sample;
  std::vector<std::pair<HostId, std::string>> others;
  for (const auto& [host, peer] : peers_) {
    if (!peer.live) continue;
    (peer.info.is_scheduler ? sample : others).emplace_back(host, peer.info.ip);
  }
  // A partial shuffle: the first entries are a uniform sample.
  const auto shuffle = [&](auto& list, std::size_t count) {
    count = std::min(count, list.size());
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(list[i], list[i + random.Below(list.size() - i)]);
    }
    list.resize(count);
  };
  shuffle(sample, others.empty() ? options_.sample_size : options_.sample_size / 2);
  shuffle(others, options_.sample_size - sample.size());
  sample.insert(sample.end(), others.begin(), others.end());
  return sample;
}

std::vector<PeerInfo> PeerList::LivePeers() const {
  std::vector<PeerInfo> live;
  for (const auto& [host, peer] : peers_) {
    if (peer.live) live.push_back(peer.info);
  }
  return live;
}

std::size_t PeerList::live_peers() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [](const auto& entry) { return entry.second.live; }));
}

std::size_t PeerList::live_hosts() const {
  std::size_t count = 1 + live_peers();
  // A host that is not a scheduler receives gossip only from schedulers, so it uses their counts.
  for (const auto& [host, peer] : peers_) {
    if (peer.live && peer.info.is_scheduler) count = std::max(count, peer.info.live_hosts);
  }
  return count;
}

std::size_t PeerList::RecentMaxHosts(TimePoint now) {
  if (!first_count_time_) first_count_time_ = now;
  const std::size_t count = live_hosts();
  while (!host_counts_.empty() && host_counts_.back().second <= count) host_counts_.pop_back();
  host_counts_.emplace_back(now, count);
  while (now - host_counts_.front().first > options_.recent_window) host_counts_.pop_front();
  const std::size_t highest = host_counts_.front().second;
  return now - *first_count_time_ < options_.discovery_time
             ? std::max(highest, options_.assumed_hosts)
             : highest;
}

}  // namespace verbenaridge::ingress
