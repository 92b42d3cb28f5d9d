// Divides the KV cache memory of one prompt among the engines of a group.
//
//   std::vector<TokenCount> shares = MemoryShares(/*needed=*/400'000, /*free=*/{200'000, 210'000});
//
// The host that chooses a group and the one that reserves its memory compute the same shares, so
// that the load table counts what the engines reserve.
#ifndef VERBENARIDGE_DISPATCH_MEMORY_SHARES_H_
#define VERBENARIDGE_DISPATCH_MEMORY_SHARES_H_

#include <span>
#include <vector>

#include "verbenaridge/base/units.h"

namespace verbenaridge::dispatch {

// Returns tokens for each member, at least one, in proportion to its free memory and together at
// least `needed`. Empty if the members have less free memory than that.
std::vector<TokenCount> MemoryShares(TokenCount needed, std::span<const TokenCount> free);

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_MEMORY_SHARES_H_
