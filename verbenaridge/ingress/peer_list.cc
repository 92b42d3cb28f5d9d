#include "verbenaridge/ingress/peer_list.h"

#include <algorithm>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/base/rendezvous.h"

namespace verbenaridge::ingress {

void PeerList::AddSeed(std::string_view ip) {
  const bool known = std::find(seeds_.begin(), seeds_.end(), ip) != seeds_.end();
  if (ip != self_.ip && !known) seeds_.emplace_back(ip);
}

PeerList::Heard PeerList::OnHeard(const PeerInfo& facts, TimePoint now) {
  if (facts.host == self_.host) return {};
  Peer& peer = peers_[facts.host];
  const bool was_live = std::exchange(peer.live, true);
  const Incarnation before = peer.facts.incarnation;
  peer.facts = facts;
  peer.last = now;
  if (!was_live) return {.news = News::kNew};
  if (before != facts.incarnation) return {.news = News::kRestarted, .before = before};
  return {};
}

void PeerList::OnNamed(const HostId& host, std::string_view ip, TimePoint now) {
  if (host == self_.host || ip == self_.ip) return;
  Peer& peer = peers_[host];
  if (peer.live) return;
  peer.facts.host = host;
  peer.facts.ip = ip;
  peer.last = now;
}

std::optional<Incarnation> PeerList::OnLeaving(const HostId& host) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) return {};
  const Peer peer = found->second;
  peers_.erase(found);
  return peer.live ? std::optional<Incarnation>(peer.facts.incarnation) : std::nullopt;
}

std::vector<std::pair<HostId, Incarnation>> PeerList::RemoveSilent(TimePoint now) {
  std::vector<std::pair<HostId, Incarnation>> silent;
  for (auto& [host, peer] : peers_) {
    if (!peer.live || now - peer.last <= options_.silence) continue;
    peer.live = false;
    silent.emplace_back(host, peer.facts.incarnation);
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return !entry.second.live && now - entry.second.last > options_.contact;
  });
  return silent;
}

PeerList::Rank PeerList::RankOf(const PeerInfo& facts) {
  static const Digest board = HashOf("load board");
  return {facts.capacity, RendezvousScore(board, HashOf(facts.host.value()), 1)};
}

bool PeerList::Keeps() const {
  const Rank own = RankOf(self_);
  const auto before = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.live && peer.facts.is_scheduler && peer.facts.data_centre == self_.data_centre &&
           RankOf(peer.facts) > own;
  });
  return static_cast<std::size_t>(before) < options_.keepers_per_data_centre;
}

std::vector<std::string> PeerList::Keepers() const {
  std::vector<const PeerInfo*> keepers;
  for (const auto& [host, peer] : peers_) {
    if (peer.live && peer.facts.is_scheduler) keepers.push_back(&peer.facts);
  }
  std::sort(keepers.begin(), keepers.end(), [&](const PeerInfo* a, const PeerInfo* b) {
    const bool near_a = a->data_centre == self_.data_centre;
    const bool near_b = b->data_centre == self_.data_centre;
    return near_a != near_b ? near_a : RankOf(*a) > RankOf(*b);
  });
  std::vector<std::string> addresses;
  addresses.reserve(keepers.size());
  for (const PeerInfo* keeper : keepers) addresses.push_back(keeper->ip);
  return addresses;
}

bool PeerList::KnowsNearKeeper() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.live && peer.facts.is_scheduler && peer.facts.data_centre == self_.data_centre;
  });
}

std::vector<std::string> PeerList::NoticeTargets() const {
  std::vector<std::string> addresses;
  const auto add = [&](const std::string& ip) {
    if (std::find(addresses.begin(), addresses.end(), ip) == addresses.end()) {
      addresses.push_back(ip);
    }
  };
  if (!Keeps()) {
    addresses = Keepers();
    if (!addresses.empty()) return addresses;
  }
  for (const auto& [host, peer] : peers_) add(peer.facts.ip);
  for (const std::string& seed : seeds_) add(seed);
  return addresses;
}

std::vector<std::pair<HostId, std::string>> PeerList::Sample(RandomSource& random) const {
  std::vector<std::pair<HostId, std::string>> sample;
  std::vector<std::pair<HostId, std::string>> others;
  for (const auto& [host, peer] : peers_) {
    if (!peer.live) continue;
    (peer.facts.is_scheduler ? sample : others).emplace_back(host, peer.facts.ip);
  }
  // A partial shuffle: the first entries are a uniform sample.
  const auto shuffle = [&](auto& list, std::size_t count) {
    count = std::min(count, list.size());
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(list[i], list[i + random.Below(list.size() - i)]);
    }
    list.resize(count);
  };
  shuffle(sample, others.empty() ? options_.sample : options_.sample / 2);
  shuffle(others, options_.sample - sample.size());
  sample.insert(sample.end(), others.begin(), others.end());
  return sample;
}

std::vector<PeerInfo> PeerList::Live() const {
  std::vector<PeerInfo> live;
  for (const auto& [host, peer] : peers_) {
    if (peer.live) live.push_back(peer.facts);
  }
  return live;
}

std::size_t PeerList::heard() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [](const auto& entry) { return entry.second.live; }));
}

std::size_t PeerList::live() const {
  std::size_t most = 1 + heard();
  // A host that does not keep the board hears only those that do.
  for (const auto& [host, peer] : peers_) {
    if (peer.live && peer.facts.is_scheduler) most = std::max(most, peer.facts.live_hosts);
  }
  return most;
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
