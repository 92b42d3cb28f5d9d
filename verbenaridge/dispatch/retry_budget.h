// Bounds the number of retries to a service.
//
//   RetryBudget budget({.ratio = 0.2, .window = std::chrono::seconds(10), .slack = 234});
//   budget.OnRequest(now);
//   if (budget.Take(hosts, now)) SendAgain();
//
// The bound holds for all hosts of the system together without any messages between them: each host
// may retry `ratio` of its own requests plus an even share of the slack. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_RETRY_BUDGET_H_
#define VERBENARIDGE_DISPATCH_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>

#include "verbenaridge/base/clock.h"

namespace verbenaridge::dispatch {

struct RetryBudgetOptions {
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  double slack = 0;
  // Fraction of the bound that is used. There may be more hosts than a host knows of, and the bound
  // holds for windows of any start.
  double usable_share = 0.7;
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  // Earlier retries count against the new bound.
  void SetOptions(const RetryBudgetOptions& options) { options_ = options; }

  void OnRequest(TimePoint now);

  // Returns true if another retry may be sent and counts it. `hosts` is the number of hosts that
  // share the slack.
  bool Take(std::size_t hosts, TimePoint now);

  // Number of retries that Take would still allow; may be negative.
  double Remaining(std::size_t hosts, TimePoint now);

 private:
  void RemoveExpired(TimePoint now);

  RetryBudgetOptions options_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_RETRY_BUDGET_H_
