#include "verbenaridge/base/rendezvous.h"

#include <cmath>
#include <limits>

#include "verbenaridge/base/hash.h"

namespace verbenaridge {

double RendezvousScore(Digest item, Digest node, double weight) {
  if (weight <= 0) return -std::numeric_limits<double>::infinity();
  // Uniform in (0, 1); -w / ln(u) gives each node a part in proportion to its weight.
  const double uniform = (static_cast<double>(CombineDigests(item, node) >> 11) + 0.5) * 0x1.0p-53;
  return -weight / std::log(uniform);
}

}  // namespace verbenaridge
