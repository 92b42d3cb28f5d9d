#include "verbenaridge/plans/plan_replica.h"

#include <algorithm>
#include <map>
#include <utility>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::plans {
namespace {

// Peers to ask in the first round. Few are sufficient: with 190 restarts a day, one of them nearly
// always serves.
constexpr std::size_t kFirstRoundPeers = 3;
constexpr std::size_t kPeersPerOtherDataCentre = 2;
// Minimum time between two fetches caused by gossip. A push usually arrives before.
constexpr Duration kFetchInterval = std::chrono::milliseconds(500);

void Shuffle(std::vector<PlanPeer>& peers, RandomSource& random) {
  for (std::size_t i = peers.size(); i > 1; --i) {
    std::swap(peers[i - 1], peers[random.Below(i)]);
  }
}

}  // namespace

PlanReplica::PlanReplica(Options options, RandomSource& random)
    : options_(std::move(options)), random_(random) {}

std::vector<ReplicaAction> PlanReplica::Tick(TimePoint now, std::span<const PlanPeer> peers) {
  Actions actions;
  if (ticked_) {
    DetectPause(now, actions);
  } else {
    ticked_ = true;
    StartSession(now, actions);
  }
  last_tick_ = now;
  if (joining_ && now >= join_end_) {
    joining_ = false;
    ResetSession(now);
  }
  if (!serving_) {
    TryServe(now, actions);
    if (!serving_ && (rounds_ == 0 || RoundEnded(now))) StartRound(now, peers, actions);
  }
  return actions;
}

bool PlanReplica::Serving(TimePoint now) const {
  if (Mutated(Mutation::kIgnorePlanPause)) return serving_;
  return serving_ && now - last_tick_ <= options_.pause_gap;
}

void PlanReplica::DetectPause(TimePoint now, Actions& actions) {
  if (Mutated(Mutation::kIgnorePlanPause)) return;
  if (ticked_ && now - last_tick_ > options_.pause_gap) {
    last_tick_ = now;
    StartSession(now, actions);
  }
}

void PlanReplica::StartSession(TimePoint now, Actions& actions) {
  joining_ = true;
  join_end_ = now + options_.join_delay;
  ResetSession(now);
  if (std::exchange(serving_, false)) actions.emplace_back(ServingChanged{false});
}

void PlanReplica::ResetSession(TimePoint now) {
  ++session_;
  rounds_ = 0;
  round_start_ = now;
  pending_own_peers_.clear();
  pending_other_peers_.clear();
  store_replied_ = own_peer_serves_ = other_peer_serves_ = false;
}

bool PlanReplica::RoundEnded(TimePoint now) const {
  if (rounds_ == 0) return false;
  return now - round_start_ >= options_.round_timeout;
}

void PlanReplica::FetchFrom(const PlanPeer& peer, Actions& actions) {
  const bool own = peer.data_centre == options_.data_centre;
  (own ? pending_own_peers_ : pending_other_peers_).insert(peer.host);
  actions.emplace_back(FetchPeerPlan{session_, peer.host, version()});
}

void PlanReplica::StartRound(TimePoint now, std::span<const PlanPeer> peers, Actions& actions) {
  ++rounds_;
  round_start_ = now;
  pending_own_peers_.clear();
  pending_other_peers_.clear();
  own_peer_serves_ = other_peer_serves_ = false;
  actions.emplace_back(ReadStore{session_});
  std::vector<PlanPeer> shuffled(peers.begin(), peers.end());
  Shuffle(shuffled, random_);
  std::map<DataCentreId, std::size_t> requested;
  for (const PlanPeer& peer : shuffled) {
    if (peer.host == options_.host) continue;
    const bool own = peer.data_centre == options_.data_centre;
    if (rounds_ == 1 && !own) continue;
    const std::size_t limit =
        own ? (rounds_ == 1 ? kFirstRoundPeers : peers.size()) : kPeersPerOtherDataCentre;
    if (requested[peer.data_centre]++ < limit) FetchFrom(peer, actions);
  }
}

void PlanReplica::Adopt(const PlanDocumentPtr& document, Actions& actions) {
  if (document == nullptr || document->version() == version()) return;
  if (!Mutated(Mutation::kPlanGoesBack) && document->version() < version()) return;
  document_ = document;
  actions.emplace_back(PlanChanged{document});
}

void PlanReplica::UpdateConfirmed(PlanVersion version, TimePoint now, Actions& actions) {
  confirmed_ = std::max(confirmed_, version);
  // The version was confirmed without this daemon, which was considered dead. Its plan is out of
  // date.
  if (serving_ && confirmed_ > this->version()) StartSession(now, actions);
}

void PlanReplica::TryServe(TimePoint now, Actions& actions) {
  if (serving_) return;
  if (Mutated(Mutation::kStartUnconfirmed) && version() > 0) {
    serving_ = true;
    return;
  }
  if (joining_ || version() < confirmed_) return;
  const bool no_own_peer_serves =
      rounds_ > 1 && (pending_own_peers_.empty() || RoundEnded(now)) && !own_peer_serves_;
  const bool other_peers_sufficient =
      no_own_peer_serves && other_peer_serves_ && (pending_other_peers_.empty() || RoundEnded(now));
  if (!store_replied_ && !own_peer_serves_ && !other_peers_sufficient) return;
  serving_ = true;
  actions.emplace_back(ServingChanged{true});
}

std::vector<ReplicaAction> PlanReplica::OnStoreReply(SessionNumber session,
                                                     const PlanDocumentPtr& document,
                                                     TimePoint now) {
  Actions actions;
  DetectPause(now, actions);
  Adopt(document, actions);
  if (session == session_) store_replied_ = true;
  TryServe(now, actions);
  return actions;
}

std::vector<ReplicaAction> PlanReplica::OnDocument(const PlanDocumentPtr& document, TimePoint now) {
  Actions actions;
  DetectPause(now, actions);
  Adopt(document, actions);
  TryServe(now, actions);
  return actions;
}

std::vector<ReplicaAction> PlanReplica::OnPeerReply(SessionNumber session,
                                                    const PeerPlanReply& reply, TimePoint now) {
  Actions actions;
  DetectPause(now, actions);
  Adopt(reply.document, actions);
  UpdateConfirmed(reply.confirmed_version, now, actions);
  if (session == session_) {
    pending_own_peers_.erase(reply.host);
    pending_other_peers_.erase(reply.host);
    const bool own = reply.data_centre == options_.data_centre;
    // A peer with a newer version than this daemon does not confirm that this daemon may serve.
    if (reply.serving && reply.version <= version()) {
      (own ? own_peer_serves_ : other_peer_serves_) = true;
    }
  }
  TryServe(now, actions);
  return actions;
}

std::vector<ReplicaAction> PlanReplica::OnPeerFailed(SessionNumber session, const HostId& host,
                                                     TimePoint now) {
  Actions actions;
  DetectPause(now, actions);
  if (session == session_) {
    pending_own_peers_.erase(host);
    pending_other_peers_.erase(host);
  }
  TryServe(now, actions);
  return actions;
}

Status PlanReplica::OnDelta(const PlanDelta& delta, TimePoint now,
                            std::vector<ReplicaAction>& actions) {
  DetectPause(now, actions);
  if (delta.edit.version <= version()) return Ok();
  BOOST_OUTCOME_TRY(document, ApplyDelta(*document_, delta));
  Adopt(std::make_shared<const PlanDocument>(std::move(document)), actions);
  TryServe(now, actions);
  return Ok();
}

std::vector<ReplicaAction> PlanReplica::OnGossipVersion(const HostId& host, PlanVersion version,
                                                        TimePoint now) {
  Actions actions;
  DetectPause(now, actions);
  if (version > this->version() && now - last_fetch_ >= kFetchInterval) {
    last_fetch_ = now;
    // A reply with session 0 updates the document but never permits the daemon to serve.
    actions.emplace_back(FetchPeerPlan{0, host, this->version()});
  }
  return actions;
}

std::vector<ReplicaAction> PlanReplica::OnConfirmed(const DataCentreId& data_centre,
                                                    PlanVersion version, TimePoint now) {
  Actions actions;
  DetectPause(now, actions);
  if (data_centre == options_.data_centre) UpdateConfirmed(version, now, actions);
  return actions;
}

}  // namespace verbenaridge::plans
