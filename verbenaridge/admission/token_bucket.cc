#include "verbenaridge/admission/token_bucket.h"

#include <algorithm>

namespace verbenaridge::admission {

TokenBucket::TokenBucket(double rate, double burst, double level, TimePoint now)
    : rate_(rate), burst_(burst), level_(std::min(level, burst)), refilled_(now) {}

void TokenBucket::SetRate(double rate, double burst, TimePoint now) {
  Refill(now);
  rate_ = rate;
  burst_ = burst;
  level_ = std::min(level_, burst);
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= refilled_) return;
  level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - refilled_));
  refilled_ = now;
}

Duration TokenBucket::WaitFor(double amount, TimePoint now) {
  Refill(now);
  const double missing = std::min(amount, burst_) - level_;
  if (missing <= 1e-9) return Duration::zero();
  return rate_ > 0 ? FromSeconds(std::min(missing / rate_, 3600.0)) : std::chrono::hours(1);
}

void TokenBucket::Consume(double amount, TimePoint now) {
  Refill(now);
  level_ = std::min(burst_, level_ - amount);
}

}  // namespace verbenaridge::admission
