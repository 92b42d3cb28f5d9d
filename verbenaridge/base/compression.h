// Compression of texts that travel between hosts, in zlib's format.
//
//   std::string packed = Compress(document);
//   Result<std::string> document = Decompress(packed, kMaxDocumentBytes);
#ifndef VERBENARIDGE_BASE_COMPRESSION_H_
#define VERBENARIDGE_BASE_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "verbenaridge/base/result.h"

namespace verbenaridge {

// Chosen for speed: a configuration shrinks to a tenth in some milliseconds. Empty if zlib has no
// memory.
std::string Compress(std::string_view text);

// Errors: kMalformed if `packed` is not one whole compressed text, kResourceExhausted if the text
// is longer than `most` bytes.
Result<std::string> Decompress(std::string_view packed, std::size_t most);

}  // namespace verbenaridge

#endif  // VERBENARIDGE_BASE_COMPRESSION_H_
