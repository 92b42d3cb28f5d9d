#include "verbenaridge/dispatch/data_centre_reach.h"

#include <algorithm>

namespace verbenaridge::dispatch {

bool DataCentreReach::OnUnreachable(const DataCentreId& data_centre, Digest endpoint,
                                    TimePoint now) {
  State& state = states_[data_centre];
  if (state.endpoints.empty() || now - state.first > options_.window) {
    state.endpoints.clear();
    state.first = now;
  }
  state.endpoints.insert(endpoint);
  // After a pause a single endpoint shows that nothing has changed.
  const std::size_t needed = state.pauses > 0 ? 1 : options_.endpoints;
  if (state.endpoints.size() < needed) return false;
  const bool was_cut = now < state.cut_until;
  if (!was_cut) {
    const Duration pause = options_.first_pause * (1 << std::min(state.pauses, 8));
    state.cut_until = now + std::min(pause, options_.longest_pause);
    ++state.pauses;
  }
  state.endpoints.clear();
  return !was_cut;
}

bool DataCentreReach::Cut(const DataCentreId& data_centre, TimePoint now) const {
  const auto found = states_.find(data_centre);
  return found != states_.end() && now < found->second.cut_until;
}

}  // namespace verbenaridge::dispatch
