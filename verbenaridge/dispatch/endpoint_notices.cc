#include "verbenaridge/dispatch/endpoint_notices.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace verbenaridge::dispatch {

EndpointNotices::State& EndpointNotices::StateOf(Digest endpoint, TimePoint now) {
  return states_.try_emplace(endpoint, State{.noticed = now}).first->second;
}

bool EndpointNotices::OnLeaving(Digest endpoint, TimePoint now) {
  State& state = StateOf(endpoint, now);
  if (std::exchange(state.leaving, true)) return false;
  state.leaving_since = now;
  return true;
}

bool EndpointNotices::OnMalformed(Digest endpoint, TimePoint now) {
  return !std::exchange(StateOf(endpoint, now).malformed, true);
}

void EndpointNotices::Retain(std::span<const Digest> listed) {
  if (states_.size() <= options_.max_unlisted) return;
  const std::unordered_set<Digest> kept(listed.begin(), listed.end());
  std::vector<std::pair<TimePoint, Digest>> unlisted;
  for (const auto& [endpoint, state] : states_) {
    if (!kept.contains(endpoint)) unlisted.emplace_back(state.noticed, endpoint);
  }
  if (unlisted.size() <= options_.max_unlisted) return;
  std::sort(unlisted.begin(), unlisted.end());
  unlisted.resize(unlisted.size() - options_.max_unlisted);
  for (const auto& [noticed, endpoint] : unlisted) states_.erase(endpoint);
}

bool EndpointNotices::IsLeaving(Digest endpoint) const {
  const auto found = states_.find(endpoint);
  return found != states_.end() && found->second.leaving;
}

bool EndpointNotices::MayServeAsLast(Digest endpoint, TimePoint now) const {
  const auto found = states_.find(endpoint);
  if (found == states_.end() || !found->second.leaving) return true;
  return now - found->second.leaving_since < options_.last_endpoint_use;
}

}  // namespace verbenaridge::dispatch
