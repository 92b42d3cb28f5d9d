#include "verbenaridge/dispatch/room_forecast.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace verbenaridge::dispatch {
namespace {

// Callers add waits to times, which have 292 years. A rate that has decayed for some 20 s since the
// last start leads to longer waits.
constexpr double kMaxWaitSeconds = 1e9;

}  // namespace

double RoomForecast::Rate::Decayed(TimePoint now, Duration half_life) const {
  return count_ * std::exp2(-ToSeconds(now - updated_) / ToSeconds(half_life));
}

void RoomForecast::Rate::Add(TimePoint now, Duration half_life) {
  count_ = Decayed(now, half_life) + 1;
  updated_ = now;
}

double RoomForecast::Rate::PerSecond(TimePoint now, Duration half_life) const {
  // A constant rate r accumulates r * half_life / ln 2.
  return Decayed(now, half_life) * std::numbers::ln2 / ToSeconds(half_life);
}

bool RoomForecast::IsSaturated(TimePoint now) const {
  return arrivals_per_second(now) >= options_.saturated_share * starts_per_second(now);
}

Duration RoomForecast::Wait(std::size_t ahead, double least_share, TimePoint now) const {
  const double starts = starts_per_second(now);
  const double rate = std::max(starts - arrivals_per_second(now), least_share * starts);
  // Without any start of late, nothing tells when the next slot becomes free.
  if (rate * kMaxWaitSeconds < static_cast<double>(ahead + 1)) return {};
  return FromSeconds(static_cast<double>(ahead + 1) / rate);
}

Duration RoomForecast::RetryAfter(std::size_t slots, int urgency, RandomSource& random,
                                  TimePoint now) const {
  const double starts = starts_per_second(now);
  const double turnover =
      starts <= 0 ? ToSeconds(options_.max_retry_after) : static_cast<double>(slots) / starts;
  const double order = 1 + options_.urgency_step * std::max(urgency, 0);
  const double middle = std::clamp(turnover, ToSeconds(options_.min_retry_after),
                                   ToSeconds(options_.max_retry_after) / 1.5);
  const double delay = middle * (0.5 + random.Uniform()) * order;
  return FromSeconds(
      std::clamp(delay, ToSeconds(options_.min_retry_after), ToSeconds(options_.max_retry_after)));
}

}  // namespace verbenaridge::dispatch
