// HMAC-SHA256, random bytes and comparison for the proofs of this package, by OpenSSL.
#ifndef VERBENARIDGE_WIRE_INTERNAL_CRYPTO_H_
#define VERBENARIDGE_WIRE_INTERNAL_CRYPTO_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace verbenaridge::wire::internal {

inline constexpr std::size_t kMacBytes = 32;

// HMAC-SHA256 over the parts, each preceded by its length, so that {"a", "bc"} and {"ab", "c"}
// differ. The first part names the purpose: a proof for one purpose is none for another.
std::string HmacSha256(std::string_view key, std::initializer_list<std::string_view> parts);

// Takes the same time wherever the contents differ.
bool EqualConstantTime(std::string_view left, std::string_view right);

// Aborts if the operating system has no randomness: a predictable nonce would allow replays.
std::string RandomBytes(std::size_t count);

std::string ToHex(std::string_view bytes);

// Big-endian integers of fixed width.
void AppendUint64(std::string& out, std::uint64_t value);
std::uint64_t ReadUint64(std::string_view bytes);

}  // namespace verbenaridge::wire::internal

#endif  // VERBENARIDGE_WIRE_INTERNAL_CRYPTO_H_
