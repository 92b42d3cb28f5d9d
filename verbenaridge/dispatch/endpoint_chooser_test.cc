#include "verbenaridge/dispatch/endpoint_chooser.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "verbenaridge/dispatch/testing.h"

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;

const PassModel& Model() {
  static const PassModel model(testing::SiteTiming());
  return model;
}

EndpointLoad Idle() { return {}; }

EndpointLoad ShortDecoders(std::size_t count) {
  return {
      .tasks = count,
      .decoding = {.sequences = count, .context_tokens = static_cast<TokenCount>(5'000 * count)},
      .kv_tokens = static_cast<TokenCount>(5'000 * count),
      .tightest_gap = milliseconds(250),
      .decoding_weight = static_cast<double>(count)};
}

EndpointLoad LongPrefill(Duration left) {
  return {.tasks = 1,
          .kv_tokens = 133'000,
          .prefill_time = left,
          .pending_prefills = {{.finish = left,
                                .due = milliseconds(5'000),
                                .target_gap = milliseconds(1'000),
                                .weight = 2.3}}};
}

// As LongPrefill, with enough free memory for another long prompt.
EndpointLoad LongPrefillWithMemory(Duration left) {
  EndpointLoad load = LongPrefill(left);
  load.kv_tokens = 50'000;
  return load;
}

Demand Short() {
  return {.prompt_tokens = 5'000,
          .output_tokens = 1'300,
          .target_latency = milliseconds(250),
          .target_gap = milliseconds(250),
          .remaining = std::chrono::seconds(10)};
}

Demand Long(TokenCount tokens) {
  return {.prompt_tokens = tokens,
          .output_tokens = 700,
          .target_latency = milliseconds(5'000),
          .target_gap = milliseconds(1'000),
          .remaining = std::chrono::seconds(15)};
}

Demand After(Demand demand, Duration waited) {
  demand.waited = waited;
  demand.remaining -= waited;
  return demand;
}

// Guards against placements that make others late, distribute short prompts over all engines, or
// miss a target that another engine would meet.
TEST_CASE("the chooser minimizes late requests") {
  struct Row {
    const char* name;
    Demand demand;
    std::vector<EndpointLoad> engines;
    ChoiceKind kind;
    std::vector<std::size_t> members;  // any order
  };
  const Row rows[] = {
      {"no engine", Short(), {}, ChoiceKind::kNoCandidate, {}},
      {"a short prompt joins others",
       Short(),
       {Idle(), ShortDecoders(6), Idle()},
       ChoiceKind::kDispatch,
       {1}},
      {"a short prompt avoids an engine without free slots",
       Short(),
       {ShortDecoders(16), Idle()},
       ChoiceKind::kDispatch,
       {1}},
      {"a short prompt avoids an engine with a long prefill",
       Short(),
       {LongPrefill(milliseconds(1'500)), Idle()},
       ChoiceKind::kDispatch,
       {1}},
      {"a long prompt takes the idle engine",
       Long(133'000),
       {ShortDecoders(3), Idle()},
       ChoiceKind::kDispatch,
       {1}},
      {"a long prompt is queued while it would make others late",
       Long(133'000),
       {ShortDecoders(6), ShortDecoders(8)},
       ChoiceKind::kQueue,
       {}},
      {"a long prompt is dispatched before it is late",
       After(Long(133'000), milliseconds(2'000)),
       {ShortDecoders(2), ShortDecoders(3)},
       ChoiceKind::kDispatch,
       {0}},
      {"a late long prompt is queued while its deadline is far",
       After(Long(133'000), milliseconds(6'000)),
       {ShortDecoders(2), ShortDecoders(3)},
       ChoiceKind::kQueue,
       {}},
      {"a late long prompt is dispatched near its deadline",
       After(Long(133'000), milliseconds(11'000)),
       {ShortDecoders(2), ShortDecoders(3)},
       ChoiceKind::kDispatch,
       {0}},
      {"a prompt that would start after its deadline is rejected",
       After(Long(133'000), milliseconds(13'500)),
       {LongPrefillWithMemory(milliseconds(9'000))},
       ChoiceKind::kUnservable,
       {}},
      {"a prompt that no idle engine could start in time is rejected",
       After(Long(133'000), milliseconds(14'500)),
       {Idle(), ShortDecoders(8)},
       ChoiceKind::kUnservable,
       {}},
      {"a late long prompt near its deadline may make half as many more late as it counts for",
       After(Long(133'000), milliseconds(11'000)),
       {ShortDecoders(3), ShortDecoders(4)},
       ChoiceKind::kDispatch,
       {0}},
      {"a late long prompt stays queued while it would harm many",
       After(Long(133'000), milliseconds(11'000)),
       {ShortDecoders(6), ShortDecoders(8)},
       ChoiceKind::kQueue,
       {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<Candidate> candidates;
    for (const EndpointLoad& load : row.engines) {
      candidates.push_back(
          {.key = candidates.size(), .model = &Model(), .slots = 16, .load = load});
    }
    SeededRandom random(5);
    const Choice choice = MakePredictiveChooser({})->Choose(row.demand, candidates, random);
    CHECK(choice.kind == row.kind);
    if (row.kind == ChoiceKind::kDispatch) CHECK(choice.members == row.members);
  }
}

// Guards against streams that end with the partition of another data centre although an engine of
// their own one would have served them as well, and against requests that are late only because
// their own data centre is full.
TEST_CASE("an engine of the same data centre is preferred where nobody is late") {
  struct Row {
    const char* name;
    Demand demand;
    std::vector<EndpointLoad> local;
    std::vector<EndpointLoad> remote;
    bool chosen_remote;
  };
  const Row rows[] = {
      {"equal engines", Short(), {Idle()}, {Idle()}, false},
      {"more requests are packed elsewhere",
       Short(),
       {ShortDecoders(6)},
       {ShortDecoders(9)},
       false},
      {"packed elsewhere before an idle engine is used",
       Short(),
       {Idle()},
       {ShortDecoders(9)},
       true},
      {"the local engine prefills a long prompt",
       Short(),
       {LongPrefill(milliseconds(1'500))},
       {Idle()},
       true},
      {"the local engine has no free slot", Short(), {ShortDecoders(16)}, {Idle()}, true},
      {"a long prompt would make others late", Long(133'000), {ShortDecoders(6)}, {Idle()}, true},
      {"a long prompt, equal engines", Long(133'000), {Idle()}, {Idle()}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<Candidate> candidates;
    const auto add = [&](std::span<const EndpointLoad> loads, bool remote) {
      for (const EndpointLoad& load : loads) {
        candidates.push_back({.key = candidates.size(),
                              .model = &Model(),
                              .slots = 16,
                              .load = load,
                              .remote = remote});
      }
    };
    add(row.remote, true);
    add(row.local, false);
    SeededRandom random(5);
    const Choice choice = MakePredictiveChooser({})->Choose(row.demand, candidates, random);
    REQUIRE(choice.kind == ChoiceKind::kDispatch);
    CHECK(candidates[choice.members.front()].remote == row.chosen_remote);
  }
}

// Guards against engines that are filled to their last slot while others have room: in a fleet with
// ten slots for each engine, two hosts that decided at the same time took the same slot, and one of
// ten short prompts waited for a slot.
TEST_CASE("short prompts are packed up to a share of the slots") {
  struct Row {
    const char* name;
    std::size_t slots;
    std::vector<std::size_t> tasks;  // of each engine
    std::size_t chosen;
  };
  const Row rows[] = {
      {"joins the fuller of two emptier engines", 10, {2, 4}, 1},
      {"not the last slot", 10, {9, 6}, 1},
      {"not the last slot, the other engine is less packed", 10, {9, 5}, 1},
      {"packed before empty", 10, {0, 6}, 1},
      {"evenly above the share", 16, {13, 11}, 1},
      {"a few tasks are not packed for more slots", 16, {3, 8}, 1},
      {"before the idle engine while slots are left", 10, {8, 0}, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<Candidate> candidates;
    for (const std::size_t tasks : row.tasks) {
      EndpointLoad load = tasks == 0 ? Idle() : ShortDecoders(tasks);
      candidates.push_back({.key = candidates.size(),
                            .model = &Model(),
                            .slots = row.slots,
                            .load = std::move(load)});
    }
    SeededRandom random(5);
    const Choice choice = MakePredictiveChooser({})->Choose(Short(), candidates, random);
    REQUIRE(choice.kind == ChoiceKind::kDispatch);
    CHECK(choice.members == std::vector<std::size_t>{row.chosen});
  }
}

// Guards against prompts that are too slow or too large for their engines, and against groups for
// prompts that need none.
TEST_CASE("a prompt gets as many engines as it needs") {
  struct Row {
    const char* name;
    Demand demand;
    std::size_t engines;
    ChoiceKind kind;
    std::size_t min_members;
    std::size_t max_members;
    bool reserve;
  };
  const Row rows[] = {
      {"short", Short(), 10, ChoiceKind::kDispatch, 1, 1, false},
      {"in time on one engine", Long(133'000), 10, ChoiceKind::kDispatch, 1, 1, false},
      {"too slow on one engine", Long(200'000), 10, ChoiceKind::kDispatch, 2, 3, false},
      {"too large for one engine", Long(300'000), 10, ChoiceKind::kDispatch, 2, 6, true},
      {"too large for two engines", Long(600'000), 10, ChoiceKind::kDispatch, 6, 8, true},
      {"too large for all engines", Long(600'000), 2, ChoiceKind::kTooLarge, 0, 0, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<Candidate> candidates(row.engines, Candidate{.model = &Model(), .slots = 16});
    SeededRandom random(5);
    const Choice choice = MakePredictiveChooser({})->Choose(row.demand, candidates, random);
    CHECK(choice.kind == row.kind);
    CHECK(choice.members.size() >= row.min_members);
    CHECK(choice.members.size() <= row.max_members);
    CHECK(choice.reserve == row.reserve);
  }
}

// An engine that decodes and has a pending prefill, which the running pass may take in.
EndpointLoad LongPass(Duration left) {
  EndpointLoad load = LongPrefillWithMemory(left);
  load.decoding = {.sequences = 1, .context_tokens = 5'000};
  return load;
}

// Guards against groups whose members are expected to start at once although a pass of seconds runs
// there: on the heaviest seconds of a large fleet such groups took five times as long as predicted,
// timed out, and were sent again to more engines.
TEST_CASE("a member of a group waits for the running pass") {
  struct Row {
    const char* name;
    std::vector<EndpointLoad> engines;
    std::size_t members;
    Duration min_predicted;
    Duration max_predicted;
  };
  const Row rows[] = {
      {"idle engines", {Idle(), Idle()}, 2, milliseconds(600), milliseconds(900)},
      {"prefills without decoding requests",
       {LongPrefillWithMemory(milliseconds(2'000)), LongPrefillWithMemory(milliseconds(2'000))},
       2,
       milliseconds(600),
       milliseconds(900)},
      {"prefills in passes with decoding requests",
       {LongPass(milliseconds(2'000)), LongPass(milliseconds(2'000))},
       2,
       milliseconds(2'600),
       milliseconds(3'000)},
      {"one engine is idle",
       {LongPass(milliseconds(2'000)), Idle()},
       1,
       milliseconds(1'500),
       milliseconds(1'700)},
  };
  Demand demand = Long(120'000);
  demand.target_latency = milliseconds(1'500);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<Candidate> candidates;
    for (const EndpointLoad& load : row.engines) {
      candidates.push_back(
          {.key = candidates.size(), .model = &Model(), .slots = 16, .load = load});
    }
    SeededRandom random(5);
    const Choice choice = MakePredictiveChooser({})->Choose(demand, candidates, random);
    REQUIRE(choice.kind == ChoiceKind::kDispatch);
    CHECK(choice.members.size() == row.members);
    CHECK(choice.first_event >= row.min_predicted);
    CHECK(choice.first_event <= row.max_predicted);
  }
}

// Guards against prompts that are late already and are delayed by later groups until they are lost.
TEST_CASE("a late prompt is not delayed until it is lost") {
  struct Row {
    const char* name;
    Duration deadline;  // of the late prompt on the first two engines
    bool uses_them;
  };
  const Row rows[] = {{"its deadline is far", milliseconds(12'000), true},
                      {"it would miss its deadline", milliseconds(2'500), false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointLoad late = LongPrefillWithMemory(milliseconds(1'800));
    late.pending_prefills[0].due = milliseconds(-100);
    late.pending_prefills[0].deadline = row.deadline;
    EndpointLoad other = LongPrefillWithMemory(milliseconds(1'800));
    other.pending_prefills[0].due = milliseconds(2'900);
    std::vector<Candidate> candidates;
    for (const EndpointLoad& load : {late, late, other, other}) {
      candidates.push_back(
          {.key = candidates.size(), .model = &Model(), .slots = 16, .load = load});
    }
    SeededRandom random(5);
    const Choice choice = MakePredictiveChooser({})->Choose(Long(250'000), candidates, random);
    const bool uses_late = std::any_of(choice.members.begin(), choice.members.end(),
                                       [](std::size_t index) { return index < 2; });
    CHECK((choice.kind == ChoiceKind::kDispatch && uses_late) == row.uses_them);
  }
}

// Guards against a group whose members cannot grant the memory. Its reservation would be retried
// again and again while a larger group has enough memory for the prompt.
TEST_CASE("a group has enough free memory") {
  struct Row {
    const char* name;
    TokenCount used;  // by other requests, on each of eight engines
    ChoiceKind kind;
  };
  const Row rows[] = {{"all free", 0, ChoiceKind::kDispatch},
                      {"two thirds free", 80'000, ChoiceKind::kDispatch},
                      {"a fifth free", 180'000, ChoiceKind::kQueue}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const EndpointLoad load{.tasks = 1, .kv_tokens = row.used};
    std::vector<Candidate> candidates(8, Candidate{.model = &Model(), .slots = 16, .load = load});
    SeededRandom random(5);
    const Choice choice = MakePredictiveChooser({})->Choose(Long(560'000), candidates, random);
    CHECK(choice.kind == row.kind);
    const double free = 0.95 * 232'000 - static_cast<double>(row.used);
    if (choice.kind == ChoiceKind::kDispatch) {
      CHECK(free * static_cast<double>(choice.members.size()) >= 560'700);
    }
  }
}

// Guards against newly started hosts that all choose the same engine, because none knows the tasks
// of the others yet.
TEST_CASE("a host without peer load distributes its requests") {
  std::vector<Candidate> candidates(10, Candidate{.model = &Model(), .slots = 16});
  SeededRandom random(5);
  const auto chooser = MakePredictiveChooser(WithoutPeerLoad({}));
  std::vector<int> chosen(candidates.size(), 0);
  for (int i = 0; i < 200; ++i) {
    const Choice choice = chooser->Choose(Short(), candidates, random);
    REQUIRE(choice.members.size() == 1);
    ++chosen[choice.members[0]];
  }
  for (const int count : chosen) CHECK(count >= 5);
}

// Guards against requests to plain endpoints that fail or are busy while better ones exist.
TEST_CASE("the least busy and least failing endpoint is chosen") {
  struct Row {
    const char* name;
    std::vector<Candidate> candidates;
    std::size_t chosen;
  };
  const Row rows[] = {
      {"the less busy",
       {{.slots = 6, .load = {.tasks = 4}}, {.slots = 6, .load = {.tasks = 1}}},
       1},
      {"the lower share of used slots",
       {{.slots = 12, .load = {.tasks = 4}}, {.slots = 4, .load = {.tasks = 3}}},
       0},
      {"the one that fails less",
       {{.slots = 6, .error_rate = 0.8}, {.slots = 6, .load = {.tasks = 1}, .error_rate = 0.1}},
       1},
      {"the local one", {{.slots = 6, .remote = true}, {.slots = 6, .load = {.tasks = 1}}}, 1},
      {"a remote one while the local one is full",
       {{.slots = 6, .remote = true}, {.slots = 6, .load = {.tasks = 6}}},
       0},
      {"a remote one while the local one fails",
       {{.slots = 6, .remote = true}, {.slots = 6, .error_rate = 0.6}},
       0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SeededRandom random(5);
    const Choice choice = MakeLeastBusyChooser()->Choose({}, row.candidates, random);
    REQUIRE(choice.members.size() == 1);
    CHECK(choice.members[0] == row.chosen);
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
