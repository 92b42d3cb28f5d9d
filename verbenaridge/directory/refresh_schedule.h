// Decides when a host reads a value that all hosts of the system need, so that all hosts together
// read it about once per interval.
//
//   RefreshSchedule schedule({.interval = std::chrono::milliseconds(500)}, random, clock.Now());
//   if (schedule.IsDue(now)) { schedule.OnReadStarted(now); Read(...); }
//   schedule.OnReadSucceeded(now);   // the caller also informs the peers
//   schedule.OnPeerRead(when);       // a peer read the same value at `when`
//   schedule.OnPeerDiffers(now);     // a peer has a different value
//
// The host that read last is the reader: it reads again after the reader interval, and the others,
// which learn of its reads, postpone their own. A host that learns of no read within its own
// interval reads the value itself and becomes the reader. Used by one thread.
#ifndef VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_
#define VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::directory {

// When a host reads that is not the reader. `jitter` is the maximum random addition.
struct RefreshIntervals {
  Duration interval = std::chrono::milliseconds(550);
  Duration jitter = std::chrono::milliseconds(350);
  // The jitter is distributed such that the share of hosts that have read after a part `x` of it is
  // x to this power. Higher values start with fewer hosts.
  double jitter_power = 1;
  Duration retry_delay = std::chrono::milliseconds(1'000);  // after a failure
};

struct RefreshOptions {
  // Shorter than the interval of the other hosts by more than it takes to tell them of a read.
  Duration reader_interval = std::chrono::milliseconds(450);
  Duration reader_jitter = std::chrono::milliseconds(50);
  // Delay of the reader after a failure. It doubles with each failure in a row, up to the delay of
  // the other hosts, which may have taken over by then.
  Duration reader_retry_delay = std::chrono::milliseconds(200);
  RefreshIntervals others{};
};

class RefreshSchedule {
 public:
  RefreshSchedule(const RefreshOptions& options, RandomSource& random, TimePoint now);

  bool read_in_progress() const { return read_in_progress_; }
  bool IsDue(TimePoint now) const { return !read_in_progress_ && now >= due_; }
  TimePoint due() const { return due_; }

  // Takes effect when the next read is scheduled.
  void SetIntervals(const RefreshIntervals& intervals) { options_.others = intervals; }

  void OnReadStarted(TimePoint now);
  void OnReadSucceeded(TimePoint now);
  void OnReadFailed(TimePoint now);
  // The response is older than what this host has learned from a peer since the read started.
  void OnReadOutdated(TimePoint now);
  // A read of another value failed, so this one would too, or succeeded again.
  void OnOtherReadFailed(TimePoint now);
  void OnOtherReadSucceeded(TimePoint now);
  // Records that the value on this host was still current at `when`, according to a peer. Returns
  // false if that was already known.
  bool OnPeerRead(TimePoint when);
  void OnPeerDiffers(TimePoint now);

  // Time at which the value was last known to be current.
  TimePoint last_current() const { return last_current_; }
  // Whether the last known read is one of this host.
  bool is_reader() const { return is_reader_; }
  int failures() const { return failures_; }

 private:
  // Schedules the next read after one at `when`.
  void ScheduleNext(TimePoint when);

  RefreshOptions options_;
  RandomSource& random_;
  TimePoint due_;
  TimePoint retry_at_{};  // after the last failure
  TimePoint last_current_{};
  bool read_in_progress_ = false;
  bool reread_ = false;  // a peer has a value that the read in progress may miss
  bool is_reader_ = false;
  int failures_ = 0;
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_
