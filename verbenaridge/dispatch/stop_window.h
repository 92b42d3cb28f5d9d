// Decides until when a host that stops may still start the response of a request.
//
//   StopWindow stop;
//   stop.Begin(clock.Now(), end);
//   if (clock.Now() >= stop.LatestStart(time, {.arrived = arrived})) Refuse();
//
// A stopping host receives requests until the load balancer and all clients have left it. Their
// responses are cut off when the process ends, so a request is refused as not run, and its client
// goes to another host, unless its response ends before. While the balancer still counts on the
// host, many hosts may stop at once and a refused client may meet another one of them; until then
// responses of usual length must fit, and some that are longer are cut.
//
// Later no stream is started, also none that has waited since: how long it takes has no bound. Its
// engine reads the prompts of all hosts between two events, and more of them arrive while it runs.
// Other responses start while the longest one is expected to fit. If it does not, they fail with a
// response of their own, which a stream that has begun cannot. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_STOP_WINDOW_H_
#define VERBENARIDGE_DISPATCH_STOP_WINDOW_H_

#include <cstddef>
#include <optional>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/dispatch/pass_model.h"

namespace verbenaridge::dispatch {

struct StopOptions {
  // How long the balancer may count on a host after the signal to stop. It removes a host after two
  // failed probes, one second apart.
  Duration late_after = std::chrono::milliseconds(2'500);
  // Nine of ten responses have less than this share of the tokens that they may have.
  double usual_output_share = 0.5;
  // Prefill of other prompts is expected to extend the passes of a full engine by up to this
  // factor, besides one pass with the longest prefill.
  double prefill_factor = 1.5;
  // A plain service responds within this multiple of the target latency, or within the minimum.
  double service_latency_factor = 5;
  Duration min_service_time = std::chrono::milliseconds(500);
};

// From the start of a response to its end; of a plain service, from the dispatch.
struct ResponseTime {
  Duration usual{};
  std::optional<Duration> longest;  // expected; empty for a stream, which has no bound
};

// What is known of a response before it starts.
struct ExpectedResponse {
  const PassModel* model = nullptr;  // null if the service publishes no timing of engines
  TokenCount max_output_tokens = 0;  // zero if not declared
  bool stream = false;               // its parts are forwarded while they arrive
  Duration target_latency{};
};

struct StartConditions {
  TimePoint arrived{};
  // An earlier attempt may have run, so the request cannot be refused as not run. It may start
  // while a usual response fits, unless it arrived late.
  bool may_have_run = false;
};

class StopWindow {
 public:
  explicit StopWindow(const StopOptions& options = {}) : options_(options) {}

  // The host has received the signal to stop. `end`: when its last response must have ended.
  void Begin(TimePoint now, TimePoint end);

  bool stopping() const { return end_.has_value(); }
  // Empty while the host does not stop.
  std::optional<TimePoint> end() const { return end_; }

  ResponseTime EstimateResponse(const ExpectedResponse& response) const;

  // How long a response of at most `events` events usually takes.
  Duration UsualTime(std::size_t events, Duration gap) const {
    return FromSeconds(static_cast<double>(events) * options_.usual_output_share * ToSeconds(gap));
  }

  // When the response must have started. The end of time while the host does not stop.
  TimePoint LatestStart(const ResponseTime& time, const StartConditions& conditions) const;

 private:
  const StopOptions options_;
  TimePoint begun_{};
  std::optional<TimePoint> end_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_STOP_WINDOW_H_
