#include "verbenaridge/placement/placement_planner.h"

#include <doctest/doctest.h>

#include <cmath>

namespace verbenaridge::placement {
namespace {

using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
const Assignment kA{ModelId("a"), "1", "", "any"};
const Assignment kB{ModelId("b"), "1", "", "any"};

// Ten endpoints, `on_a` of them with model a; obeys orders after five seconds.
struct Simulation {
  explicit Simulation(std::size_t on_a, bool checks_fencing = true) {
    for (std::size_t i = 0; i < 10; ++i) {
      EndpointState state;
      state.endpoint = EndpointId("e" + std::to_string(i));
      state.serves = i < on_a ? kA : kB;
      state.checks_fencing = checks_fencing;
      state.running = 3;
      endpoints.push_back(state);
    }
  }

  void Step(double demand_a, double demand_b) {
    now += seconds(5);
    if (renews_lease) lease.expiry = now + seconds(30);
    for (EndpointState& state : endpoints) {
      if (state.drained && ends_work) state.running = 0;
    }
    for (const Order& order : pending) {
      EndpointState& state = Find(order.endpoint);
      if (order.kind == OrderKind::kAssign) state.serves = order.assignment;
    }
    pending.clear();
    for (const Order& order :
         planner.Plan(endpoints, std::vector<Demand>{{kA, demand_a}, {kB, demand_b}}, lease, now)) {
      EndpointState& state = Find(order.endpoint);
      if (order.kind == OrderKind::kDrain) state.drained = true;
      if (order.kind == OrderKind::kUndrain) state.drained = false, state.running = 3;
      if (order.kind != OrderKind::kAssign) continue;
      ++assigned;
      unsafe = unsafe || state.running > 0 || !state.drained || order.fencing_token != 7;
      if (loses_orders) continue;
      pending.push_back(order);
    }
  }

  EndpointState& Find(const EndpointId& id) {
    for (EndpointState& state : endpoints) {
      if (state.endpoint == id) return state;
    }
    return endpoints.front();
  }
  std::size_t on_a() const {
    std::size_t count = 0;
    for (const EndpointState& state : endpoints) count += state.serves == kA ? 1 : 0;
    return count;
  }

  PlacementPlanner planner{{.minimum_dwell = std::chrono::minutes(10)}};
  std::vector<EndpointState> endpoints;
  std::vector<Order> pending;
  Lease lease{.fencing_token = 7, .expiry = kStart + seconds(30)};
  TimePoint now = kStart;
  int assigned = 0;
  bool renews_lease = true, ends_work = true, loses_orders = false, unsafe = false;
};

// Guards against placement that ignores demand, flaps, overruns the weight store, or orders
// endpoints that ignore fencing tokens when an order could do harm.
TEST_CASE("placement follows demand") {
  struct Row {
    const char* name;
    std::size_t on_a;
    double (*demand_a)(double second);
    double demand_b;
    void (*change)(Simulation&);
    std::size_t low, high;  // endpoints with model a after 30 minutes
    int max_orders;
  };
  const auto none = [](Simulation&) {};
  const auto steady = [](double) { return 2.1; };
  const auto high = [](double) { return 4.2; };
  const auto waves = [](double second) { return 3.5 + 0.6 * std::sin(second / 60); };
  const Row rows[] = {
      {"balanced", 5, steady, 2.1, none, 5, 5, 0},
      {"demand moved", 3, high, 1.4, none, 6, 7, 4},
      {"new model", 0, steady, 2.1, none, 3, 4, 4},
      {"no spare capacity", 5, high, 4.2, none, 5, 5, 0},
      {"waves do not flap", 5, waves, 2.8, none, 5, 6, 2},
      {"no lease", 3, high, 1.4, [](Simulation& s) { s.lease.fencing_token = 0; }, 3, 3, 0},
      {"lease not renewed", 3, high, 1.4, [](Simulation& s) { s.renews_lease = false; }, 3, 5, 2},
      {"endpoints ignore tokens", 3, high, 1.4,
       [](Simulation& s) { for (auto& e : s.endpoints) e.checks_fencing = false; }, 6, 7, 4},
      {"endpoints ignore tokens, lease too short", 3, high, 1.4,
       [](Simulation& s) {
         for (auto& e : s.endpoints) e.checks_fencing = false;
         s.renews_lease = false;
         s.lease.expiry = kStart + seconds(14);
       },
       3, 3, 0},
      {"work does not end", 3, high, 1.4, [](Simulation& s) { s.ends_work = false; }, 3, 3, 0},
      {"orders are lost, the store's rate holds", 3, high, 1.4,
       [](Simulation& s) { s.loses_orders = true; }, 3, 3, 62},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      Simulation simulation(row.on_a);
      row.change(simulation);
      for (int step = 0; step < 360; ++step) {
        simulation.Step(row.demand_a(step * 5.0), row.demand_b);
      }
      CHECK(simulation.on_a() >= row.low);
      CHECK(simulation.on_a() <= row.high);
      CHECK(simulation.assigned <= row.max_orders);
      CHECK_FALSE(simulation.unsafe);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::placement
