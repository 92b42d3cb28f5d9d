// Counters and histograms of requests on the path between clients and endpoints.
#ifndef VERBENARIDGE_FORWARDING_REQUEST_METRICS_H_
#define VERBENARIDGE_FORWARDING_REQUEST_METRICS_H_

#include "verbenaridge/telemetry/metrics.h"

namespace verbenaridge::forwarding {

struct RequestMetrics {
  explicit RequestMetrics(telemetry::MetricsRegistry& registry);

  telemetry::Family<telemetry::Counter>& requests;          // route, outcome
  telemetry::Family<telemetry::Counter>& refusals;          // reason
  telemetry::Family<telemetry::Counter>& attempts;          // end
  telemetry::Family<telemetry::Counter>& crossings;         // service
  telemetry::Family<telemetry::Counter>& hand_overs;        // outcome
  telemetry::Family<telemetry::Counter>& blocked_requests;  // source
  telemetry::Family<telemetry::Counter>& blocked_parts;     // source
  telemetry::Counter& probes;
  telemetry::Family<telemetry::Histogram>& latency;  // priority; to the first event or the response
  telemetry::Family<telemetry::Histogram>& predicted;   // priority
  telemetry::Family<telemetry::Histogram>& queued;      // priority
  telemetry::Family<telemetry::Counter>& reservations;  // event
  telemetry::Gauge& active_reservations;
  telemetry::Gauge& held_bytes;
  telemetry::Family<telemetry::Counter>& connections_closed;  // reason
  telemetry::Family<telemetry::Counter>& endpoint_notices;    // notice
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_REQUEST_METRICS_H_
