#include "verbenaridge/membership/membership_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::membership {
namespace {

// An update is sent about three times as often as is needed to reach all members by doubling,
// because some datagrams are lost and some reach members that already have it.
constexpr int kSendFactor = 3;
// A leaving host announces it at once to this many members of its data centre, which spread it.
constexpr std::size_t kAnnouncements = 8;
// A start takes its incarnation from the clock and a refutation adds one, so a step above this is a
// start.
constexpr Incarnation kMinStartStep = 100;
constexpr Duration kRelayTimeout = std::chrono::seconds(2);

}  // namespace

MembershipTable::MembershipTable(Options options, RandomSource& random, TimePoint now)
    : options_(std::move(options)),
      random_(random),
      self_(options_.self),
      last_tick_(now),
      next_probe_(now),
      next_gossip_(now),
      next_dead_probe_(now),
      next_transfer_(now) {
  members_[self_.host] = self_;
  queue_.Put(self_.host, self_);
  for (Member seed : options_.seeds) {
    if (seed.host == self_.host) continue;
    seeds_[seed.host] = true;
    seed.incarnation = 0;
    members_.emplace(seed.host, std::move(seed));
  }
}

MembershipOutput MembershipTable::Tick(TimePoint now) {
  MembershipOutput output;
  DetectPause(now, output);
  last_tick_ = now;
  if (self_.state == MemberState::kDead) return output;
  ContinueProbe(now, output);
  if (now >= next_probe_) {
    FailProbe(now, output);
    StartProbe(now, output);
    next_probe_ = now + options_.probe_interval;
  }
  ExpireSuspicions(now, output);
  if (now >= next_gossip_) {
    PushGossip(output);
    next_gossip_ = now + options_.gossip_interval;
  }
  if (now >= next_dead_probe_) {
    ProbeDead(now, output);
    RemoveDead(now, output);
    next_dead_probe_ = now + options_.dead_probe_interval;
  }
  return output;
}

void MembershipTable::DetectPause(TimePoint now, MembershipOutput& output) {
  if (now - last_tick_ <= options_.pause_gap) return;
  last_tick_ = now;
  // Acks and refutations that arrived during the pause were lost, so no earlier deadline is valid.
  probe_.reset();
  for (auto& [host, local] : local_) {
    if (local.suspected) local.suspected = now;
  }
  if (self_.state != MemberState::kDead) NewIncarnation(now, MemberEventKind::kPaused, output);
}

void MembershipTable::NewIncarnation(TimePoint /*now*/, MemberEventKind kind,
                                     MembershipOutput& output) {
  ++self_.incarnation;
  members_[self_.host] = self_;
  queue_.Put(self_.host, self_);
  output.events.push_back({kind, self_});
}

MembershipOutput MembershipTable::OnDatagram(const HostId& from, const DatagramKind& kind,
                                             std::span<const Member> gossip, TimePoint now) {
  MembershipOutput output;
  DetectPause(now, output);
  const bool started = HasJustStarted(from, gossip);
  for (const Member& update : gossip) OnUpdate(update, now, output);
  const auto sender = members_.find(from);
  if (sender == members_.end() || self_.state == MemberState::kDead) return output;
  if (const auto* ping = std::get_if<Ping>(&kind)) {
    // Ignores a ping for a host that used this address earlier.
    if (ping->target != self_.host) return output;
    Send(sender->second, Ack{ping->sequence, self_.host}, options_.probe_gossip_bytes, output);
    if (started && now >= next_transfer_) Transfer(sender->second, now, output);
  } else if (const auto* request = std::get_if<PingRequest>(&kind)) {
    const auto target = members_.find(request->target);
    if (target == members_.end() || target->first == self_.host) return output;
    const std::uint64_t sequence = ++last_sequence_;
    relays_[sequence] = {from, request->sequence, now};
    Send(target->second, Ping{sequence, target->first}, options_.probe_gossip_bytes, output);
  } else if (const auto* ack = std::get_if<Ack>(&kind)) {
    OnAck(*ack, from, output);
  }
  return output;
}

void MembershipTable::OnAck(const Ack& ack, const HostId& /*from*/, MembershipOutput& output) {
  if (probe_ && ack.sequence == probe_->sequence && ack.target == probe_->target) {
    probe_->acked = true;
    // A leaving member has no suspect state to refute, so the ack ends the suspicion.
    const auto member = members_.find(ack.target);
    if (member != members_.end() && member->second.state == MemberState::kLeaving) {
      local_.erase(ack.target);
    }
  }
  const auto relay = relays_.find(ack.sequence);
  if (relay == relays_.end()) return;
  const auto requester = members_.find(relay->second.requester);
  if (requester != members_.end()) {
    Send(requester->second, Ack{relay->second.requester_sequence, ack.target},
         options_.probe_gossip_bytes, output);
  }
  relays_.erase(relay);
}

void MembershipTable::OnUpdate(const Member& update, TimePoint now, MembershipOutput& output) {
  if (update.host == self_.host) return OnUpdateOfSelf(update, now, output);
  const auto known = members_.find(update.host);
  if (known == members_.end()) {
    // Otherwise the entry of a host that stopped long ago would circulate forever.
    if (update.state == MemberState::kDead) return;
    return Store(update, now, output);
  }
  const bool newer = Mutated(Mutation::kOldestWins) ? update.state > known->second.state
                                                    : Supersedes(update, known->second);
  if (newer) Store(update, now, output);
}

void MembershipTable::OnUpdateOfSelf(const Member& update, TimePoint now,
                                     MembershipOutput& output) {
  if (self_.state == MemberState::kDead || !Supersedes(update, self_)) return;
  if (Mutated(Mutation::kNoRefutation)) return;
  self_.incarnation = update.incarnation;
  NewIncarnation(now, MemberEventKind::kRefuted, output);
}

void MembershipTable::Store(const Member& update, TimePoint now, MembershipOutput& output) {
  const auto [it, added] = members_.insert_or_assign(update.host, update);
  LocalState& local = local_[update.host];
  if (update.state == MemberState::kSuspect) {
    if (!local.suspected) local.suspected = now;
  } else {
    local.suspected.reset();
  }
  if (update.state == MemberState::kDead) local.died = now;
  if (update.state == MemberState::kAlive || update.state == MemberState::kLeaving) {
    local_.erase(update.host);
  }
  if (update.incarnation > 0) queue_.Put(update.host, update);
  output.events.push_back(
      {added ? MemberEventKind::kJoined : MemberEventKind::kChanged, it->second});
}

std::optional<HostId> MembershipTable::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (next_probe_index_ < probe_order_.size()) {
      const HostId& host = probe_order_[next_probe_index_++];
      if (host != self_.host && Live(host)) return host;
    }
    probe_order_.clear();
    next_probe_index_ = 0;
    for (const auto& [host, member] : members_) {
      if (host != self_.host && member.state != MemberState::kDead) probe_order_.push_back(host);
    }
    for (std::size_t i = probe_order_.size(); i > 1; --i) {
      std::swap(probe_order_[i - 1], probe_order_[random_.Below(i)]);
    }
  }
  return std::nullopt;
}

void MembershipTable::StartProbe(TimePoint now, MembershipOutput& output) {
  const std::optional<HostId> target = NextTarget();
  if (!target) return;
  probe_ = Probe{++last_sequence_, *target, now, false, false};
  Send(members_.at(*target), Ping{probe_->sequence, *target}, options_.probe_gossip_bytes, output);
  std::erase_if(relays_, [&](const auto& item) { return now - item.second.sent > kRelayTimeout; });
}

void MembershipTable::ContinueProbe(TimePoint now, MembershipOutput& output) {
  if (!probe_ || probe_->acked || probe_->indirect) return;
  if (now - probe_->started < options_.direct_timeout) return;
  probe_->indirect = true;
  for (const HostId& relay : RandomLive(options_.indirect_probes, probe_->target)) {
    Send(members_.at(relay), PingRequest{probe_->sequence, probe_->target}, 0, output);
  }
}

void MembershipTable::FailProbe(TimePoint now, MembershipOutput& output) {
  if (!probe_) return;
  const Probe probe = *std::exchange(probe_, std::nullopt);
  const auto member = members_.find(probe.target);
  if (probe.acked || member == members_.end()) return;
  if (member->second.state == MemberState::kAlive) {
    Member suspect = member->second;
    suspect.state = MemberState::kSuspect;
    Store(suspect, now, output);
  } else if (member->second.state == MemberState::kLeaving) {
    LocalState& local = local_[probe.target];
    if (!local.suspected) local.suspected = now;
  }
}

void MembershipTable::ExpireSuspicions(TimePoint now, MembershipOutput& output) {
  std::vector<HostId> ended;
  for (const auto& [host, local] : local_) {
    if (local.suspected && now - *local.suspected >= options_.suspicion_time) {
      ended.push_back(host);
    }
  }
  for (const HostId& host : ended) {
    Member dead = members_.at(host);
    dead.state = MemberState::kDead;
    Store(dead, now, output);
  }
}

void MembershipTable::ProbeDead(TimePoint /*now*/, MembershipOutput& output) {
  if (Mutated(Mutation::kNoDeadProbes)) return;
  std::vector<const Member*> dead;
  for (const auto& [host, local] : local_) {
    const Member& member = members_.at(host);
    if (member.state == MemberState::kDead) dead.push_back(&member);
  }
  if (dead.empty()) return;
  const Member& target = *dead[random_.Below(dead.size())];
  Send(target, Ping{++last_sequence_, target.host}, options_.probe_gossip_bytes, output);
}

void MembershipTable::RemoveDead(TimePoint now, MembershipOutput& output) {
  std::vector<HostId> removed;
  for (const auto& [host, local] : local_) {
    const bool dead = members_.at(host).state == MemberState::kDead;
    if (dead && now - local.died >= options_.forget_after && !seeds_.contains(host) &&
        !listed_.contains(host)) {
      removed.push_back(host);
    }
  }
  for (const HostId& host : removed) {
    output.events.push_back({MemberEventKind::kForgotten, members_.at(host)});
    members_.erase(host);
    local_.erase(host);
    queue_.Erase(host);
  }
}

void MembershipTable::PushGossip(MembershipOutput& output) {
  for (const HostId& host : RandomLive(1, self_.host)) {
    Send(members_.at(host), GossipOnly{}, options_.push_gossip_bytes, output);
  }
}

bool MembershipTable::HasJustStarted(const HostId& from, std::span<const Member> gossip) const {
  const auto update = std::find_if(gossip.begin(), gossip.end(),
                                   [&](const Member& member) { return member.host == from; });
  if (update == gossip.end()) return false;
  const auto known = members_.find(from);
  return known == members_.end() || update->incarnation > known->second.incarnation + kMinStartStep;
}

void MembershipTable::Transfer(const Member& to, TimePoint now, MembershipOutput& output) {
  next_transfer_ = now + options_.transfer_interval;
  Datagram datagram{to.host, to.ip, to.port, GossipOnly{}, {}};
  std::size_t size = 0;
  for (const auto& [host, member] : members_) {
    if (member.incarnation == 0 || member.state == MemberState::kDead) continue;
    if (size + EncodedSize(member) > options_.transfer_bytes) {
      output.datagrams.push_back(datagram);
      datagram.gossip.clear();
      size = 0;
    }
    size += EncodedSize(member);
    datagram.gossip.push_back(member);
  }
  if (!datagram.gossip.empty()) output.datagrams.push_back(std::move(datagram));
}

int MembershipTable::MaxSends() const {
  return kSendFactor *
         static_cast<int>(std::ceil(std::log2(static_cast<double>(members_.size() + 1))));
}

void MembershipTable::Send(const Member& to, const DatagramKind& kind, std::size_t budget,
                           MembershipOutput& output) {
  Datagram datagram{to.host, to.ip, to.port, kind, {}};
  const auto add = [&](const Member& member) {
    const std::size_t size = EncodedSize(member);
    const bool duplicate =
        std::any_of(datagram.gossip.begin(), datagram.gossip.end(),
                    [&](const Member& other) { return other.host == member.host; });
    if (size > budget || duplicate) return;
    budget -= size;
    datagram.gossip.push_back(member);
  };
  // With the sender's own state, a receiver that does not know the sender can reply. The receiver's
  // state is included unless it is alive, so that the receiver can refute it.
  add(self_);
  if (to.state != MemberState::kAlive && to.incarnation > 0) add(to);
  for (const Member& member : queue_.Take(budget, MaxSends(), EncodedSize)) add(member);
  auto it = members_.upper_bound(refresh_after_);
  for (std::size_t i = 0; i < options_.refresh_entries && !members_.empty(); ++i, ++it) {
    if (it == members_.end()) it = members_.begin();
    if (it->second.incarnation > 0) add(it->second);
    refresh_after_ = it->first;
  }
  output.datagrams.push_back(std::move(datagram));
}

std::vector<HostId> MembershipTable::RandomLive(std::size_t count, const HostId& except) {
  std::vector<HostId> live;
  for (const auto& [host, member] : members_) {
    // Includes suspects: they are less reliable, but may be the only members left.
    if (host != self_.host && host != except && member.state != MemberState::kDead) {
      live.push_back(host);
    }
  }
  for (std::size_t i = 0; i < std::min(count, live.size()); ++i) {
    std::swap(live[i], live[i + random_.Below(live.size() - i)]);
  }
  if (live.size() > count) live.resize(count);
  return live;
}

MembershipOutput MembershipTable::OnHostList(std::span<const HostListEntry> hosts, TimePoint now) {
  MembershipOutput output;
  DetectPause(now, output);
  std::map<HostId, bool> listed;
  for (const HostListEntry& entry : hosts) {
    listed[entry.host] = entry.leaving;
    if (entry.host != self_.host && !members_.contains(entry.host)) {
      Store({entry.host, entry.data_centre, entry.ip, entry.port, 0, MemberState::kAlive}, now,
            output);
    }
  }
  const auto listed_as_leaving = [&](const std::map<HostId, bool>& list) {
    const auto it = list.find(self_.host);
    return it != list.end() && it->second;
  };
  // Only a change of the flag takes effect, because the list lags behind an operator who undid it.
  const bool newly_leaving = listed_as_leaving(listed) && !listed_as_leaving(listed_);
  listed_ = std::move(listed);
  if (newly_leaving) {
    MembershipOutput leaving = SetLeaving(true, now);
    std::move(leaving.datagrams.begin(), leaving.datagrams.end(),
              std::back_inserter(output.datagrams));
    std::move(leaving.events.begin(), leaving.events.end(), std::back_inserter(output.events));
  }
  return output;
}

MembershipOutput MembershipTable::SetLeaving(bool leaving, TimePoint now) {
  MembershipOutput output;
  const MemberState state = leaving ? MemberState::kLeaving : MemberState::kAlive;
  if (self_.state == MemberState::kDead || self_.state == state) return output;
  self_.state = state;
  NewIncarnation(now, MemberEventKind::kChanged, output);
  std::size_t announced = 0;
  for (const HostId& host : RandomLive(members_.size(), self_.host)) {
    const Member& member = members_.at(host);
    if (member.data_centre != self_.data_centre || announced == kAnnouncements) continue;
    ++announced;
    Send(member, GossipOnly{}, options_.push_gossip_bytes, output);
  }
  return output;
}

MembershipOutput MembershipTable::Stop(TimePoint /*now*/) {
  MembershipOutput output;
  self_.state = MemberState::kDead;
  members_[self_.host] = self_;
  queue_.Put(self_.host, self_);
  for (const HostId& host : RandomLive(kAnnouncements, self_.host)) {
    Send(members_.at(host), GossipOnly{}, options_.push_gossip_bytes, output);
  }
  return output;
}

bool MembershipTable::Live(const HostId& host) const {
  const auto it = members_.find(host);
  return it != members_.end() && it->second.state != MemberState::kDead;
}

std::size_t MembershipTable::live_count() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& item) { return item.second.state != MemberState::kDead; }));
}

std::vector<WeightedHost> MembershipTable::Owners(auto in_scope) const {
  std::vector<WeightedHost> owners;
  for (const auto& [host, member] : members_) {
    if (!in_scope(member) || member.state == MemberState::kDead) continue;
    const bool leaving = member.state == MemberState::kLeaving;
    const bool mutated = Mutated(Mutation::kLeavingOwns) && host == self_.host;
    if (!leaving || mutated) owners.push_back({host, 1});
  }
  return owners;
}

std::vector<WeightedHost> MembershipTable::OwnersOfDataCentre(
    const DataCentreId& data_centre) const {
  return Owners([&](const Member& member) { return member.data_centre == data_centre; });
}

std::vector<WeightedHost> MembershipTable::OwnersOfRegion(const RegionId& region) const {
  return Owners([&](const Member& member) {
    const auto it = options_.regions.find(member.data_centre);
    return it != options_.regions.end() && it->second == region;
  });
}

}  // namespace verbenaridge::membership
