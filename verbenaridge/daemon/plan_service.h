// Keeps this daemon's plan in force: reads and watches the store, asks and answers peers, and as a
// watcher pushes changes and confirms them.
#ifndef VERBENARIDGE_DAEMON_PLAN_SERVICE_H_
#define VERBENARIDGE_DAEMON_PLAN_SERVICE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/daemon/peer_router.h"
#include "verbenaridge/plans/plan_distributor.h"
#include "verbenaridge/plans/plan_replica.h"
#include "verbenaridge/store/key_value_store.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

// Runs on the control loop alone.
class PlanService {
 public:
  struct Options {
    HostId host;
    DataCentreId data_centre;
  };

  // `changed` runs when another document is in force or the daemon starts or stops serving.
  PlanService(const Options& options, asio::io_context& io_context, const Clock& clock,
              RandomSource& random, store::KeyValueStore& store, PeerRouter& router,
              std::function<void()> changed);

  // Run every 100 ms. `peers` are the live daemons, `members` those of this data centre.
  void Tick(std::span<const plans::PlanPeer> peers, std::span<const plans::PlanMember> members);

  wire::PushPlanDeltaReply OnPush(const wire::PushPlanDeltaRequest& request);
  wire::FetchPlanReply OnFetch(const wire::FetchPlanRequest& request);

  void OnGossip(const HostId& host, Incarnation incarnation, PlanVersion version);
  void OnConfirmed(const DataCentreId& data_centre, PlanVersion version);

  bool serving() const { return replica_.Serving(clock_.Now()); }
  const plans::PlanDocumentPtr& document() const { return replica_.document(); }

  // Highest confirmed version of each data centre, as far as this daemon knows.
  const std::map<DataCentreId, PlanVersion>& confirmed() const { return confirmed_; }
  bool watching() const { return watching_; }

 private:
  void Execute(const std::vector<plans::ReplicaAction>& actions);
  void Execute(const std::vector<plans::DistributorAction>& actions);
  void ReadStore(plans::SessionNumber session);
  void FetchPeerPlan(const plans::FetchPeerPlan& ask);
  void Push(const plans::PushPlan& push);
  void SetWatching(bool watching);
  void Watch();
  void OnWatched(const Result<store::StoredValue>& value);
  void WriteConfirmed(PlanVersion version);
  void RaiseConfirmed(PlanVersion version, const store::StoredValue& current);
  void ReadConfirmed();

  const Options options_;
  const Clock& clock_;
  store::KeyValueStore& store_;
  PeerRouter& router_;
  const std::function<void()> changed_;
  asio::steady_timer watch_timer_;
  plans::PlanReplica replica_;
  plans::PlanDistributor distributor_;
  std::map<HostId, Incarnation> incarnations_;
  std::map<DataCentreId, PlanVersion> confirmed_;
  store::KeyVersion watched_version_ = 0;
  bool watching_ = false;
  bool watch_pending_ = false;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_PLAN_SERVICE_H_
