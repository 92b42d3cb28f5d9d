#include "verbenaridge/http1/chunk_syntax.h"

#include <algorithm>

namespace verbenaridge::http1 {
namespace {

constexpr int kMaxSizeDigits = 15;  // no overflow

// Value of a hexadecimal digit; -1 for other characters.
int DigitValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool IsBlank(char c) { return c == ' ' || c == '\t'; }

}  // namespace

void ChunkSyntax::Reset() {
  state_ = State::kSize;
  fault_ = SyntaxFault::kNone;
  size_digits_ = 0;
  data_left_ = 0;
  trailers_.Reset();
}

std::size_t ChunkSyntax::Feed(std::string_view data) {
  std::size_t used = 0;
  while (used < data.size() && !complete() && fault_ == SyntaxFault::kNone) {
    if (state_ == State::kTrailers) {
      used += trailers_.Feed(data.substr(used));
      fault_ = trailers_.fault();
    } else if (state_ == State::kData) {
      const std::uint64_t size = std::min<std::uint64_t>(data_left_, data.size() - used);
      used += static_cast<std::size_t>(size);
      data_left_ -= size;
      if (data_left_ == 0) state_ = State::kDataReturn;
    } else {
      state_ = Next(data[used]);
      if (fault_ == SyntaxFault::kNone) ++used;
    }
  }
  return used;
}

ChunkSyntax::State ChunkSyntax::Expect(bool valid, State next) {
  if (!valid) fault_ = SyntaxFault::kChunk;
  return next;
}

ChunkSyntax::State ChunkSyntax::Next(char c) {
  switch (state_) {
    case State::kSize:
      return NextInSize(c);
    case State::kBlank:
      if (c == '\r') return State::kSizeLineFeed;
      return c == ';' ? State::kExtension : Expect(IsBlank(c), State::kBlank);
    case State::kExtension:
      if (c == '\r') return State::kSizeLineFeed;
      return Expect(static_cast<unsigned char>(c) >= ' ' || c == '\t', State::kExtension);
    case State::kSizeLineFeed:
      return Expect(c == '\n', data_left_ == 0 ? State::kTrailers : State::kData);
    case State::kDataReturn:
      return Expect(c == '\r', State::kDataLineFeed);
    case State::kDataLineFeed:
      size_digits_ = 0;
      return Expect(c == '\n', State::kSize);
    case State::kData:
    case State::kTrailers:  // Feed handles both
      break;
  }
  return state_;
}

ChunkSyntax::State ChunkSyntax::NextInSize(char c) {
  if (const int digit = DigitValue(c); digit >= 0) {
    data_left_ = data_left_ * 16 + static_cast<std::uint64_t>(digit);
    return Expect(++size_digits_ <= kMaxSizeDigits, State::kSize);
  }
  if (size_digits_ == 0) return Expect(false, State::kSize);
  if (c == '\r') return State::kSizeLineFeed;
  return c == ';' ? State::kExtension : Expect(IsBlank(c), State::kBlank);
}

}  // namespace verbenaridge::http1
