// Infers from single endpoints that a whole data centre cannot be reached.
//
//   DataCentreReach reach({});
//   reach.OnUnreachable(data_centre, endpoint, now);
//   if (reach.Cut(data_centre, now)) continue;   // do not try its endpoints one by one
//   reach.OnReached(data_centre);
//
// A request that finds out for each endpoint of a cut-off data centre that it is out of reach is
// late before it finds one that is not. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_DATA_CENTRE_REACH_H_
#define VERBENARIDGE_DISPATCH_DATA_CENTRE_REACH_H_

#include <cstddef>
#include <map>
#include <set>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

struct DataCentreReachOptions {
  // Unreachable one after the other, with no answer from the data centre in between. Single
  // endpoints die more often than data centres are cut off.
  std::size_t endpoints = 2;
  Duration window = std::chrono::milliseconds(1'500);
  Duration first_pause = std::chrono::milliseconds(800);
  Duration longest_pause = std::chrono::seconds(3);
};

class DataCentreReach {
 public:
  explicit DataCentreReach(const DataCentreReachOptions& options = {}) : options_(options) {}

  // True if the data centre counts as cut off from now on, and did not before.
  bool OnUnreachable(const DataCentreId& data_centre, Digest endpoint, TimePoint now);
  void OnReached(const DataCentreId& data_centre) { states_.erase(data_centre); }

  bool Cut(const DataCentreId& data_centre, TimePoint now) const;

 private:
  struct State {
    std::set<Digest> endpoints;
    TimePoint first{};
    int pauses = 0;
    TimePoint cut_until{};
  };

  DataCentreReachOptions options_;
  std::map<DataCentreId, State> states_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_DATA_CENTRE_REACH_H_
