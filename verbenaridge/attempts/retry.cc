#include "verbenaridge/attempts/retry.h"

#include <algorithm>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::attempts {
namespace {

// Finds or adds the budget of `id`. A full table drops the entry that was updated least recently,
// which has usually refilled to its floor by then.
template <class Map, class Id>
RetryBudget& BudgetOf(Map& budgets, const Id& id, const RetryBudgetOptions& options, TimePoint now,
                      std::size_t max_entries) {
  auto found = budgets.find(id);
  if (found != budgets.end()) return found->second;
  if (budgets.size() >= max_entries) {
    budgets.erase(std::min_element(budgets.begin(), budgets.end(), [](auto& a, auto& b) {
      return a.second.updated() < b.second.updated();
    }));
  }
  return budgets.emplace(id, RetryBudget(options, now)).first->second;
}

}  // namespace

void RetryBudget::Refill(TimePoint now) {
  if (now <= updated_) return;
  const double floor = ToSeconds(now - updated_) * options_.floor_retries_per_second;
  // Time refills the budget only up to the floor. Requests refill it beyond the floor.
  if (saved_ < options_.floor_retries) saved_ = std::min(options_.floor_retries, saved_ + floor);
  updated_ = now;
}

void RetryBudget::OnRequest(TimePoint now) {
  Refill(now);
  saved_ = std::min(options_.max_saved_retries, saved_ + options_.retries_per_request);
}

bool RetryBudget::CanSpend(TimePoint now) {
  Refill(now);
  return saved_ >= 1;
}

void RetryBudgets::OnRequest(const ClientAccountId& account, const EndpointId& endpoint,
                             TimePoint now) {
  BudgetOf(accounts_, account, options_, now, kMaxEntries).OnRequest(now);
  BudgetOf(endpoints_, endpoint, options_, now, kMaxEntries).OnRequest(now);
}

bool RetryBudgets::TryRetry(const ClientAccountId& account, const EndpointId& endpoint,
                            TimePoint now) {
  if (Mutated(Mutation::kNoRetryBudget)) return true;
  RetryBudget& of_account = BudgetOf(accounts_, account, options_, now, kMaxEntries);
  RetryBudget& of_endpoint = BudgetOf(endpoints_, endpoint, options_, now, kMaxEntries);
  if (!of_account.CanSpend(now) || !of_endpoint.CanSpend(now)) return false;
  of_account.Spend();
  of_endpoint.Spend();
  return true;
}

Duration BackOff(const BackOffOptions& options, int failures, RandomSource& random) {
  constexpr int kMaxDoublings = 16;  // keeps the shift within range; `max` is reached before
  const int doublings = std::clamp(failures - 1, 0, kMaxDoublings);
  const Duration full = std::min(options.max, options.initial * (1 << doublings));
  return full / 2 + FromSeconds(ToSeconds(full) / 2 * random.Uniform());
}

}  // namespace verbenaridge::attempts
