// Limits on retries: budgets per client account and per endpoint, and back-off.
//
//   RetryBudgets budgets;
//   budgets.OnRequest(account, endpoint, now);
//   if (budgets.TryRetry(account, endpoint, now)) { ... }
#ifndef VERBENARIDGE_ATTEMPTS_RETRY_H_
#define VERBENARIDGE_ATTEMPTS_RETRY_H_

#include <cstddef>
#include <unordered_map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::attempts {

struct RetryBudgetOptions {
  double share_of_requests = 0.2;
  // Lets an account or endpoint with few requests retry at all.
  double floor_retries = 3;
  double floor_retries_per_second = 0.2;
  // Bounds the burst of retries after a long time without failures.
  double max_saved_retries = 50;
};

// Retries that one client account or one endpoint may still cause.
class RetryBudget {
 public:
  RetryBudget(const RetryBudgetOptions& options, TimePoint now)
      : options_(options), saved_(options.floor_retries), updated_(now) {}

  void OnRequest(TimePoint now);

  bool CanSpend(TimePoint now);
  void Spend() { saved_ -= 1; }

  TimePoint updated() const { return updated_; }

 private:
  void Refill(TimePoint now);

  RetryBudgetOptions options_;
  double saved_;
  TimePoint updated_;
};

// Budgets of all client accounts and endpoints of one traffic thread. Not thread-safe.
class RetryBudgets {
 public:
  explicit RetryBudgets(const RetryBudgetOptions& options = {}) : options_(options) {}

  // Counts a first dispatch.
  void OnRequest(const ClientAccountId& account, const EndpointId& endpoint, TimePoint now);

  // Spends one retry of both budgets, or none if either is exhausted. `endpoint` is the one whose
  // attempt failed.
  bool TryRetry(const ClientAccountId& account, const EndpointId& endpoint, TimePoint now);

 private:
  static constexpr std::size_t kMaxEntries = 4096;

  RetryBudgetOptions options_;
  std::unordered_map<ClientAccountId, RetryBudget> accounts_;
  std::unordered_map<EndpointId, RetryBudget> endpoints_;
};

struct BackOffOptions {
  Duration first = std::chrono::milliseconds(50);
  Duration longest = std::chrono::seconds(2);
};

// Delay before retry number `failures` (from 1): doubles each time, uniform in its upper half.
Duration BackOff(const BackOffOptions& options, int failures, RandomSource& random);

}  // namespace verbenaridge::attempts

#endif  // VERBENARIDGE_ATTEMPTS_RETRY_H_
