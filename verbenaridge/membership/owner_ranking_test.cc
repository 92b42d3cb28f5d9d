#include "verbenaridge/membership/owner_ranking.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenaridge::membership {
namespace {

// Guards against owners that depend on the order of the hosts, and against needless moves.
TEST_CASE("owner ranking") {
  std::vector<WeightedHost> hosts;
  for (int i = 0; i < 10; ++i) hosts.push_back({HostId("h" + std::to_string(i)), 1});
  hosts[0].weight = 2;
  const OwnerRanking ranking(hosts);
  std::vector<WeightedHost> reversed(hosts.rbegin(), hosts.rend());
  const std::vector<WeightedHost> fewer(hosts.begin(), hosts.end() - 1);
  int first_owns = 0;
  for (int i = 0; i < 2200; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const HostId owner = *ranking.Owner(key);
    CHECK(owner == *OwnerRanking(reversed).Owner(key));
    CHECK(owner == ranking.Top(key, 2)[0]);
    if (owner != hosts[9].host) CHECK(owner == *OwnerRanking(fewer).Owner(key));
    first_owns += owner == hosts[0].host ? 1 : 0;
  }
  CHECK(first_owns > 340);  // 400 expected of 2,200 keys at twice the weight of nine others
  CHECK(first_owns < 460);
  CHECK(OwnerRanking().Owner("k") == nullptr);
}

// Guards against ownership that moves more than a change requires, and against shares that do not
// follow the weights.
TEST_CASE("a change of one host moves only its keys") {
  struct Row {
    const char* name;
    std::size_t changed;  // host whose weight changes
    double before, after;
    double share_after;  // of that host, 20 hosts
  };
  const Row rows[] = {{"host leaves", 3, 1, 0, 0},
                      {"host joins", 19, 0, 1, 1.0 / 20},
                      {"host doubles", 0, 1, 2, 2.0 / 21},
                      {"no change", 5, 1, 1, 1.0 / 20}};
  constexpr int kItems = 20'000;
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      std::vector<WeightedHost> hosts;
      for (int i = 0; i < 20; ++i) hosts.push_back({HostId("host-" + std::to_string(i)), 1});
      std::vector<WeightedHost> changed_hosts = hosts;
      hosts[row.changed].weight = row.before;
      changed_hosts[row.changed].weight = row.after;
      const OwnerRanking before(hosts);
      const OwnerRanking after(changed_hosts);
      const HostId changed = hosts[row.changed].host;
      int moved_elsewhere = 0;
      int owned = 0;
      for (int i = 0; i < kItems; ++i) {
        const std::string item = "item-" + std::to_string(i);
        const HostId old_owner = *before.Owner(item);
        const HostId new_owner = *after.Owner(item);
        const bool involved = old_owner == changed || new_owner == changed;
        if (old_owner != new_owner && !involved) ++moved_elsewhere;
        if (new_owner == changed) ++owned;
      }
      CHECK(moved_elsewhere == 0);
      CHECK(static_cast<double>(owned) / kItems == doctest::Approx(row.share_after).epsilon(0.1));
    }
  }
}

// Guards against a successor that differs from the owner after the first host is gone.
TEST_CASE("the second host takes over") {
  std::vector<WeightedHost> hosts = {{HostId("a")}, {HostId("b")}, {HostId("c")}, {HostId("d"), 0}};
  const std::vector<HostId> top = OwnerRanking(hosts).Top("item", 10);
  REQUIRE(top.size() == 3);
  for (WeightedHost& host : hosts) {
    if (host.host == top[0]) host.weight = 0;
  }
  CHECK(*OwnerRanking(hosts).Owner("item") == top[1]);
}

}  // namespace
}  // namespace verbenaridge::membership
