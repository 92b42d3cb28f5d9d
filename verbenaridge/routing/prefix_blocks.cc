#include "verbenaridge/routing/prefix_blocks.h"

#include <algorithm>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::routing {

std::vector<Digest> PrefixBlocks(std::string_view prompt) {
  const std::size_t count = std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<Digest> blocks;
  blocks.reserve(count);
  Digest chain = 0;
  for (std::size_t i = 0; i < count; ++i) {
    chain = CombineDigests(chain, HashOf(prompt.substr(i * kPrefixBlockBytes, kPrefixBlockBytes)));
    blocks.push_back(chain);
  }
  return blocks;
}

}  // namespace verbenaridge::routing
