// Token bucket: a rate limit with a burst.
#ifndef VERBENARIDGE_ADMISSION_TOKEN_BUCKET_H_
#define VERBENARIDGE_ADMISSION_TOKEN_BUCKET_H_

#include "verbenaridge/base/clock.h"

namespace verbenaridge::admission {

// Over any time span T it admits at most rate x T + burst, plus the amount of one Consume.
class TokenBucket {
 public:
  // Starts with `level` tokens.
  TokenBucket(double rate, double burst, double level, TimePoint now);

  // Changes rate and burst. Keeps the level, but at most the new burst.
  void SetRate(double rate, double burst, TimePoint now);

  // Returns the time until `amount` is available; zero means now. An amount over the burst only
  // waits for a full bucket. Consuming it makes the level negative, which delays later requests.
  Duration WaitFor(double amount, TimePoint now);

  // Takes `amount` regardless of the level. A negative amount is refunded.
  void Consume(double amount, TimePoint now);

 private:
  void Refill(TimePoint now);

  double rate_;
  double burst_;
  double level_;
  TimePoint refilled_;
};

}  // namespace verbenaridge::admission

#endif  // VERBENARIDGE_ADMISSION_TOKEN_BUCKET_H_
