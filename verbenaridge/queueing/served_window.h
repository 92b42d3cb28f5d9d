// Cost served per priority over a sliding window.
#ifndef VERBENARIDGE_QUEUEING_SERVED_WINDOW_H_
#define VERBENARIDGE_QUEUEING_SERVED_WINDOW_H_

#include <array>
#include <cstdint>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::queueing {

// The window is divided into slots, so a cost leaves it at most one slot late. Used by one thread.
class ServedWindow {
 public:
  explicit ServedWindow(Duration window) : slot_length_(window / kSlots) {}

  void Add(Priority priority, double cost, TimePoint now);
  void Advance(TimePoint now);

  double served(Priority priority) const { return sums_[Rank(priority)]; }
  double total() const { return sums_[0] + sums_[1] + sums_[2]; }

 private:
  static constexpr std::int64_t kSlots = 32;

  Duration slot_length_;
  std::int64_t newest_ = 0;
  std::array<std::array<double, kPriorityCount>, kSlots> slots_{};
  std::array<double, kPriorityCount> sums_{};
};

}  // namespace verbenaridge::queueing

#endif  // VERBENARIDGE_QUEUEING_SERVED_WINDOW_H_
