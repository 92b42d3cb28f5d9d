// Remembers the endpoint processes that have left: whose entries were removed from the store.
//
//   DepartedEndpoints departed;
//   departed.Add(endpoint, now);
//   if (const auto* left = departed.Find(entry.id); left && !left->IsSucceededBy(entry)) { ... }
//
// A store that is restored from a copy lists them again. Bounded in number and age; the earliest
// ones are forgotten first. Not thread-safe.
#ifndef VERBENARIDGE_DIRECTORY_DEPARTED_ENDPOINTS_H_
#define VERBENARIDGE_DIRECTORY_DEPARTED_ENDPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::directory {

struct Endpoint;

struct DepartedEndpointsOptions {
  // All endpoints of a large deployment and some restarts of each; about 200 bytes each.
  std::size_t max_endpoints = 4'096;
  // Copies are some seconds old. The rest allows for a host that is cut off in the meantime.
  Duration max_age = std::chrono::minutes(5);
};

class DepartedEndpoints {
 public:
  struct Departure {
    std::uint64_t start_unix_ms = 0;  // 0: unknown
    bool draining = false;            // before it left
    TimePoint time{};

    // Whether the entry is that of a process that certainly started later. Without start times that
    // is unknown.
    bool IsSucceededBy(const Endpoint& entry) const;
  };

  explicit DepartedEndpoints(const DepartedEndpointsOptions& options = {}) : options_(options) {}

  // Replaces what is known of an earlier process under the same id.
  void Add(const Endpoint& endpoint, TimePoint now);
  void Remove(const EndpointId& id) { departures_.erase(id); }
  void RemoveExpired(TimePoint now);

  // Null if no process under this id is known to have left. Valid until the next change.
  const Departure* Find(const EndpointId& id) const;

 private:
  struct Step {
    TimePoint time{};
    EndpointId id;
  };

  void RemoveFirst();

  const DepartedEndpointsOptions options_;
  std::map<EndpointId, Departure> departures_;
  std::deque<Step> order_;  // by time; also of departures that were replaced or removed
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_DEPARTED_ENDPOINTS_H_
