#include "verbenaridge/directory/endpoint_history.h"

#include <doctest/doctest.h>

#include <string>

#include "verbenaridge/base/random.h"

namespace verbenaridge::directory {
namespace {

Endpoint Entry(std::string id, std::uint64_t start_unix_ms = 1, bool draining = false) {
  return {.id = EndpointId(std::move(id)),
          .service = ServiceId("s"),
          .ip = "10.0.0.1",
          .port = 80,
          .start_unix_ms = start_unix_ms,
          .draining = draining};
}

// Guards against endpoints that a peer misses, keeps, or has in an old state after a difference.
TEST_CASE("a difference turns one set of entries into another") {
  struct Row {
    const char* name;
    std::vector<Endpoint> before;
    std::vector<Endpoint> after;
    std::size_t changed;
    std::size_t removed;
  };
  const Row rows[] = {
      {"equal", {Entry("a")}, {Entry("a")}, 0, 0},
      {"first entries", {}, {Entry("a"), Entry("b")}, 2, 0},
      {"all removed", {Entry("a"), Entry("b")}, {}, 0, 2},
      {"added in front", {Entry("b")}, {Entry("a"), Entry("b")}, 1, 0},
      {"added at the end", {Entry("a")}, {Entry("a"), Entry("b")}, 1, 0},
      {"removed in the middle",
       {Entry("a"), Entry("b"), Entry("c")},
       {Entry("a"), Entry("c")},
       0,
       1},
      {"drains", {Entry("a"), Entry("b")}, {Entry("a"), Entry("b", 1, true)}, 1, 0},
      {"restarted", {Entry("a", 1)}, {Entry("a", 2)}, 1, 0},
      {"one replaced by another", {Entry("a"), Entry("c")}, {Entry("b"), Entry("c")}, 1, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const EndpointDifference difference = Difference(row.before, row.after);
    CHECK(difference.changed.size() == row.changed);
    CHECK(difference.removed.size() == row.removed);
    CHECK(difference.base == DigestOf(row.before));
    CHECK(difference.result == DigestOf(row.after));
    CHECK(Apply(row.before, difference) == row.after);
  }
}

// Guards against differences that grow with the number of endpoints or of changes, and against a
// history that answers for entries that it does not know.
TEST_CASE("a history answers for the last changes only") {
  struct Row {
    const char* name;
    std::size_t changes;  // after the state of the peer
    std::size_t size;     // endpoints added in each change
    bool known;
  };
  const EndpointHistoryOptions options{.max_changes = 4, .max_entries = 10};
  const Row rows[] = {
      {"one change", 1, 1, true},           {"as many changes as are kept", 4, 1, true},
      {"one change more", 5, 1, false},     {"largest change", 1, 10, true},
      {"too large a change", 1, 11, false}, {"too large a sum", 4, 3, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointHistory history(options);
    std::vector<Endpoint> entries = {Entry("a")};
    history.Record({}, entries);
    const std::vector<Endpoint> of_peer = entries;
    for (std::size_t change = 0; change < row.changes; ++change) {
      std::vector<Endpoint> next = entries;
      for (std::size_t i = 0; i < row.size; ++i) {
        next.push_back(Entry("b" + std::to_string(change) + std::to_string(10 + i)));
      }
      SortById(next);
      history.Record(entries, next);
      entries = next;
    }
    const auto difference = history.Since(DigestOf(of_peer));
    CHECK(difference.has_value() == row.known);
    if (difference) CHECK(Apply(of_peer, *difference) == entries);
    CHECK(!history.Since(12345).has_value());
  }
}

// Guards against a wrong set of entries at a peer after any sequence of changes, also when the same
// entries come back, and after a gap in the history.
TEST_CASE("random changes") {
  SeededRandom random(20261204);
  for (int round = 0; round < 200; ++round) {
    CAPTURE(round);
    EndpointHistory history;
    std::vector<Endpoint> entries;
    std::vector<std::vector<Endpoint>> states = {entries};
    for (int step = 0; step < 12; ++step) {
      std::vector<Endpoint> next;
      for (char id = 'a'; id < 'f'; ++id) {
        if (random.Below(3) == 0) continue;
        next.push_back(Entry(std::string(1, id), 1 + random.Below(2), random.Below(2) == 0));
      }
      const bool gap = random.Below(10) == 0;
      history.Record(gap ? std::vector<Endpoint>{Entry("gap")} : entries, next);
      if (gap) states.clear();
      entries = next;
      states.push_back(entries);
    }
    for (const auto& state : states) {
      const auto difference = history.Since(DigestOf(state));
      if (!difference) continue;
      CHECK(Apply(state, *difference) == entries);
      CHECK(difference->result == DigestOf(entries));
    }
    CHECK((states.size() < 2 || history.Since(DigestOf(states[states.size() - 2])).has_value()));
  }
}

}  // namespace
}  // namespace verbenaridge::directory
