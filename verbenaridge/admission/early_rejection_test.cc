#include "verbenaridge/admission/early_rejection.h"

#include <doctest/doctest.h>

namespace verbenaridge::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against admitting a request that must miss its deadline, against refusing one that fits,
// and against a Retry-After that differs from the time the backlog needs to drain.
TEST_CASE("requests that cannot finish in time are refused with the drain time") {
  struct Row {
    const char* name;
    FinishPrediction prediction;
    bool admit, permanent;
    Duration retry_after;
  };
  const Row rows[] = {
      {"fits", {seconds(1), seconds(1), seconds(2), seconds(10), {}, 1}, true, false, {}},
      {"queue too long",
       {seconds(9), seconds(1), seconds(2), seconds(10), {}, 1},
       false,
       false,
       seconds(2)},
      {"slow drain",
       {seconds(9), seconds(1), seconds(2), seconds(10), {}, 0.5},
       false,
       false,
       seconds(4)},
      {"first token too late",
       {seconds(2), milliseconds(500), seconds(2), seconds(60), seconds(1), 1},
       false,
       false,
       milliseconds(1500)},
      {"slower than the deadline when idle",
       {{}, seconds(9), seconds(9), seconds(10), {}, 1},
       false,
       true,
       milliseconds(100)},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      const RejectionCheck check = CheckDeadline(row.prediction, {.tolerance = 1.0});
      CHECK(check.admit == row.admit);
      CHECK(check.permanent == row.permanent);
      CHECK(ToSeconds(check.retry_after) == doctest::Approx(ToSeconds(row.retry_after)));
    }
  }
}

}  // namespace
}  // namespace verbenaridge::admission
