#include "verbenaridge/attempts/circuit_breaker.h"

namespace verbenaridge::attempts {

bool CircuitBreaker::WouldAllow(TimePoint now) const {
  return state_ == State::kClosed || now >= retry_at_;
}

bool CircuitBreaker::Allow(TimePoint now) {
  if (!WouldAllow(now)) return false;
  if (state_ != State::kClosed) {
    state_ = State::kProbing;
    retry_at_ = now + options_.probe_timeout;
  }
  return true;
}

void CircuitBreaker::OnSuccess() {
  state_ = State::kClosed;
  failures_ = 0;
  openings_ = 0;
}

void CircuitBreaker::OnFailure(TimePoint now) {
  // Failures of attempts that were sent before the breaker opened must not prolong the open time.
  if (state_ == State::kOpen) return;
  if (state_ == State::kProbing || ++failures_ >= options_.failures_to_open) Open(now);
}

void CircuitBreaker::OnAbandoned(TimePoint now) {
  if (state_ != State::kProbing) return;
  state_ = State::kOpen;
  retry_at_ = now;  // the next request is the probe
}

void CircuitBreaker::Open(TimePoint now) {
  state_ = State::kOpen;
  failures_ = 0;
  retry_at_ = now + BackOff(options_.open_time, ++openings_, random_);
}

}  // namespace verbenaridge::attempts
