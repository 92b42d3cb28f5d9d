// Digests of the leading blocks of a prompt. They identify its cached prefixes in the same way as
// the cache events of engines (docs/endpoint_protocol.md).
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
// Later blocks of a prompt are rarely shared with other prompts.
inline constexpr std::size_t kMaxPrefixBlocks = 64;

// Returns one digest per full block. The digest of block i covers blocks 0 to i, so equal digests
// mean equal prefixes. An incomplete last block is ignored.
std::vector<Digest> PrefixBlocks(std::string_view prompt);

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_PREFIX_BLOCKS_H_
