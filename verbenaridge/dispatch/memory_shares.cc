#include "verbenaridge/dispatch/memory_shares.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::dispatch {

std::vector<TokenCount> MemoryShares(TokenCount needed, std::span<const TokenCount> free) {
  TokenCount total = 0;
  for (const TokenCount tokens : free) total += std::max<TokenCount>(tokens, 0);
  if (total < needed || needed <= 0) return {};
  std::vector<TokenCount> shares;
  shares.reserve(free.size());
  for (const TokenCount tokens : free) {
    const double part =
        static_cast<double>(std::max<TokenCount>(tokens, 0)) / static_cast<double>(total);
    // An engine refuses a reservation of no tokens.
    shares.push_back(std::max<TokenCount>(
        static_cast<TokenCount>(std::ceil(part * static_cast<double>(needed))), 1));
  }
  return shares;
}

}  // namespace verbenaridge::dispatch
