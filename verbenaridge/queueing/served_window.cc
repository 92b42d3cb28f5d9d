#include "verbenaridge/queueing/served_window.h"

#include <algorithm>

namespace verbenaridge::queueing {

void ServedWindow::Advance(TimePoint now) {
  const std::int64_t slot = now.time_since_epoch() / slot_length_;
  const std::int64_t steps = std::min<std::int64_t>(slot - newest_, kSlots);
  for (std::int64_t i = 1; i <= steps; ++i) slots_[(slot - steps + i) % kSlots].fill(0);
  if (steps <= 0) return;
  newest_ = slot;
  // Sums are recomputed so that rounding errors do not accumulate over days.
  sums_.fill(0);
  for (const auto& costs : slots_) {
    for (std::size_t rank = 0; rank < kPriorityCount; ++rank) sums_[rank] += costs[rank];
  }
}

void ServedWindow::Add(Priority priority, double cost, TimePoint now) {
  Advance(now);
  slots_[newest_ % kSlots][Rank(priority)] += cost;
  sums_[Rank(priority)] += cost;
}

}  // namespace verbenaridge::queueing
