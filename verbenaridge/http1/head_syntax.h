// Checks the heads of HTTP/1.1 messages (RFC 9112) for what http_parser accepts although it is
// malformed. Debian builds that library without its strict mode.
//
//   HeadSyntax syntax(Section::kResponseHead);
//   const std::size_t used = syntax.Feed(bytes);
//   if (syntax.fault() != SyntaxFault::kNone) ...  // at the byte behind `used`
//   if (syntax.complete()) ...                     // the bytes behind `used` follow the head
#ifndef VERBENARIDGE_HTTP1_HEAD_SYNTAX_H_
#define VERBENARIDGE_HTTP1_HEAD_SYNTAX_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "verbenaridge/http1/syntax_fault.h"

namespace verbenaridge::http1 {

// Trailers are the fields after the chunks of a body. They have no start line.
enum class Section : std::uint8_t { kRequestHead, kResponseHead, kTrailers };

class HeadSyntax {
 public:
  explicit HeadSyntax(Section section) : section_(section) { Reset(); }

  // Checks `data`, which follows what was fed before. Returns the number of bytes up to a fault or
  // the end of the head; all of `data` if there is neither.
  std::size_t Feed(std::string_view data);

  // For the next head.
  void Reset();

  bool complete() const { return state_ == State::kComplete; }
  SyntaxFault fault() const { return fault_; }

 private:
  enum class State : std::uint8_t {
    kStartLine,
    kLineStart,
    kFieldName,
    kFieldValue,
    kLineFeed,      // must follow a carriage return
    kLastLineFeed,  // the same, of the empty line
    kComplete,
  };

  State Next(char c);
  State NextInStartLine(char c);
  State NextAtLineStart(char c);
  // Checks the byte at this position of a status line.
  SyntaxFault CheckStatusLine(char c);
  State Expect(bool valid, State next, SyntaxFault fault);

  const Section section_;
  State state_ = State::kStartLine;
  SyntaxFault fault_ = SyntaxFault::kNone;
  std::size_t position_ = 0;  // in the start line
  int status_ = 0;
};

}  // namespace verbenaridge::http1

#endif  // VERBENARIDGE_HTTP1_HEAD_SYNTAX_H_
