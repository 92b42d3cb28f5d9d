// Header names and values that client and server exchange.
#ifndef VERBENARIDGE_WIRE_INTERNAL_H2_HEADERS_H_
#define VERBENARIDGE_WIRE_INTERNAL_H2_HEADERS_H_

#include <nghttp2/nghttp2.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

#include "verbenaridge/base/result.h"

namespace verbenaridge::wire::internal {

inline constexpr std::string_view kDeadlineHeader = "x-deadline-ms";
inline constexpr std::string_view kErrorHeader = "x-errc";

// Refers to the strings, which outlive the call that takes the result.
inline nghttp2_nv Header(std::string_view name, std::string_view value,
                         std::uint8_t flags = NGHTTP2_NV_FLAG_NONE) {
  const auto bytes = [](std::string_view text) {
    // nghttp2 does not write through these pointers.
    return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(), flags};
}

inline std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0) return std::nullopt;
  return value;
}

// kMalformed for a number that is no known error.
inline Errc ParseErrc(std::string_view text) {
  const auto value = ParseNumber(text);
  if (!value || *value < static_cast<int>(Errc::kInvalidArgument) ||
      *value > static_cast<int>(Errc::kTooLarge)) {
    return Errc::kMalformed;
  }
  return static_cast<Errc>(*value);
}

}  // namespace verbenaridge::wire::internal

#endif  // VERBENARIDGE_WIRE_INTERNAL_H2_HEADERS_H_
