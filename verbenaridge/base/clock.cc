#include "verbenaridge/base/clock.h"

namespace verbenaridge {

TimePoint SystemClock::Now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::WallNow() const { return std::chrono::system_clock::now(); }

}  // namespace verbenaridge
