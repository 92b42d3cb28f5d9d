#include "verbenaridge/dispatch/crash_memory.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::dispatch {
namespace {

// Guards against a request that kills one endpoint after another, and against refusing a request
// that was only near a crash.
TEST_CASE("when a request is refused") {
  struct Row {
    const char* name;
    std::vector<Digest> endpoints;  // at which the request was when they died
    bool completed;                 // after the deaths
    Duration later;
    bool refused;
  };
  const Row rows[] = {
      {"no death", {}, false, {}, false},
      {"two deaths", {1, 2}, false, {}, false},
      {"three deaths", {1, 2, 3}, false, {}, true},
      {"the same death told three times", {1, 1, 1}, false, {}, false},
      {"three deaths, then completed", {1, 2, 3}, true, {}, false},
      {"three deaths, long ago", {1, 2, 3}, false, std::chrono::minutes(11), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    CrashMemory crashes;
    for (const Digest endpoint : row.endpoints) crashes.OnCrash(7, endpoint, clock.Now());
    if (row.completed) crashes.OnCompleted(7);
    clock.Advance(row.later);
    CHECK(crashes.Refused(7, clock.Now()) == row.refused);
    CHECK_FALSE(crashes.Refused(8, clock.Now()));
  }
}

// Guards against memory that grows with the number of broken connections.
TEST_CASE("the oldest suspects are forgotten") {
  ManualClock clock;
  CrashMemory crashes({.deaths_to_refuse = 1, .capacity = 3});
  for (Digest request = 1; request <= 4; ++request) {
    crashes.OnCrash(request, 1, clock.Now());
    clock.Advance(std::chrono::seconds(1));
  }
  CHECK_FALSE(crashes.Refused(1, clock.Now()));
  CHECK(crashes.Refused(4, clock.Now()));
}

}  // namespace
}  // namespace verbenaridge::dispatch
