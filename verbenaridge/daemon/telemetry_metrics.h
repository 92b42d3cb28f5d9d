// Request metrics in the telemetry registry.
#ifndef VERBENARIDGE_DAEMON_TELEMETRY_METRICS_H_
#define VERBENARIDGE_DAEMON_TELEMETRY_METRICS_H_

#include <string>
#include <string_view>

#include "verbenaridge/daemon/request_metrics.h"
#include "verbenaridge/telemetry/metrics.h"

namespace verbenaridge::daemon {

// Thread-safe.
class TelemetryMetrics final : public RequestMetrics {
 public:
  TelemetryMetrics();

  void OnFirstToken(const ClientAccountId& account, Priority priority, Duration time) override;
  void OnTokenGap(const ClientAccountId& account, Priority priority, Duration gap) override;
  void OnRequestEnd(const ClientAccountId& account, Priority priority, std::string_view result,
                    Duration time) override;
  void OnAttempt(std::string_view result) override;

  std::string PrometheusText() const { return registry_.PrometheusText(); }

 private:
  telemetry::MetricsRegistry registry_;
  telemetry::Family<telemetry::Histogram>& first_token_;
  telemetry::Family<telemetry::Histogram>& token_gap_;
  telemetry::Family<telemetry::Histogram>& request_time_;
  telemetry::Family<telemetry::Counter>& requests_;
  telemetry::Family<telemetry::Counter>& attempts_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_TELEMETRY_METRICS_H_
