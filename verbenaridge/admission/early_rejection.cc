#include "verbenaridge/admission/early_rejection.h"

#include <algorithm>

namespace verbenaridge::admission {

RejectionCheck CheckDeadline(const FinishPrediction& p, const RejectionOptions& options) {
  const double service = ToSeconds(p.prefill + p.decode);
  double slack = ToSeconds(p.remaining) * options.tolerance - service;
  if (p.first_token_target > Duration::zero()) {
    slack =
        std::min(slack, ToSeconds(p.first_token_target) * options.tolerance - ToSeconds(p.prefill));
  }
  const double delay = ToSeconds(p.queue_delay);
  if (delay <= std::max(slack, 0.0) && slack >= 0) return {};
  RejectionCheck check{.admit = false, .retry_after = {}, .permanent = slack < 0};
  const double excess = delay - std::max(slack, 0.0);
  check.retry_after = std::clamp(FromSeconds(excess / std::max(p.drain_rate, 0.01)),
                                 options.min_retry, options.max_retry);
  return check;
}

}  // namespace verbenaridge::admission
