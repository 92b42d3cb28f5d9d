#include "verbenaridge/daemon/telemetry_metrics.h"

namespace verbenaridge::daemon {
namespace {

// Client accounts beyond this share one series, so that the metrics page stays bounded.
constexpr std::size_t kMaxAccounts = 100;

telemetry::Label AccountLabel() { return {"client_account", kMaxAccounts}; }
telemetry::Label PriorityLabel() { return {"priority", kPriorityCount}; }

}  // namespace

TelemetryMetrics::TelemetryMetrics()
    : first_token_(
          registry_.AddHistogram({.name = "verbenaridge_first_token_seconds",
                                  .help = "Time from the arrival of a request to its first token.",
                                  .labels = {AccountLabel(), PriorityLabel()}})),
      token_gap_(registry_.AddHistogram({.name = "verbenaridge_token_gap_seconds",
                                         .help = "Time between two tokens of a stream.",
                                         .labels = {PriorityLabel()}})),
      request_time_(registry_.AddHistogram({.name = "verbenaridge_request_seconds",
                                            .help = "Time from arrival to end of a request.",
                                            .labels = {PriorityLabel()}})),
      requests_(
          registry_.AddCounter({.name = "verbenaridge_requests_total",
                                .help = "Requests that ended, by result.",
                                .labels = {AccountLabel(), PriorityLabel(), {"result", 20}}})),
      attempts_(registry_.AddCounter({.name = "verbenaridge_attempts_total",
                                      .help = "Attempts at endpoints that ended, by result.",
                                      .labels = {{"result", 10}}})) {}

void TelemetryMetrics::OnFirstToken(const ClientAccountId& account, Priority priority,
                                    Duration time) {
  first_token_.With({account.value(), PriorityName(priority)}).Observe(ToSeconds(time));
}

void TelemetryMetrics::OnTokenGap(const ClientAccountId&, Priority priority, Duration gap) {
  token_gap_.With({PriorityName(priority)}).Observe(ToSeconds(gap));
}

void TelemetryMetrics::OnRequestEnd(const ClientAccountId& account, Priority priority,
                                    std::string_view result, Duration time) {
  requests_.With({account.value(), PriorityName(priority), result}).Add();
  request_time_.With({PriorityName(priority)}).Observe(ToSeconds(time));
}

void TelemetryMetrics::OnAttempt(std::string_view result) { attempts_.With({result}).Add(); }

}  // namespace verbenaridge::daemon
