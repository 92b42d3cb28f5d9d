#include "verbenaridge/dispatch/retry_delay.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against clients that are told to come back while the backlog still stands, that all come
// back at the same moment, or in the wrong order.
TEST_CASE("rejected clients come back when the backlog has been processed") {
  struct Row {
    const char* name;
    Backlog backlog;
    int urgency;
    Duration earliest;
    Duration latest;
  };
  const Row rows[] = {
      {"no backlog", {{}, 16}, 0, milliseconds(300), milliseconds(450)},
      {"no engines", {{}, 0}, 0, milliseconds(300), milliseconds(450)},
      {"two seconds at each engine", {seconds(32), 16}, 0, seconds(2), seconds(3)},
      {"less urgent", {seconds(32), 16}, 2, seconds(3), seconds(4)},
      {"a backlog of minutes", {seconds(3'200), 16}, 0, seconds(8), seconds(12)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SeededRandom random(3);
    std::vector<Duration> delays;
    for (int i = 0; i < 200; ++i) {
      delays.push_back(RetryDelay(row.backlog, row.urgency, random, {}));
    }
    const auto [shortest, longest] = std::minmax_element(delays.begin(), delays.end());
    CHECK(*shortest >= row.earliest);
    CHECK(*longest <= row.latest);
    CHECK(*longest - *shortest >= (row.latest - row.earliest) * 9 / 10);
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
