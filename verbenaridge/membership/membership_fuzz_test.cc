// Guards against running hosts that stay dead in a table, tables that disagree, and endpoints with
// two owners or none after the last fault. For a long run:
//   RC_PARAMS="max_success=5000" build/bin/membership_fuzz_test
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <ostream>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "verbenaridge/membership/simulated_fleet.h"
#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 9;
constexpr std::size_t kDataCentres = 3;
// Time after the last change within which all tables must agree.
constexpr Duration kConvergenceTime = seconds(20);

struct Operation {
  int kind = 0;
  std::size_t host = 0;
  std::size_t other = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const Operation& op) {
  return out << "{" << op.kind << ", " << op.host << ", " << op.other << ", " << op.amount << "}";
}

rc::Gen<std::vector<Operation>> Operations() {
  using Tuple = std::tuple<int, std::size_t, std::size_t, int>;
  return rc::gen::container<std::vector<Operation>>(rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 13), rc::gen::inRange<std::size_t>(0, kHosts),
                     rc::gen::inRange<std::size_t>(0, kHosts), rc::gen::inRange(1, 200)),
      [](const Tuple& t) {
        return Operation{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
      }));
}

// Partitions the first `side` hosts from the others, in one or both directions.
void Partition(SimulatedFleet& fleet, std::size_t side, bool both) {
  for (std::size_t a = 0; a < side; ++a) {
    for (std::size_t b = side; b < kHosts; ++b) {
      fleet.SetReachable(a, b, false);
      if (both) fleet.SetReachable(b, a, false);
    }
  }
}

// The expected state, kept independently of the tables.
struct Expected {
  std::set<std::size_t> leaving;
};

void Perform(SimulatedFleet& fleet, Expected& expected, const Operation& op) {
  const bool runs = fleet.Running(op.host);
  switch (op.kind) {
    case 0:
      expected.leaving.erase(op.host);
      return fleet.Kill(op.host);
    case 1:
      if (!runs) return;
      expected.leaving.erase(op.host);
      return fleet.Stop(op.host);
    case 2:
    case 3:
      if (fleet.host(op.host).table != nullptr) return;
      return fleet.Start(op.host);
    case 4:
      fleet.host(op.host).paused = true;
      return;
    case 5:
      fleet.host(op.host).paused = false;
      return;
    case 6:
      fleet.SetReachable(op.host, op.other, false);
      return;
    case 7:
      return Partition(fleet, op.host, op.amount % 2 == 0);
    case 8:
      return fleet.HealNetwork();
    case 9:
      return fleet.SetLoss(op.amount % 2 == 0 ? 0.3 : 0);
    case 10:
      if (!runs) return;
      fleet.SetLeaving(op.host, op.amount % 2 == 0);
      expected.leaving.erase(op.host);
      if (op.amount % 2 == 0) expected.leaving.insert(op.host);
      return;
    default:
      return fleet.Run(milliseconds(100 * op.amount));
  }
}

void CheckTables(SimulatedFleet& fleet, const Expected& expected) {
  for (std::size_t viewer = 0; viewer < kHosts; ++viewer) {
    if (!fleet.Running(viewer)) continue;
    const MembershipTable& table = *fleet.host(viewer).table;
    for (std::size_t i = 0; i < kHosts; ++i) {
      const bool live = table.Live(fleet.host(i).member.host);
      RC_LOG() << "host " << viewer << " checks " << i << '\n';
      RC_ASSERT(live == fleet.Running(i));
    }
  }
  for (std::size_t d = 0; d < kDataCentres; ++d) {
    const DataCentreId data_centre("dc-" + std::to_string(d));
    for (int endpoint = 0; endpoint < 8; ++endpoint) {
      const std::string key = "endpoint-" + std::to_string(endpoint);
      std::set<std::string> owners;
      std::set<std::string> candidates;
      for (std::size_t i = 0; i < kHosts; ++i) {
        if (!fleet.Running(i)) continue;
        const OwnerRanking ranking(fleet.host(i).table->OwnersOfDataCentre(data_centre));
        const HostId* owner = ranking.Owner(key);
        owners.insert(owner == nullptr ? "" : owner->value());
        const bool candidate =
            fleet.host(i).member.data_centre == data_centre && !expected.leaving.contains(i);
        if (candidate) candidates.insert(fleet.host(i).member.host.value());
      }
      RC_ASSERT(owners.size() <= 1u);
      if (owners.empty()) continue;
      RC_ASSERT(candidates.empty() == owners.begin()->empty());
      RC_ASSERT(candidates.empty() || candidates.contains(*owners.begin()));
    }
  }
}

bool InvariantsHold() {
  return rc::check("membership invariants", [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    const auto operations = *Operations();
    SimulatedFleet fleet(kHosts, kDataCentres, seed);
    Expected expected;
    fleet.Run(seconds(5));
    for (const Operation& op : operations) Perform(fleet, expected, op);
    fleet.HealNetwork();
    for (auto& host : fleet.hosts()) host.paused = false;
    fleet.Run(kConvergenceTime);
    CheckTables(fleet, expected);
    RC_ASSERT(fleet.largest_datagram() <= 1200u);
  });
}

#ifdef VERBENARIDGE_MUTABLE

// Guards against invariant checks that cannot fail: each mutation must violate one.
TEST_CASE("the fuzz test detects each membership mutation") {
  struct Row {
    std::string name;
    Mutation mutation;
  };
  const Row rows[] = {{"dead members are never probed", Mutation::kNoDeadProbes},
                      {"a member does not refute", Mutation::kNoRefutation},
                      {"an older incarnation overrides a newer one", Mutation::kOldestWins},
                      {"a leaving host owns endpoints", Mutation::kLeavingOwns}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    active_mutation = row.mutation;
    CHECK_FALSE(InvariantsHold());
    active_mutation = Mutation::kNone;
  }
}

#else

TEST_CASE("membership invariants hold after faults") { CHECK(InvariantsHold()); }

#endif

}  // namespace
}  // namespace verbenaridge::membership
