// Events in virtual time.
#ifndef VERBENARIDGE_REPLAY_SCHEDULER_H_
#define VERBENARIDGE_REPLAY_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"

namespace verbenaridge::replay {

// Runs events in the order of their times, and equal times in the order of scheduling.
class Scheduler {
 public:
  TimePoint now() const { return now_; }

  void After(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, next_++, std::move(run)});
  }

  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;

    friend bool operator<(const Event& a, const Event& b) {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace verbenaridge::replay

#endif  // VERBENARIDGE_REPLAY_SCHEDULER_H_
