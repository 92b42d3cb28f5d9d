// Guards against plan versions that go back, changes accepted before they are in force, starting or
// resumed daemons that serve an outdated plan, and fleets that do not recover. Long runs:
//   RC_PARAMS="max_success=20000" build/bin/plan_fuzz_test
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "verbenaridge/mutation/mutation.h"
#include "verbenaridge/plans/plan_simulation.h"

namespace verbenaridge::plans {
namespace {

using std::chrono::milliseconds;

struct Operation {
  int kind = 0;
  std::size_t host = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const Operation& operation) {
  return out << "{" << operation.kind << ", " << operation.host << ", " << operation.amount << "}";
}

rc::Gen<std::vector<Operation>> Operations() {
  return rc::gen::container<std::vector<Operation>>(
      rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 16),
                                  rc::gen::inRange<std::size_t>(0, PlanSimulation::kHosts),
                                  rc::gen::inRange(1, 100)),
                   [](const std::tuple<int, std::size_t, int>& t) {
                     return Operation{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
                   }));
}

void Perform(PlanSimulation& world, const Operation& op) {
  switch (op.kind) {
    case 0:
      return world.OperatorReads(op.host % PlanSimulation::kOperators);
    case 1:
    case 2:
      if (op.amount % 4 != 0) world.OperatorReads(op.host % PlanSimulation::kOperators);
      return world.OperatorWrites(op.host % PlanSimulation::kOperators);
    case 3:
      return world.Kill(op.host);
    case 4:
    case 5:
      return world.Start(op.host);
    case 6:
      return world.Pause(op.host);
    case 7:
      return world.Resume(op.host);
    case 8:
      return world.SetStoreUp(op.amount % 2 == 0);
    case 9:
      return world.SetCut(op.host % PlanSimulation::kDataCentres, op.amount % 2 == 0);
    case 10:
      return world.SetDeaf(op.host, op.amount % 2 == 0);
    case 11:
      return world.SetLoss(op.amount % 3 == 0 ? 0.3 : 0);
    case 12:
      world.Pause(op.host);
      world.Run(milliseconds(100 * op.amount));
      return world.Resume(op.host);
    default:
      return world.Run(milliseconds(100 * (op.amount % 25)));
  }
}

bool InvariantsHold() {
  return rc::check("plan invariants", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    const auto operations = *Operations();
    PlanSimulation world(seed);
    for (const Operation& operation : operations) {
      Perform(world, operation);
      world.Run(milliseconds(100));
    }
    world.HealAndSettle();
    if (!world.violation().empty()) RC_FAIL(world.violation());
  });
}

#ifdef VERBENARIDGE_MUTABLE

// Guards against an oracle that cannot fail.
TEST_CASE("the fuzz test catches each plan fault") {
  struct Row {
    std::string name;
    Mutation mutation;
  };
  const Row rows[] = {{"an older document replaces a newer one", Mutation::kPlanGoesBack},
                      {"a starting daemon does not ask", Mutation::kStartUnconfirmed},
                      {"a pause does not end serving", Mutation::kIgnorePlanPause},
                      {"confirmation ignores the host list", Mutation::kIgnoreHostList}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    active_mutation = row.mutation;
    CHECK_FALSE(InvariantsHold());
    active_mutation = Mutation::kNone;
  }
}

#else

TEST_CASE("plan invariants hold under faults") { CHECK(InvariantsHold()); }

#endif

}  // namespace
}  // namespace verbenaridge::plans
