#include "verbenaridge/dispatch/retry_budget.h"

#include <algorithm>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::dispatch {

void RetryBudget::OnRequest(TimePoint now) {
  RemoveExpired(now);
  requests_.push_back(now);
}

bool RetryBudget::Take(std::size_t hosts, TimePoint now) {
  if (Remaining(hosts, now) < 1) return false;
  retries_.push_back(now);
  return true;
}

double RetryBudget::Remaining(std::size_t hosts, TimePoint now) {
  RemoveExpired(now);
  const std::size_t parts = Mutated(Mutation::kSlackForEach) ? 1 : std::max<std::size_t>(hosts, 1);
  const double slack_share = options_.slack / static_cast<double>(parts);
  const double bound = options_.ratio * static_cast<double>(requests_.size()) + slack_share;
  return options_.usable_share * bound - static_cast<double>(retries_.size());
}

void RetryBudget::RemoveExpired(TimePoint now) {
  const auto drop = [&](std::deque<TimePoint>& times) {
    while (!times.empty() && now - times.front() > options_.window) times.pop_front();
  };
  if (!Mutated(Mutation::kOldRequestsPay)) drop(requests_);
  drop(retries_);
}

}  // namespace verbenaridge::dispatch
