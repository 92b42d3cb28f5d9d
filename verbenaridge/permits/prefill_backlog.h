// Predicts how much prefill work is inside an engine that works in priority order.
#ifndef VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_
#define VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_

#include <array>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::permits {

// Seconds of work by engine priority, worked off one second per second, highest priority first.
// Used by one thread.
class PrefillBacklog {
 public:
  void Advance(TimePoint now);
  void Add(Priority engine_priority, double seconds) { left_[Rank(engine_priority)] += seconds; }

  // Takes back work of an attempt that ended early.
  void Take(Priority engine_priority, double seconds);

  // Work that a newcomer of this engine priority waits for.
  double Ahead(Priority engine_priority) const;

 private:
  std::array<double, kPriorityCount> left_{};
  TimePoint advanced_{};
};

}  // namespace verbenaridge::permits

#endif  // VERBENARIDGE_PERMITS_PREFILL_BACKLOG_H_
