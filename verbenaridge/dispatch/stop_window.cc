#include "verbenaridge/dispatch/stop_window.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::dispatch {

void StopWindow::Begin(TimePoint now, TimePoint end) {
  begun_ = now;
  end_ = end;
}

ResponseTime StopWindow::EstimateResponse(const ExpectedResponse& response) const {
  ResponseTime time;
  if (response.model == nullptr || response.max_output_tokens == 0) {
    time.usual =
        std::max(FromSeconds(ToSeconds(response.target_latency) * options_.service_latency_factor),
                 options_.min_service_time);
    time.longest = time.usual;
  } else {
    const PassModel& model = *response.model;
    const double stride = std::max(model.timing().stride, 1);
    const double passes = std::ceil(static_cast<double>(response.max_output_tokens) / stride);
    const Duration pass = model.LongestPassTime();
    time.usual = UsualTime(static_cast<std::size_t>(passes), pass);
    time.longest = FromSeconds(passes * options_.prefill_factor * ToSeconds(pass)) +
                   model.MaxPrefillInAnyPass();
  }
  if (response.stream) time.longest.reset();
  return time;
}

TimePoint StopWindow::LatestStart(const ResponseTime& time,
                                  const StartConditions& conditions) const {
  if (!end_) return TimePoint::max();
  const TimePoint late = begun_ + options_.late_after;
  const TimePoint usual = *end_ - time.usual;
  const TimePoint longest = time.longest ? *end_ - *time.longest : begun_;
  if (conditions.arrived > late) return longest;
  return conditions.may_have_run ? usual : std::max(std::min(usual, late), longest);
}

}  // namespace verbenaridge::dispatch
