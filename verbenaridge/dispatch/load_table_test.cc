#include "verbenaridge/dispatch/load_table.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr Digest kEngine = 5;

EndpointTask MakeTask(TaskId id, Duration prefill, bool part = false) {
  return {.id = id,
          .endpoint = kEngine,
          .prefill_time = prefill,
          .kv_tokens = 1'000,
          .due = milliseconds(1'000),
          .target_gap = milliseconds(250),
          .lifetime = std::chrono::seconds(10),
          .partial_prefill = part};
}

double Ms(Duration duration) { return ToSeconds(duration) * 1000; }

// Guards against engines that seem free while they prefill for seconds: two schedulers sent prompts
// at the same time, and the engine received them in the other order than the table.
TEST_CASE("a first event shows which prompt the engine processed first") {
  struct Row {
    const char* name;
    Duration between;  // the starts of both prompts
    TaskId answered;   // at 1,600 ms
    double left_ms;    // of the other prompt's prefill, at 1,600 ms
  };
  const Row rows[] = {
      {"in the order of the table", milliseconds(1), 1, 2'800 - 800},
      {"in the other order", milliseconds(1), 2, 800},
      {"the first event of the older prompt was lost", milliseconds(200), 2, 10},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    LoadTable table;
    const Duration first = milliseconds(row.between > milliseconds(100) ? 200 : 800);
    table.Begin(MakeTask(1, first), clock.Now());
    clock.Advance(row.between);
    table.Begin(MakeTask(2, milliseconds(row.answered == 1 ? 2'800 : 1'600)), clock.Now());
    clock.Advance(milliseconds(1'600) - row.between);
    table.OnFirstEvent(row.answered, clock.Now());
    const EndpointLoad load = table.Load(kEngine, clock.Now());
    REQUIRE(load.pending_prefills.size() == 1);
    CHECK(Ms(load.prefill_time) == doctest::Approx(row.left_ms));
  }
}

// Guards against a wrong prefill order: parts of shared prompts go first, the newest before the
// others, and entire prompts follow in the order of their arrival.
TEST_CASE("prefills finish in the engine's order") {
  struct Row {
    const char* name;
    std::vector<EndpointTask> tasks;  // started 100 ms after each other
    std::vector<double> finish;       // ms from the last start, in prefill order
  };
  const Row rows[] = {
      {"one", {MakeTask(1, milliseconds(300))}, {300}},
      {"two entire prompts",
       {MakeTask(1, milliseconds(300)), MakeTask(2, milliseconds(50))},
       {200, 250}},
      {"a part goes ahead",
       {MakeTask(1, milliseconds(300)), MakeTask(2, milliseconds(50), true)},
       {50, 250}},
      {"the newest part goes first",
       {MakeTask(1, milliseconds(300), true), MakeTask(2, milliseconds(400), true)},
       {400, 600}},
      {"an overdue prefill",
       {MakeTask(1, milliseconds(20)), MakeTask(2, milliseconds(50))},
       {10, 60}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    LoadTable table;
    for (std::size_t i = 0; i < row.tasks.size(); ++i) {
      if (i > 0) clock.Advance(milliseconds(100));
      table.Begin(row.tasks[i], clock.Now());
    }
    const EndpointLoad load = table.Load(kEngine, clock.Now());
    REQUIRE(load.pending_prefills.size() == row.finish.size());
    for (std::size_t i = 0; i < row.finish.size(); ++i) {
      CHECK(Ms(load.pending_prefills[i].finish) == doctest::Approx(row.finish[i]));
    }
  }
}

// Guards against tasks that stay in the table after their end or are counted twice.
TEST_CASE("a task counts once and until its end") {
  struct Row {
    const char* name;
    bool first_event;
    bool ended;
    bool begun_twice;
    Duration later;
    std::size_t tasks;
    std::size_t decoding;
  };
  const Row rows[] = {
      {"in prefill", false, false, false, {}, 1, 0},
      {"begin announced twice", false, false, true, {}, 1, 0},
      {"decoding", true, false, false, {}, 1, 1},
      {"ended", true, true, false, {}, 0, 0},
      {"ended before its first event", false, true, false, {}, 0, 0},
      {"expired without an end", true, false, false, std::chrono::seconds(11), 0, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    LoadTable table;
    table.Begin(MakeTask(1, milliseconds(30)), clock.Now());
    if (row.begun_twice) table.Begin(MakeTask(1, milliseconds(30)), clock.Now());
    if (row.first_event) table.OnFirstEvent(1, clock.Now());
    if (row.ended) table.End(1, clock.Now());
    clock.Advance(row.later);
    table.RemoveExpired(clock.Now());
    const EndpointLoad load = table.Load(kEngine, clock.Now());
    CHECK(load.tasks == row.tasks);
    CHECK(load.decoding.sequences == row.decoding);
    CHECK(table.size() == row.tasks);
    CHECK(load.kv_tokens == static_cast<TokenCount>(1'000 * row.tasks));
  }
}

// Guards against tasks of a failed host that keep others away from an engine.
TEST_CASE("the tasks of a failed host are removed") {
  ManualClock clock;
  LoadTable table;
  const Incarnation hosts[] = {1, 2, 0xfedcba9876543210};
  for (const Incarnation host : hosts) {
    for (TaskId i = 0; i < 3; ++i) {
      table.Begin(MakeTask(FirstTaskId(host) + i, milliseconds(30)), clock.Now());
    }
  }
  CHECK(table.EndAllOf(hosts[2], clock.Now()) == 3);
  CHECK(table.EndAllOf(7, clock.Now()) == 0);
  CHECK(table.size() == 6);
}

// Guards against engines that are taken for free although their first events are overdue, and
// against a lost announcement that keeps requests away from a sound engine.
TEST_CASE("overdue first events show that an engine is behind") {
  struct Step {
    int at;  // ms
    enum Kind { kBegin, kPart, kFirstEvent, kEnd } kind;
    TaskId task;
  };
  struct Row {
    const char* name;
    std::vector<Step> steps;  // each task prefills for 100 ms
    int at;                   // ms
    double min_delay;         // ms
    double max_delay;
  };
  const Row rows[] = {
      {"no task", {}, 0, 0, 0},
      {"in time", {{0, Step::kBegin, 1}}, 240, 0, 0},
      {"overdue", {{0, Step::kBegin, 1}}, 750, 490, 510},
      {"overdue behind another",
       {{0, Step::kBegin, 1}, {0, Step::kBegin, 2}, {300, Step::kFirstEvent, 1}},
       750,
       390,
       410},
      {"overtaken by a later prompt",
       {{0, Step::kBegin, 1}, {500, Step::kBegin, 2}, {650, Step::kFirstEvent, 2}},
       750,
       0,
       0},
      {"a part of a group", {{0, Step::kPart, 1}}, 750, 0, 0},
      {"its end was never announced", {{0, Step::kBegin, 1}}, 4'000, 0, 0},
      {"one late first event",
       {{0, Step::kBegin, 1}, {1'250, Step::kFirstEvent, 1}},
       1'250,
       290,
       310},
      {"three late first events",
       {{0, Step::kBegin, 1},
        {0, Step::kBegin, 2},
        {0, Step::kBegin, 3},
        {1'250, Step::kFirstEvent, 1},
        {1'350, Step::kFirstEvent, 2},
        {1'450, Step::kFirstEvent, 3}},
       1'450,
       550,
       750},
      {"remembered without tasks",
       {{0, Step::kBegin, 1}, {1'250, Step::kFirstEvent, 1}, {1'300, Step::kEnd, 1}},
       1'400,
       250,
       310},
      {"forgotten",
       {{0, Step::kBegin, 1}, {1'250, Step::kFirstEvent, 1}, {1'300, Step::kEnd, 1}},
       7'000,
       0,
       10},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    LoadTable table;
    const TimePoint start = clock.Now();
    const auto advance_to = [&](int at) { clock.Advance(start + milliseconds(at) - clock.Now()); };
    for (const Step& step : row.steps) {
      advance_to(step.at);
      switch (step.kind) {
        case Step::kBegin:
        case Step::kPart:
          table.Begin(MakeTask(step.task, milliseconds(100), step.kind == Step::kPart),
                      clock.Now());
          break;
        case Step::kFirstEvent:
          table.OnFirstEvent(step.task, clock.Now());
          break;
        case Step::kEnd:
          table.End(step.task, clock.Now());
          break;
      }
    }
    advance_to(row.at);
    const double delay = Ms(table.Load(kEngine, clock.Now()).delay);
    CHECK(delay >= row.min_delay);
    CHECK(delay <= row.max_delay);
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
