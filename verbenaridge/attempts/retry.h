// Limits retries by budgets per client account and per endpoint, and by back-off.
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
  double retries_per_request = 0.2;
  // Permits retries for an account or endpoint with few requests.
  double floor_retries = 3;
  double floor_retries_per_second = 0.2;
  // Limits the burst of retries after a long time without failures.
  double max_saved_retries = 50;
};

// Number of retries that one client account or one endpoint may still use.
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

  // Spends one retry of both budgets, or none if either is exhausted. `endpoint` is the endpoint
  // whose attempt failed.
  bool TryRetry(const ClientAccountId& account, const EndpointId& endpoint, TimePoint now);

 private:
  static constexpr std::size_t kMaxEntries = 4096;

  RetryBudgetOptions options_;
  std::unordered_map<ClientAccountId, RetryBudget> accounts_;
  std::unordered_map<EndpointId, RetryBudget> endpoints_;
};

struct BackOffOptions {
  Duration initial = std::chrono::milliseconds(50);
  Duration max = std::chrono::seconds(2);
};

// Returns the delay before retry number `failures`, which counts from 1. The full delay doubles
// each time up to `max`. The result is uniform in its upper half.
Duration BackOff(const BackOffOptions& options, int failures, RandomSource& random);

}  // namespace verbenaridge::attempts

#endif  // VERBENARIDGE_ATTEMPTS_RETRY_H_
