// Chooses the candidates whose owners are asked for a permit, by predicted first token time.
#ifndef VERBENARIDGE_ROUTING_OWNER_PERMITS_POLICY_H_
#define VERBENARIDGE_ROUTING_OWNER_PERMITS_POLICY_H_

#include <unordered_map>
#include <vector>

#include "verbenaridge/routing/prefix_index.h"
#include "verbenaridge/routing/routing_policy.h"

namespace verbenaridge::routing {

// Draws up to three endpoints at random, without replacement. Weights decrease with the predicted
// time of the first token, so daemons with the same stale summaries spread their requests. Owners
// correct a wrong prediction by refusing with kBusy.
class OwnerPermitsPolicy final : public RoutingPolicy {
 public:
  OwnerPermitsPolicy(const PolicyOptions& options, bool affinity)
      : options_(options),
        affinity_(affinity),
        prefixes_(options.prefix),
        spill_tokens_(options.spill_burst) {}

  RouteDecision Choose(const RouteRequest& request, std::span<const EndpointView> views,
                       RandomSource& random) override;
  void OnDispatched(const EndpointView& view, const RouteRequest& request,
                    double cost_seconds) override;
  void OnFinished(const EndpointView& /*view*/) override {}
  void OnCacheEvent(Digest endpoint, const CacheEvent& event, TimePoint now) override;
  void OnEndpointRestart(Digest endpoint) override { prefixes_.Forget(endpoint); }
  bool uses_permits() const override { return true; }

 private:
  struct Pending {
    double cost = 0;  // seconds of endpoint time dispatched, decaying with age
    TimePoint at{};   // time of the last dispatch
  };

  Candidate Predict(const EndpointView& view, std::size_t index, const RouteRequest& request,
                    std::span<const PrefixMatch> matches) const;
  double PendingCost(const EndpointView& view, TimePoint now) const;
  void RestrictToLongShare(const RouteRequest& request, std::span<const EndpointView> views,
                           std::vector<Candidate>& local) const;
  bool MaySpill(const RouteRequest& request, std::span<const Candidate> local);
  void Draw(std::vector<Candidate>& candidates, RandomSource& random,
            RouteDecision& decision) const;

  PolicyOptions options_;
  bool affinity_;
  PrefixIndex prefixes_;
  std::unordered_map<Digest, Pending> pending_;
  double spill_tokens_;
  TimePoint spill_refilled_{};
};

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_OWNER_PERMITS_POLICY_H_
