#include "verbenaridge/directory/endpoint_table.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenaridge::directory {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
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

Endpoint Cold(Endpoint endpoint, bool cold) {
  endpoint.cold = cold;
  return endpoint;
}

std::string Text(const EndpointTable& table) {
  std::string text;
  for (const Endpoint& endpoint : table.endpoints()) {
    text += endpoint.id.value() + std::to_string(endpoint.start_unix_ms);
    if (endpoint.draining) text += "d";
    if (endpoint.cold) text += "c";
    text += " ";
  }
  return text;
}

TEST_CASE("after a restore the table keeps what it knows until entries are current again") {
  struct Row {
    const char* name;
    std::vector<std::vector<Endpoint>> before;  // reads before the restore
    std::vector<Endpoint> copy;                 // read after it, and again after `after`
    Duration after;
    const char* at_first;
    const char* expected;
    std::size_t changes = 0;  // reported after the restore
    int restores = 1;
  };
  const Endpoint a = Entry("a");
  const Endpoint b = Entry("b");
  const std::vector<std::vector<Endpoint>> both = {{a, b}};
  const std::vector<std::vector<Endpoint>> left = {{a, b}, {a}};
  const std::vector<std::vector<Endpoint>> drained = {{a, Entry("b", 1, true)}, {a}};
  const std::vector<std::vector<Endpoint>> again = {{a, Entry("b", 2)}, {a}};
  const std::vector<std::vector<Endpoint>> unknown = {{a, Entry("b", 0)}, {a}};
  const Row rows[] = {
      {"lost entry: endpoint dropped", both, {a}, milliseconds(1900), "a1 b1 ", "a1 b1 "},
      {"lost entry: kept for ever", both, {a}, milliseconds(2100), "a1 b1 ", "a1 ", 1},
      {"no restore: lost entry kept", both, {a}, {}, "a1 ", "a1 ", 1, 0},
      {"gone endpoint used again", left, {a, b}, milliseconds(4500), "a1 ", "a1 "},
      {"live endpoint never used again", left, {a, b}, milliseconds(4700), "a1 ", "a1 b1 ", 1},
      {"no restore: returned entry ignored", left, {a, b}, {}, "a1 b1 ", "a1 b1 ", 1, 0},
      {"new process of an id ignored", left, {a, Entry("b", 2)}, {}, "a1 b2 ", "a1 b2 ", 1},
      {"process before the gone one used", again, {a, b}, milliseconds(4500), "a1 ", "a1 "},
      {"gone one without start used", unknown, {a, Entry("b", 0)}, {}, "a1 ", "a1 "},
      {"drained and gone: ready", drained, {a, b}, milliseconds(4700), "a1 ", "a1 b1d ", 1},
      {"second restore: gone one used", left, {a, b}, milliseconds(4500), "a1 ", "a1 ", 0, 2},
      {"old start believed", {{Entry("a", 2)}}, {a}, milliseconds(4500), "a2 ", "a2 "},
      {"old start never believed", {{Entry("a", 2)}}, {a}, milliseconds(4700), "a2 ", "a1 ", 1},
      {"drained without start: ready",
       {{Entry("a", 0, true)}},
       {Entry("a", 0)},
       milliseconds(4500),
       "a0d ",
       "a0d "},
      {"without start: never ready",
       {{Entry("a", 0, true)}},
       {Entry("a", 0)},
       milliseconds(4700),
       "a0d ",
       "a0 ",
       1},
      {"new drain ignored", {{a}}, {Entry("a", 1, true)}, {}, "a1d ", "a1d ", 1},
      {"cold one at full rate", {{Cold(a, true)}}, {a}, milliseconds(4500), "a1c ", "a1c "},
      {"cold for ever", {{Cold(a, true)}}, {a}, milliseconds(4700), "a1c ", "a1 "},
      {"warm one that becomes cold: at full rate", {{a}}, {Cold(a, true)}, {}, "a1c ", "a1c "},
      {"starting host drops entries", {}, {a, b}, {}, "a1 b1 ", "a1 b1 ", 2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    EndpointTable table;
    for (const auto& entries : row.before) table.OnEntriesRead(entries, clock.Now());
    clock.Advance(seconds(1));
    std::size_t changes = 0;
    for (int i = 0; i < row.restores; ++i) {
      table.OnStoreRestored(clock.Now());
      if (i + 1 == row.restores) break;
      changes += table.OnEntriesRead(row.copy, clock.Now()).size();
      clock.Advance(seconds(4));
    }
    changes += table.OnEntriesRead(row.copy, clock.Now()).size();
    CHECK(Text(table) == row.at_first);
    clock.Advance(row.after);
    if (!table.OnEntriesUnchanged(clock.Now())) {
      changes += table.OnEntriesRead(row.copy, clock.Now()).size();
    }
    CHECK(Text(table) == row.expected);
    CHECK(changes == row.changes);
  }
}

// Guards against a live endpoint that waits although it has written since the restore, and against
// one that had left being used because entries from before the restore arrive after its notice.
TEST_CASE("only an endpoint that left before the restore waits when it returns") {
  struct Row {
    const char* name;
    std::vector<Endpoint> before;  // the last read before the restore
    std::vector<Endpoint> first;   // the first read after the notice of the restore
    Duration until_next;
    const char* expected;
  };
  const Endpoint a = Entry("a");
  const Endpoint b = Entry("b");
  const Row rows[] = {
      {"left before: in the copy", {a}, {a, b}, seconds(1), "a"},
      {"left before: the first entries are older than the copy", {a}, {a}, seconds(1), "a"},
      {"removed since, as it wrote late", {a, b}, {a}, milliseconds(2100), "ab"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    EndpointTable table;
    table.OnEntriesRead({a, b}, clock.Now());
    table.OnEntriesRead(row.before, clock.Now());
    table.OnStoreRestored(clock.Now());
    table.OnEntriesRead(row.first, clock.Now());
    clock.Advance(row.until_next);
    table.OnEntriesRead(row.first, clock.Now());
    clock.Advance(milliseconds(500));
    table.OnEntriesRead({a, b}, clock.Now());
    CHECK(Names(table) == row.expected);
  }
}

// Guards against memory that grows with each endpoint that leaves.
TEST_CASE("endpoints that have left are forgotten by number and age") {
  struct Row {
    const char* name;
    std::vector<const char*> left;
    Duration after;
    bool remembers_first;
  };
  const Row rows[] = {
      {"as many as allowed", {"a", "b"}, minutes(5), true},
      {"too many", {"a", "b", "c"}, {}, false},
      {"too long ago", {"a", "b"}, minutes(6), false},
      {"left twice", {"a", "b", "a"}, {}, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    DepartedEndpoints departed({.max_endpoints = 2});
    for (const char* id : row.left) {
      departed.Add(Entry(id), clock.Now());
      clock.Advance(milliseconds(1));
    }
    clock.Advance(row.after - milliseconds(2));
    departed.RemoveExpired(clock.Now());
    CHECK((departed.Find(EndpointId("a")) != nullptr) == row.remembers_first);
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
