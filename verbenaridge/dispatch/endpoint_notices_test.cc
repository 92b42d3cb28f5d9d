#include "verbenaridge/dispatch/endpoint_notices.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

// Guards against requests to an endpoint that said that it leaves, and against a process that is
// avoided because of what an earlier one said.
TEST_CASE("an endpoint that leaves is avoided until its process ends") {
  struct Row {
    const char* name;
    std::vector<Duration> notices;  // of endpoint 1, since the start
    Digest asked;
    Duration now;
    bool leaving;
    bool last;
  };
  const Row rows[] = {
      {"no notice", {}, 1, {}, false, true},
      {"at once", {milliseconds(10)}, 1, milliseconds(10), true, true},
      {"within the bound", {milliseconds(10)}, 1, milliseconds(1'509), true, true},
      {"after the bound", {milliseconds(10)}, 1, milliseconds(1'510), true, false},
      {"a repetition does not move the bound",
       {milliseconds(10), milliseconds(1'400)},
       1,
       milliseconds(1'510),
       true,
       false},
      {"never by time alone", {milliseconds(10)}, 1, hours(100), true, false},
      {"the next process", {milliseconds(10)}, 2, milliseconds(2'000), false, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const TimePoint start{};
    EndpointNotices notices;
    for (std::size_t i = 0; i < row.notices.size(); ++i) {
      CHECK(notices.OnLeaving(1, start + row.notices[i]) == (i == 0));
    }
    CHECK(notices.IsLeaving(row.asked) == row.leaving);
    CHECK(notices.MayServeAsLast(row.asked, start + row.now) == row.last);
  }
}

// Guards against memory that grows with every endpoint process, and against a notice that is lost
// because the store's entry lapsed for some time.
TEST_CASE("notices of unlisted endpoints are kept up to a number") {
  struct Row {
    const char* name;
    std::vector<Digest> listed;
    std::vector<Digest> kept;
    std::vector<Digest> dropped;
  };
  const Row rows[] = {
      {"the oldest are dropped", {}, {4, 5}, {1, 2, 3}},
      {"listed ones are kept", {1, 2}, {1, 2, 4, 5}, {3}},
      {"all are listed", {1, 2, 3, 4, 5}, {1, 2, 3, 4, 5}, {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointNotices notices({.max_unlisted = 2});
    for (Digest endpoint = 1; endpoint <= 5; ++endpoint) {
      notices.OnLeaving(endpoint, TimePoint{} + milliseconds(endpoint));
    }
    notices.Retain(row.listed);
    for (const Digest endpoint : row.kept) CHECK(notices.IsLeaving(endpoint));
    for (const Digest endpoint : row.dropped) CHECK_FALSE(notices.IsLeaving(endpoint));
  }
}

// Guards against a log line for each response of an endpoint with an unusable header.
TEST_CASE("a malformed notice counts once for each endpoint") {
  EndpointNotices notices;
  CHECK(notices.OnMalformed(1, TimePoint{}));
  CHECK_FALSE(notices.OnMalformed(1, TimePoint{} + milliseconds(5)));
  CHECK(notices.OnMalformed(2, TimePoint{}));
  CHECK_FALSE(notices.IsLeaving(1));
}

}  // namespace
}  // namespace verbenaridge::dispatch
