// Guards against plan versions that decrease, changes confirmed before every daemon has them,
// started or resumed daemons that serve an outdated plan, and fleets that do not recover. For a
// long run:
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

void Perform(PlanSimulation& simulation, const Operation& op) {
  switch (op.kind) {
    case 0:
      return simulation.OperatorReads(op.host % PlanSimulation::kOperators);
    case 1:
    case 2:
      if (op.amount % 4 != 0) simulation.OperatorReads(op.host % PlanSimulation::kOperators);
      return simulation.OperatorWrites(op.host % PlanSimulation::kOperators);
    case 3:
      return simulation.Kill(op.host);
    case 4:
    case 5:
      return simulation.Start(op.host);
    case 6:
      return simulation.Pause(op.host);
    case 7:
      return simulation.Resume(op.host);
    case 8:
      return simulation.SetStoreUp(op.amount % 2 == 0);
    case 9:
      return simulation.SetPartitioned(op.host % PlanSimulation::kDataCentres, op.amount % 2 == 0);
    case 10:
      return simulation.SetProbesFail(op.host, op.amount % 2 == 0);
    case 11:
      return simulation.SetLoss(op.amount % 3 == 0 ? 0.3 : 0);
    case 12:
      simulation.Pause(op.host);
      simulation.Run(milliseconds(100 * op.amount));
      return simulation.Resume(op.host);
    default:
      return simulation.Run(milliseconds(100 * (op.amount % 25)));
  }
}

bool InvariantsHold() {
  return rc::check("plan invariants", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    const auto operations = *Operations();
    PlanSimulation simulation(seed);
    for (const Operation& operation : operations) {
      Perform(simulation, operation);
      simulation.Run(milliseconds(100));
    }
    simulation.HealAndConverge();
    if (!simulation.violation().empty()) RC_FAIL(simulation.violation());
  });
}

#ifdef VERBENARIDGE_MUTABLE

// Guards against invariant checks that cannot fail: each mutation must violate one.
TEST_CASE("the fuzz test detects each plan mutation") {
  struct Row {
    std::string name;
    Mutation mutation;
  };
  const Row rows[] = {
      {"an older document replaces a newer one", Mutation::kPlanGoesBack},
      {"a starting daemon serves without a confirmation", Mutation::kStartUnconfirmed},
      {"a daemon keeps serving after a pause", Mutation::kIgnorePlanPause},
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
