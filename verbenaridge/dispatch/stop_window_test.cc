#include "verbenaridge/dispatch/stop_window.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A pass of a full engine takes 100 ms.
PassModel TestModel() {
  return PassModel({.slots = 10, .kv_tokens = 0, .stride = 50, .step = milliseconds(2)});
}

// Guards against responses that are started although they cannot end before the process, and
// against a host that refuses what it can still serve.
TEST_CASE("a stopping host starts only responses that end before it") {
  struct Row {
    std::string name;
    bool engines;
    bool stream;
    TokenCount max_output_tokens;
    milliseconds arrived;       // after the signal
    milliseconds latest_start;  // after the signal
  };
  // The host ends 8 s after the signal.
  const Row rows[] = {
      {"usual response", true, true, 2'000, milliseconds(500), milliseconds(6'000)},
      {"arrived before the signal", true, true, 2'000, milliseconds(-900), milliseconds(6'000)},
      {"late: the longest response", true, true, 2'000, milliseconds(2'600), milliseconds(2'000)},
      {"late and short", true, true, 500, milliseconds(2'600), milliseconds(6'500)},
      {"length not declared", true, true, 0, milliseconds(500), milliseconds(6'500)},
      {"length not declared, late", true, true, 0, milliseconds(2'600), milliseconds(0)},
      {"engines without timing, late", false, true, 2'000, milliseconds(2'600), milliseconds(0)},
      {"plain service", false, false, 0, milliseconds(500), milliseconds(6'500)},
      {"plain service, late", false, false, 0, milliseconds(3'900), milliseconds(6'500)},
  };
  const TimePoint signal{seconds(100)};
  const PassModel model = TestModel();
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StopWindow stop;
    const ResponseTime time = stop.EstimateResponse({.model = row.engines ? &model : nullptr,
                                                     .max_output_tokens = row.max_output_tokens,
                                                     .stream = row.stream,
                                                     .target_latency = milliseconds(300)});
    CHECK(stop.LatestStart(time, signal + row.arrived) == TimePoint::max());
    stop.Begin(signal, signal + seconds(8));
    CHECK(stop.LatestStart(time, signal + row.arrived) == signal + row.latest_start);
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
