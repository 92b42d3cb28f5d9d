// The part of Dispatcher that prices requests to endpoints of other data centres.
#include <algorithm>
#include <cmath>
#include <vector>

#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {
namespace {

constexpr std::uint64_t kBytesPerPromptToken = 4;
constexpr std::uint64_t kBytesPerOutputToken = 8;  // with the framing of events

}  // namespace

bool Dispatcher::AdaptsCrossings(const ServiceId& service) const {
  return options_.adaptive_crossing && groups_.contains(service);
}

dispatch::CrossingDemand Dispatcher::CrossingDemandOf(const Group& group,
                                                      const DispatchRequest& request) const {
  const dispatch::Demand& demand = request.demand;
  dispatch::CrossingDemand crossing{
      .generation = group.model != nullptr && demand.prompt_tokens > 0,
      .target = demand.target_latency,
      .weight = demand.weight(),
      .bytes = kBytesPerPromptToken *
                   static_cast<std::uint64_t>(std::max<TokenCount>(demand.prompt_tokens, 0)) +
               kBytesPerOutputToken *
                   static_cast<std::uint64_t>(std::max<TokenCount>(demand.output_tokens, 0))};
  if (!crossing.generation) {
    const auto known = crossings_.find(request.service);
    if (known != crossings_.end()) crossing.work = known->second.work.value();
    return crossing;
  }
  const auto stride = static_cast<double>(std::max(group.model->timing().stride, 1));
  const double passes =
      std::max(1.0, std::ceil(static_cast<double>(demand.output_tokens) / stride));
  crossing.work = FromSeconds(passes * ToSeconds(group.model->LongestPassTime()));
  return crossing;
}

std::vector<dispatch::DataCentreLoad> Dispatcher::DataCentreLoads(const DispatchRequest& request,
                                                                  const CandidateList& list) {
  std::vector<dispatch::DataCentreLoad> loads;
  for (std::size_t i = 0; i < list.candidates.size(); ++i) {
    const directory::Endpoint& endpoint = *list.endpoints[i];
    const dispatch::EndpointLoad& load = list.candidates[i].load;
    auto found = std::find_if(loads.begin(), loads.end(), [&](const auto& other) {
      return other.data_centre == endpoint.data_centre;
    });
    if (found == loads.end()) {
      dispatch::DataCentreLoad added{.data_centre = endpoint.data_centre,
                                     .shortest_queue = Duration::max()};
      if (!IsElsewhere(endpoint)) {
        added.tasks = WaitingFor(request.service).size();
      } else if (snapshot_->configuration != nullptr) {
        added.delay =
            snapshot_->configuration->DelayBetween(options_.data_centre, endpoint.data_centre);
      }
      found = loads.insert(loads.end(), added);
    }
    // All slots, also those that UsableSlots leaves to other schedulers for a moment.
    found->slots += endpoint.slots;
    found->tasks += load.tasks;
    // The load table does not see when a plain service begins its work.
    const Duration queue =
        list.candidates[i].model == nullptr ? Duration{} : load.prefill_time + load.delay;
    found->shortest_queue = std::min(found->shortest_queue, queue);
  }
  return loads;
}

dispatch::CrossingPolicy& Dispatcher::AdaptiveCrossing(const DispatchRequest& request,
                                                       const CandidateList& list) {
  std::unique_ptr<dispatch::CrossingPolicy>& policy = crossings_[request.service].policy;
  if (policy == nullptr) policy = dispatch::MakeAdaptiveCrossing(options_.data_centre, {});
  // A request that failed at an endpoint, or that endpoints at their limits do not take, does not
  // see the load of all.
  if (!request.excluded.empty() || list.at_limit) return *policy;
  for (const dispatch::ExportChange& change :
       policy->Observe(DataCentreLoads(request, list), clock_.Now())) {
    if (change.data_centre != options_.data_centre) continue;  // its schedulers log it
    telemetry::Log(telemetry::Level::kInfo, "crossing_changed",
                   {{"service", request.service.value()},
                    {"data_centre", change.data_centre.value()},
                    {"exports", change.exports},
                    {"load", change.load},
                    {"lowest_other_load", change.lowest_other_load}});
  }
  return *policy;
}

void Dispatcher::SetCrossingCosts(const Group& group, const DispatchRequest& request,
                                  CandidateList& list) {
  if (list.candidates.empty()) return;
  // Only schedulers know the loads, and only once their peers have announced their tasks.
  const bool adaptive =
      options_.adaptive_crossing && is_scheduler_ && clock_.Now() - started_ >= options_.warm_up;
  const dispatch::CrossingPolicy& policy =
      adaptive ? AdaptiveCrossing(request, list) : *fixed_crossing_;
  const dispatch::CrossingDemand demand = CrossingDemandOf(group, request);
  for (std::size_t i = 0; i < list.candidates.size(); ++i) {
    if (!list.candidates[i].remote) continue;
    list.candidates[i].crossing_cost = policy.Cost(demand, list.endpoints[i]->data_centre);
  }
}

void Dispatcher::LearnWork(Digest endpoint, Duration time) {
  const auto known = known_endpoints_.find(endpoint);
  if (known == known_endpoints_.end() || !known->second.local) return;
  const ServiceId& service = known->second.service;
  if (!AdaptsCrossings(service) || ModelOf(service) != nullptr) return;
  crossings_[service].work.Observe(time);
}

}  // namespace verbenaridge::forwarding
