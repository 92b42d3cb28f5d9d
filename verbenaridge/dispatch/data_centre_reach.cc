#include "verbenaridge/dispatch/data_centre_reach.h"

#include <algorithm>

namespace verbenaridge::dispatch {

bool DataCentreReach::OnUnreachable(const DataCentreId& data_centre, Digest endpoint,
                                    TimePoint now) {
  State& state = states_[data_centre];
  if (state.endpoints.empty() || now - state.first_failure > options_.window) {
    state.endpoints.clear();
    state.first_failure = now;
  }
  state.endpoints.insert(endpoint);
  // After an ejection one failed endpoint suffices to show that the data centre is still down.
  const std::size_t needed = state.ejections > 0 ? 1 : options_.min_endpoints;
  if (state.endpoints.size() < needed) return false;
  const bool was_unreachable = now < state.unreachable_until;
  if (!was_unreachable) {
    const Duration ejection = options_.initial_ejection * (1 << std::min(state.ejections, 8));
    state.unreachable_until = now + std::min(ejection, options_.max_ejection);
    ++state.ejections;
  }
  state.endpoints.clear();
  return !was_unreachable;
}

bool DataCentreReach::OnReached(const DataCentreId& data_centre) {
  const auto found = states_.find(data_centre);
  if (found == states_.end()) return false;
  const bool was_unreachable = found->second.ejections > 0;
  states_.erase(found);
  return was_unreachable;
}

bool DataCentreReach::IsUnreachable(const DataCentreId& data_centre, TimePoint now) const {
  const auto found = states_.find(data_centre);
  return found != states_.end() && now < found->second.unreachable_until;
}

}  // namespace verbenaridge::dispatch
