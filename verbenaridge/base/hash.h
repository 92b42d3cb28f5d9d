// Hashes that are equal on every host (xxHash), for rendezvous hashing and digests.
//
//   Digest digest = HashOf({account.value(), model.value(), prompt});
#ifndef VERBENARIDGE_BASE_HASH_H_
#define VERBENARIDGE_BASE_HASH_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "verbenaridge/base/ids.h"

namespace verbenaridge {

// Hash of one byte string.
Digest HashOf(std::string_view text);

// Hash of a sequence; unlike concatenation, {"a", "bc"} and {"ab", "c"} differ.
Digest HashOf(std::initializer_list<std::string_view> parts);

// Combines two digests; the order matters.
Digest CombineDigests(Digest first, Digest second);

// As a hexadecimal number, for logs.
std::string ToHex(Digest digest);

}  // namespace verbenaridge

#endif  // VERBENARIDGE_BASE_HASH_H_
