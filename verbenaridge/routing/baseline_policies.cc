#include "verbenaridge/routing/baseline_policies.h"

#include <algorithm>
#include <limits>

namespace verbenaridge::routing {

RouteDecision LeastOutstandingPolicy::Choose(const RouteRequest& request,
                                             std::span<const EndpointView> views,
                                             RandomSource& random) {
  RouteDecision decision;
  std::size_t best = views.size();
  std::uint64_t best_load = std::numeric_limits<std::uint64_t>::max();
  const std::size_t start = views.empty() ? 0 : random.Below(views.size());
  for (std::size_t i = 0; i < views.size(); ++i) {
    const std::size_t index = (start + i) % views.size();
    const EndpointView& view = views[index];
    if (view.data_centre != request.data_centre || !Eligible(view, request, options_.kv_fill)) {
      continue;
    }
    const auto own = outstanding_.find(view.key);
    const std::uint64_t load =
        std::max<std::uint64_t>(view.running, own == outstanding_.end() ? 0 : own->second);
    if (load < best_load) {
      best = index;
      best_load = load;
    }
  }
  if (best == views.size()) {
    decision.failure = ExplainFailure(request, views, options_.kv_fill);
  } else {
    decision.Add({.index = best});
  }
  return decision;
}

void LeastOutstandingPolicy::OnDispatched(const EndpointView& view, const RouteRequest&, double) {
  ++outstanding_[view.key];
}

void LeastOutstandingPolicy::OnFinished(const EndpointView& view) {
  std::uint32_t& count = outstanding_[view.key];
  if (count > 0) --count;
}

RouteDecision TwoChoicesPolicy::Choose(const RouteRequest& request,
                                       std::span<const EndpointView> views, RandomSource& random) {
  RouteDecision decision;
  std::vector<std::size_t> eligible;
  for (std::size_t i = 0; i < views.size(); ++i) {
    if (views[i].data_centre == request.data_centre &&
        Eligible(views[i], request, options_.kv_fill)) {
      eligible.push_back(i);
    }
  }
  if (eligible.empty()) {
    decision.failure = ExplainFailure(request, views, options_.kv_fill);
    return decision;
  }
  const std::size_t first = eligible[random.Below(eligible.size())];
  const std::size_t second = eligible[random.Below(eligible.size())];
  const auto delay = [&](std::size_t i) { return views[i].queue_delay[Rank(request.priority)]; };
  decision.Add({.index = delay(second) < delay(first) ? second : first});
  return decision;
}

void TwoChoicesPolicy::OnDispatched(const EndpointView&, const RouteRequest&, double) {}
void TwoChoicesPolicy::OnFinished(const EndpointView&) {}

}  // namespace verbenaridge::routing
