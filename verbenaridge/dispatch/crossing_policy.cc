#include "verbenaridge/dispatch/crossing_policy.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace verbenaridge::dispatch {
namespace {

// Above all other costs of the choosers: the endpoint is used only if no other remains.
constexpr double kNoImport = 1'000;

double FixedCost(const CrossingDemand& demand) {
  return demand.generation ? kFixedEngineCrossing : kFixedPlainCrossing;
}

class FixedCrossing final : public CrossingPolicy {
 public:
  std::vector<ExportChange> Observe(std::span<const DataCentreLoad> /*loads*/,
                                    TimePoint /*now*/) override {
    return {};
  }
  double Cost(const CrossingDemand& demand, const DataCentreId& /*to*/) const override {
    return FixedCost(demand);
  }
};

class AdaptiveCrossing final : public CrossingPolicy {
 public:
  AdaptiveCrossing(DataCentreId own, const AdaptiveCrossingOptions& options)
      : own_(std::move(own)), options_(options) {}

  std::vector<ExportChange> Observe(std::span<const DataCentreLoad> loads, TimePoint now) override;
  double Cost(const CrossingDemand& demand, const DataCentreId& to) const override;

 private:
  struct State {
    bool exports = false;
    std::optional<TimePoint> changed;
  };

  const DataCentreLoad* Find(const DataCentreId& data_centre) const;
  bool Exports(const DataCentreId& data_centre) const;
  bool WouldExport(bool exports, double load, double lowest_other) const;
  // Until a request that arrives now gets a slot.
  static Duration Wait(const DataCentreLoad& load, Duration work);

  const DataCentreId own_;
  const AdaptiveCrossingOptions options_;
  std::vector<DataCentreLoad> loads_;
  std::map<DataCentreId, State> states_;
};

bool AdaptiveCrossing::WouldExport(bool exports, double load, double lowest_other) const {
  if (exports) return load >= options_.stop_load && lowest_other < load;
  return load > options_.start_load && lowest_other + options_.start_difference <= load;
}

std::vector<ExportChange> AdaptiveCrossing::Observe(std::span<const DataCentreLoad> loads,
                                                    TimePoint now) {
  loads_.assign(loads.begin(), loads.end());
  std::vector<ExportChange> changes;
  for (const DataCentreLoad& load : loads_) {
    std::optional<double> lowest_other;
    for (const DataCentreLoad& other : loads_) {
      if (other.data_centre == load.data_centre) continue;
      lowest_other = std::min(lowest_other.value_or(other.load()), other.load());
    }
    State& state = states_[load.data_centre];
    const bool exports = lowest_other && WouldExport(state.exports, load.load(), *lowest_other);
    if (exports == state.exports) continue;
    if (state.changed && now - *state.changed < options_.minimum_time) continue;
    state = {.exports = exports, .changed = now};
    changes.push_back({.data_centre = load.data_centre,
                       .exports = exports,
                       .load = load.load(),
                       .lowest_other_load = lowest_other.value_or(0)});
  }
  return changes;
}

const DataCentreLoad* AdaptiveCrossing::Find(const DataCentreId& data_centre) const {
  const auto found = std::find_if(loads_.begin(), loads_.end(), [&](const DataCentreLoad& load) {
    return load.data_centre == data_centre;
  });
  return found == loads_.end() ? nullptr : &*found;
}

bool AdaptiveCrossing::Exports(const DataCentreId& data_centre) const {
  const auto state = states_.find(data_centre);
  return state != states_.end() && state->second.exports;
}

Duration AdaptiveCrossing::Wait(const DataCentreLoad& load, Duration work) {
  if (load.tasks < load.slots || load.slots == 0) return load.shortest_queue;
  const double ahead = static_cast<double>(load.tasks - load.slots + 1);
  return load.shortest_queue +
         FromSeconds(ToSeconds(work) * ahead / static_cast<double>(load.slots));
}

double AdaptiveCrossing::Cost(const CrossingDemand& demand, const DataCentreId& to) const {
  const DataCentreLoad* const here = Find(own_);
  const DataCentreLoad* const there = Find(to);
  // Nothing is known of one of them, or of how long a crossing is compared with the work.
  if (here == nullptr || there == nullptr || there->slots == 0) return FixedCost(demand);
  if (!demand.generation && demand.work <= Duration{}) return FixedCost(demand);
  if (Exports(to)) return kNoImport;
  const Duration crossing =
      2 * there->delay + FromSeconds(static_cast<double>(demand.bytes) / options_.bytes_per_second);
  const bool pays =
      Exports(own_) && Wait(*here, demand.work) > Wait(*there, demand.work) + crossing;
  const double cut_off =
      std::min(ToSeconds(demand.work) / ToSeconds(options_.partition_interval), 1.0);
  if (!demand.generation) {
    // The chooser counts a queue in multiples of the slots, and each of these takes the time of one
    // request. Where crossing does not pay, it is left until the own slots are in use.
    return ToSeconds(crossing) / ToSeconds(demand.work) + cut_off +
           (pays ? 0 : options_.start_load);
  }
  const double late =
      demand.target <= Duration{} ? 0 : ToSeconds(crossing) / ToSeconds(demand.target);
  return kFixedEngineCrossing + demand.weight * (late + cut_off) +
         (pays ? 0 : options_.engine_reluctance);
}

}  // namespace

void WorkEstimate::Observe(Duration time) {
  // Shorter ones are refused connections and the like.
  constexpr Duration kShortest = std::chrono::milliseconds(1);
  constexpr double kFollowShort = 0.2;
  constexpr double kFollowLong = 0.02;
  if (time < kShortest) return;
  if (value_ == Duration{}) value_ = time;
  const double part = time < value_ ? kFollowShort : kFollowLong;
  value_ += FromSeconds(part * ToSeconds(time - value_));
}

std::unique_ptr<CrossingPolicy> MakeFixedCrossing() { return std::make_unique<FixedCrossing>(); }

std::unique_ptr<CrossingPolicy> MakeAdaptiveCrossing(DataCentreId own,
                                                     const AdaptiveCrossingOptions& options) {
  return std::make_unique<AdaptiveCrossing>(std::move(own), options);
}

}  // namespace verbenaridge::dispatch
