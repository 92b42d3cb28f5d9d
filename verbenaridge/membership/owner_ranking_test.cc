#include "verbenaridge/membership/owner_ranking.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenaridge::membership {
namespace {

// Guards against owners that depend on the order of the hosts, keys that move although their owner
// stays, and shares that do not follow the weights.
TEST_CASE("owners do not depend on the order of the hosts") {
  std::vector<WeightedHost> hosts;
  for (int i = 0; i < 10; ++i) hosts.push_back({HostId("h" + std::to_string(i)), 1});
  hosts[0].weight = 2;
  const OwnerRanking ranking(hosts);
  std::vector<WeightedHost> reversed(hosts.rbegin(), hosts.rend());
  const std::vector<WeightedHost> fewer(hosts.begin(), hosts.end() - 1);
  int owned_by_first = 0;
  for (int i = 0; i < 2200; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const HostId owner = *ranking.Owner(key);
    CHECK(owner == *OwnerRanking(reversed).Owner(key));
    CHECK(owner == ranking.Top(key, 2)[0]);
    if (owner != hosts[9].host) CHECK(owner == *OwnerRanking(fewer).Owner(key));
    owned_by_first += owner == hosts[0].host ? 1 : 0;
  }
  CHECK(owned_by_first > 340);  // 400 of 2,200 keys expected: twice the weight of nine others
  CHECK(owned_by_first < 460);
  CHECK(OwnerRanking().Owner("k") == nullptr);
}

// Guards against keys that move between two unchanged hosts, and against shares that do not follow
// the weights.
TEST_CASE("a change of one host moves only its keys") {
  struct Row {
    const char* name;
    std::size_t changed;  // host whose weight changes
    double before, after;
    double share_after;  // of the changed host, out of 20 hosts
  };
  const Row rows[] = {{"host leaves", 3, 1, 0, 0},
                      {"host joins", 19, 0, 1, 1.0 / 20},
                      {"weight doubles", 0, 1, 2, 2.0 / 21},
                      {"no change", 5, 1, 1, 1.0 / 20}};
  constexpr int kKeys = 20'000;
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
      for (int i = 0; i < kKeys; ++i) {
        const std::string key = "item-" + std::to_string(i);
        const HostId old_owner = *before.Owner(key);
        const HostId new_owner = *after.Owner(key);
        const bool involved = old_owner == changed || new_owner == changed;
        if (old_owner != new_owner && !involved) ++moved_elsewhere;
        if (new_owner == changed) ++owned;
      }
      CHECK(moved_elsewhere == 0);
      CHECK(static_cast<double>(owned) / kKeys == doctest::Approx(row.share_after).epsilon(0.1));
    }
  }
}

// Guards against a new owner that is not the second host of the ranking before.
TEST_CASE("the second host of the ranking becomes the owner when the first leaves") {
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
