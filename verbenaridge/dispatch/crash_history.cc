#include "verbenaridge/dispatch/crash_history.h"

#include <algorithm>

namespace verbenaridge::dispatch {

bool CrashHistory::OnCrash(Digest request, Digest endpoint, TimePoint now) {
  if (suspects_.size() >= options_.capacity && !suspects_.contains(request)) {
    std::erase_if(suspects_, [&](const auto& entry) {
      return now - entry.second.last_crash > options_.retention;
    });
    if (suspects_.size() >= options_.capacity) {
      suspects_.erase(std::min_element(
          suspects_.begin(), suspects_.end(),
          [](const auto& a, const auto& b) { return a.second.last_crash < b.second.last_crash; }));
    }
  }
  Suspect& suspect = suspects_[request];
  suspect.last_crash = now;
  return suspect.endpoints.insert(endpoint).second;
}

bool CrashHistory::ShouldRefuse(Digest request, TimePoint now) const {
  const auto found = suspects_.find(request);
  return found != suspects_.end() && now - found->second.last_crash <= options_.retention &&
         found->second.endpoints.size() >= options_.crashes_to_refuse;
}

}  // namespace verbenaridge::dispatch
