#include "verbenaridge/dispatch/endpoint_health.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests to endpoints that do not respond, and against endpoints that are ejected
// after a single error or for ever.
TEST_CASE("an endpoint is ejected after failures and returns") {
  struct Row {
    const char* name;
    std::vector<FailureKind> failures;
    bool success_after;
    Duration later;
    bool usable;
  };
  using K = FailureKind;
  const Row rows[] = {
      {"nothing failed", {}, false, {}, true},
      {"unreachable once", {K::kUnreachable}, false, {}, false},
      {"unreachable once, later", {K::kUnreachable}, false, milliseconds(600), true},
      {"unreachable twice, later",
       {K::kUnreachable, K::kUnreachable},
       false,
       milliseconds(600),
       false},
      {"one error", {K::kError}, false, {}, true},
      {"three errors", {K::kError, K::kError, K::kError}, false, {}, false},
      {"three errors, then a success", {K::kError, K::kError, K::kError}, true, {}, true},
      {"unreachable often: the ejection is bounded", std::vector<K>(30, K::kUnreachable), false,
       seconds(5), true},
      {"full", {K::kFull}, false, {}, false},
      {"full, later", {K::kFull}, false, milliseconds(150), true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    EndpointHealth health;
    for (const K kind : row.failures) health.OnFailure(1, kind, clock.Now());
    if (row.success_after) health.OnSuccess(1);
    clock.Advance(row.later);
    CHECK(health.Usable(1, clock.Now()) == row.usable);
    CHECK(health.Usable(2, clock.Now()));
  }
}

// Guards against all queued requests being sent at once to an endpoint that returns from an
// ejection.
TEST_CASE("one request probes an endpoint after an ejection") {
  ManualClock clock;
  EndpointHealth health;
  health.OnFailure(1, FailureKind::kUnreachable, clock.Now());
  clock.Advance(seconds(1));
  REQUIRE(health.Usable(1, clock.Now()));
  health.OnDispatched(1, clock.Now());
  CHECK_FALSE(health.Usable(1, clock.Now()));
  health.OnSuccess(1);
  CHECK(health.Usable(1, clock.Now()));
}

}  // namespace
}  // namespace verbenaridge::dispatch
