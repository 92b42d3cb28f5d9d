// Refuses a request that cannot finish in time before it takes any capacity.
//
//   RejectionCheck check = CheckDeadline({.queue_delay = delay, .prefill = p, ...}, options);
//   if (!check.admit) answer.retry_after = check.retry_after;
#ifndef VERBENARIDGE_ADMISSION_EARLY_REJECTION_H_
#define VERBENARIDGE_ADMISSION_EARLY_REJECTION_H_

#include "verbenaridge/base/clock.h"

namespace verbenaridge::admission {

struct RejectionOptions {
  // Predictions may be this much too long without a refusal; a refusal that was wrong costs more
  // than a late answer that the queue drops anyway.
  double tolerance = 1.1;
  Duration min_retry = std::chrono::milliseconds(100);
  Duration max_retry = std::chrono::minutes(5);
};

// Of the best candidate endpoint.
struct FinishPrediction {
  Duration queue_delay{};
  Duration prefill{};
  Duration decode{};
  Duration remaining{};           // until the deadline
  Duration first_token_target{};  // zero: only the deadline counts
  double drain_rate = 1;          // seconds of queue delay that vanish per second
};

struct RejectionCheck {
  bool admit = true;
  Duration retry_after{};  // until the backlog has drained so far that the request fits
  bool never = false;      // too slow even at an idle endpoint; retrying does not help
};

RejectionCheck CheckDeadline(const FinishPrediction& prediction, const RejectionOptions& options);

}  // namespace verbenaridge::admission

#endif  // VERBENARIDGE_ADMISSION_EARLY_REJECTION_H_
