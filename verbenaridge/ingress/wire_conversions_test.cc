#include "verbenaridge/ingress/wire_conversions.h"

#include <doctest/doctest.h>

namespace verbenaridge::ingress {
namespace {

using std::chrono::milliseconds;

// Guards against a field that is not sent to the other host.
TEST_CASE("an endpoint survives the conversion to a message and back") {
  const directory::Endpoint rows[] = {
      {},
      {.id = EndpointId("i-1"),
       .service = ServiceId("s"),
       .ip = "10.0.0.1",
       .port = 80,
       .data_centre = DataCentreId("a"),
       .slots = 12,
       .start_unix_ms = 1'700'000'000'000,
       .draining = true},
  };
  for (const directory::Endpoint& endpoint : rows) {
    CAPTURE(endpoint.id.value());
    CHECK(FromWire(ToWire(endpoint)) == endpoint);
  }
}

TEST_CASE("a task survives the conversion to a message and back") {
  const dispatch::EndpointTask rows[] = {
      {},
      {.id = 7,
       .endpoint = 9,
       .prefill_time = milliseconds(3),
       .kv_tokens = 5'000,
       .due = milliseconds(250),
       .target_gap = milliseconds(120),
       .lifetime = milliseconds(9'000),
       .weight = 2.5,
       .decodes = false,
       .partial_prefill = true},
  };
  for (const dispatch::EndpointTask& task : rows) {
    CAPTURE(task.id);
    CHECK(FromWire(ToWire(task)) == task);
  }
}

}  // namespace
}  // namespace verbenaridge::ingress
