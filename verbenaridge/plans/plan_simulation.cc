#include "verbenaridge/plans/plan_simulation.h"

#include <algorithm>
#include <utility>

namespace verbenaridge::plans {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
// Guarantees of membership: a started host is known to its peers within kJoinTime, an unresponsive
// host is dead by probing after kProbeTime, and the host list removes it after kListTime.
constexpr Duration kJoinTime = std::chrono::milliseconds(1500);
constexpr Duration kProbeTime = std::chrono::seconds(4);
constexpr Duration kListTime = std::chrono::seconds(8);
constexpr Duration kConvergenceTime = std::chrono::seconds(20);

}  // namespace

PlanSimulation::PlanSimulation(std::uint64_t seed) : random_(seed) {
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts_[i].id = HostId("h" + std::to_string(i));
    hosts_[i].data_centre_index = i % kDataCentres;
    hosts_[i].data_centre = DataCentreId("d" + std::to_string(i % kDataCentres));
    Start(i);
  }
  OperatorReads(0);
  OperatorWrites(0);
  Run(std::chrono::seconds(6));
}

void PlanSimulation::OperatorReads(std::size_t operator_index) {
  if (store_up_) read_[operator_index] = stored_;
}

void PlanSimulation::OperatorWrites(std::size_t operator_index) {
  const PlanDocumentPtr base = std::exchange(read_[operator_index], nullptr);
  if (!store_up_ || base == nullptr || base->version() != stored_->version()) return;
  const Edit edit{0, "e" + std::to_string(++edits_), "operator", 0};
  stored_ = std::make_shared<const PlanDocument>(MakeSuccessor(*base, *base, edit));
  written_.push_back(edit.edit_id);
}

void PlanSimulation::Start(std::size_t index) {
  Host& host = hosts_[index];
  if (host.replica != nullptr) return;
  host.incarnation = ++last_incarnation_ * 1000;
  host.replica = std::make_unique<PlanReplica>(
      PlanReplica::Options{.host = host.id, .data_centre = host.data_centre}, random_);
  host.distributor = std::make_unique<PlanDistributor>(
      PlanDistributor::Options{.host = host.id, .data_centre = host.data_centre});
  host.confirmed.clear();
  host.highest = 0;
  host.paused = host.watching = false;
  host.queued.clear();
  host.joined = clock_.Now() + kJoinTime;
}

void PlanSimulation::Kill(std::size_t index) {
  hosts_[index].replica.reset();
  hosts_[index].distributor.reset();
  hosts_[index].paused = false;
  hosts_[index].queued.clear();
}

void PlanSimulation::Pause(std::size_t index) {
  if (hosts_[index].replica != nullptr) hosts_[index].paused = true;
}

void PlanSimulation::Resume(std::size_t index) {
  Host& host = hosts_[index];
  if (!std::exchange(host.paused, false)) return;
  if (clock_.Now() - host.last_alive > kProbeTime) host.joined = clock_.Now() + kJoinTime;
  // Messages that arrived during the pause are read before or after the first tick.
  const bool tick_first = random_.Below(2) == 0;
  if (tick_first) TickHost(index);
  for (auto& deliver : std::exchange(host.queued, {})) deliver();
  CheckInvariants();
}

bool PlanSimulation::Reachable(std::size_t from, std::size_t to) const {
  const std::size_t a = hosts_[from].data_centre_index;
  const std::size_t b = hosts_[to].data_centre_index;
  return a == b || (!partitioned_[a] && !partitioned_[b]);
}

bool PlanSimulation::StoreReachable(std::size_t host) const {
  return store_up_ && !partitioned_[hosts_[host].data_centre_index];
}

void PlanSimulation::Run(Duration time) {
  for (Duration passed{}; passed < time; passed += kStep) Step();
}

void PlanSimulation::Step() {
  clock_.Advance(kStep);
  for (Host& host : hosts_) {
    if (!Running(host)) continue;
    host.last_listed = clock_.Now();
    if (!host.probes_fail && clock_.Now() >= host.joined) host.last_alive = clock_.Now();
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (Running(hosts_[i])) TickHost(i);
  }
  DeliverDue();
  CheckInvariants();
}

void PlanSimulation::TickHost(std::size_t index) {
  Host& host = hosts_[index];
  const TimePoint now = clock_.Now();
  Execute(index, host.replica->Tick(now, PeersSeenBy(index)));
  host.distributor->OnVersion(host.id, host.incarnation,
                              host.replica->Serving(now) ? host.replica->version() : 0);
  Execute(index, host.distributor->Tick(now, MembersSeenBy(index), host.replica->document()));
  if (random_.Below(5) == 0) Gossip(index);
  if (host.distributor->watching()) Watch(index);
}

void PlanSimulation::Post(std::size_t to, std::function<void()> deliver) {
  if (random_.Uniform() < loss_) return;
  const auto delay = std::chrono::milliseconds(random_.Below(300));
  network_.emplace(clock_.Now() + delay, Message{to, hosts_[to].incarnation, std::move(deliver)});
}

void PlanSimulation::DeliverDue() {
  while (!network_.empty() && network_.begin()->first <= clock_.Now()) {
    const Message message = std::move(network_.extract(network_.begin()).mapped());
    Host& host = hosts_[message.to];
    if (host.replica == nullptr || host.incarnation != message.incarnation) continue;
    if (host.paused) {
      host.queued.push_back(message.deliver);
    } else {
      message.deliver();
    }
  }
}

std::vector<PlanMember> PlanSimulation::MembersSeenBy(std::size_t viewer) const {
  std::vector<PlanMember> members;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const Host& host = hosts_[i];
    if (host.data_centre != hosts_[viewer].data_centre) continue;
    const bool own = i == viewer;
    const bool live = own || clock_.Now() - host.last_alive <= kProbeTime;
    const bool listed = clock_.Now() - host.last_listed <= kListTime;
    if (live || listed) members.push_back({host.id, host.incarnation, live, listed});
  }
  return members;
}

std::vector<PlanPeer> PlanSimulation::PeersSeenBy(std::size_t viewer) const {
  std::vector<PlanPeer> peers;
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (i != viewer && clock_.Now() - hosts_[i].last_alive <= kProbeTime) {
      peers.push_back({hosts_[i].id, hosts_[i].data_centre});
    }
  }
  return peers;
}

std::size_t PlanSimulation::IndexOf(const HostId& host) const {
  return static_cast<std::size_t>(
      std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& h) { return h.id == host; }) -
      hosts_.begin());
}

void PlanSimulation::Execute(std::size_t index, const std::vector<ReplicaAction>& actions) {
  for (const ReplicaAction& action : actions) {
    if (const auto* read = std::get_if<ReadStore>(&action)) {
      ReplyToStoreRead(index, read->session);
    } else if (const auto* fetch = std::get_if<FetchPeerPlan>(&action)) {
      FetchPlan(index, *fetch);
    }
  }
}

void PlanSimulation::ReplyToStoreRead(std::size_t index, SessionNumber session) {
  if (!StoreReachable(index)) return;
  const PlanVersion confirmed = confirmed_[hosts_[index].data_centre_index];
  Post(index, [this, index, session, document = stored_, confirmed] {
    Host& host = hosts_[index];
    Execute(index, host.replica->OnStoreReply(session, document, clock_.Now()));
    Execute(index, host.replica->OnConfirmed(host.data_centre, confirmed, clock_.Now()));
  });
}

void PlanSimulation::FetchPlan(std::size_t index, const FetchPeerPlan& fetch) {
  const std::size_t peer = IndexOf(fetch.host);
  if (!Reachable(index, peer)) return;
  Post(peer, [this, index, peer, fetch, requester_incarnation = hosts_[index].incarnation] {
    if (hosts_[index].incarnation != requester_incarnation) return;  // the connection was closed
    Host& host = hosts_[peer];
    PeerPlanReply reply{.host = host.id,
                        .data_centre = host.data_centre,
                        .serving = host.replica->Serving(clock_.Now()),
                        .version = host.replica->version(),
                        .confirmed_version = host.confirmed[hosts_[index].data_centre],
                        .document = nullptr};
    if (reply.version > fetch.have_version) reply.document = host.replica->document();
    Post(index, [this, index, fetch, reply] {
      Execute(index, hosts_[index].replica->OnPeerReply(fetch.session, reply, clock_.Now()));
    });
  });
}

void PlanSimulation::Execute(std::size_t index, const std::vector<DistributorAction>& actions) {
  for (const DistributorAction& action : actions) {
    if (const auto* push = std::get_if<PushPlan>(&action)) {
      Push(index, *push);
    } else if (const auto* write = std::get_if<plans::WriteConfirmed>(&action)) {
      WriteConfirmed(index, write->version);
    }
  }
}

void PlanSimulation::Push(std::size_t index, const PushPlan& push) {
  const std::size_t to = IndexOf(push.host);
  Post(to, [this, index, to, push] {
    Host& host = hosts_[to];
    bool conflict = false;
    std::vector<ReplicaAction> actions;
    if (push.delta != nullptr) {
      conflict = host.replica->OnDelta(*push.delta, clock_.Now(), actions).has_error();
    } else {
      actions = host.replica->OnDocument(push.document, clock_.Now());
    }
    Execute(to, actions);
    const PlanVersion version = host.replica->Serving(clock_.Now()) ? host.replica->version() : 0;
    Post(index, [this, index, to, conflict, version, incarnation = host.incarnation] {
      if (conflict) hosts_[index].distributor->OnPushConflict(hosts_[to].id);
      hosts_[index].distributor->OnVersion(hosts_[to].id, incarnation, version);
    });
  });
}

void PlanSimulation::WriteConfirmed(std::size_t index, PlanVersion version) {
  if (!StoreReachable(index)) return;
  PlanVersion& stored = confirmed_[hosts_[index].data_centre_index];
  stored = std::max(stored, version);
  Post(index, [this, index, stored] {
    Host& host = hosts_[index];
    host.distributor->OnConfirmedWritten(stored);
    PlanVersion& known = host.confirmed[host.data_centre];
    known = std::max(known, stored);
    Execute(index, host.replica->OnConfirmed(host.data_centre, stored, clock_.Now()));
  });
}

void PlanSimulation::Gossip(std::size_t index) {
  const std::size_t to = random_.Below(kHosts);
  if (to == index || !Reachable(index, to)) return;
  const Host& from = hosts_[index];
  const PlanVersion version = from.replica->version();
  const PlanVersion serving = from.replica->Serving(clock_.Now()) ? version : 0;
  Post(to, [this, index, to, version, serving, incarnation = from.incarnation,
            confirmed = from.confirmed] {
    Host& host = hosts_[to];
    host.distributor->OnVersion(hosts_[index].id, incarnation, serving);
    Execute(to, host.replica->OnGossipVersion(hosts_[index].id, version, clock_.Now()));
    for (const auto& [data_centre, confirmed_version] : confirmed) {
      PlanVersion& known = host.confirmed[data_centre];
      known = std::max(known, confirmed_version);
      Execute(to, host.replica->OnConfirmed(data_centre, known, clock_.Now()));
    }
  });
}

void PlanSimulation::Watch(std::size_t index) {
  if (!StoreReachable(index) || stored_->version() <= hosts_[index].replica->version()) return;
  Post(index, [this, index, document = stored_] {
    Execute(index, hosts_[index].replica->OnDocument(document, clock_.Now()));
  });
}

void PlanSimulation::Fail(const std::string& text) {
  if (violation_.empty()) violation_ = text;
}

void PlanSimulation::CheckInvariants() {
  std::array<bool, kDataCentres> serves{};
  for (Host& host : hosts_) {
    if (!Running(host)) continue;
    const PlanVersion version = host.replica->version();
    if (version < host.highest) Fail(host.id.value() + ": the version decreased");
    host.highest = std::max(host.highest, version);
    if (!host.replica->Serving(clock_.Now())) continue;
    const std::size_t data_centre = host.data_centre_index;
    const bool older = version < confirmed_[data_centre];
    if (older && !confirmed_may_be_lost_[data_centre]) {
      Fail(host.id.value() + " serves version " + std::to_string(version) +
           " although the confirmed version is " + std::to_string(confirmed_[data_centre]));
    }
    if (!older) serves[data_centre] = true;
  }
  for (std::size_t i = 0; i < kDataCentres; ++i) confirmed_may_be_lost_[i] = !serves[i];
}

void PlanSimulation::HealAndConverge() {
  store_up_ = true;
  loss_ = 0;
  partitioned_ = {};
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts_[i].probes_fail = false;
    Resume(i);
    Start(i);
  }
  Run(kConvergenceTime);
  for (const Host& host : hosts_) {
    if (!host.replica->Serving(clock_.Now())) Fail(host.id.value() + " does not serve");
    if (host.replica->version() != stored_->version()) Fail(host.id.value() + " is outdated");
  }
  if (stored_->version() != written_.size()) Fail("a successful write was lost");
  for (const PlanVersion confirmed : confirmed_) {
    if (confirmed != stored_->version()) Fail("newest version not confirmed");
  }
}

}  // namespace verbenaridge::plans
