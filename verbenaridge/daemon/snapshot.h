// The control thread's view of the fleet, handed to the traffic threads as immutable values.
#ifndef VERBENARIDGE_DAEMON_SNAPSHOT_H_
#define VERBENARIDGE_DAEMON_SNAPSHOT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/membership/owner_ranking.h"
#include "verbenaridge/plans/plan_document.h"
#include "verbenaridge/routing/routing_policy.h"
#include "verbenaridge/settings/settings.h"
#include "verbenaridge/wire/messages.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::daemon {

// A live member of the fleet, this host included.
struct HostView {
  HostId host;
  DataCentreId data_centre;
  RegionId region;
  wire::PeerAddress address;
  bool leaving = false;
};

struct EndpointView {
  settings::EndpointSettings settings;
  HostId owner;  // empty if its data centre has no live host
  bool leaving = false;
  bool drained = false;  // by an operator
  std::optional<wire::EndpointSummary> summary;
};

struct Snapshot {
  std::uint64_t sequence = 0;                    // grows with each publication
  std::shared_ptr<const plans::PlanIndex> plan;  // null: none known
  bool serving = false;                          // the plan version may be served
  bool draining = false;
  Digest own_data_centre = 0;  // HashOf(name)
  RegionId own_region;
  std::size_t region_count = 1;
  std::vector<HostView> hosts;
  membership::OwnerRanking region_ranking;  // live hosts of the own region that are not leaving
  membership::OwnerRanking fleet_ranking;   // live hosts that are not leaving
  std::vector<EndpointView> endpoints;
  std::vector<routing::EndpointView> routes;  // of `endpoints`, in the same order
  std::unordered_map<HostId, std::size_t> host_index;
  std::unordered_map<EndpointId, std::size_t> endpoint_index;

  const HostView* FindHost(const HostId& id) const {
    const auto it = host_index.find(id);
    return it == host_index.end() ? nullptr : &hosts[it->second];
  }

  const EndpointView* FindEndpoint(const EndpointId& id) const {
    const auto it = endpoint_index.find(id);
    return it == endpoint_index.end() ? nullptr : &endpoints[it->second];
  }
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_SNAPSHOT_H_
