// The plan of one daemon and whether the daemon may serve it. The version never decreases. After a
// start or a pause, the daemon serves only once it knows that its version is not older than the
// version that its data centre has confirmed.
//
//   PlanReplica replica({.host = self, .data_centre = furano}, random);
//   for (const ReplicaAction& action : replica.Tick(clock.Now(), peers)) { ... }
//   ...
//   replica.OnStoreReply(action.session, document, clock.Now());
//   if (replica.Serving(clock.Now())) Use(*replica.document());
#ifndef VERBENARIDGE_PLANS_PLAN_REPLICA_H_
#define VERBENARIDGE_PLANS_PLAN_REPLICA_H_

#include <cstdint>
#include <set>
#include <span>
#include <variant>
#include <vector>

#include "verbenaridge/base/random.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/plans/plan_delta.h"
#include "verbenaridge/plans/plan_document.h"

namespace verbenaridge::plans {

struct PlanPeer {
  HostId host;
  DataCentreId data_centre;
};

// Replies to actions return the session. A reply to an action from before a pause does not permit
// the daemon to serve.
using SessionNumber = std::uint64_t;

// Read `plans/current` and call OnStoreReply.
struct ReadStore {
  SessionNumber session = 0;
};

// Fetch the plan of a peer and call OnPeerReply or OnPeerFailed.
struct FetchPeerPlan {
  SessionNumber session = 0;
  HostId host;
  PlanVersion have_version = 0;
};

// The document of the replica has changed; publish the new one.
struct PlanChanged {
  PlanDocumentPtr document;
};

// The permission to serve has changed.
struct ServingChanged {
  bool serving = false;
};

using ReplicaAction = std::variant<ReadStore, FetchPeerPlan, PlanChanged, ServingChanged>;

struct PeerPlanReply {
  HostId host;
  DataCentreId data_centre;
  bool serving = false;
  PlanVersion version = 0;
  PlanVersion confirmed_version = 0;  // highest known for the requester's data centre
  PlanDocumentPtr document;           // null if not newer than `have_version`
};

// Not thread-safe; used on the control thread. Call Tick at least twice a second.
class PlanReplica {
 public:
  struct Options {
    HostId host;
    DataCentreId data_centre;
    // A longer interval between ticks counts as a pause. Peers may have declared this host dead in
    // the meantime and confirmed a newer version without it.
    Duration pause_gap = std::chrono::seconds(2);
    // Replies to requests sent within this time after a start or pause do not permit the daemon to
    // serve. The watchers may not know this host as a member yet, and could confirm a newer version
    // without it.
    Duration join_delay = std::chrono::seconds(2);
    // A round of requests ends with the last reply or after this time.
    Duration round_timeout = std::chrono::seconds(1);
  };

  PlanReplica(Options options, RandomSource& random);

  std::vector<ReplicaAction> Tick(TimePoint now, std::span<const PlanPeer> peers);

  // The document in the store; null if the key does not exist.
  std::vector<ReplicaAction> OnStoreReply(SessionNumber session, const PlanDocumentPtr& document,
                                          TimePoint now);
  // A document from the store that was not requested by ReadStore, for example from a watch.
  std::vector<ReplicaAction> OnDocument(const PlanDocumentPtr& document, TimePoint now);
  std::vector<ReplicaAction> OnPeerReply(SessionNumber session, const PeerPlanReply& reply,
                                         TimePoint now);
  std::vector<ReplicaAction> OnPeerFailed(SessionNumber session, const HostId& host, TimePoint now);

  // A push from a watcher. Appends the resulting actions to `actions`. Errors: kConflict if this
  // daemon's version is not `from_version` of the delta, and the watcher then sends the entire
  // document; kMalformed if the result is not the document of the delta.
  Status OnDelta(const PlanDelta& delta, TimePoint now, std::vector<ReplicaAction>& actions);

  // The version in a gossip message. Fetches the plan of the sender if it is newer.
  std::vector<ReplicaAction> OnGossipVersion(const HostId& host, PlanVersion version,
                                             TimePoint now);

  // The confirmed version of a data centre, from gossip or from the store.
  std::vector<ReplicaAction> OnConfirmed(const DataCentreId& data_centre, PlanVersion version,
                                         TimePoint now);

  // Returns whether this daemon may serve its plan. Returns false once the last tick is more than
  // `pause_gap` ago, even before the next tick reports the pause.
  bool Serving(TimePoint now) const;

  // Never null; the empty document before the first reply.
  const PlanDocumentPtr& document() const { return document_; }
  PlanVersion version() const { return document_->version(); }
  PlanVersion confirmed_version() const { return confirmed_; }

 private:
  using Actions = std::vector<ReplicaAction>;

  void DetectPause(TimePoint now, Actions& actions);
  void StartSession(TimePoint now, Actions& actions);
  void ResetSession(TimePoint now);
  void StartRound(TimePoint now, std::span<const PlanPeer> peers, Actions& actions);
  void FetchFrom(const PlanPeer& peer, Actions& actions);
  void Adopt(const PlanDocumentPtr& document, Actions& actions);
  void UpdateConfirmed(PlanVersion version, TimePoint now, Actions& actions);
  void TryServe(TimePoint now, Actions& actions);
  bool RoundEnded(TimePoint now) const;

  const Options options_;
  RandomSource& random_;
  PlanDocumentPtr document_ = std::make_shared<const PlanDocument>();
  PlanVersion confirmed_ = 0;
  bool serving_ = false;
  SessionNumber session_ = 0;
  TimePoint last_tick_{};
  bool ticked_ = false;

  // State of the current session. While joining, replies only update the document.
  bool joining_ = false;
  TimePoint join_end_{};
  int rounds_ = 0;
  TimePoint round_start_{};
  std::set<HostId> pending_own_peers_;
  std::set<HostId> pending_other_peers_;
  bool store_replied_ = false;
  bool own_peer_serves_ = false;
  bool other_peer_serves_ = false;

  TimePoint last_fetch_{};
};

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_REPLICA_H_
