#include "verbenaridge/dispatch/endpoint_health.h"

#include <algorithm>

namespace verbenaridge::dispatch {

std::string_view ToText(FailureKind kind) {
  switch (kind) {
    case FailureKind::kUnreachable:
      return "unreachable";
    case FailureKind::kBroken:
      return "broken";
    case FailureKind::kError:
      return "error";
    case FailureKind::kFull:
      return "full";
    case FailureKind::kReplaced:
      return "replaced";
  }
  return "unknown";
}

void EndpointHealth::OnSuccess(Digest endpoint) {
  const auto found = states_.find(endpoint);
  if (found == states_.end()) return;
  State& state = found->second;
  state.failures = 0;
  state.ejected = false;
  state.ejected_until = {};
  state.probe_until = {};
  state.replaced_until = {};
  state.error_rate *= 1 - options_.error_smoothing;
}

bool EndpointHealth::OnFailure(Digest endpoint, FailureKind kind, TimePoint now) {
  State& state = states_[endpoint];
  const bool usable = Usable(endpoint, now);
  if (kind == FailureKind::kFull) {
    state.ejected_until = std::max(state.ejected_until, now + options_.full_ejection);
    return false;
  }
  if (kind == FailureKind::kReplaced) {
    state.replaced_until = now + options_.max_ejection;
    state.ejected_until = std::max(state.ejected_until, state.replaced_until);
    return usable;
  }
  state.error_rate += (1 - state.error_rate) * options_.error_smoothing;
  ++state.failures;
  const int threshold = kind == FailureKind::kUnreachable ? 1 : options_.failures_before_ejection;
  if (state.failures < threshold) return false;
  const int doublings = std::min(state.failures - threshold, 8);
  const Duration ejection =
      std::min(options_.initial_ejection * (1 << doublings), options_.max_ejection);
  state.ejected = true;
  state.ejected_until = std::max(state.ejected_until, now + ejection);
  state.probe_until = {};
  return usable;
}

bool EndpointHealth::Usable(Digest endpoint, TimePoint now) const {
  const auto found = states_.find(endpoint);
  if (found == states_.end()) return true;
  const State& state = found->second;
  return now >= state.ejected_until && now >= state.probe_until;
}

bool EndpointHealth::IsReplaced(Digest endpoint, TimePoint now) const {
  const auto found = states_.find(endpoint);
  return found != states_.end() && now < found->second.replaced_until;
}

void EndpointHealth::OnDispatched(Digest endpoint, TimePoint now) {
  const auto found = states_.find(endpoint);
  if (found == states_.end() || !found->second.ejected) return;
  found->second.probe_until = now + options_.max_ejection;
}

double EndpointHealth::ErrorRate(Digest endpoint) const {
  const auto found = states_.find(endpoint);
  return found == states_.end() ? 0 : found->second.error_rate;
}

}  // namespace verbenaridge::dispatch
