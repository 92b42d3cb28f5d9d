// Builds snapshots from the parts that the control thread keeps.
#ifndef VERBENARIDGE_DAEMON_SNAPSHOT_BUILDER_H_
#define VERBENARIDGE_DAEMON_SNAPSHOT_BUILDER_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/settings/settings.h"

namespace verbenaridge::daemon {

// Not thread-safe; belongs to the control thread.
class SnapshotBuilder {
 public:
  explicit SnapshotBuilder(const settings::Settings& settings);

  void SetPlan(std::shared_ptr<const plans::PlanIndex> plan, bool serving);
  void SetDraining(bool draining) { draining_ = draining; }
  // Live hosts, this one included.
  void SetHosts(std::vector<HostView> hosts);

  // Keeps the newest summary of each endpoint. Returns whether it was news.
  bool AddSummary(const wire::EndpointSummary& summary, TimePoint now);

  // Operators' drains at endpoints that this daemon owns.
  void SetDrained(const EndpointId& endpoint, bool drained);

  SnapshotPtr Build();

  bool IsOwnDataCentre(const EndpointId& endpoint) const {
    return own_endpoints_.contains(endpoint);
  }
  RegionId RegionOf(const DataCentreId& data_centre) const;
  const std::map<EndpointId, wire::EndpointSummary>& summaries() const { return summaries_; }
  const std::vector<HostView>& hosts() const { return hosts_; }

 private:
  void TakeOverDrains();
  EndpointView ViewOf(const settings::EndpointSettings& endpoint) const;
  routing::EndpointView RouteOf(const EndpointView& view) const;

  const settings::Settings& settings_;
  std::map<DataCentreId, RegionId> regions_;
  std::shared_ptr<const plans::PlanIndex> plan_;
  bool serving_ = false;
  bool draining_ = false;
  std::vector<HostView> hosts_;
  std::map<DataCentreId, membership::OwnerRanking> data_centre_rankings_;
  membership::OwnerRanking region_ranking_;
  membership::OwnerRanking fleet_ranking_;
  std::map<EndpointId, wire::EndpointSummary> summaries_;
  std::map<EndpointId, TimePoint> reported_;
  std::set<EndpointId> own_endpoints_;  // of this data centre
  std::set<EndpointId> owned_;          // by this daemon
  std::set<EndpointId> drained_;        // of those
  std::uint64_t sequence_ = 0;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_SNAPSHOT_BUILDER_H_
