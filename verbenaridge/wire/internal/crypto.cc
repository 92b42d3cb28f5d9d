#include "verbenaridge/wire/internal/crypto.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <cstdint>
#include <cstdlib>
#include <memory>

namespace verbenaridge::wire::internal {
namespace {

// Fetching an algorithm takes longer than a short HMAC, so it is done once.
EVP_MAC* HmacAlgorithm() {
  static EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  return algorithm;
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string HmacSha256(std::string_view key, std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(
      EVP_MAC_CTX_new(HmacAlgorithm()), &EVP_MAC_CTX_free);
  char digest[] = "SHA256";
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
      OSSL_PARAM_construct_end()};
  bool good =
      context != nullptr && EVP_MAC_init(context.get(), Bytes(key), key.size(), parameters) == 1;
  for (const std::string_view part : parts) {
    std::string length;
    AppendUint64(length, part.size());
    good = good && EVP_MAC_update(context.get(), Bytes(length), length.size()) == 1 &&
           EVP_MAC_update(context.get(), Bytes(part), part.size()) == 1;
  }
  std::string mac(kMacBytes, '\0');
  std::size_t size = 0;
  good = good && EVP_MAC_final(context.get(), reinterpret_cast<unsigned char*>(mac.data()), &size,
                               mac.size()) == 1;
  if (!good || size != kMacBytes) std::abort();
  return mac;
}

bool EqualConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomBytes(std::size_t count) {
  std::string bytes(count, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1) {
    std::abort();
  }
  return bytes;
}

std::string ToHex(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text.push_back(kDigits[value >> 4]);
    text.push_back(kDigits[value & 15]);
  }
  return text;
}

void AppendUint64(std::string& out, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
}

std::uint64_t ReadUint64(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes.substr(0, 8)) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

}  // namespace verbenaridge::wire::internal
