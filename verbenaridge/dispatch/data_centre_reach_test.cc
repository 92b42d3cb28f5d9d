#include "verbenaridge/dispatch/data_centre_reach.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;

// Guards against the ejection of a data centre because one endpoint failed, and against requests
// that try each endpoint of an unreachable data centre.
TEST_CASE("a data centre is unreachable after failures of different endpoints") {
  struct Row {
    const char* name;
    std::vector<Digest> failed;
    Duration between;
    bool reached;  // before the last failure
    Duration later;
    bool unreachable_now;
  };
  const Row rows[] = {
      {"one endpoint", {1}, {}, false, {}, false},
      {"one endpoint again and again", {1, 1, 1}, milliseconds(100), false, {}, false},
      {"two endpoints", {1, 2}, milliseconds(100), false, {}, true},
      {"two endpoints, long apart", {1, 2}, milliseconds(2'000), false, {}, false},
      {"two endpoints, a response in between", {1, 2}, milliseconds(100), true, {}, false},
      {"after the ejection", {1, 2}, milliseconds(100), false, milliseconds(900), false},
      {"another failure after the ejection", {1, 2, 3}, milliseconds(1'000), false, {}, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    DataCentreReach reach;
    const DataCentreId centre("a");
    for (std::size_t i = 0; i < row.failed.size(); ++i) {
      if (i > 0) clock.Advance(row.between);
      if (row.reached && i + 1 == row.failed.size()) reach.OnReached(centre);
      reach.OnUnreachable(centre, row.failed[i], clock.Now());
    }
    clock.Advance(row.later);
    CHECK(reach.IsUnreachable(centre, clock.Now()) == row.unreachable_now);
    CHECK_FALSE(reach.IsUnreachable(DataCentreId("b"), clock.Now()));
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
