#include "verbenaridge/forwarding/notice_recorder.h"

#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {
namespace {

using telemetry::Level;

// Status of a process that is not the endpoint to which the request was addressed.
constexpr int kMisdirected = 421;

}  // namespace

void NoticeRecorder::OnResponse(const directory::Endpoint& endpoint, int status,
                                const ResponseMetadata& metadata) {
  if (status == kMisdirected) return;
  if (metadata.endpoint_leaving && dispatcher_.OnLeaving(endpoint)) {
    metrics_.endpoint_notices.With({"leaving"}).Add();
    telemetry::Log(Level::kInfo, "endpoint_leaving",
                   {{"endpoint", endpoint.id.value()},
                    {"service", endpoint.service.value()},
                    {"status", status}});
  }
  // Responses to calls about reservations do not name the limit of requests.
  const bool answers_request = !metadata.attempt_id.empty();
  if (metadata.request_limit || answers_request) RecordLimit(endpoint, metadata.request_limit);
  if (metadata.cold_remaining) dispatcher_.OnColdNotice(endpoint, *metadata.cold_remaining);
  if (metadata.pause && dispatcher_.OnPause(endpoint, *metadata.pause)) {
    metrics_.endpoint_notices.With({"paused"}).Add();
    telemetry::Log(Level::kInfo, "endpoint_paused",
                   {{"endpoint", endpoint.id.value()},
                    {"service", endpoint.service.value()},
                    {"pause_ms", ToSeconds(*metadata.pause) * 1000}});
  }
  if (metadata.malformed_notice && dispatcher_.OnMalformedNotice(endpoint)) {
    metrics_.endpoint_notices.With({"malformed"}).Add();
    telemetry::Log(Level::kWarning, "endpoint_notice_malformed",
                   {{"endpoint", endpoint.id.value()}, {"status", status}});
  }
}

void NoticeRecorder::RecordLimit(const directory::Endpoint& endpoint,
                                 std::optional<dispatch::RequestsPerSecond> limit) {
  if (!dispatcher_.OnLimit(endpoint, limit)) return;
  metrics_.endpoint_notices.With({limit ? "limited" : "unlimited"}).Add();
  telemetry::Log(Level::kInfo, limit ? "endpoint_limited" : "endpoint_unlimited",
                 {{"endpoint", endpoint.id.value()},
                  {"service", endpoint.service.value()},
                  {"requests_per_s", limit.value_or(0)}});
}

}  // namespace verbenaridge::forwarding
