#include "verbenaridge/dispatch/data_centre_reach.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;

// Guards against a data centre that is left out because one endpoint died, and against requests
// that try each endpoint of one that is cut off.
TEST_CASE("when a data centre counts as cut off") {
  struct Row {
    const char* name;
    std::vector<Digest> unreachable;
    Duration between;
    bool reached;  // before the last failure
    Duration later;
    bool cut;
  };
  const Row rows[] = {
      {"one endpoint", {1}, {}, false, {}, false},
      {"one endpoint again and again", {1, 1, 1}, milliseconds(100), false, {}, false},
      {"two endpoints", {1, 2}, milliseconds(100), false, {}, true},
      {"two endpoints, long apart", {1, 2}, milliseconds(2'000), false, {}, false},
      {"two endpoints, an answer in between", {1, 2}, milliseconds(100), true, {}, false},
      {"after the pause", {1, 2}, milliseconds(100), false, milliseconds(900), false},
      {"tried again after the pause, in vain", {1, 2, 3}, milliseconds(1'000), false, {}, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    DataCentreReach reach;
    const DataCentreId centre("a");
    for (std::size_t i = 0; i < row.unreachable.size(); ++i) {
      if (i > 0) clock.Advance(row.between);
      if (row.reached && i + 1 == row.unreachable.size()) reach.OnReached(centre);
      reach.OnUnreachable(centre, row.unreachable[i], clock.Now());
    }
    clock.Advance(row.later);
    CHECK(reach.Cut(centre, clock.Now()) == row.cut);
    CHECK_FALSE(reach.Cut(DataCentreId("b"), clock.Now()));
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
