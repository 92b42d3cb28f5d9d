// Decides when a host reads a value that all hosts of the system need, so that together they read
// it about once in each interval.
//
//   RefreshSchedule schedule({.interval = std::chrono::milliseconds(500)}, random, clock.Now());
//   if (schedule.Due(now)) { schedule.OnStarted(now); Read(...); }
//   schedule.OnRead(now);        // read it; tells the peers
//   schedule.OnPeerRead(when, now);  // a peer knows that the value was the same then
//   schedule.OnPeerDiffers(now); // a peer has read another one
//
// Each host waits for the interval and a random part of it since anyone's last reading, so mostly
// one host reads and the others put their own reading off. A host that hears of no reading reads
// for itself. Used by one thread.
#ifndef VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_
#define VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::directory {

struct RefreshOptions {
  Duration interval = std::chrono::milliseconds(400);
  Duration spread = std::chrono::milliseconds(400);  // random part of the wait, at most
  // After failures in a row the wait grows up to this.
  Duration first_retry = std::chrono::milliseconds(200);
  Duration longest_retry = std::chrono::milliseconds(1'000);
};

class RefreshSchedule {
 public:
  RefreshSchedule(const RefreshOptions& options, RandomSource& random, TimePoint now);

  bool Due(TimePoint now) const { return !running_ && now >= due_; }
  TimePoint due() const { return due_; }

  // From the next reading on.
  void SetPace(Duration interval, Duration spread, Duration longest_retry) {
    options_.interval = interval;
    options_.spread = spread;
    options_.longest_retry = longest_retry;
  }

  void OnStarted(TimePoint now);
  void OnRead(TimePoint now);
  void OnFailed(TimePoint now);
  // A peer tells that the value was read at `when` and is the same as here. False if as much was
  // known.
  bool OnPeerRead(TimePoint when, TimePoint now);
  void OnPeerDiffers(TimePoint now);

  // When the value was last known to be current.
  TimePoint fresh() const { return fresh_; }
  int failures() const { return failures_; }

 private:
  void PutOff(TimePoint now);

  RefreshOptions options_;
  RandomSource& random_;
  TimePoint due_;
  TimePoint fresh_{};
  bool running_ = false;
  bool again_ = false;  // a peer has a newer value than the reading under way may have
  int failures_ = 0;
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_REFRESH_SCHEDULE_H_
