// Checks chunked bodies (RFC 9112, 7.1) for what http_parser accepts although it is malformed, e.g.
// other bytes than a line end after a chunk.
//
//   ChunkSyntax syntax;
//   const std::size_t used = syntax.Feed(bytes);
//   if (syntax.fault() != SyntaxFault::kNone) ...  // at the byte behind `used`
//   if (syntax.complete()) ...                     // the bytes behind `used` follow the body
#ifndef VERBENARIDGE_HTTP1_CHUNK_SYNTAX_H_
#define VERBENARIDGE_HTTP1_CHUNK_SYNTAX_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "verbenaridge/http1/head_syntax.h"
#include "verbenaridge/http1/syntax_fault.h"

namespace verbenaridge::http1 {

class ChunkSyntax {
 public:
  // Checks `data`, which follows what was fed before. Returns the number of bytes up to a fault or
  // the end of the body with its trailers; all of `data` if there is neither.
  std::size_t Feed(std::string_view data);

  // For the next body.
  void Reset();

  bool complete() const { return state_ == State::kTrailers && trailers_.complete(); }
  SyntaxFault fault() const { return fault_; }

 private:
  enum class State : std::uint8_t {
    kSize,
    kBlank,  // after the size
    kExtension,
    kSizeLineFeed,
    kData,
    kDataReturn,
    kDataLineFeed,
    kTrailers,
  };

  State Next(char c);
  State NextInSize(char c);
  State Expect(bool valid, State next);

  State state_ = State::kSize;
  SyntaxFault fault_ = SyntaxFault::kNone;
  int size_digits_ = 0;
  std::uint64_t data_left_ = 0;  // of the chunk
  HeadSyntax trailers_{Section::kTrailers};
};

}  // namespace verbenaridge::http1

#endif  // VERBENARIDGE_HTTP1_CHUNK_SYNTAX_H_
