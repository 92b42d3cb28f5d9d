// Simple routing policies that benchmarks compare the owner permits policy with.
#ifndef VERBENARIDGE_ROUTING_BASELINE_POLICIES_H_
#define VERBENARIDGE_ROUTING_BASELINE_POLICIES_H_

#include <unordered_map>

#include "verbenaridge/routing/routing_policy.h"

namespace verbenaridge::routing {

// Chooses the endpoint with the fewest outstanding requests. The count is the larger of this
// daemon's own requests and the number in the endpoint's lagged report.
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

// Draws two random endpoints and chooses the one with the shorter queue delay in its lagged report.
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
