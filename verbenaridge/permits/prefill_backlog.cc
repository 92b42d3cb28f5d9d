#include "verbenaridge/permits/prefill_backlog.h"

#include <algorithm>

namespace verbenaridge::permits {

void PrefillBacklog::Advance(TimePoint now) {
  double time = ToSeconds(now - advanced_);
  if (time <= 0) return;
  advanced_ = now;
  for (auto& [order, entry] : remaining_) {
    if (time <= 0) break;
    if (entry.promoted) continue;
    const double done = std::min(std::max(entry.remaining - entry.floor, 0.0), time);
    entry.remaining -= done;
    sums_[order.first] -= done;
    time -= done;
  }
}

void PrefillBacklog::Add(std::uint64_t permit, Priority engine_priority, double seconds) {
  const Order order{Rank(engine_priority), next_order_++};
  remaining_[order] = {
      .remaining = seconds, .floor = kFloorSeconds + kFloorFraction * seconds, .promoted = false};
  orders_[permit] = order;
  sums_[order.first] += seconds;
}

void PrefillBacklog::Remove(std::uint64_t permit) {
  const auto found = orders_.find(permit);
  if (found == orders_.end()) return;
  const auto remaining = remaining_.find(found->second);
  sums_[found->second.first] -= remaining->second.remaining;
  remaining_.erase(remaining);
  orders_.erase(found);
  if (remaining_.empty()) sums_.fill(0);  // discards accumulated rounding errors
}

void PrefillBacklog::Promote(std::uint64_t permit) {
  const auto found = orders_.find(permit);
  if (found == orders_.end()) return;
  const double remaining = remaining_.at(found->second).remaining;
  Remove(permit);
  Add(permit, Priority::kUrgent, remaining);
  remaining_.at(orders_.at(permit)).promoted = true;
}

double PrefillBacklog::Ahead(Priority engine_priority) const {
  double sum = 0;
  for (std::size_t rank = 0; rank <= Rank(engine_priority); ++rank) sum += sums_[rank];
  return std::max(sum, 0.0);
}

}  // namespace verbenaridge::permits
