#include "verbenaridge/dispatch/crash_history.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::dispatch {
namespace {

// Guards against a request that crashes one endpoint after another, and against the refusal of a
// request that merely ran on an endpoint that crashed.
TEST_CASE("a request is refused after crashes of three endpoints") {
  struct Row {
    const char* name;
    std::vector<Digest> endpoints;  // that crashed while they ran the request
    bool completed;                 // after the crashes
    Duration later;
    bool refused;
  };
  const Row rows[] = {
      {"no crash", {}, false, {}, false},
      {"two crashes", {1, 2}, false, {}, false},
      {"three crashes", {1, 2, 3}, false, {}, true},
      {"the same crash announced three times", {1, 1, 1}, false, {}, false},
      {"three crashes, then completed", {1, 2, 3}, true, {}, false},
      {"three crashes, long ago", {1, 2, 3}, false, std::chrono::minutes(11), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    CrashHistory crashes;
    for (const Digest endpoint : row.endpoints) crashes.OnCrash(7, endpoint, clock.Now());
    if (row.completed) crashes.OnCompleted(7);
    clock.Advance(row.later);
    CHECK(crashes.ShouldRefuse(7, clock.Now()) == row.refused);
    CHECK_FALSE(crashes.ShouldRefuse(8, clock.Now()));
  }
}

// Guards against memory use that grows with the number of failed connections.
TEST_CASE("the oldest suspects are evicted at capacity") {
  ManualClock clock;
  CrashHistory crashes({.crashes_to_refuse = 1, .capacity = 3});
  for (Digest request = 1; request <= 4; ++request) {
    crashes.OnCrash(request, 1, clock.Now());
    clock.Advance(std::chrono::seconds(1));
  }
  CHECK_FALSE(crashes.ShouldRefuse(1, clock.Now()));
  CHECK(crashes.ShouldRefuse(4, clock.Now()));
}

}  // namespace
}  // namespace verbenaridge::dispatch
