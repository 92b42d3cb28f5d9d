// Which endpoints a host leaves out after failures that it saw or that peers told it of.
//
//   EndpointHealth health({});
//   health.OnFailure(key, FailureKind::kUnreachable, now);
//   if (!health.Usable(key, now)) continue;
//   health.OnSuccess(key, now);
//
// An endpoint that failed is left out for a time that doubles with each failure in a row. After it,
// one request at a time tries the endpoint. Used by one thread.
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
  kUnreachable,  // no connection, or silence: nothing works
  kBroken,       // a connection broke off or carried nonsense
  kError,        // the endpoint answered with a failure
  kFull,         // it refused before it ran anything
};

std::string_view ToText(FailureKind kind);

struct HealthOptions {
  Duration first_pause = std::chrono::milliseconds(500);
  Duration longest_pause = std::chrono::seconds(4);
  // Failures of other kinds than kUnreachable in a row before an endpoint is left out: some
  // services fail a part of their requests when nothing is wrong.
  int failures_before_pause = 3;
  Duration full_pause = std::chrono::milliseconds(100);
  double error_smoothing = 0.2;  // weight of the newest outcome
};

class EndpointHealth {
 public:
  explicit EndpointHealth(const HealthOptions& options = {}) : options_(options) {}

  void OnSuccess(Digest endpoint);
  // Returns true if the endpoint was usable before and is not now.
  bool OnFailure(Digest endpoint, FailureKind kind, TimePoint now);
  void Forget(Digest endpoint) { states_.erase(endpoint); }

  // False during a pause, and while the one request that tries the endpoint after it runs.
  bool Usable(Digest endpoint, TimePoint now) const;

  // A request goes to the endpoint; after a pause it is the only one until its outcome.
  void OnDispatched(Digest endpoint, TimePoint now);

  // Share of recent requests that failed, 0 to 1.
  double ErrorRate(Digest endpoint) const;

 private:
  struct State {
    int failures = 0;  // in a row
    double error_rate = 0;
    TimePoint paused_until{};
    TimePoint trial_until{};  // a trial whose outcome never comes does not block for good
    bool paused = false;
  };

  HealthOptions options_;
  std::unordered_map<Digest, State> states_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_ENDPOINT_HEALTH_H_
