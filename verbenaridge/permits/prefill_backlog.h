// How much prefill work is inside an engine that works in priority order.
#ifndef VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_
#define VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_

#include <array>
#include <cstdint>
#include <map>
#include <utility>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::permits {

// Prompts count from their permit to their first token. In between, the predicted work is worked
// off one second per second, highest engine priority and oldest first, but never quite to zero: a
// prompt without a first token still occupies the engine. Used by one thread.
class PrefillBacklog {
 public:
  void Advance(TimePoint now);
  void Add(std::uint64_t permit, Priority engine_priority, double seconds);

  // From now on the prompt counts as urgent work. The engine still runs it last, so all of it
  // counts until its first token.
  void Promote(std::uint64_t permit);

  // The prompt has its first token, or its attempt ended.
  void Remove(std::uint64_t permit);

  // Work that a newcomer of this engine priority waits for.
  double Ahead(Priority engine_priority) const;

 private:
  // What remains of a prompt whose predicted time is over: a step of the engine, and a part of the
  // prompt, because the error grows with its length.
  static constexpr double kFloorSeconds = 0.02;
  static constexpr double kFloorPart = 0.15;

  using Order = std::pair<std::size_t, std::uint64_t>;  // rank, then age

  struct Entry {
    double left = 0;
    double floor = 0;
    bool promoted = false;
  };

  std::map<Order, Entry> left_;
  std::map<std::uint64_t, Order> orders_;  // by permit
  std::array<double, kPriorityCount> sums_{};
  std::uint64_t next_order_ = 0;
  TimePoint advanced_{};
};

}  // namespace verbenaridge::permits

#endif  // VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_
