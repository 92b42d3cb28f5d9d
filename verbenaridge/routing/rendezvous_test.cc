#include "verbenaridge/routing/rendezvous.h"

#include <doctest/doctest.h>

#include <string>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::routing {
namespace {

// Guards against ownership that moves more than a change requires, and against shares that do not
// follow the weights.
TEST_CASE("rendezvous hashing") {
  struct Row {
    const char* name;
    std::size_t changed;  // node whose weight changes
    double before, after;
    double share_after;  // of that node, 20 nodes
  };
  const Row rows[] = {{"node leaves", 3, 1, 0, 0},
                      {"node joins", 19, 0, 1, 1.0 / 20},
                      {"node doubles", 0, 1, 2, 2.0 / 21},
                      {"no change", 5, 1, 1, 1.0 / 20}};
  constexpr int kItems = 20'000;
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      std::vector<WeightedNode> nodes;
      for (int i = 0; i < 20; ++i) nodes.push_back({HashOf("host-" + std::to_string(i)), 1});
      std::vector<WeightedNode> changed = nodes;
      nodes[row.changed].weight = row.before;
      changed[row.changed].weight = row.after;
      int moved_elsewhere = 0, owned = 0;
      for (int i = 0; i < kItems; ++i) {
        const Digest item = HashOf("item-" + std::to_string(i));
        const std::size_t old_owner = *RendezvousOwner(item, nodes);
        const std::size_t new_owner = *RendezvousOwner(item, changed);
        const bool involved = old_owner == row.changed || new_owner == row.changed;
        if (old_owner != new_owner && !involved) ++moved_elsewhere;
        if (new_owner == row.changed) ++owned;
      }
      CHECK(moved_elsewhere == 0);
      CHECK(static_cast<double>(owned) / kItems == doctest::Approx(row.share_after).epsilon(0.1));
    }
  }
}

// Guards against a successor that differs from the owner after the first node is gone.
TEST_CASE("ranking") {
  std::vector<WeightedNode> nodes = {{1, 1}, {2, 1}, {3, 1}, {4, 0}};
  const std::vector<std::size_t> ranking = RendezvousRanking(77, nodes, 10);
  REQUIRE(ranking.size() == 3);
  nodes[ranking[0]].weight = 0;
  CHECK(*RendezvousOwner(77, nodes) == ranking[1]);
  CHECK_FALSE(RendezvousOwner(77, {}).has_value());
}

}  // namespace
}  // namespace verbenaridge::routing
