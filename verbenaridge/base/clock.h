// Time sources.
//
// Decisions read time only through `Clock`, so that tests and the replay tool run on a virtual
// clock.
//
//   ManualClock clock;
//   clock.Advance(std::chrono::seconds(3));
#ifndef VERBENARIDGE_BASE_CLOCK_H_
#define VERBENARIDGE_BASE_CLOCK_H_

#include <chrono>

namespace verbenaridge {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Thread-safe in all implementations unless stated otherwise.
class Clock {
 public:
  virtual ~Clock() = default;

  // Monotonic time of this process. Not comparable between hosts.
  virtual TimePoint Now() const = 0;

  // Wall-clock time, comparable between hosts within the fleet's clock skew.
  virtual WallTime WallNow() const = 0;
};

class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

// A monotonic clock that also counts the time in which the host was suspended, so that deadlines
// that passed meanwhile are seen to have passed.
class SuspendAwareClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

// A clock that moves only when told. Not thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return wall_; }

  void Advance(Duration step) {
    now_ += step;
    wall_ += step;
  }

  // Moves the wall clock alone, as a time correction on a host does.
  void JumpWall(Duration step) { wall_ += step; }

 private:
  TimePoint now_{std::chrono::hours(1)};
  WallTime wall_{std::chrono::hours(24 * 365 * 50)};
};

// Seconds as a floating-point number, for arithmetic on rates.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace verbenaridge

#endif  // VERBENARIDGE_BASE_CLOCK_H_
