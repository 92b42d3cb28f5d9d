// The simpler schemes that the product is measured against.
#ifndef VERBENARIDGE_ROUTING_BASELINE_POLICIES_H_
#define VERBENARIDGE_ROUTING_BASELINE_POLICIES_H_

#include <unordered_map>

#include "verbenaridge/routing/routing_policy.h"

namespace verbenaridge::routing {

// Each daemon alone: the endpoint with the fewest requests of this daemon and in its lagged report.
class LeastOutstandingPolicy final : public RoutingPolicy {
 public:
  explicit LeastOutstandingPolicy(const PolicyOptions& options) : options_(options) {}

  RouteDecision Choose(const RouteRequest& request, std::span<const EndpointView> views,
                       RandomSource& random) override;
  void OnDispatched(const EndpointView& view, const RouteRequest& request,
                    double cost_seconds) override;
  void OnFinished(const EndpointView& view) override;
  bool uses_permits() const override { return false; }

 private:
  PolicyOptions options_;
  std::unordered_map<Digest, std::uint32_t> outstanding_;
};

// Two random endpoints; the one with the shorter lagged delay.
class TwoChoicesPolicy final : public RoutingPolicy {
 public:
  explicit TwoChoicesPolicy(const PolicyOptions& options) : options_(options) {}

  RouteDecision Choose(const RouteRequest& request, std::span<const EndpointView> views,
                       RandomSource& random) override;
  void OnDispatched(const EndpointView& view, const RouteRequest& request,
                    double cost_seconds) override;
  void OnFinished(const EndpointView& view) override;
  bool uses_permits() const override { return false; }

 private:
  PolicyOptions options_;
};

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_BASELINE_POLICIES_H_
