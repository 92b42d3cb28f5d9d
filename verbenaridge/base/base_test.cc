#include <doctest/doctest.h>

#include <string>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/hash.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge {
namespace {

// Guards against a rename of a priority, which would break callers' headers and peers.
TEST_CASE("priority names") {
  struct Row {
    const char* name;
    std::optional<Priority> priority;
  };
  const Row rows[] = {{"urgent", Priority::kUrgent},
                      {"standard", Priority::kStandard},
                      {"background", Priority::kBackground},
                      {"Urgent", std::nullopt},
                      {"", std::nullopt}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(ParsePriority(row.name) == row.priority);
  }
}

// Guards against a change of the hash function: hosts of mixed versions would disagree on owners.
TEST_CASE("hashes are stable") {
  CHECK(HashOf("furano") == HashOf(std::string("furano")));
  CHECK(HashOf({"a", "bc"}) != HashOf({"ab", "c"}));
  CHECK(CombineDigests(1, 2) != CombineDigests(2, 1));
  CHECK(HashOf("") == 0x2d06800538d394c2ULL);
}

// Guards against an error enum whose values are not registered with std::error_code.
TEST_CASE("errors convert to results") {
  const Result<int> failed = Errc::kTimeout;
  REQUIRE(failed.has_error());
  CHECK(failed.error() == Errc::kTimeout);
  CHECK(failed.error().message() == "timeout");
}

// Guards against a manual clock whose two times drift apart.
TEST_CASE("manual clock") {
  ManualClock clock;
  const TimePoint start = clock.Now();
  const WallTime wall = clock.WallNow();
  clock.Advance(std::chrono::seconds(2));
  clock.JumpWall(std::chrono::seconds(-5));
  CHECK(clock.Now() - start == std::chrono::seconds(2));
  CHECK(clock.WallNow() - wall == std::chrono::seconds(-3));
}

}  // namespace
}  // namespace verbenaridge
