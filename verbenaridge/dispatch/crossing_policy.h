// The cost of sending a request of one service to an endpoint of another data centre.
//
//   std::unique_ptr<CrossingPolicy> policy = MakeAdaptiveCrossing(own, {});
//   for (const ExportChange& change : policy->Observe(loads, clock.Now())) Log(change);
//   candidate.crossing_cost = policy->Cost(demand, endpoint.data_centre);
//
// The adaptive policy keeps requests in their data centre while it has room. A data centre starts
// to export above one level of its own load, if another one has clearly less, and stops below a
// lower level, for a minimum time. One that exports does not import, so load does not oscillate
// between data centres. How much is exported follows from the cost: it is the time of the crossing
// and what a partition would end, in the unit in which the chooser counts queues. Each host that
// decides derives the state of all data centres from the loads that it knows. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_CROSSING_POLICY_H_
#define VERBENARIDGE_DISPATCH_CROSSING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

// Of an engine in another data centre: a partition of either one ends the stream, and its bytes
// cross between them. Half of the scatter cost of the chooser, so that a packed engine there is
// used before an idle one here.
inline constexpr double kFixedEngineCrossing = 0.05;
// Of a plain service. About two slots of six: a service is as fast in the other data centre until
// its slots are full.
inline constexpr double kFixedPlainCrossing = 0.3;

// Load of the service's usable endpoints in one data centre.
struct DataCentreLoad {
  DataCentreId data_centre;
  std::size_t slots = 0;
  std::size_t tasks = 0;      // at the endpoints, and those that wait for one of them
  Duration shortest_queue{};  // of prompts, at the endpoint with the shortest one
  Duration delay{};           // one way, between it and the data centre that decides

  double load() const {
    return static_cast<double>(tasks) / static_cast<double>(slots == 0 ? 1 : slots);
  }
};

struct CrossingDemand {
  bool generation = false;  // needs a model engine
  Duration target{};        // until the first event or the response; zero: none
  Duration work{};          // how long the request occupies a slot; zero: not known
  double weight = 1;        // cost of a late request
  std::uint64_t bytes = 0;  // of the request and its response
};

// A data centre starts or stops to export.
struct ExportChange {
  DataCentreId data_centre;
  bool exports = false;
  double load = 0;
  double lowest_other_load = 0;

  friend bool operator==(const ExportChange&, const ExportChange&) = default;
};

class CrossingPolicy {
 public:
  virtual ~CrossingPolicy() = default;

  // Takes the loads of all data centres with usable endpoints of the service.
  virtual std::vector<ExportChange> Observe(std::span<const DataCentreLoad> loads,
                                            TimePoint now) = 0;
  // Of a request to data centre `to`, according to the loads observed last.
  virtual double Cost(const CrossingDemand& demand, const DataCentreId& to) const = 0;
};

// The same cost for all requests of a kind.
std::unique_ptr<CrossingPolicy> MakeFixedCrossing();

struct AdaptiveCrossingOptions {
  // Share of the slots above which a data centre starts to export, and below which it stops.
  double start_load = 0.85;
  double stop_load = 0.65;
  // It starts only if another data centre has a load lower by this. Without it, all would export
  // and none import under a general overload.
  double start_difference = 0.2;
  Duration minimum_time = std::chrono::seconds(2);
  // Additional cost for engines where crossing does not pay. Half of a late request, so that a
  // request that would be late here may still cross.
  double engine_reluctance = 0.5;
  // Rate at which the bytes of a request pass between data centres.
  double bytes_per_second = 12.5e6;
  // Mean time between partitions, for the share of requests that one would end.
  Duration partition_interval = std::chrono::minutes(10);
};

// How long requests to a service without a timing model occupy a slot. Follows short times quickly
// and long ones slowly, because the long ones contain queues.
class WorkEstimate {
 public:
  void Observe(Duration time);
  Duration value() const { return value_; }  // zero: not known

 private:
  Duration value_{};
};

// `own`: the data centre that decides.
std::unique_ptr<CrossingPolicy> MakeAdaptiveCrossing(DataCentreId own,
                                                     const AdaptiveCrossingOptions& options);

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_CROSSING_POLICY_H_
