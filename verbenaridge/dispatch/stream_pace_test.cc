#include "verbenaridge/dispatch/stream_pace.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;

// Guards against streams that run on a slow engine until their deadline and are lost, and against
// moves that cost a prefill and gain nothing.
TEST_CASE("a stream leaves an engine that cannot end it in time") {
  struct Row {
    const char* name;
    std::vector<int> gaps_ms;  // between the events so far, repeated up to `gaps`
    std::size_t gaps;
    std::size_t events_left;
    int restart_ms;
    int remaining_ms;
    bool moves;
  };
  // An engine that keeps to its timing sends an event in 60 ms.
  const Row rows[] = {
      {"usual pace", {60}, 20, 47, 200, 8'800, false},
      {"slow, ends in time", {140}, 20, 47, 200, 7'000, false},
      {"slow, misses the deadline", {140}, 20, 47, 200, 6'000, true},
      {"too few gaps to tell", {140}, 6, 61, 200, 6'000, false},
      {"one long pass among usual ones",
       {60, 60, 60, 60, 60, 60, 60, 700, 60, 60, 60, 60},
       12,
       50,
       200,
       5'000,
       false},
      {"misses the deadline elsewhere too", {140}, 20, 47, 200, 3'000, false},
      {"the prefill elsewhere takes too long", {140}, 20, 47, 3'000, 6'000, false},
      {"usual pace, but the deadline is near", {60}, 20, 47, 200, 2'000, false},
      {"all events received", {400}, 20, 0, 200, 100, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StreamPace pace({});
    TimePoint now{};
    pace.OnEvent(now);
    for (std::size_t i = 0; i < row.gaps; ++i) {
      now += milliseconds(row.gaps_ms[i % row.gaps_ms.size()]);
      pace.OnEvent(now);
    }
    const StreamRest rest{.events_left = row.events_left,
                          .expected_gap = milliseconds(60),
                          .restart = milliseconds(row.restart_ms),
                          .remaining = milliseconds(row.remaining_ms)};
    CHECK(pace.MustMove(rest) == row.moves);
    pace.Reset();
    CHECK_FALSE(pace.MustMove(rest));
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
