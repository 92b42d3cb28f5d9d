// Infers from failures of single endpoints that an entire data centre is unreachable.
//
//   DataCentreReach reach({});
//   reach.OnUnreachable(data_centre, endpoint, now);
//   if (reach.IsUnreachable(data_centre, now)) continue;  // do not try its endpoints one by one
//   reach.OnReached(data_centre);
//
// A request that tries the endpoints of an unreachable data centre one after the other misses its
// target before it finds a reachable one. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_DATA_CENTRE_REACH_H_
#define VERBENARIDGE_DISPATCH_DATA_CENTRE_REACH_H_

#include <cstddef>
#include <map>
#include <set>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

struct DataCentreReachOptions {
  // Unreachable endpoints in a row, with no response from the data centre in between. Failures of
  // single endpoints are more frequent than network partitions.
  std::size_t min_endpoints = 2;
  Duration window = std::chrono::milliseconds(1'500);
  Duration initial_ejection = std::chrono::milliseconds(800);
  Duration max_ejection = std::chrono::seconds(3);
};

class DataCentreReach {
 public:
  explicit DataCentreReach(const DataCentreReachOptions& options = {}) : options_(options) {}

  // Returns true if this failure makes the data centre unreachable and it was not before.
  bool OnUnreachable(const DataCentreId& data_centre, Digest endpoint, TimePoint now);
  // Returns true if it was unreachable since the last response.
  bool OnReached(const DataCentreId& data_centre);

  bool IsUnreachable(const DataCentreId& data_centre, TimePoint now) const;

 private:
  struct State {
    std::set<Digest> endpoints;
    TimePoint first_failure{};
    int ejections = 0;
    TimePoint unreachable_until{};
  };

  DataCentreReachOptions options_;
  std::map<DataCentreId, State> states_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_DATA_CENTRE_REACH_H_
