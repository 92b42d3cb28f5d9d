// What is wrong with a malformed HTTP/1.1 message.
//
//   Log(ToText(SyntaxFault::kFieldName));  // "field_name"
#ifndef VERBENARIDGE_HTTP1_SYNTAX_FAULT_H_
#define VERBENARIDGE_HTTP1_SYNTAX_FAULT_H_

#include <cstdint>
#include <string_view>

namespace verbenaridge::http1 {

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
  kTransferCoding,  // a coding of the body other than `chunked`
  kChunk,           // a chunk that does not end where its size says, or without a valid size
};

// The name in logs; empty for kNone.
std::string_view ToText(SyntaxFault fault);

}  // namespace verbenaridge::http1

#endif  // VERBENARIDGE_HTTP1_SYNTAX_FAULT_H_
