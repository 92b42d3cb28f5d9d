// Checks the heads of HTTP/1.1 messages (RFC 9112) for what http_parser accepts although it is
// malformed. Debian builds that library without its strict mode.
//
//   HeadSyntax syntax(MessageKind::kResponse);
//   const std::size_t used = syntax.Feed(bytes);
//   if (syntax.fault() != SyntaxFault::kNone) ...  // at the byte behind `used`
//   if (syntax.complete()) ...                     // the bytes behind `used` follow the head
#ifndef VERBENARIDGE_HTTP1_HEAD_SYNTAX_H_
#define VERBENARIDGE_HTTP1_HEAD_SYNTAX_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace verbenaridge::http1 {

enum class MessageKind : std::uint8_t { kRequest, kResponse };

enum class SyntaxFault : std::uint8_t {
  kNone,
  kStartLine,       // no status line, or a control character in a request line
  kVersion,         // not HTTP/1.x
  kStatusCode,      // not three digits from 100 to 599
  kLineEnd,         // a carriage return without a line feed
  kFieldName,       // not a token that a colon follows
  kFieldValue,      // a control character other than a tab
  kFoldedField,     // a line that starts with a blank or tab
  kProtocolSwitch,  // status 101, although no request asks for another protocol
};

// The name in logs; empty for kNone.
std::string_view ToText(SyntaxFault fault);

class HeadSyntax {
 public:
  explicit HeadSyntax(MessageKind kind) : kind_(kind) {}

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
    kStartLineFeed,  // a line feed must follow
    kLineStart,
    kFieldName,
    kFieldValue,
    kLineFeed,
    kLastLineFeed,
    kComplete,
  };

  State Next(char c);
  State NextInStartLine(char c);
  State NextAtLineStart(char c);
  // Whether the byte at this position of a status line is valid.
  SyntaxFault CheckStatusLine(char c) const;
  State Expect(bool valid, State next, SyntaxFault fault);

  const MessageKind kind_;
  State state_ = State::kStartLine;
  SyntaxFault fault_ = SyntaxFault::kNone;
  std::size_t position_ = 0;  // in the start line
};

}  // namespace verbenaridge::http1

#endif  // VERBENARIDGE_HTTP1_HEAD_SYNTAX_H_
