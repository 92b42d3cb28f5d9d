#include "verbenaridge/dispatch/stop_window.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A pass of a full engine takes 100 ms.
directory::EngineTiming TestTiming() {
  return {.slots = 10, .kv_tokens = 0, .stride = 50, .step = milliseconds(2)};
}

// A pass that prefills a long prompt takes 500 ms more.
directory::EngineTiming LongPromptTiming() {
  directory::EngineTiming timing = TestTiming();
  timing.kv_tokens = 100'000;
  timing.prefill_chunk_tokens = 1'000;
  timing.prefill_tokens_per_second = 100'000;
  return timing;
}

// Guards against responses that are started although they may not end before the process, against
// streams that start late on the word of an estimate, and against a host that refuses what it can
// still serve.
TEST_CASE("a stopping host starts only responses that end before it") {
  struct Row {
    std::string name;
    const PassModel* model;
    bool stream;
    TokenCount max_output_tokens;
    milliseconds arrived;       // after the signal
    milliseconds latest_start;  // after the signal
    bool may_have_run = false;
  };
  const TimePoint signal{seconds(100)};
  const PassModel model(TestTiming());
  const PassModel long_prompts(LongPromptTiming());
  // The host ends 8 s after the signal.
  const Row rows[] = {
      {"waits: the longest response", &model, true, 2'000, milliseconds(500), milliseconds(2'500)},
      {"waits since before the signal", &model, true, 2'000, milliseconds(-900),
       milliseconds(2'500)},
      {"waits, short", &model, true, 500, milliseconds(500), milliseconds(2'500)},
      {"long, usual length", &model, true, 6'000, milliseconds(500), milliseconds(2'000)},
      {"has run: usual length", &model, true, 2'000, milliseconds(-900), milliseconds(6'000), true},
      {"late, has run", &model, true, 2'000, milliseconds(2'600), milliseconds(0), true},
      {"late", &model, true, 2'000, milliseconds(2'600), milliseconds(0)},
      {"late and short", &model, true, 50, milliseconds(2'600), milliseconds(0)},
      {"late, a pass with a long prompt", &long_prompts, true, 500, milliseconds(2'600),
       milliseconds(0)},
      {"no stream, waits", &model, false, 2'000, milliseconds(500), milliseconds(2'500)},
      {"no stream, waits, short", &model, false, 500, milliseconds(500), milliseconds(6'500)},
      {"no stream, late: the longest response", &model, false, 2'000, milliseconds(2'600),
       milliseconds(2'000)},
      {"no stream, late, a pass with a long prompt", &long_prompts, false, 500, milliseconds(2'600),
       milliseconds(6'000)},
      {"length not declared", &model, true, 0, milliseconds(500), milliseconds(2'500)},
      {"length not declared, has run", &model, true, 0, milliseconds(500), milliseconds(6'500),
       true},
      {"length not declared, late", &model, true, 0, milliseconds(2'600), milliseconds(0)},
      {"engines without timing, late", nullptr, true, 2'000, milliseconds(2'600), milliseconds(0)},
      {"plain service", nullptr, false, 0, milliseconds(500), milliseconds(6'500)},
      {"plain service, late", nullptr, false, 0, milliseconds(3'900), milliseconds(6'500)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StopWindow stop;
    const ResponseTime time = stop.EstimateResponse({.model = row.model,
                                                     .max_output_tokens = row.max_output_tokens,
                                                     .stream = row.stream,
                                                     .target_latency = milliseconds(300)});
    const StartConditions conditions{.arrived = signal + row.arrived,
                                     .may_have_run = row.may_have_run};
    CHECK(stop.LatestStart(time, conditions) == TimePoint::max());
    stop.Begin(signal, signal + seconds(8));
    CHECK(stop.LatestStart(time, conditions) == signal + row.latest_start);
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
