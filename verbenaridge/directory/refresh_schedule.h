// Decides when a host reads a value that all hosts of the system need, so that all hosts together
// read it about once per interval.
//
//   RefreshSchedule schedule({.interval = std::chrono::milliseconds(500)}, random, clock.Now());
//   if (schedule.IsDue(now)) { schedule.OnReadStarted(now); Read(...); }
//   schedule.OnReadSucceeded(now);   // the caller also informs the peers
//   schedule.OnPeerRead(when, now);  // a peer read the same value at `when`
//   schedule.OnPeerDiffers(now);     // a peer has a different value
//
// Each host waits for the interval plus a random jitter after the last read by any host. Usually
// one host reads and the others postpone their own read. A host that learns of no read by a peer
// reads the value itself. Used by one thread.
#ifndef VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_
#define VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::directory {

struct RefreshOptions {
  Duration interval = std::chrono::milliseconds(400);
  Duration jitter = std::chrono::milliseconds(400);  // maximum random addition to the interval
  // Delay after the first failure. It doubles with each failure in a row, up to `max_retry_delay`.
  Duration initial_retry_delay = std::chrono::milliseconds(200);
  Duration max_retry_delay = std::chrono::milliseconds(1'000);
};

class RefreshSchedule {
 public:
  RefreshSchedule(const RefreshOptions& options, RandomSource& random, TimePoint now);

  bool IsDue(TimePoint now) const { return !read_in_progress_ && now >= due_; }
  TimePoint due() const { return due_; }

  // Takes effect when the next read is scheduled.
  void SetIntervals(Duration interval, Duration jitter, Duration max_retry_delay) {
    options_.interval = interval;
    options_.jitter = jitter;
    options_.max_retry_delay = max_retry_delay;
  }

  void OnReadStarted(TimePoint now);
  void OnReadSucceeded(TimePoint now);
  void OnReadFailed(TimePoint now);
  // Records that the value on this host was still current at `when`, according to a peer. Returns
  // false if that was already known.
  bool OnPeerRead(TimePoint when, TimePoint now);
  void OnPeerDiffers(TimePoint now);

  // Time at which the value was last known to be current.
  TimePoint last_current() const { return last_current_; }
  int failures() const { return failures_; }

 private:
  void ScheduleNext(TimePoint now);

  RefreshOptions options_;
  RandomSource& random_;
  TimePoint due_;
  TimePoint last_current_{};
  bool read_in_progress_ = false;
  bool reread_ = false;  // a peer has a value that the read in progress may miss
  int failures_ = 0;
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_
