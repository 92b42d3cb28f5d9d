// Rate limit with a burst.
#ifndef VERBENARIDGE_ADMISSION_TOKEN_BUCKET_H_
#define VERBENARIDGE_ADMISSION_TOKEN_BUCKET_H_

#include "verbenaridge/base/clock.h"

namespace verbenaridge::admission {

// Over any span T it lets through at most rate x T + burst, plus what one Force took.
class TokenBucket {
 public:
  // Starts with `level` tokens.
  TokenBucket(double rate, double burst, double level, TimePoint now);

  // Keeps the level, within the new burst.
  void SetRate(double rate, double burst, TimePoint now);

  // Time until `amount` is there; zero means now. An amount over the burst counts as a full
  // bucket: it passes on credit, and the debt delays what follows.
  Duration WaitFor(double amount, TimePoint now);

  // Takes `amount` whatever the level; a negative amount gives back.
  void Force(double amount, TimePoint now);

 private:
  void Refill(TimePoint now);

  double rate_;
  double burst_;
  double level_;
  TimePoint refilled_;
};

}  // namespace verbenaridge::admission

#endif  // VERBENARIDGE_ADMISSION_TOKEN_BUCKET_H_
