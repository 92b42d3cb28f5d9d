#include "verbenaridge/base/clock.h"

#include <ctime>

namespace verbenaridge {

TimePoint SystemClock::Now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::WallNow() const { return std::chrono::system_clock::now(); }

TimePoint SuspendAwareClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

WallTime SuspendAwareClock::WallNow() const { return std::chrono::system_clock::now(); }

}  // namespace verbenaridge
