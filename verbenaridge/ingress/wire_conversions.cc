#include "verbenaridge/ingress/wire_conversions.h"

namespace verbenaridge::ingress {

wire::TaskEntry ToWire(const dispatch::EndpointTask& task) {
  return {.id = task.id,
          .endpoint = task.endpoint,
          .prefill_time = task.prefill_time,
          .kv_tokens = task.kv_tokens,
          .due = task.due,
          .target_gap = task.target_gap,
          .lifetime = task.lifetime,
          .weight = task.weight,
          .decodes = task.decodes,
          .partial_prefill = task.partial_prefill};
}

dispatch::EndpointTask FromWire(const wire::TaskEntry& entry) {
  return {.id = entry.id,
          .endpoint = entry.endpoint,
          .prefill_time = entry.prefill_time,
          .kv_tokens = entry.kv_tokens,
          .due = entry.due,
          .target_gap = entry.target_gap,
          .lifetime = entry.lifetime,
          .weight = entry.weight,
          .decodes = entry.decodes,
          .partial_prefill = entry.partial_prefill};
}

wire::EndpointEntry ToWire(const directory::Endpoint& endpoint) {
  return {.id = endpoint.id,
          .service = endpoint.service,
          .ip = endpoint.ip,
          .port = endpoint.port,
          .data_centre = endpoint.data_centre,
          .slots = endpoint.slots,
          .start_unix_ms = endpoint.start_unix_ms,
          .draining = endpoint.draining};
}

directory::Endpoint FromWire(const wire::EndpointEntry& entry) {
  return {.id = entry.id,
          .service = entry.service,
          .ip = entry.ip,
          .port = entry.port,
          .data_centre = entry.data_centre,
          .slots = entry.slots,
          .start_unix_ms = entry.start_unix_ms,
          .draining = entry.draining};
}

}  // namespace verbenaridge::ingress
