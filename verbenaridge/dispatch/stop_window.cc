#include "verbenaridge/dispatch/stop_window.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::dispatch {

void StopWindow::Begin(TimePoint now, TimePoint end) {
  begun_ = now;
  end_ = end;
}

ResponseTime StopWindow::EstimateResponse(const PassModel* model, TokenCount max_output_tokens,
                                          Duration target_latency) const {
  if (model == nullptr || max_output_tokens == 0) {
    const Duration time =
        std::max(FromSeconds(ToSeconds(target_latency) * options_.service_latency_factor),
                 options_.min_service_time);
    return {.usual = time, .longest = time};
  }
  const double stride = std::max(model->timing().stride, 1);
  const double passes = std::ceil(static_cast<double>(max_output_tokens) / stride);
  const double pass = ToSeconds(model->LongestPassTime());
  return {.usual = FromSeconds(passes * options_.usual_output_share * pass),
          .longest = FromSeconds(passes * options_.prefill_factor * pass)};
}

TimePoint StopWindow::LatestStart(const ResponseTime& time, TimePoint arrived) const {
  if (!end_) return TimePoint::max();
  return *end_ - (arrived - begun_ > options_.late_after ? time.longest : time.usual);
}

}  // namespace verbenaridge::dispatch
