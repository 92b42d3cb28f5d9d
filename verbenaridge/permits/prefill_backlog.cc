#include "verbenaridge/permits/prefill_backlog.h"

#include <algorithm>

namespace verbenaridge::permits {

void PrefillBacklog::Advance(TimePoint now) {
  double time = ToSeconds(now - advanced_);
  if (time <= 0) return;
  advanced_ = now;
  for (auto& [order, left] : left_) {
    if (time <= 0) break;
    const double done = std::min(std::max(left - kFloorSeconds, 0.0), time);
    left -= done;
    sums_[order.first] -= done;
    time -= done;
  }
}

void PrefillBacklog::Add(std::uint64_t permit, Priority engine_priority, double seconds) {
  const Order order{Rank(engine_priority), next_order_++};
  left_[order] = seconds;
  orders_[permit] = order;
  sums_[order.first] += seconds;
}

void PrefillBacklog::Remove(std::uint64_t permit) {
  const auto found = orders_.find(permit);
  if (found == orders_.end()) return;
  const auto left = left_.find(found->second);
  sums_[found->second.first] -= left->second;
  left_.erase(left);
  orders_.erase(found);
  if (left_.empty()) sums_.fill(0);  // rounding errors end here
}

void PrefillBacklog::Promote(std::uint64_t permit) {
  const auto found = orders_.find(permit);
  if (found == orders_.end()) return;
  const double left = left_.at(found->second);
  Remove(permit);
  Add(permit, Priority::kUrgent, left);
}

double PrefillBacklog::Ahead(Priority engine_priority) const {
  double sum = 0;
  for (std::size_t rank = 0; rank <= Rank(engine_priority); ++rank) sum += sums_[rank];
  return std::max(sum, 0.0);
}

}  // namespace verbenaridge::permits
