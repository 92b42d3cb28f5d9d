#include "verbenaridge/http1/head_syntax.h"

namespace verbenaridge::http1 {
namespace {

// Positions in a status line, "HTTP/1.1 200 OK".
constexpr std::string_view kVersionPrefix = "HTTP/";
constexpr std::size_t kMajorVersion = 5;
constexpr std::size_t kVersionDot = 6;
constexpr std::size_t kMinorVersion = 7;
constexpr std::size_t kSpace = 8;
constexpr std::size_t kStatus = 9;
constexpr std::size_t kReason = 12;  // a space, which some servers leave out if no text follows

constexpr int kSwitchingProtocols = 101;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }
bool IsLineEnd(char c) { return c == '\r' || c == '\n'; }
// Of field names (RFC 9110, 5.6.2).
bool IsTokenCharacter(char c) {
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
bool IsControl(char c) { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f'; }

}  // namespace

void HeadSyntax::Reset() {
  state_ = section_ == Section::kTrailers ? State::kLineStart : State::kStartLine;
  fault_ = SyntaxFault::kNone;
  position_ = 0;
  status_ = 0;
}

std::size_t HeadSyntax::Feed(std::string_view data) {
  for (std::size_t used = 0; used < data.size(); ++used) {
    if (complete() || fault_ != SyntaxFault::kNone) return used;
    state_ = Next(data[used]);
    if (fault_ != SyntaxFault::kNone) return used;
  }
  return data.size();
}

HeadSyntax::State HeadSyntax::Expect(bool valid, State next, SyntaxFault fault) {
  if (!valid) fault_ = fault;
  return next;
}

HeadSyntax::State HeadSyntax::Next(char c) {
  switch (state_) {
    case State::kStartLine:
      return NextInStartLine(c);
    case State::kLineFeed:
      return Expect(c == '\n', State::kLineStart, SyntaxFault::kLineEnd);
    case State::kLineStart:
      return NextAtLineStart(c);
    case State::kFieldName:
      if (c == ':') return State::kFieldValue;
      return Expect(IsTokenCharacter(c), State::kFieldName, SyntaxFault::kFieldName);
    case State::kFieldValue:
      if (c == '\r') return State::kLineFeed;
      if (c == '\n') return State::kLineStart;
      return Expect(!IsControl(c), State::kFieldValue, SyntaxFault::kFieldValue);
    case State::kLastLineFeed:
      return Expect(c == '\n', State::kComplete, SyntaxFault::kLineEnd);
    case State::kComplete:
      break;
  }
  return State::kComplete;
}

HeadSyntax::State HeadSyntax::NextAtLineStart(char c) {
  if (c == '\r') return State::kLastLineFeed;
  if (c == '\n') return State::kComplete;
  const bool folded = c == ' ' || c == '\t';
  return Expect(IsTokenCharacter(c), State::kFieldName,
                folded ? SyntaxFault::kFoldedField : SyntaxFault::kFieldName);
}

HeadSyntax::State HeadSyntax::NextInStartLine(char c) {
  if (position_ == 0 && IsLineEnd(c)) return State::kStartLine;  // empty lines may precede
  if (section_ == Section::kResponseHead) {
    fault_ = CheckStatusLine(c);
  } else if (!IsLineEnd(c) && (IsControl(c) || c == '\t')) {
    fault_ = SyntaxFault::kStartLine;
  }
  ++position_;
  if (c == '\r') return State::kLineFeed;
  return c == '\n' ? State::kLineStart : State::kStartLine;
}

SyntaxFault HeadSyntax::CheckStatusLine(char c) {
  const auto check = [](bool valid, SyntaxFault fault) {
    return valid ? SyntaxFault::kNone : fault;
  };
  if (position_ < kVersionPrefix.size()) {
    return check(c == kVersionPrefix[position_], SyntaxFault::kStartLine);
  }
  switch (position_) {
    case kMajorVersion:
      return check(c == '1', SyntaxFault::kVersion);
    case kVersionDot:
      return check(c == '.', SyntaxFault::kVersion);
    case kMinorVersion:
      return check(IsDigit(c), SyntaxFault::kVersion);
    case kSpace:
      return check(c == ' ', SyntaxFault::kStartLine);
    case kStatus:
      status_ = c - '0';
      return check(c >= '1' && c <= '5', SyntaxFault::kStatusCode);
    case kStatus + 1:
    case kStatus + 2:
      status_ = status_ * 10 + (c - '0');
      return check(IsDigit(c), SyntaxFault::kStatusCode);
    case kReason:
      if (c != ' ' && !IsLineEnd(c)) return SyntaxFault::kStatusCode;
      return check(status_ != kSwitchingProtocols, SyntaxFault::kProtocolSwitch);
    default:
      return check(!IsControl(c) || IsLineEnd(c), SyntaxFault::kStartLine);
  }
}

}  // namespace verbenaridge::http1
