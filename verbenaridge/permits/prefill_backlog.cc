#include "verbenaridge/permits/prefill_backlog.h"

#include <algorithm>

namespace verbenaridge::permits {

void PrefillBacklog::Advance(TimePoint now) {
  double time = ToSeconds(now - advanced_);
  if (time <= 0) return;
  advanced_ = now;
  for (auto& [order, entry] : left_) {
    if (time <= 0) break;
    if (entry.promoted) continue;
    const double done = std::min(std::max(entry.left - entry.floor, 0.0), time);
    entry.left -= done;
    sums_[order.first] -= done;
    time -= done;
  }
}

void PrefillBacklog::Add(std::uint64_t permit, Priority engine_priority, double seconds) {
  const Order order{Rank(engine_priority), next_order_++};
  left_[order] = {
      .left = seconds, .floor = kFloorSeconds + kFloorPart * seconds, .promoted = false};
  orders_[permit] = order;
  sums_[order.first] += seconds;
}

void PrefillBacklog::Remove(std::uint64_t permit) {
  const auto found = orders_.find(permit);
  if (found == orders_.end()) return;
  const auto left = left_.find(found->second);
  sums_[found->second.first] -= left->second.left;
  left_.erase(left);
  orders_.erase(found);
  if (left_.empty()) sums_.fill(0);  // rounding errors end here
}

void PrefillBacklog::Promote(std::uint64_t permit) {
  const auto found = orders_.find(permit);
  if (found == orders_.end()) return;
  const double left = left_.at(found->second).left;
  Remove(permit);
  Add(permit, Priority::kUrgent, left);
  left_.at(orders_.at(permit)).promoted = true;
}

double PrefillBacklog::Ahead(Priority engine_priority) const {
  double sum = 0;
  for (std::size_t rank = 0; rank <= Rank(engine_priority); ++rank) sum += sums_[rank];
  return std::max(sum, 0.0);
}

}  // namespace verbenaridge::permits
