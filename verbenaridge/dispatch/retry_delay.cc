#include "verbenaridge/dispatch/retry_delay.h"

#include <algorithm>

namespace verbenaridge::dispatch {

Duration RetryDelay(const Backlog& backlog, int urgency, RandomSource& random,
                    const RetryDelayOptions& options) {
  const double engines = static_cast<double>(std::max<std::size_t>(backlog.engines, 1));
  const double drained = std::clamp(ToSeconds(backlog.prefill) / engines,
                                    ToSeconds(options.min_delay), ToSeconds(options.max_delay));
  const double order = 1 + options.urgency_step * std::max(urgency, 0);
  return FromSeconds(drained * (order + options.spread * random.Uniform()));
}

}  // namespace verbenaridge::dispatch
