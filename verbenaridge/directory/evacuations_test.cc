#include "verbenaridge/directory/evacuations.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace verbenaridge::directory {
namespace {

std::vector<DataCentreId> Names(const std::vector<std::string>& names) {
  std::vector<DataCentreId> ids;
  for (const std::string& name : names) ids.emplace_back(name);
  return ids;
}

StorePosition At(std::uint64_t revision) { return {.revision = revision}; }

// Guards against a host that goes back to an older view, or that misses a change because another
// one with the same data centre follows it.
TEST_CASE("a view follows the revisions of the store") {
  struct Step {
    EvacuationView view;                    // position not known: `changes` are applied
    std::vector<EvacuationChange> changes;  // up to `position`
    StorePosition position;
    std::vector<std::string> evacuated;  // afterwards
    std::size_t reported;                // changes of the set
  };
  const EvacuationChange evacuate_a{DataCentreId("a"), true, At(12)};
  const EvacuationChange return_a{DataCentreId("a"), false, At(14)};
  const EvacuationChange evacuate_b{DataCentreId("b"), true, At(15)};
  struct Row {
    const char* name;
    std::vector<Step> steps;
  };
  const Row rows[] = {
      {"changes before any view are ignored", {{{}, {evacuate_a}, At(12), {}, 0}}},
      {"a view, then changes",
       {{{At(10), Names({"b", "a", "a"})}, {}, {}, {"a", "b"}, 2},
        {{}, {return_a}, At(14), {"b"}, 1},
        {{}, {return_a}, At(16), {"b"}, 0}}},
      {"an older view of a peer",
       {{{At(10), {}}, {}, {}, {}, 0},
        {{}, {evacuate_a}, At(13), {"a"}, 1},
        {{At(11), {}}, {}, {}, {"a"}, 0}}},
      {"a newer view of a peer, then older changes of the store",
       {{{At(10), {}}, {}, {}, {}, 0},
        {{At(14), {}}, {}, {}, {}, 0},
        {{}, {evacuate_a, return_a, evacuate_b}, At(15), {"b"}, 1}}},
      {"a view of a later era with a lower revision, then one of the era before",
       {{{At(10), Names({"a"})}, {}, {}, {"a"}, 1},
        {{{.era = 1, .revision = 4}, Names({"b"})}, {}, {}, {"b"}, 1},
        {{At(11), Names({"a"})}, {}, {}, {"b"}, 0}}},
      {"changes of another era than that of the view",
       {{{{.era = 1, .revision = 4}, Names({"a"})}, {}, {}, {"a"}, 1},
        {{}, {return_a}, At(14), {"a"}, 0},
        {{},
         {{DataCentreId("b"), true, {.era = 2, .revision = 3}}},
         {.era = 2, .revision = 3},
         {"a"},
         0}}},
      {"evacuated and taken back within one read",
       {{{At(10), {}}, {}, {}, {}, 0}, {{}, {evacuate_a, return_a}, At(14), {}, 0}}},
      {"names that no data centre has",
       {{{At(10), Names({"", "a\n", std::string(201, 'a'), "c"})}, {}, {}, {"c"}, 1}}},
      {"the longest name that a data centre may have",
       {{{At(10), Names({std::string(200, 'a')})}, {}, {}, {std::string(200, 'a')}, 1}}},
      {"long names leave room for the others",
       {{{At(10), Names({std::string(200, 'a'), std::string(150, 'b'), "c"})},
         {},
         {},
         {std::string(150, 'b'), "c"},
         2}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Evacuations evacuations;
    for (const Step& step : row.steps) {
      const auto reported = step.view.position.known()
                                ? evacuations.Replace(step.view)
                                : evacuations.Apply(step.changes, step.position);
      CHECK(reported.size() == step.reported);
      CHECK(evacuations.view().data_centres == Names(step.evacuated));
      for (const std::string& name : step.evacuated) {
        CHECK(evacuations.Contains(DataCentreId(name)));
      }
    }
  }
}

// Guards against requests to a data centre whose evacuation a restore of the store has lost, and
// against one that is evacuated although the order was given again and taken back.
TEST_CASE("an order that a restore has lost stays in force until it is named again") {
  struct Row {
    const char* name;
    EvacuationView restored;
    std::vector<EvacuationChange> changes;  // afterwards
    bool forget;
    std::vector<std::string> in_force;
    bool has_lost;
  };
  const StorePosition restored{.era = 2, .revision = 4};
  const StorePosition later{.era = 2, .revision = 6};
  const DataCentreId a("a");
  const Row rows[] = {
      {"lost", {restored, Names({"b"})}, {}, false, {"a", "b"}, true},
      {"given up", {restored, Names({"b"})}, {}, true, {"b"}, false},
      {"not lost", {restored, Names({"a"})}, {}, false, {"a"}, false},
      {"given again", {restored, {}}, {{a, true, later}}, false, {"a"}, false},
      {"given again and taken back",
       {restored, {}},
       {{a, true, restored}, {a, false, later}},
       false,
       {},
       false},
      {"lost by a second restore", {{.era = 3, .revision = 2}, {}}, {}, false, {"a"}, true},
      {"a view of the same era", {{.era = 1, .revision = 20}, {}}, {}, false, {}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Evacuations evacuations;
    evacuations.Replace({{.era = 1, .revision = 10}, Names({"a"})});
    if (row.restored.position.era == 3) evacuations.Replace({restored, {}});
    evacuations.Replace(row.restored);
    evacuations.Apply(row.changes, later);
    if (row.forget) CHECK(evacuations.ForgetLost().size() == 1);
    CHECK(evacuations.in_force() == Names(row.in_force));
    CHECK(evacuations.Contains(a) ==
          (std::find(row.in_force.begin(), row.in_force.end(), "a") != row.in_force.end()));
    CHECK(evacuations.has_lost() == row.has_lost);
  }
}

}  // namespace
}  // namespace verbenaridge::directory
