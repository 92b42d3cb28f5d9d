// The daemons of the fleet as the control thread sees them.
#ifndef VERBENARIDGE_DAEMON_FLEET_VIEW_H_
#define VERBENARIDGE_DAEMON_FLEET_VIEW_H_

#include <unordered_map>
#include <vector>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/plans/plan_distributor.h"
#include "verbenaridge/plans/plan_replica.h"
#include "verbenaridge/settings/settings.h"

namespace verbenaridge::daemon {

// Not thread-safe; belongs to the control thread.
class FleetView {
 public:
  FleetView(const settings::Settings& settings, Incarnation incarnation);

  void Leave() { leaving_ = true; }

  std::vector<HostView> LiveHosts() const;
  std::vector<plans::PlanPeer> PlanPeers() const;
  std::vector<plans::PlanMember> PlanMembers() const;
  std::unordered_map<HostId, Incarnation> Incarnations() const;

 private:
  const settings::Settings& settings_;
  const Incarnation incarnation_;
  bool leaving_ = false;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_FLEET_VIEW_H_
