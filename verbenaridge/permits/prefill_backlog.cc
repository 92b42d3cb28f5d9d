#include "verbenaridge/permits/prefill_backlog.h"

#include <algorithm>

namespace verbenaridge::permits {

void PrefillBacklog::Advance(TimePoint now) {
  double time = ToSeconds(now - advanced_);
  if (time <= 0) return;
  advanced_ = now;
  for (double& left : left_) {
    const double done = std::min(left, time);
    left -= done;
    time -= done;
  }
}

void PrefillBacklog::Take(Priority engine_priority, double seconds) {
  double& left = left_[Rank(engine_priority)];
  left = std::max(0.0, left - seconds);
}

double PrefillBacklog::Ahead(Priority engine_priority) const {
  double sum = 0;
  for (std::size_t rank = 0; rank <= Rank(engine_priority); ++rank) sum += left_[rank];
  return sum;
}

}  // namespace verbenaridge::permits
