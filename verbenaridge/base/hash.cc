#include "verbenaridge/base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace verbenaridge {

Digest HashOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

Digest HashOf(std::initializer_list<std::string_view> parts) {
  Digest digest = 0;
  for (std::string_view part : parts) digest = CombineDigests(digest, HashOf(part));
  return digest;
}

Digest CombineDigests(Digest first, Digest second) {
  const std::array<Digest, 2> pair = {first, second};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string ToHex(Digest digest) {
  char text[17];
  std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(digest));
  return text;
}

}  // namespace verbenaridge
