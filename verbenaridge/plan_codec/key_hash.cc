#include "verbenaridge/plan_codec/key_hash.h"

#include <openssl/evp.h>

#include <array>
#include <cstdlib>

namespace verbenaridge::plan_codec {

std::string HashBearerKey(std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  // Fails only if memory is exhausted or the library has no SHA-256.
  if (EVP_Digest(key.data(), key.size(), bytes.data(), &size, EVP_sha256(), nullptr) != 1) {
    std::abort();
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(std::size_t{2} * size);
  for (unsigned int i = 0; i < size; ++i) {
    text += kDigits[bytes[i] >> 4];
    text += kDigits[bytes[i] & 15];
  }
  return text;
}

}  // namespace verbenaridge::plan_codec
