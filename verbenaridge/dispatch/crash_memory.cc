#include "verbenaridge/dispatch/crash_memory.h"

#include <algorithm>

namespace verbenaridge::dispatch {

bool CrashMemory::OnCrash(Digest request, Digest endpoint, TimePoint now) {
  if (suspects_.size() >= options_.capacity && !suspects_.contains(request)) {
    std::erase_if(suspects_,
                  [&](const auto& entry) { return now - entry.second.last > options_.memory; });
    if (suspects_.size() >= options_.capacity) {
      suspects_.erase(std::min_element(
          suspects_.begin(), suspects_.end(),
          [](const auto& a, const auto& b) { return a.second.last < b.second.last; }));
    }
  }
  Suspect& suspect = suspects_[request];
  suspect.last = now;
  return suspect.endpoints.insert(endpoint).second;
}

bool CrashMemory::Refused(Digest request, TimePoint now) const {
  const auto found = suspects_.find(request);
  return found != suspects_.end() && now - found->second.last <= options_.memory &&
         found->second.endpoints.size() >= options_.deaths_to_refuse;
}

}  // namespace verbenaridge::dispatch
