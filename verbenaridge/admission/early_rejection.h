// Refuses a request that cannot finish in time before it uses any capacity.
//
//   RejectionCheck check = CheckDeadline({.queue_delay = delay, .prefill = p, ...}, options);
//   if (!check.admit) response.retry_after = check.retry_after;
#ifndef VERBENARIDGE_ADMISSION_EARLY_REJECTION_H_
#define VERBENARIDGE_ADMISSION_EARLY_REJECTION_H_

#include "verbenaridge/base/clock.h"

namespace verbenaridge::admission {

struct RejectionOptions {
  // Factor by which a prediction may exceed the time left without a refusal. A wrong refusal costs
  // more than a late request, which the queue drops anyway.
  double tolerance = 1.1;
  Duration min_retry = std::chrono::milliseconds(100);
  Duration max_retry = std::chrono::minutes(5);
};

// Predicted times at the best candidate endpoint.
struct FinishPrediction {
  Duration queue_delay{};
  Duration prefill{};
  Duration decode{};
  Duration remaining{};           // until the deadline
  Duration first_token_target{};  // zero: only the deadline counts
  double drain_rate = 1;          // decrease of the queue delay, in seconds per second
};

struct RejectionCheck {
  bool admit = true;
  Duration retry_after{};  // until the backlog has drained enough for the request to fit
  bool permanent = false;  // too slow even at an idle endpoint; retrying does not help
};

RejectionCheck CheckDeadline(const FinishPrediction& prediction, const RejectionOptions& options);

}  // namespace verbenaridge::admission

#endif  // VERBENARIDGE_ADMISSION_EARLY_REJECTION_H_
