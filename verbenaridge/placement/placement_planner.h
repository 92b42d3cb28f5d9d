// Which endpoints serve which model, version, adapter and role, following demand.
//
// One planner per data centre runs on the daemon that holds the placement lease; its fencing token
// is in every order. Orders follow demand with hysteresis (a shortage must be larger than the
// surplus that pays for it), a minimum dwell per endpoint, and the weight store's rate limit.
//
// Endpoints that check fencing tokens get an order at any time: an order of an earlier holder that
// arrives late is refused by the endpoint. Endpoints that ignore tokens get one only if nothing
// harmful can come of a late or repeated order: the endpoint is drained and idle, the lease has
// more time left than an order can take to arrive (`max_order_time`), the order is idempotent
// (it names the whole wanted state), and the next order waits until the endpoint reports the state
// or `max_order_time` has passed twice.
//
//   PlacementPlanner planner(options);
//   for (const Order& order : planner.Plan(endpoints, demands, lease, now)) Send(order);
#ifndef VERBENARIDGE_PLACEMENT_PLACEMENT_PLANNER_H_
#define VERBENARIDGE_PLACEMENT_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::placement {

struct PolicyOptions {
  Duration minimum_dwell = std::chrono::minutes(10);
  Duration demand_smoothing = std::chrono::minutes(2);  // time constant
  double target_load = 0.7;  // of an endpoint's capacity
  // A model gets one more endpoint when it is short by more than this part of an endpoint, and
  // gives one when it would still have as much to spare. The gap between the two stops flapping.
  double shortage = 0.3;
  double spare = 0.3;
  std::size_t minimum_endpoints = 1;  // per model with a demand
  double loads_per_minute = 2;  // of the weight store, for this data centre
  double load_burst = 2;
  Duration max_order_time = std::chrono::seconds(5);
  Duration drain_before_order = std::chrono::seconds(30);  // then the planner gives the drain up
};

// Preset that keeps more room for urgent work.
PolicyOptions KaoriSachetOptions();
// Preset that follows floods slowly, because moved endpoints serve nobody while they load.
PolicyOptions AlpenrandOptions();

// What an endpoint serves.
struct Assignment {
  ModelId model;
  std::string version;
  std::string adapter;
  std::string role;

  friend bool operator==(const Assignment&, const Assignment&) = default;
  friend bool operator<(const Assignment& a, const Assignment& b) {
    return std::tie(a.model.value(), a.version, a.adapter, a.role) <
           std::tie(b.model.value(), b.version, b.adapter, b.role);
  }
};

struct EndpointState {
  EndpointId endpoint;
  Assignment serves;
  double capacity = 1;  // cost seconds per second
  std::size_t running = 0;
  bool leaving = false;        // no new work, by its own wish
  bool checks_fencing = false;
  bool drained = false;        // as this planner asked
};

struct Demand {
  Assignment assignment;
  double cost_per_second = 0;
};

struct Lease {
  std::uint64_t fencing_token = 0;  // 0: not held
  TimePoint expiry{};
};

enum class OrderKind : std::uint8_t {
  kDrain,    // stop giving the endpoint new work, then ask again
  kUndrain,  // the endpoint keeps what it serves
  kAssign,   // load model, version and adapter and take the role
};

struct Order {
  OrderKind kind = OrderKind::kAssign;
  EndpointId endpoint;
  Assignment assignment;
  std::uint64_t fencing_token = 0;
};

// Used by one thread.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(const PolicyOptions& options) : options_(options) {}

  // Orders to send now. At most one endpoint changes per call.
  std::vector<Order> Plan(std::span<const EndpointState> endpoints,
                          std::span<const Demand> demands, const Lease& lease, TimePoint now);

  // An order was refused or its fate is unknown; it is planned again when it may be.
  void OnOrderFailed(const EndpointId& endpoint) { moves_.erase(endpoint); }

 private:
  struct Move {
    Assignment to;
    TimePoint started{};
    TimePoint ordered{};  // zero: still draining
  };
  struct Balance {
    double demand = 0;
    double capacity = 0;
    std::size_t endpoints = 0;
  };

  void Smooth(std::span<const Demand> demands, TimePoint now);
  std::map<Assignment, Balance> Balances(std::span<const EndpointState> endpoints) const;
  void StartMove(std::span<const EndpointState> endpoints, TimePoint now);
  std::optional<Order> Continue(const EndpointState& endpoint, const Lease& lease, TimePoint now);
  bool MayOrder(const EndpointState& endpoint, const Lease& lease, TimePoint now) const;
  bool TakeLoad(TimePoint now);

  PolicyOptions options_;
  std::map<Assignment, double> demand_;
  std::map<EndpointId, Move> moves_;
  std::map<EndpointId, TimePoint> changed_;
  TimePoint smoothed_{};
  double loads_ = 0;
  TimePoint loads_at_{};
};

}  // namespace verbenaridge::placement

#endif  // VERBENARIDGE_PLACEMENT_PLACEMENT_PLANNER_H_
