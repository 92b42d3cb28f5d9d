#include "verbenaridge/routing/routing_policy.h"

#include <algorithm>

#include "verbenaridge/routing/baseline_policies.h"
#include "verbenaridge/routing/owner_permits_policy.h"

namespace verbenaridge::routing {

namespace {

bool Serves(const EndpointView& view, const RouteRequest& request) {
  const bool role = view.role == EndpointRole::kAny || request.role == EndpointRole::kAny ||
                    view.role == request.role;
  return role &&
         std::find(view.models.begin(), view.models.end(), request.model) != view.models.end();
}

bool Holds(const EndpointView& view, const RouteRequest& request, double kv_fill) {
  const ByteCount kv =
      (request.prompt_tokens + request.max_output_tokens) * view.kv_bytes_per_token;
  return static_cast<double>(kv) <= static_cast<double>(view.kv_capacity_bytes) * kv_fill;
}

}  // namespace

PolicyOptions KaoriSachetOptions() {
  PolicyOptions options;
  options.long_share = 0.4;
  options.spill_above[Rank(Priority::kUrgent)] = std::chrono::milliseconds(300);
  return options;
}

PolicyOptions AlpenrandOptions() {
  PolicyOptions options;
  options.long_share = 0.4;
  options.spill_per_second = 1;
  return options;
}

bool Eligible(const EndpointView& view, const RouteRequest& request, double kv_fill) {
  return view.available && !view.leaving && Serves(view, request) &&
         Holds(view, request, kv_fill) &&
         std::find(request.excluded.begin(), request.excluded.end(), view.key) ==
             request.excluded.end();
}

RouteFailure ExplainFailure(const RouteRequest& request, std::span<const EndpointView> views,
                            double kv_fill) {
  RouteFailure failure = RouteFailure::kNoModel;
  for (const EndpointView& view : views) {
    if (!Serves(view, request)) continue;
    if (Holds(view, request, kv_fill)) return RouteFailure::kNoneReady;
    failure = RouteFailure::kTooLong;
  }
  return failure;
}

std::unique_ptr<RoutingPolicy> MakePolicy(std::string_view name, const PolicyOptions& options) {
  if (name == "least_outstanding") return std::make_unique<LeastOutstandingPolicy>(options);
  if (name == "two_choices") return std::make_unique<TwoChoicesPolicy>(options);
  if (name == "owner_permits") return std::make_unique<OwnerPermitsPolicy>(options, false);
  if (name == "owner_permits_affinity") return std::make_unique<OwnerPermitsPolicy>(options, true);
  return nullptr;
}

}  // namespace verbenaridge::routing
