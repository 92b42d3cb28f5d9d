#include "verbenaridge/dispatch/load_table.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr Digest kEngine = 5;

EndpointTask WorkOf(TaskId id, Duration read, bool part = false) {
  return {.id = id,
          .endpoint = kEngine,
          .prefill_time = read,
          .kv_tokens = 1'000,
          .due = milliseconds(1'000),
          .target_gap = milliseconds(250),
          .lifetime = std::chrono::seconds(10),
          .partial_prefill = part};
}

double Ms(Duration duration) { return ToSeconds(duration) * 1000; }

// Guards against a wrong order of reads: parts of groups go ahead, the newest first, and whole
// prompts follow in the order in which they came.
TEST_CASE("when each prompt will be read") {
  struct Row {
    const char* name;
    std::vector<EndpointTask> tasks;  // begun 100 ms after each other
    std::vector<double> finish;       // from the last begin, in the order of reading
  };
  const Row rows[] = {
      {"one", {WorkOf(1, milliseconds(300))}, {300}},
      {"two whole prompts",
       {WorkOf(1, milliseconds(300)), WorkOf(2, milliseconds(50))},
       {200, 250}},
      {"a part goes ahead",
       {WorkOf(1, milliseconds(300)), WorkOf(2, milliseconds(50), true)},
       {50, 250}},
      {"the newest part goes first",
       {WorkOf(1, milliseconds(300), true), WorkOf(2, milliseconds(400), true)},
       {400, 600}},
      {"a read that should be over",
       {WorkOf(1, milliseconds(20)), WorkOf(2, milliseconds(50))},
       {10, 60}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    LoadTable board;
    for (std::size_t i = 0; i < row.tasks.size(); ++i) {
      if (i > 0) clock.Advance(milliseconds(100));
      board.Begin(row.tasks[i], clock.Now());
    }
    const EndpointLoad load = board.Load(kEngine, clock.Now());
    REQUIRE(load.readers.size() == row.finish.size());
    for (std::size_t i = 0; i < row.finish.size(); ++i) {
      CHECK(Ms(load.readers[i].finish) == doctest::Approx(row.finish[i]));
    }
  }
}

// Guards against load that stays on the board after its end, or is counted twice.
TEST_CASE("what an engine holds") {
  struct Row {
    const char* name;
    bool first_event;
    bool ended;
    bool told_twice;
    Duration later;
    std::size_t tasks;
    std::size_t decoding;
  };
  const Row rows[] = {
      {"reading", false, false, false, {}, 1, 0},
      {"told twice", false, false, true, {}, 1, 0},
      {"decoding", true, false, false, {}, 1, 1},
      {"ended", true, true, false, {}, 0, 0},
      {"ended before its first event", false, true, false, {}, 0, 0},
      {"never told to have ended", true, false, false, std::chrono::seconds(11), 0, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    LoadTable board;
    board.Begin(WorkOf(1, milliseconds(30)), clock.Now());
    if (row.told_twice) board.Begin(WorkOf(1, milliseconds(30)), clock.Now());
    if (row.first_event) board.OnFirstEvent(1, clock.Now());
    if (row.ended) board.End(1, clock.Now());
    clock.Advance(row.later);
    board.RemoveExpired(clock.Now());
    const EndpointLoad load = board.Load(kEngine, clock.Now());
    CHECK(load.tasks == row.tasks);
    CHECK(load.decoding.sequences == row.decoding);
    CHECK(board.size() == row.tasks);
    CHECK(load.kv_tokens == static_cast<TokenCount>(1'000 * row.tasks));
  }
}

// Guards against work of a dead host that keeps others away from an engine.
TEST_CASE("the work of one host ends with it") {
  ManualClock clock;
  LoadTable board;
  const Incarnation hosts[] = {1, 2, 0xfedcba9876543210};
  for (const Incarnation host : hosts) {
    for (TaskId i = 0; i < 3; ++i) {
      board.Begin(WorkOf(FirstTaskId(host) + i, milliseconds(30)), clock.Now());
    }
  }
  CHECK(board.EndAllOf(hosts[2], clock.Now()) == 3);
  CHECK(board.EndAllOf(7, clock.Now()) == 0);
  CHECK(board.size() == 6);
}

}  // namespace
}  // namespace verbenaridge::dispatch
