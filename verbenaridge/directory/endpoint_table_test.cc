#include "verbenaridge/directory/endpoint_table.h"

#include <doctest/doctest.h>

#include <cstdint>
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

// Guards against requests to endpoints that are gone, and against removing all endpoints when their
// entries expired during an outage of the store.
TEST_CASE("missing entries are kept only for a while after an outage") {
  struct Row {
    const char* name;
    Duration outage;        // zero: all reads succeed
    Duration after_outage;  // from the first read without `b` to the last read
    const char* expected;
  };
  const Row rows[] = {
      {"no outage: removed at once", {}, {}, "a"},
      {"a failed read, but no outage: removed at once", seconds(1), {}, "a"},
      {"at the end of an outage: kept", seconds(5), {}, "ab"},
      {"within the grace period: kept", seconds(5), milliseconds(1900), "ab"},
      {"after the grace period: removed", seconds(5), milliseconds(2100), "a"},
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
    clock.Advance(row.after_outage);
    table.OnEntriesRead({Entry("a")}, clock.Now());
    CHECK(Names(table) == row.expected);
  }
}

// Guards against lapsed endpoints that are kept forever because unchanged entries are taken to mean
// an unchanged table.
TEST_CASE("unchanged entries need no update unless a read failed or entries have lapsed") {
  struct Row {
    const char* name;
    bool loaded;
    bool failed;  // the read before
    bool lapsed;  // `b` is missing after an outage
    bool no_change;
  };
  const Row rows[] = {
      {"never loaded", false, false, false, false},
      {"entries unchanged", true, false, false, true},
      {"the store was unavailable", true, true, false, false},
      {"a lapsed endpoint is kept", true, false, true, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    EndpointTable table;
    if (row.loaded) table.OnEntriesRead({Entry("a"), Entry("b")}, clock.Now());
    clock.Advance(seconds(5));
    if (row.failed || row.lapsed) table.OnReadFailed(clock.Now());
    if (row.lapsed) table.OnEntriesRead({Entry("a")}, clock.Now());
    CHECK(table.OnEntriesUnchanged(clock.Now()) == row.no_change);
  }
}

// Guards against missed changes, such as a restart under the same id or a drain.
TEST_CASE("changes of an entry are reported") {
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

// Guards against requests to an endpoint that is about to exit, because the store was restored from
// a copy in which it did not drain yet.
TEST_CASE("a process that drains does not become ready again") {
  struct Row {
    const char* name;
    Endpoint before;
    Endpoint after;
    bool draining;
    std::size_t changes;
  };
  const Row rows[] = {
      {"same process", Entry("a", 1, true), Entry("a", 1), true, 0},
      {"started anew", Entry("a", 1, true), Entry("a", 2), false, 1},
      {"start not known", Entry("a", 0, true), Entry("a", 0), false, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    EndpointTable table;
    table.OnEntriesRead({row.before}, clock.Now());
    clock.Advance(seconds(60));
    CHECK(table.OnEntriesRead({row.after}, clock.Now()).size() == row.changes);
    REQUIRE(table.endpoints().size() == 1);
    CHECK(table.endpoints()[0].draining == row.draining);
  }
}

// Guards against an entry of another writer that adds a header to requests, fills the messages
// between hosts, or attracts all requests because it never looks full.
TEST_CASE("only plausible endpoints are used") {
  struct Row {
    const char* name;
    Endpoint endpoint;
    bool plausible;
  };
  const Endpoint sound{.id = EndpointId("i-1"),
                       .service = ServiceId("s"),
                       .ip = "10.0.0.1",
                       .port = 80,
                       .data_centre = DataCentreId("z"),
                       .slots = 6};
  const auto with = [&](auto change) {
    Endpoint endpoint = sound;
    change(endpoint);
    return endpoint;
  };
  const std::string text(100'000, 'x');
  const Row rows[] = {
      {"sound", sound, true},
      {"last start time", with([](auto& e) { e.start_unix_ms = UINT64_MAX; }), true},
      {"no slots", with([](auto& e) { e.slots = 0; }), true},
      {"many slots", with([](auto& e) { e.slots = SIZE_MAX / 2 + 1; }), false},
      {"port zero", with([](auto& e) { e.port = 0; }), false},
      {"empty id", with([](auto& e) { e.id = EndpointId(); }), false},
      {"id with a line break", with([](auto& e) { e.id = EndpointId("i\r\nX: y"); }), false},
      {"long id", with([&](auto& e) { e.id = EndpointId(text); }), false},
      {"long service", with([&](auto& e) { e.service = ServiceId(text); }), false},
      {"long data centre", with([&](auto& e) { e.data_centre = DataCentreId(text); }), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(IsPlausible(row.endpoint) == row.plausible);
  }
}

}  // namespace
}  // namespace verbenaridge::directory
