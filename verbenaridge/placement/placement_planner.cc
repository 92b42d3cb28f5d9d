#include "verbenaridge/placement/placement_planner.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::placement {

PolicyOptions KaoriSachetOptions() {
  PolicyOptions options;
  options.target_load = 0.6;
  return options;
}

PolicyOptions AlpenrandOptions() {
  PolicyOptions options;
  options.demand_smoothing = std::chrono::minutes(5);
  return options;
}

void PlacementPlanner::Smooth(std::span<const Demand> demands, TimePoint now) {
  const bool first = smoothed_ == TimePoint{};
  const double age = ToSeconds(now - smoothed_) / ToSeconds(options_.demand_smoothing);
  const double weight = first ? 1.0 : 1 - std::exp(-age);
  smoothed_ = now;
  std::map<Assignment, double> seen;
  for (const Demand& demand : demands) seen[demand.assignment] += demand.cost_per_second;
  for (auto& [assignment, value] : demand_) {
    const auto found = seen.find(assignment);
    value += weight * ((found == seen.end() ? 0 : found->second) - value);
  }
  for (const auto& [assignment, value] : seen) demand_.try_emplace(assignment, value);
}

std::map<Assignment, PlacementPlanner::Balance> PlacementPlanner::Balances(
    std::span<const EndpointState> endpoints) const {
  std::map<Assignment, Balance> balances;
  for (const auto& [assignment, value] : demand_) balances[assignment].demand = value;
  for (const EndpointState& endpoint : endpoints) {
    if (endpoint.leaving) continue;
    const auto move = moves_.find(endpoint.endpoint);
    // An endpoint under way counts for where it goes.
    Balance& balance = balances[move == moves_.end() ? endpoint.serves : move->second.to];
    balance.capacity += endpoint.capacity * options_.target_load;
    ++balance.endpoints;
  }
  return balances;
}

// Starts at most one move, from the assignment with most to spare to the one with the largest
// shortage.
void PlacementPlanner::StartMove(std::span<const EndpointState> endpoints, TimePoint now) {
  const std::map<Assignment, Balance> balances = Balances(endpoints);
  const Assignment* needy = nullptr;
  double worst = 0;
  for (const auto& [assignment, balance] : balances) {
    const bool none = balance.demand > 0 && balance.endpoints < options_.minimum_endpoints;
    const double lack = balance.demand - balance.capacity + (none ? 1e6 : 0);
    if ((none || lack > options_.shortage * options_.target_load) && lack > worst) {
      needy = &assignment;
      worst = lack;
    }
  }
  if (needy == nullptr) return;
  const EndpointState* giver = nullptr;
  double most = 0;
  for (const EndpointState& endpoint : endpoints) {
    const auto changed = changed_.find(endpoint.endpoint);
    const bool dwells = changed != changed_.end() && now - changed->second < options_.minimum_dwell;
    if (endpoint.leaving || dwells || endpoint.serves == *needy ||
        moves_.contains(endpoint.endpoint)) {
      continue;
    }
    const Balance& balance = balances.at(endpoint.serves);
    const double own = endpoint.capacity * options_.target_load;
    const double left = balance.capacity - own - balance.demand;
    const bool last = balance.demand > 0 && balance.endpoints <= options_.minimum_endpoints;
    if (last || left < options_.spare * options_.target_load) continue;
    // The emptier endpoint drains sooner.
    const double value = left + 1.0 / (1.0 + static_cast<double>(endpoint.running));
    if (giver == nullptr || value > most) {
      giver = &endpoint;
      most = value;
    }
  }
  if (giver != nullptr) moves_[giver->endpoint] = {.to = *needy, .started = now, .ordered = {}};
}

bool PlacementPlanner::TakeLoad(TimePoint now) {
  const bool first = loads_at_ == TimePoint{};
  const double minutes = ToSeconds(now - loads_at_) / 60;
  loads_ = first ? options_.load_burst
                 : std::min(options_.load_burst, loads_ + minutes * options_.loads_per_minute);
  loads_at_ = now;
  if (loads_ < 1) return false;
  loads_ -= 1;
  return true;
}

bool PlacementPlanner::MayOrder(const EndpointState& endpoint, const Lease& lease,
                                TimePoint now) const {
  if (lease.fencing_token == 0 || lease.expiry <= now) return false;
  if (endpoint.checks_fencing) return true;
  return endpoint.drained && endpoint.running == 0 &&
         lease.expiry - now > options_.max_order_time;
}

std::optional<Order> PlacementPlanner::Continue(const EndpointState& endpoint, const Lease& lease,
                                                TimePoint now) {
  const auto found = moves_.find(endpoint.endpoint);
  if (found == moves_.end()) return std::nullopt;
  Move& move = found->second;
  const auto order = [&](OrderKind kind, const Assignment& assignment) {
    return Order{kind, endpoint.endpoint, assignment, lease.fencing_token};
  };
  if (move.ordered != TimePoint{}) {
    if (endpoint.serves == move.to) {
      changed_[endpoint.endpoint] = now;
      moves_.erase(found);
      return order(OrderKind::kUndrain, endpoint.serves);
    }
    if (now - move.ordered < 2 * options_.max_order_time) return std::nullopt;
  }
  if (!endpoint.drained) return order(OrderKind::kDrain, endpoint.serves);
  if (endpoint.running > 0) {
    if (now - move.started < options_.drain_before_order) return std::nullopt;
    // Work does not end: the endpoint keeps what it serves and dwells.
    changed_[endpoint.endpoint] = now;
    moves_.erase(found);
    return order(OrderKind::kUndrain, endpoint.serves);
  }
  if (!MayOrder(endpoint, lease, now) || !TakeLoad(now)) return std::nullopt;
  move.ordered = now;
  return order(OrderKind::kAssign, move.to);
}

std::vector<Order> PlacementPlanner::Plan(std::span<const EndpointState> endpoints,
                                          std::span<const Demand> demands, const Lease& lease,
                                          TimePoint now) {
  Smooth(demands, now);
  std::vector<Order> orders;
  if (lease.fencing_token == 0 || lease.expiry <= now) {
    // Another daemon plans now; what this one started is unknown to it and starts over.
    moves_.clear();
    return orders;
  }
  StartMove(endpoints, now);
  for (const EndpointState& endpoint : endpoints) {
    if (endpoint.leaving) {
      moves_.erase(endpoint.endpoint);
      continue;
    }
    if (std::optional<Order> order = Continue(endpoint, lease, now)) {
      orders.push_back(std::move(*order));
    }
  }
  return orders;
}

}  // namespace verbenaridge::placement
