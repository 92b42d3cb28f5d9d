// Chooses when the client of a rejected request should come back.
//
//   Duration delay = RetryDelay({.prefill = pending, .engines = 16}, urgency, random, {});
//
// The delay is the time after which the request would find a free engine, so that a client that
// comes back is not rejected again. Urgent requests come back before less urgent ones, and the
// delays are spread so that clients that were rejected together do not return together.
#ifndef VERBENARIDGE_DISPATCH_RETRY_DELAY_H_
#define VERBENARIDGE_DISPATCH_RETRY_DELAY_H_

#include <cstddef>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::dispatch {

// Prefill that precedes a rejected request, at the engines and in the queue.
struct Backlog {
  Duration prefill{};
  std::size_t engines = 0;
};

struct RetryDelayOptions {
  Duration min_delay = std::chrono::milliseconds(300);
  // Predictions of a longer backlog are too inexact to keep a client away.
  Duration max_delay = std::chrono::seconds(8);
  double urgency_step = 0.25;  // additional share of the delay for each less urgent level
  double spread = 0.5;         // upper bound of the random additional share
};

// `urgency`: the lowest value comes back first.
Duration RetryDelay(const Backlog& backlog, int urgency, RandomSource& random,
                    const RetryDelayOptions& options);

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_RETRY_DELAY_H_
