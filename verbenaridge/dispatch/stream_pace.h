// Decides whether a stream must leave an engine that is too slow to end it before its deadline.
//
//   StreamPace pace({});
//   pace.OnEvent(clock.Now());
//   if (pace.MustMove({.events_left = 30, .expected_gap = gap, .restart = restart, ...})) Resume();
//
// Engines may turn slow while streams run. Such a stream may even meet its target gap, but its
// client gives up at the deadline and loses what it has received. It is moved only if the pace
// shows that it cannot end in time here and the published timing says that it can elsewhere: each
// move costs another prefill, so a fleet that is slow because it is overloaded must not add to its
// load. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_STREAM_PACE_H_
#define VERBENARIDGE_DISPATCH_STREAM_PACE_H_

#include <array>
#include <cstddef>

#include "verbenaridge/base/clock.h"

namespace verbenaridge::dispatch {

struct StreamPaceOptions {
  // An engine is slow if its usual gap exceeds this multiple of the expected one.
  double slow_ratio = 1.5;
  // The rest of the stream must fit into this share of the time left at another engine, because it
  // may wait there.
  double usable_share = 0.7;
};

struct StreamRest {
  std::size_t events_left = 0;  // at most
  Duration expected_gap{};      // of an engine that keeps to its published timing
  Duration restart{};           // from the resumption until the next event at another engine
  Duration remaining{};         // until the deadline
};

class StreamPace {
 public:
  explicit StreamPace(const StreamPaceOptions& options) : options_(options) {}

  // Another engine runs the stream.
  void Reset() { events_ = 0; }
  void OnEvent(TimePoint now);
  bool MustMove(const StreamRest& rest) const;

 private:
  // The median of this many gaps is the pace, because a pass that prefills a long prompt is a
  // single long gap.
  static constexpr std::size_t kGaps = 9;

  const StreamPaceOptions options_;
  TimePoint last_event_{};
  std::size_t events_ = 0;
  std::array<Duration, kGaps> gaps_{};  // the latest ones
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_STREAM_PACE_H_
