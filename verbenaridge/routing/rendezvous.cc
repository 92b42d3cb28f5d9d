#include "verbenaridge/routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::routing {

double RendezvousScore(Digest item, const WeightedNode& node) {
  if (node.weight <= 0) return -std::numeric_limits<double>::infinity();
  // Uniform in (0, 1); -w / ln(u) gives each node a part in proportion to its weight.
  const double uniform =
      (static_cast<double>(CombineDigests(item, node.key) >> 11) + 0.5) * 0x1.0p-53;
  return -node.weight / std::log(uniform);
}

std::optional<std::size_t> RendezvousOwner(Digest item, std::span<const WeightedNode> nodes) {
  const std::vector<std::size_t> first = RendezvousRanking(item, nodes, 1);
  if (first.empty()) return std::nullopt;
  return first.front();
}

std::vector<std::size_t> RendezvousRanking(Digest item, std::span<const WeightedNode> nodes,
                                           std::size_t count) {
  std::vector<std::pair<double, std::size_t>> scored;
  scored.reserve(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (nodes[i].weight > 0) scored.emplace_back(RendezvousScore(item, nodes[i]), i);
  }
  count = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(), std::greater<>());
  std::vector<std::size_t> ranking;
  ranking.reserve(count);
  for (std::size_t i = 0; i < count; ++i) ranking.push_back(scored[i].second);
  return ranking;
}

}  // namespace verbenaridge::routing
