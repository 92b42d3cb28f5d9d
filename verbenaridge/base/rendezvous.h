// Weighted rendezvous hashing: every host computes the same order of nodes for an item, and a node
// that joins or leaves moves only the items that it gains or loses.
//
//   double score = RendezvousScore(HashOf(endpoint.value()), HashOf(host.value()), 1.0);
#ifndef VERBENARIDGE_BASE_RENDEZVOUS_H_
#define VERBENARIDGE_BASE_RENDEZVOUS_H_

#include "verbenaridge/base/ids.h"

namespace verbenaridge {

// The node with the highest score owns the item. Nodes get items in proportion to their weights; a
// node whose weight is zero or less never owns any.
double RendezvousScore(Digest item, Digest node, double weight);

}  // namespace verbenaridge

#endif  // VERBENARIDGE_BASE_RENDEZVOUS_H_
