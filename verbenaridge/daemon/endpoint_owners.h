// Serves permits of the endpoints that this daemon owns and that are pinned to one loop: queues,
// memory ledgers, load reports, reconciliation with the endpoints, and findings of endpoint deaths.
#ifndef VERBENARIDGE_DAEMON_ENDPOINT_OWNERS_H_
#define VERBENARIDGE_DAEMON_ENDPOINT_OWNERS_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/holder.h"
#include "verbenaridge/cost/cost_model.h"
#include "verbenaridge/daemon/peer_router.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/engine/endpoint_client.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/permits/endpoint_owner.h"
#include "verbenaridge/poison/suspect_registry.h"
#include "verbenaridge/routing/routing_policy.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

// Used on one loop alone.
class EndpointOwners {
 public:
  struct Options {
    HostId self;
    Incarnation incarnation = 0;
    std::size_t thread_index = 0;
    std::size_t thread_count = 1;
    permits::PolicyOptions policy;
  };
  struct Sinks {
    std::function<void(std::vector<wire::EndpointSummary>)> summaries;
    std::function<void(std::vector<poison::DeathRecord>)> deaths;
  };

  EndpointOwners(Options options, Sinks sinks, const Clock& clock, cost::CostModel& costs,
                 routing::RoutingPolicy& routing, engine::EndpointClient& endpoints,
                 PeerRouter& router);
  ~EndpointOwners();

  void SetSnapshot(SnapshotPtr snapshot);

  void Request(const wire::PermitRequest& request, const std::shared_ptr<wire::ServerCall>& call);
  void Release(const wire::ReleasePermitRequest& request,
               const std::shared_ptr<wire::ServerCall>& call);
  void OnFirstToken(const wire::FirstTokenRequest& request);
  wire::RenewPermitsReply Renew(const wire::RenewPermitsRequest& request);

  // Run these every 100 ms, every second and every 5 s.
  void Tick();
  void FetchLoads();
  void ReconcileStreams();

  std::size_t owned() const { return owned_.size(); }

 private:
  class Owned;

  Owned* Find(const EndpointId& endpoint);
  void Perform(Owned& owned, const permits::Actions& actions);
  void Fetch(const EndpointId& endpoint, bool reconcile, std::function<void(bool died)> done);
  void OnLoad(const EndpointId& endpoint, bool reconcile, const Result<engine::LoadReport>& report,
              const std::function<void(bool died)>& done);
  void OnDeath(Owned& owned);
  void FetchCacheEvents(Owned& owned);
  wire::EndpointSummary SummaryOf(Owned& owned);

  const Options options_;
  const Sinks sinks_;
  const Clock& clock_;
  cost::CostModel& costs_;
  routing::RoutingPolicy& routing_;
  engine::EndpointClient& endpoints_;
  PeerRouter& router_;
  SnapshotPtr snapshot_;
  std::map<EndpointId, std::unique_ptr<Owned>> owned_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_ENDPOINT_OWNERS_H_
