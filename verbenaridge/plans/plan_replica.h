// The plan version state of one daemon. A version never goes back; after a start or a pause the
// daemon serves only once it knows that its version is not older than what its data centre
// confirmed.
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

// Answers to actions carry the session back: answers from before a pause do not count.
using SessionNumber = std::uint64_t;

// Read `plans/current` and call OnStoreReply.
struct ReadStore {
  SessionNumber session = 0;
};

// Fetch the plan of a peer and call OnPeerReply.
struct FetchPeerPlan {
  SessionNumber session = 0;
  HostId host;
  PlanVersion have_version = 0;
};

// A newer document is in force: publish it.
struct PlanChanged {
  PlanDocumentPtr document;
};

// Whether this daemon may serve changed.
struct ServingChanged {
  bool serving = false;
};

using ReplicaAction = std::variant<ReadStore, FetchPeerPlan, PlanChanged, ServingChanged>;

struct PeerPlanReply {
  HostId host;
  DataCentreId data_centre;
  bool serving = false;
  PlanVersion version = 0;
  PlanVersion confirmed_version = 0;  // highest known for the asker's data centre
  PlanDocumentPtr document;           // null if not newer than `have_version`
};

// Not thread-safe; belongs to the control thread. Tick must run at least twice a second.
class PlanReplica {
 public:
  struct Options {
    HostId host;
    DataCentreId data_centre;
    // A longer gap between ticks is a pause: peers may have declared this host dead meanwhile, so
    // that a newer version may have been confirmed without it.
    Duration pause_gap = std::chrono::seconds(2);
    // Answers to questions from before this time after a start or pause do not count: the watchers
    // may not yet know this host as a member and could confirm a newer version without it.
    Duration join_delay = std::chrono::seconds(2);
    // A round of questions ends with the last answer or after this time.
    Duration round_timeout = std::chrono::seconds(1);
  };

  PlanReplica(Options options, RandomSource& random);

  std::vector<ReplicaAction> Tick(TimePoint now, std::span<const PlanPeer> peers);

  // The store's document; null if the key does not exist.
  std::vector<ReplicaAction> OnStoreReply(SessionNumber session, const PlanDocumentPtr& document,
                                          TimePoint now);
  // The store's document outside of a question, from a watch or for any other reason.
  std::vector<ReplicaAction> OnDocument(const PlanDocumentPtr& document, TimePoint now);
  std::vector<ReplicaAction> OnPeerReply(SessionNumber session, const PeerPlanReply& answer,
                                         TimePoint now);
  std::vector<ReplicaAction> OnPeerFailed(SessionNumber session, const HostId& host, TimePoint now);

  // A watcher's push. kConflict if this daemon has another version than the delta starts from: the
  // watcher then sends the whole document. `actions` receives what follows from the push.
  Status OnDelta(const PlanDelta& delta, TimePoint now, std::vector<ReplicaAction>& actions);

  // The version in a gossip message: asks the sender if it has a newer one.
  std::vector<ReplicaAction> OnGossipVersion(const HostId& host, PlanVersion version,
                                             TimePoint now);

  // A data centre's confirmed version, from gossip or from the store.
  std::vector<ReplicaAction> OnConfirmed(const DataCentreId& data_centre, PlanVersion version,
                                         TimePoint now);

  // False also when the last tick is too long ago, before the next tick reports the pause.
  bool Serving(TimePoint now) const;

  // Never null; the empty document before the first answer.
  const PlanDocumentPtr& document() const { return document_; }
  PlanVersion version() const { return document_->version(); }
  PlanVersion confirmed_version() const { return confirmed_; }

 private:
  using Actions = std::vector<ReplicaAction>;

  void NotePause(TimePoint now, Actions& actions);
  void StartSession(TimePoint now, Actions& actions);
  void ResetQuestions(TimePoint now);
  void StartRound(TimePoint now, std::span<const PlanPeer> peers, Actions& actions);
  void Ask(const PlanPeer& peer, Actions& actions);
  void Adopt(const PlanDocumentPtr& document, Actions& actions);
  void LearnConfirmed(PlanVersion version, TimePoint now, Actions& actions);
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

  // State of the session of questions. While joining, they only fetch documents.
  bool joining_ = false;
  TimePoint join_end_{};
  int rounds_ = 0;
  TimePoint round_start_{};
  std::set<HostId> waiting_own_;
  std::set<HostId> waiting_other_;
  bool store_answered_ = false;
  bool own_peer_serves_ = false;
  bool other_peer_serves_ = false;

  TimePoint last_fetch_{};
};

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_REPLICA_H_
