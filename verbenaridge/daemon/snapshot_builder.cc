#include "verbenaridge/daemon/snapshot_builder.h"

#include <algorithm>
#include <set>
#include <utility>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::daemon {
namespace {

std::vector<membership::WeightedHost> Weighted(const std::vector<const HostView*>& hosts) {
  std::vector<membership::WeightedHost> weighted;
  weighted.reserve(hosts.size());
  for (const HostView* host : hosts) weighted.push_back({.host = host->host});
  return weighted;
}

}  // namespace

SnapshotBuilder::SnapshotBuilder(const settings::Settings& settings) : settings_(settings) {
  for (const settings::DataCentreSettings& data_centre : settings.data_centres) {
    regions_[data_centre.id] = data_centre.region;
  }
  for (const settings::EndpointSettings& endpoint : settings.endpoints) {
    if (endpoint.data_centre == settings.data_centre) own_endpoints_.insert(endpoint.id);
  }
}

RegionId SnapshotBuilder::RegionOf(const DataCentreId& data_centre) const {
  const auto it = regions_.find(data_centre);
  return it == regions_.end() ? RegionId() : it->second;
}

void SnapshotBuilder::SetPlan(std::shared_ptr<const plans::PlanIndex> plan, bool serving) {
  plan_ = std::move(plan);
  serving_ = serving;
}

void SnapshotBuilder::SetHosts(std::vector<HostView> hosts) {
  hosts_ = std::move(hosts);
  std::sort(hosts_.begin(), hosts_.end(),
            [](const HostView& a, const HostView& b) { return a.host < b.host; });
  const RegionId own_region = RegionOf(settings_.data_centre);
  std::map<DataCentreId, std::vector<const HostView*>> by_data_centre;
  std::vector<const HostView*> region;
  std::vector<const HostView*> fleet;
  for (const HostView& host : hosts_) {
    if (host.leaving) continue;
    by_data_centre[host.data_centre].push_back(&host);
    if (host.region == own_region) region.push_back(&host);
    fleet.push_back(&host);
  }
  data_centre_rankings_.clear();
  for (const auto& [data_centre, members] : by_data_centre) {
    data_centre_rankings_[data_centre] = membership::OwnerRanking(Weighted(members));
  }
  region_ranking_ = membership::OwnerRanking(Weighted(region));
  fleet_ranking_ = membership::OwnerRanking(Weighted(fleet));
  TakeOverDrains();
}

bool SnapshotBuilder::AddSummary(const wire::EndpointSummary& summary, TimePoint now) {
  wire::EndpointSummary& known = summaries_[summary.endpoint];
  if (!known.endpoint.empty() && known.sequence >= summary.sequence) return false;
  known = summary;
  reported_[summary.endpoint] = now;
  return true;
}

// A drain outlives a change of the endpoint's owner: the new owner takes it over from the last
// summary.
void SnapshotBuilder::TakeOverDrains() {
  std::set<EndpointId> owned;
  for (const settings::EndpointSettings& endpoint : settings_.endpoints) {
    if (ViewOf(endpoint).owner != settings_.host) continue;
    owned.insert(endpoint.id);
    const auto summary = summaries_.find(endpoint.id);
    const bool is_new = !owned_.contains(endpoint.id);
    if (is_new && summary != summaries_.end() && summary->second.drained) {
      drained_.insert(endpoint.id);
    }
  }
  std::erase_if(drained_, [&](const EndpointId& id) { return !owned.contains(id); });
  owned_ = std::move(owned);
}

void SnapshotBuilder::SetDrained(const EndpointId& endpoint, bool drained) {
  if (drained) {
    drained_.insert(endpoint);
  } else {
    drained_.erase(endpoint);
  }
}

EndpointView SnapshotBuilder::ViewOf(const settings::EndpointSettings& endpoint) const {
  EndpointView view{.settings = endpoint};
  const auto ranking = data_centre_rankings_.find(endpoint.data_centre);
  if (ranking != data_centre_rankings_.end()) {
    const HostId* owner = ranking->second.Owner("endpoint/" + endpoint.id.value());
    if (owner != nullptr) view.owner = *owner;
  }
  const auto summary = summaries_.find(endpoint.id);
  if (summary != summaries_.end()) {
    view.summary = summary->second;
    view.leaving = summary->second.leaving;
    view.drained = summary->second.drained;
  }
  if (view.owner == settings_.host) {
    view.drained = drained_.contains(endpoint.id);
    view.leaving = view.drained;
  }
  return view;
}

routing::EndpointView SnapshotBuilder::RouteOf(const EndpointView& view) const {
  const settings::EndpointSettings& settings = view.settings;
  routing::EndpointView route{
      .id = settings.id,
      .key = HashOf(settings.id.value()),
      .data_centre = HashOf(settings.data_centre.value()),
      .models = {},
      .kv_capacity_bytes = settings.kv_capacity_bytes,
      .free_kv_bytes = settings.kv_capacity_bytes,
      .kv_bytes_per_token = settings.kv_bytes_per_token,
      .prefill_rate = settings.prefill_tokens_per_second,
      .leaving = view.leaving,
      .available = !view.owner.empty() && (!view.summary || view.summary->reachable)};
  for (const ModelId& model : settings.models) route.models.push_back(HashOf(model.value()));
  if (view.summary) {
    const wire::EndpointSummary& summary = *view.summary;
    if (summary.kv_capacity_bytes > 0) route.kv_capacity_bytes = summary.kv_capacity_bytes;
    route.free_kv_bytes = summary.free_kv_bytes;
    const std::size_t known = std::min(summary.queue_delay.size(), route.queue_delay.size());
    std::copy_n(summary.queue_delay.begin(), known, route.queue_delay.begin());
    route.running = summary.running;
    route.long_prefills = summary.long_prefills;
    route.reported = reported_.at(settings.id);
  }
  return route;
}

SnapshotPtr SnapshotBuilder::Build() {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->sequence = ++sequence_;
  snapshot->plan = plan_;
  snapshot->serving = serving_;
  snapshot->draining = draining_;
  snapshot->own_data_centre = HashOf(settings_.data_centre.value());
  snapshot->own_region = RegionOf(settings_.data_centre);
  std::set<RegionId> regions;
  for (const auto& [data_centre, region] : regions_) regions.insert(region);
  snapshot->region_count = regions.size();
  snapshot->hosts = hosts_;
  snapshot->region_ranking = region_ranking_;
  snapshot->fleet_ranking = fleet_ranking_;
  for (std::size_t i = 0; i < hosts_.size(); ++i) snapshot->host_index[hosts_[i].host] = i;
  for (const settings::EndpointSettings& endpoint : settings_.endpoints) {
    snapshot->endpoint_index[endpoint.id] = snapshot->endpoints.size();
    snapshot->endpoints.push_back(ViewOf(endpoint));
    snapshot->routes.push_back(RouteOf(snapshot->endpoints.back()));
  }
  return snapshot;
}

}  // namespace verbenaridge::daemon
