// Ejects endpoints after failures that this host saw or that peers reported.
//
//   EndpointHealth health({});
//   health.OnFailure(key, FailureKind::kUnreachable, now);
//   if (!health.Usable(key, now)) continue;
//   health.OnSuccess(key);
//
// The ejection time doubles with each consecutive failure. After an ejection, one request at a time
// probes the endpoint until one succeeds. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_ENDPOINT_HEALTH_H_
#define VERBENARIDGE_DISPATCH_ENDPOINT_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

enum class FailureKind : std::uint8_t {
  kUnreachable,  // no connection, or no response at all
  kBroken,       // the connection was closed early or carried malformed data
  kError,        // the response reports a failure
  kFull,         // the endpoint refused the request before running it
  kReplaced,     // another process has the endpoint's address
};

std::string_view ToText(FailureKind kind);

struct HealthOptions {
  Duration initial_ejection = std::chrono::milliseconds(500);
  Duration max_ejection = std::chrono::seconds(4);
  // Consecutive failures other than kUnreachable before an endpoint is ejected. Some services fail
  // a part of their requests in normal operation.
  int failures_before_ejection = 3;
  Duration full_ejection = std::chrono::milliseconds(100);
  double error_smoothing = 0.2;  // weight of the newest outcome
};

class EndpointHealth {
 public:
  explicit EndpointHealth(const HealthOptions& options = {}) : options_(options) {}

  void OnSuccess(Digest endpoint);
  // Returns true if the endpoint was usable and this failure ejects it.
  bool OnFailure(Digest endpoint, FailureKind kind, TimePoint now);
  void Forget(Digest endpoint) { states_.erase(endpoint); }

  // Returns false during an ejection, and afterwards while a request that probes the endpoint runs.
  bool Usable(Digest endpoint, TimePoint now) const;

  // Whether another process has its address. The directory replaces the endpoint when its news
  // arrive; until then no request can succeed there.
  bool IsReplaced(Digest endpoint, TimePoint now) const;

  // Records that a request is sent to the endpoint. After an ejection it is the probe, and the
  // endpoint is not usable until its outcome.
  void OnDispatched(Digest endpoint, TimePoint now);

  // Share of recent requests that failed, 0 to 1.
  double ErrorRate(Digest endpoint) const;

 private:
  struct State {
    int failures = 0;  // consecutive
    double error_rate = 0;
    TimePoint ejected_until{};
    TimePoint probe_until{};  // bounds a probe whose outcome is never reported
    bool ejected = false;
    TimePoint replaced_until{};
  };

  HealthOptions options_;
  std::unordered_map<Digest, State> states_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_ENDPOINT_HEALTH_H_
