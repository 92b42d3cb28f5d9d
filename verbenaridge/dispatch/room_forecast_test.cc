#include "verbenaridge/dispatch/room_forecast.h"

#include <doctest/doctest.h>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against waits that are too long for a Duration, which each processor converts differently.
TEST_CASE("a forecast long after the last start says that nothing is known") {
  struct Row {
    const char* name;
    int starts;
    Duration since_start;
    bool known;
  };
  const Row rows[] = {
      {"no start yet", 0, seconds(1), false},
      {"a start a moment ago", 1, milliseconds(100), true},
      {"starts 5 s ago", 8, seconds(5), true},
      {"a start 25 s ago", 1, seconds(25), false},
      {"starts an hour ago", 8, std::chrono::hours(1), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    RoomForecast forecast;
    for (int i = 0; i < row.starts; ++i) forecast.OnStart(clock.Now());
    clock.Advance(row.since_start);
    const Duration wait = forecast.Wait(/*ahead=*/0, /*least_share=*/0.15, clock.Now());
    CHECK((wait > Duration{}) == row.known);
    CHECK(clock.Now() + wait >= clock.Now());
    if (!row.known) CHECK(wait == Duration{});
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
