#include "verbenaridge/ingress/peer_list.h"

#include <algorithm>
#include <set>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/base/rendezvous.h"

namespace verbenaridge::ingress {

void PeerList::AddSeed(std::string_view ip) {
  const bool known = std::find(seeds_.begin(), seeds_.end(), ip) != seeds_.end();
  if (ip != self_.ip && !known) seeds_.emplace_back(ip);
}

PeerList::GossipResult PeerList::OnGossip(const PeerInfo& info, bool is_reply, TimePoint now) {
  if (info.host == self_.host) return {};
  Peer& peer = peers_[info.host];
  const bool was_live = std::exchange(peer.live, true);
  const Incarnation previous = peer.info.incarnation;
  peer.info = info;
  peer.last_seen = now;
  peer.presumed = false;
  GossipResult result;
  if (!was_live) {
    result.change = Change::kNew;
  } else if (previous != info.incarnation) {
    result = {.change = Change::kRestarted, .previous = previous};
  }
  // Hosts that are no schedulers send gossip to schedulers only.
  const bool misdirected = !info.is_scheduler && !IsScheduler();
  const bool wrong_claim = info.is_scheduler && IsOutranked(info);
  result.reply = result.change != Change::kNone || (!is_reply && (misdirected || wrong_claim));
  return result;
}

void PeerList::OnMentioned(const KnownHost& host, TimePoint now) {
  if (host.host == self_.host || host.ip == self_.ip) return;
  Peer& peer = peers_[host.host];
  if (peer.live) return;
  peer.info.host = host.host;
  peer.info.ip = host.ip;
  if (!host.data_centre.empty()) peer.info.data_centre = host.data_centre;
  peer.last_seen = now;
  const bool never_heard = peer.info.incarnation == 0;
  if (!host.is_scheduler || !never_heard) return;
  peer.info.capacity = host.capacity;
  peer.info.is_scheduler = true;
  peer.presumed = true;
  peer.presumed_until = now + options_.presumption;
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
    if (now >= peer.presumed_until) peer.presumed = false;
    if (!peer.live || now - peer.last_seen <= TimeoutOf(peer.info)) continue;
    peer.live = false;
    timed_out.emplace_back(host, peer.info.incarnation);
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return !entry.second.live && now - entry.second.last_seen > options_.address_retention;
  });
  return timed_out;
}

Duration PeerList::TimeoutOf(const PeerInfo& info) const {
  return IsLocal(info) || info.is_scheduler ? options_.peer_timeout : options_.far_timeout;
}

PeerList::Rank PeerList::RankOf(const PeerInfo& info) {
  // All hosts must hash the same text to agree on the ranks.
  static const Digest rank_key = HashOf("load board");
  return {info.capacity, RendezvousScore(rank_key, HashOf(info.host.value()), 1)};
}

std::size_t PeerList::SchedulersBefore(const PeerInfo& info) const {
  const Rank rank = RankOf(info);
  const auto ranked_before = [&](const PeerInfo& other) {
    return other.data_centre == info.data_centre && RankOf(other) > rank;
  };
  const auto peers = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.claims_scheduler() && ranked_before(entry.second.info);
  });
  const bool own = info.host != self_.host && ranked_before(self_) && IsScheduler();
  return static_cast<std::size_t>(peers) + (own ? 1 : 0);
}

bool PeerList::IsScheduler() const { return !IsOutranked(self_); }

std::vector<const PeerList::Peer*> PeerList::RankedSchedulers() const {
  std::vector<const Peer*> claiming;
  for (const auto& [host, peer] : peers_) {
    if (peer.claims_scheduler()) claiming.push_back(&peer);
  }
  std::sort(claiming.begin(), claiming.end(), [&](const Peer* a, const Peer* b) {
    return IsLocal(a->info) != IsLocal(b->info) ? IsLocal(a->info)
                                                : RankOf(a->info) > RankOf(b->info);
  });
  std::map<DataCentreId, std::size_t> taken;
  std::erase_if(claiming, [&](const Peer* peer) {
    return ++taken[peer->info.data_centre] > options_.schedulers_per_data_centre;
  });
  return claiming;
}

std::vector<std::string> PeerList::Schedulers() const {
  std::vector<std::string> addresses;
  for (const Peer* scheduler : RankedSchedulers()) addresses.push_back(scheduler->info.ip);
  return addresses;
}

bool PeerList::HasLocalScheduler() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.claims_scheduler() && IsLocal(peer.info);
  });
}

Duration PeerList::RoundInterval(TimePoint now) const {
  const bool starting = !first_round_ || now - *first_round_ < options_.start_period;
  return starting ? options_.start_interval : options_.interval;
}

PeerList::GossipRound PeerList::StartRound(TimePoint now, bool news) {
  if (!first_round_) first_round_ = now;
  const bool scheduler = IsScheduler();
  if (!scheduler) scheduler_since_.reset();
  if (scheduler && !scheduler_since_) scheduler_since_ = now;
  const bool far_due = news || !last_far_round_ || now - *last_far_round_ >= options_.far_interval;
  const bool far = scheduler ? now - *scheduler_since_ >= options_.settle_time : far_due;
  const bool with_sample = now - *first_round_ < options_.start_period || !last_sample_ ||
                           now - *last_sample_ >= options_.sample_interval;
  if (far) last_far_round_ = now;
  if (with_sample) last_sample_ = now;
  return {.addresses = far ? GossipTargets() : NearTargets(), .with_sample = with_sample};
}

std::vector<std::string> PeerList::GossipTargets() const {
  return IsScheduler() ? KnownAddresses() : Schedulers();
}

std::vector<std::string> PeerList::KnownAddresses() const {
  std::set<std::string> addresses(seeds_.begin(), seeds_.end());
  for (const auto& [host, peer] : peers_) addresses.insert(peer.info.ip);
  return {addresses.begin(), addresses.end()};
}

std::vector<std::string> PeerList::NearTargets() const {
  const bool scheduler = IsScheduler();
  std::set<std::string> addresses;
  for (const Peer* peer : RankedSchedulers()) {
    if (scheduler || IsLocal(peer->info)) addresses.insert(peer->info.ip);
  }
  if (scheduler) {
    addresses.insert(seeds_.begin(), seeds_.end());
    for (const auto& [host, peer] : peers_) {
      if (IsLocal(peer.info) || peer.info.data_centre.empty()) addresses.insert(peer.info.ip);
    }
  }
  return {addresses.begin(), addresses.end()};
}

bool PeerList::IsSettling(TimePoint now) const {
  return !scheduler_since_ || now - *scheduler_since_ < options_.settle_time;
}

std::vector<std::string> PeerList::LocalTargets() const {
  std::vector<std::string> addresses;
  for (const auto& [host, peer] : peers_) {
    if (peer.live && IsLocal(peer.info)) addresses.push_back(peer.info.ip);
  }
  return addresses;
}

std::vector<KnownHost> PeerList::Sample(RandomSource& random) const {
  std::vector<KnownHost> sample;
  const auto add = [](std::vector<KnownHost>& list, const PeerInfo& info) {
    list.push_back({.host = info.host,
                    .ip = info.ip,
                    .data_centre = info.data_centre,
                    .capacity = info.capacity,
                    .is_scheduler = info.is_scheduler});
  };
  // Only what a host has told itself is passed on, so that a mention of a dead one ends.
  for (const Peer* scheduler : RankedSchedulers()) {
    if (scheduler->live) add(sample, scheduler->info);
  }
  std::vector<KnownHost> others;
  for (const auto& entry : peers_) {
    const PeerInfo& info = entry.second.info;
    const bool sampled = std::any_of(sample.begin(), sample.end(), [&info](const KnownHost& known) {
      return known.host == info.host;
    });
    if (entry.second.live && !sampled) add(others, info);
  }
  const std::size_t wanted =
      std::max(options_.sample_size - std::min(options_.sample_size, sample.size()),
               options_.min_sampled_others);
  for (std::size_t i = 0; i < std::min(wanted, others.size()); ++i) {
    std::swap(others[i], others[i + random.Below(others.size() - i)]);
    sample.push_back(others[i]);
  }
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
