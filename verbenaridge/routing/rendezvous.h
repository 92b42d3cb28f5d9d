// Weighted rendezvous hashing: every host computes the same owner, and a node that joins or leaves
// moves only the items that it gains or loses.
//
//   std::vector<WeightedNode> hosts = {{HashOf("furano-01"), 1.0}, ...};
//   std::optional<std::size_t> owner = RendezvousOwner(HashOf(endpoint.value()), hosts);
#ifndef VERBENARIDGE_ROUTING_RENDEZVOUS_H_
#define VERBENARIDGE_ROUTING_RENDEZVOUS_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "verbenaridge/base/ids.h"

namespace verbenaridge::routing {

struct WeightedNode {
  Digest key = 0;     // hash of the node's name
  double weight = 1;  // zero or less: owns nothing
};

// Higher wins. A node gets a part of the items in proportion to its weight.
double RendezvousScore(Digest item, const WeightedNode& node);

// Index of the owner; nothing if no node has a weight.
std::optional<std::size_t> RendezvousOwner(Digest item, std::span<const WeightedNode> nodes);

// Indexes of the first `count` nodes, best first; the next one takes over when the first is gone.
std::vector<std::size_t> RendezvousRanking(Digest item, std::span<const WeightedNode> nodes,
                                           std::size_t count);

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_RENDEZVOUS_H_
