// Estimates the prefill work inside an engine that works in priority order.
#ifndef VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_
#define VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_

#include <array>
#include <cstdint>
#include <map>
#include <utility>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::permits {

// A prompt counts from its permit to its first token. In between, its predicted work decreases by
// one second per second, highest engine priority and oldest first. It never reaches zero, because a
// prompt without a first token still occupies the engine. Used by one thread.
class PrefillBacklog {
 public:
  void Advance(TimePoint now);
  void Add(std::uint64_t permit, Priority engine_priority, double seconds);

  // Counts the prompt as urgent work from now on. The engine still runs it last, so all of it
  // counts until its first token.
  void Promote(std::uint64_t permit);

  // Removes a prompt that has its first token or whose attempt has ended.
  void Remove(std::uint64_t permit);

  // Seconds of work that a new prompt of this engine priority waits for.
  double Ahead(Priority engine_priority) const;

 private:
  // Work that is still counted for a prompt whose predicted time is over: one step of the engine,
  // and a fraction of the prompt, because the prediction error grows with its length.
  static constexpr double kFloorSeconds = 0.02;
  static constexpr double kFloorFraction = 0.15;

  using Order = std::pair<std::size_t, std::uint64_t>;  // rank, then age

  struct Entry {
    double remaining = 0;  // seconds
    double floor = 0;      // seconds
    bool promoted = false;
  };

  std::map<Order, Entry> remaining_;
  std::map<std::uint64_t, Order> orders_;  // by permit
  std::array<double, kPriorityCount> sums_{};
  std::uint64_t next_order_ = 0;
  TimePoint advanced_{};
};

}  // namespace verbenaridge::permits

#endif  // VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_
