// What the requests of one traffic thread share.
#ifndef VERBENARIDGE_DAEMON_RUN_CONTEXT_H_
#define VERBENARIDGE_DAEMON_RUN_CONTEXT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "verbenaridge/attempts/circuit_breaker.h"
#include "verbenaridge/attempts/retry.h"
#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/holder.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/cost/cost_model.h"
#include "verbenaridge/daemon/held_permits.h"
#include "verbenaridge/daemon/local_admission.h"
#include "verbenaridge/daemon/peer_router.h"
#include "verbenaridge/daemon/request_metrics.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/engine/endpoint_client.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/permits/permit_types.h"
#include "verbenaridge/routing/routing_policy.h"

namespace verbenaridge::daemon {

// Used on the thread's loop alone; outlives the requests.
struct RunContext {
  loop::EventLoop& loop;
  const Clock& clock;
  RandomSource& random;
  PeerRouter& router;
  engine::EndpointClient& endpoints;
  routing::RoutingPolicy& routing;
  const routing::PolicyOptions routing_options;
  const permits::PolicyOptions permit_options;
  cost::CostModel& costs;
  HeldPermits& held_permits;
  LocalAdmission& local_admission;
  RequestMetrics& metrics;
  HostId self;
  Incarnation incarnation = 0;
  std::size_t thread_index = 0;
  std::size_t thread_count = 1;
  std::size_t unsent_limit = 0;

  SnapshotPtr snapshot{};
  // The death of an endpoint interrupts all that ran there, so as many retries are always saved.
  attempts::RetryBudgets budgets{attempts::RetryBudgetOptions{
      .floor_retries = 64, .floor_retries_per_second = 1, .max_saved_retries = 64}};
  std::map<EndpointId, attempts::CircuitBreaker> breakers{};
  std::uint64_t requests_started = 0;

  // Numbers a request so that the remainder by the thread count names this thread.
  HolderId NextHolder() {
    const std::uint64_t sequence = ++requests_started * thread_count + thread_index;
    return {.host = self, .incarnation = incarnation, .sequence = sequence};
  }

  attempts::CircuitBreaker& BreakerOf(const EndpointId& endpoint) {
    return breakers.try_emplace(endpoint, random).first->second;
  }
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_RUN_CONTEXT_H_
