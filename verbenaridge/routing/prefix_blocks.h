// Digests of the leading blocks of a prompt, which name its cached prefixes as engines' cache
// events do (docs/endpoint_protocol.md).
//
//   std::vector<Digest> blocks = PrefixBlocks(prompt);
#ifndef VERBENARIDGE_ROUTING_PREFIX_BLOCKS_H_
#define VERBENARIDGE_ROUTING_PREFIX_BLOCKS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "verbenaridge/base/ids.h"

namespace verbenaridge::routing {

// About 256 tokens.
inline constexpr std::size_t kPrefixBlockBytes = 1024;
// Later blocks of a prompt are seldom shared.
inline constexpr std::size_t kMaxPrefixBlocks = 64;

// The digest of block i covers blocks 0 to i, so equal digests mean equal prefixes. A last block
// that is not full is left out.
std::vector<Digest> PrefixBlocks(std::string_view prompt);

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_PREFIX_BLOCKS_H_
