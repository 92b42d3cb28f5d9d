// Stops traffic to an endpoint that fails, and detects its recovery with one probe at a time.
//
//   CircuitBreaker breaker(random);
//   if (breaker.Allow(now)) { ... breaker.OnFailure(now); }
#ifndef VERBENARIDGE_ATTEMPTS_CIRCUIT_BREAKER_H_
#define VERBENARIDGE_ATTEMPTS_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "verbenaridge/attempts/retry.h"
#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::attempts {

struct CircuitBreakerOptions {
  int failures_to_open = 5;
  BackOffOptions open_time = {.initial = std::chrono::seconds(1), .max = std::chrono::seconds(30)};
  // After this time without a result, a probe is abandoned and another one is allowed.
  Duration probe_timeout = std::chrono::seconds(10);
};

// Not thread-safe; one per endpoint and traffic thread.
class CircuitBreaker {
 public:
  enum class State : std::uint8_t { kClosed, kOpen, kProbing };

  explicit CircuitBreaker(RandomSource& random, const CircuitBreakerOptions& options = {})
      : random_(random), options_(options) {}

  // Whether one attempt may be sent now. While open, returns true once per open time, and that
  // attempt is the probe. Every allowed attempt must end with OnSuccess, OnFailure or OnAbandoned.
  bool Allow(TimePoint now);

  // Like Allow, but does not start a probe. For choosing candidates.
  bool WouldAllow(TimePoint now) const;

  void OnSuccess();
  void OnFailure(TimePoint now);

  // The attempt ended without a result about the endpoint, for example because the caller
  // disconnected.
  void OnAbandoned(TimePoint now);

  State state() const { return state_; }

 private:
  void Open(TimePoint now);

  RandomSource& random_;
  CircuitBreakerOptions options_;
  State state_ = State::kClosed;
  int failures_ = 0;  // consecutive, while closed
  int openings_ = 0;  // since the last success
  TimePoint retry_at_{};
};

}  // namespace verbenaridge::attempts

#endif  // VERBENARIDGE_ATTEMPTS_CIRCUIT_BREAKER_H_
