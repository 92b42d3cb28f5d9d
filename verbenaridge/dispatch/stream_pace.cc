#include "verbenaridge/dispatch/stream_pace.h"

#include <algorithm>

namespace verbenaridge::dispatch {
namespace {

Duration Times(Duration duration, double factor) {
  return FromSeconds(ToSeconds(duration) * factor);
}

}  // namespace

void StreamPace::OnEvent(TimePoint now) {
  if (events_ > 0) gaps_[(events_ - 1) % kGaps] = now - last_event_;
  last_event_ = now;
  ++events_;
}

bool StreamPace::MustMove(const StreamRest& rest) const {
  if (events_ <= kGaps) return false;
  std::array<Duration, kGaps> gaps = gaps_;
  std::nth_element(gaps.begin(), gaps.begin() + kGaps / 2, gaps.end());
  const Duration gap = gaps[kGaps / 2];
  if (gap <= Times(rest.expected_gap, options_.slow_ratio)) return false;
  const auto events = static_cast<double>(rest.events_left);
  if (Times(gap, events) <= rest.remaining) return false;
  return rest.restart + Times(rest.expected_gap, events) <=
         Times(rest.remaining, options_.usable_share);
}

}  // namespace verbenaridge::dispatch
