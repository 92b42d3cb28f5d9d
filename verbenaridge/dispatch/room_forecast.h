// Predicts when requests that wait for a free slot will get one.
//
//   RoomForecast forecast;
//   forecast.OnArrival(now);
//   forecast.OnStart(now);
//   Duration wait = forecast.Wait(/*ahead=*/12, /*least_share=*/0.15, now);
//   Duration retry_after = forecast.RetryAfter(slots, urgency, random, now);
//
// Answers bursts beyond the slots of all endpoints. While endpoints are full, the rate at which
// requests start is the rate at which slots become free, so both rates are measured where the
// requests wait, and no model of the endpoints is needed. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_ROOM_FORECAST_H_
#define VERBENARIDGE_DISPATCH_ROOM_FORECAST_H_

#include <cstddef>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::dispatch {

struct RoomForecastOptions {
  // Arrivals and starts this long ago count half.
  Duration half_life = std::chrono::milliseconds(500);
  // The part of the starts beyond which arrivals leave no room in sight: rates of a second have an
  // error of some percent.
  double saturated_share = 0.98;
  // Bounds of the time after which clients are told to return. Clients that are kept away for
  // longer than this do not come back before their deadline.
  Duration min_retry_after = std::chrono::milliseconds(500);
  Duration max_retry_after = std::chrono::seconds(3);
  double urgency_step = 0.25;  // additional share of the delay for each less urgent level
};

class RoomForecast {
 public:
  explicit RoomForecast(const RoomForecastOptions& options = {}) : options_(options) {}

  void OnArrival(TimePoint now) { arrivals_.Add(now, options_.half_life); }
  void OnStart(TimePoint now) { starts_.Add(now, options_.half_life); }

  // Whether the arrivals take all slots that become free.
  bool IsSaturated(TimePoint now) const;

  // The time until `ahead` late requests have started and the next one can. They get what the
  // arrivals leave, and at least `least_share` of the starts.
  Duration Wait(std::size_t ahead, double least_share, TimePoint now) const;

  // When the client of a request that is refused should return: spread evenly over the time in
  // which the running requests end, `slots` in all, the urgent ones first.
  Duration RetryAfter(std::size_t slots, int urgency, RandomSource& random, TimePoint now) const;

  double arrivals_per_second(TimePoint now) const {
    return arrivals_.PerSecond(now, options_.half_life);
  }
  double starts_per_second(TimePoint now) const {
    return starts_.PerSecond(now, options_.half_life);
  }

 private:
  class Rate {
   public:
    void Add(TimePoint now, Duration half_life);
    double PerSecond(TimePoint now, Duration half_life) const;

   private:
    double Decayed(TimePoint now, Duration half_life) const;

    double count_ = 0;  // decayed, at `updated_`
    TimePoint updated_{};
  };

  const RoomForecastOptions options_;
  Rate arrivals_;
  Rate starts_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_ROOM_FORECAST_H_
