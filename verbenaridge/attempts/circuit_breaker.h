// Keeps traffic away from an endpoint that fails, and finds out by one probe when it has recovered.
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
  BackOffOptions open_time = {.first = std::chrono::seconds(1),
                              .longest = std::chrono::seconds(30)};
  // A probe whose result never arrives is given up after this time.
  Duration probe_limit = std::chrono::seconds(10);
};

// Not thread-safe; one per endpoint and traffic thread.
class CircuitBreaker {
 public:
  enum class State : std::uint8_t { kClosed, kOpen, kProbing };

  explicit CircuitBreaker(RandomSource& random, const CircuitBreakerOptions& options = {})
      : random_(random), options_(options) {}

  // Whether one attempt may be sent now. While open, true once per open time: that attempt is the
  // probe. Every attempt allowed must be followed by OnSuccess, OnFailure or OnAbandoned.
  bool Allow(TimePoint now);

  // The same question for choosing candidates; does not start a probe.
  bool WouldAllow(TimePoint now) const;

  void OnSuccess();
  void OnFailure(TimePoint now);

  // The attempt ended without saying anything of the endpoint, for example by the caller's leaving.
  void OnAbandoned(TimePoint now);

  State state() const { return state_; }

 private:
  void Open(TimePoint now);

  RandomSource& random_;
  CircuitBreakerOptions options_;
  State state_ = State::kClosed;
  int failures_ = 0;  // in a row while closed
  int openings_ = 0;  // in a row without a success
  TimePoint retry_at_{};
};

}  // namespace verbenaridge::attempts

#endif  // VERBENARIDGE_ATTEMPTS_CIRCUIT_BREAKER_H_
