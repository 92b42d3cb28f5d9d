#include "verbenaridge/forwarding/request_metrics.h"

namespace verbenaridge::forwarding {

RequestMetrics::RequestMetrics(telemetry::MetricsRegistry& registry)
    : requests(registry.AddCounter({.name = "verbenaridge_forwarded_requests_total",
                                    .help = "Requests of clients by route and outcome.",
                                    .labels = {{"route", 200}, {"outcome", 24}}})),
      refusals(registry.AddCounter({.name = "verbenaridge_refusals_total",
                                    .help = "Requests answered without an endpoint, by reason.",
                                    .labels = {{"reason", 24}}})),
      attempts(registry.AddCounter({.name = "verbenaridge_attempts_failed_total",
                                    .help = "Attempts at endpoints that failed, by their end.",
                                    .labels = {{"end", 8}}})),
      crossings(registry.AddCounter(
          {.name = "verbenaridge_crossings_total",
           .help = "Attempts that were sent to an endpoint of another data centre, by service.",
           .labels = {{"service", 50}}})),
      hand_overs(registry.AddCounter(
          {.name = "verbenaridge_hand_overs_total",
           .help = "Attempts for which another endpoint was sought before their end, by outcome.",
           .labels = {{"outcome", 2}}})),
      blocked_requests(registry.AddCounter(
          {.name = "verbenaridge_requests_blocked_total",
           .help = "Equal requests that are refused because endpoints crash on them.",
           .labels = {{"source", 2}}})),
      blocked_parts(registry.AddCounter(
          {.name = "verbenaridge_prompt_parts_blocked_total",
           .help = "Parts of prompts that are refused because endpoints crash on them.",
           .labels = {{"source", 2}}})),
      probes(registry
                 .AddCounter({.name = "verbenaridge_refusal_probes_total",
                              .help = "Refused requests that were sent to test the refusal."})
                 .With({})),
      latency(registry.AddHistogram({.name = "verbenaridge_first_event_seconds",
                                     .help = "From the arrival to the first event or the answer.",
                                     .labels = {{"priority", 10}}})),
      predicted(registry.AddHistogram({.name = "verbenaridge_first_event_predicted_seconds",
                                       .help = "From the dispatch to the first event, predicted.",
                                       .labels = {{"priority", 10}}})),
      queued(registry.AddHistogram({.name = "verbenaridge_held_seconds",
                                    .help = "From the arrival to the dispatch.",
                                    .labels = {{"priority", 10}}})),
      reservations(
          registry.AddCounter({.name = "verbenaridge_ticket_orders_total",
                               .help = "Orders about memory at endpoints, by what came of them.",
                               .labels = {{"event", 7}}})),
      active_reservations(
          registry
              .AddGauge({.name = "verbenaridge_tickets_held",
                         .help = "Reservations of memory that requests of this host use."})
              .With({})),
      held_bytes(registry
                     .AddGauge({.name = "verbenaridge_held_response_bytes",
                                .help = "Bytes of responses and events that are not yet whole."})
                     .With({})),
      connections_closed(
          registry.AddCounter({.name = "verbenaridge_client_connections_closed_total",
                               .help = "Connections of clients that the host closed, by reason.",
                               .labels = {{"reason", 4}}})),
      endpoint_notices(
          registry.AddCounter({.name = "verbenaridge_endpoint_notices_total",
                               .help = "What endpoints told about themselves in answers.",
                               .labels = {{"notice", 6}}})) {}

}  // namespace verbenaridge::forwarding
