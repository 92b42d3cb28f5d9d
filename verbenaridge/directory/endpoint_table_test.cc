#include "verbenaridge/directory/endpoint_table.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenaridge::directory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Endpoint Entry(const char* id, std::uint64_t start_unix_ms = 1, bool draining = false) {
  return {.id = EndpointId(id),
          .service = ServiceId("s"),
          .ip = "10.0.0.1",
          .port = 80,
          .start_unix_ms = start_unix_ms,
          .draining = draining};
}

std::string Names(const EndpointTable& table) {
  std::string names;
  for (const Endpoint& endpoint : table.endpoints()) names += endpoint.id.value();
  return names;
}

// Guards against work for endpoints that are gone, and against dropping all endpoints since their
// entries lapsed with the store.
TEST_CASE("missing entries") {
  struct Row {
    const char* name;
    Duration outage;        // zero: readings went on
    Duration after_return;  // when the reading without `b` is made, after the first one
    const char* expected;
  };
  const Row rows[] = {
      {"no outage: gone at once", {}, {}, "a"},
      {"short gap of readings: gone at once", seconds(1), {}, "a"},
      {"after an outage: kept at first", seconds(5), {}, "ab"},
      {"after an outage: kept for a while", seconds(5), milliseconds(1900), "ab"},
      {"after an outage: gone later", seconds(5), milliseconds(2100), "a"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    EndpointTable table;
    table.OnEntriesRead({Entry("a"), Entry("b")}, clock.Now());
    if (row.outage != Duration{}) {
      clock.Advance(row.outage);
      table.OnReadFailed(clock.Now());
    }
    table.OnEntriesRead({Entry("a")}, clock.Now());
    clock.Advance(row.after_return);
    table.OnEntriesRead({Entry("a")}, clock.Now());
    CHECK(Names(table) == row.expected);
  }
}

// Guards against endpoints that are kept for good, because a reading without news passed as one
// that changes nothing.
TEST_CASE("the same reading again") {
  struct Row {
    const char* name;
    bool read;
    bool failed;  // before the same reading
    bool lapsed;  // `b` is missing after an outage
    bool no_change;
  };
  const Row rows[] = {
      {"never read", false, false, false, false},
      {"as before", true, false, false, true},
      {"the store was away", true, true, false, false},
      {"an endpoint is kept without an entry", true, false, true, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    EndpointTable table;
    if (row.read) table.OnEntriesRead({Entry("a"), Entry("b")}, clock.Now());
    clock.Advance(seconds(5));
    if (row.failed || row.lapsed) table.OnReadFailed(clock.Now());
    if (row.lapsed) table.OnEntriesRead({Entry("a")}, clock.Now());
    CHECK(table.OnEntriesUnchanged(clock.Now()) == row.no_change);
  }
}

// Guards against changes that go unnoticed: a new start under the same id, or a drain.
TEST_CASE("changes of one entry") {
  using Kind = EndpointTable::Change::Kind;
  struct Row {
    const char* name;
    Endpoint before;
    Endpoint after;
    bool changed;
    Kind kind;
  };
  Endpoint moved = Entry("a");
  moved.port = 81;
  const Row rows[] = {
      {"same", Entry("a"), Entry("a"), false, Kind::kAdded},
      {"restart", Entry("a", 1), Entry("a", 2), true, Kind::kRestarted},
      {"drain", Entry("a"), Entry("a", 1, true), true, Kind::kDraining},
      {"other address", Entry("a"), moved, true, Kind::kMoved},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    EndpointTable table;
    table.OnEntriesRead({row.before}, clock.Now());
    const auto changes = table.OnEntriesRead({row.after}, clock.Now());
    REQUIRE(changes.size() == (row.changed ? 1 : 0));
    if (row.changed) CHECK(changes[0].kind == row.kind);
  }
}

}  // namespace
}  // namespace verbenaridge::directory
