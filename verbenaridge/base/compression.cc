#include "verbenaridge/base/compression.h"

#include <zlib.h>

#include <algorithm>

namespace verbenaridge {
namespace {

constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;

// zlib does not change its input but takes a pointer that is not const.
Bytef* InputOf(std::string_view text) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));  // NOLINT
}

}  // namespace

std::string Compress(std::string_view text) {
  uLongf size = compressBound(static_cast<uLong>(text.size()));
  std::string packed(size, '\0');
  const int outcome = compress2(reinterpret_cast<Bytef*>(packed.data()), &size, InputOf(text),
                                static_cast<uLong>(text.size()), Z_BEST_SPEED);
  if (outcome != Z_OK) return {};
  packed.resize(size);
  return packed;
}

Result<std::string> Decompress(std::string_view packed, std::size_t most) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) return Errc::kResourceExhausted;
  stream.next_in = InputOf(packed);
  stream.avail_in = static_cast<uInt>(packed.size());
  std::string text;
  int outcome = Z_OK;
  while (outcome == Z_OK && text.size() <= most) {
    const std::size_t before = text.size();
    const std::size_t room = std::min(kChunkBytes, most + 1 - before);
    text.resize(before + room);
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + before);
    stream.avail_out = static_cast<uInt>(room);
    outcome = inflate(&stream, Z_NO_FLUSH);
    text.resize(before + room - stream.avail_out);
  }
  const bool all_read = stream.avail_in == 0;
  inflateEnd(&stream);
  if (text.size() > most) return Errc::kResourceExhausted;
  if (outcome != Z_STREAM_END || !all_read) return Errc::kMalformed;
  return text;
}

}  // namespace verbenaridge
