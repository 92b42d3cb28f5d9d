// Counts and times of requests, as seen at the ingress.
#ifndef VERBENARIDGE_DAEMON_REQUEST_METRICS_H_
#define VERBENARIDGE_DAEMON_REQUEST_METRICS_H_

#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::daemon {

// Thread-safe in all implementations.
class RequestMetrics {
 public:
  virtual ~RequestMetrics() = default;

  virtual void OnFirstToken(const ClientAccountId& account, Priority priority, Duration time) = 0;
  virtual void OnTokenGap(const ClientAccountId& account, Priority priority, Duration gap) = 0;
  // `result` is "completed", "cancelled" or the name of a failure.
  virtual void OnRequestEnd(const ClientAccountId& account, Priority priority,
                            std::string_view result, Duration time) = 0;
  virtual void OnAttempt(std::string_view result) = 0;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_REQUEST_METRICS_H_
