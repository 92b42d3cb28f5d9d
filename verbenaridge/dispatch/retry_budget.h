// Bounds the requests that are sent to a service more than once.
//
//   RetryBudget budget({.ratio = 0.2, .window = std::chrono::seconds(10), .slack = 234});
//   budget.OnRequest(now);
//   if (budget.Take(hosts, now)) SendAgain();
//
// The bound holds for all hosts of the system together, and no message is exchanged: a host spends
// `ratio` of the requests that it saw itself, and an even part of the slack. Used by one thread.
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
  // Part of the bound that is spent: hosts may be more than a host knows, and windows may be cut
  // anywhere.
  double use = 0.7;
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  // What was spent before counts against the new bound.
  void SetOptions(const RetryBudgetOptions& options) { options_ = options; }

  void OnRequest(TimePoint now);

  // True if one more may be sent, which then counts. `hosts`: how many share the slack.
  bool Take(std::size_t hosts, TimePoint now);

  // What Take could still give.
  double Remaining(std::size_t hosts, TimePoint now);

 private:
  void RemoveOld(TimePoint now);

  RetryBudgetOptions options_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_RETRY_BUDGET_H_
