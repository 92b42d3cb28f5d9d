#include "verbenaridge/http1/syntax_fault.h"

namespace verbenaridge::http1 {

std::string_view ToText(SyntaxFault fault) {
  switch (fault) {
    case SyntaxFault::kNone:
      return "";
    case SyntaxFault::kStartLine:
      return "start_line";
    case SyntaxFault::kVersion:
      return "version";
    case SyntaxFault::kStatusCode:
      return "status_code";
    case SyntaxFault::kLineEnd:
      return "line_end";
    case SyntaxFault::kFieldName:
      return "field_name";
    case SyntaxFault::kFieldValue:
      return "field_value";
    case SyntaxFault::kFoldedField:
      return "folded_field";
    case SyntaxFault::kProtocolSwitch:
      return "protocol_switch";
    case SyntaxFault::kTransferCoding:
      return "transfer_coding";
    case SyntaxFault::kChunk:
      return "chunk";
  }
  return "unknown";
}

}  // namespace verbenaridge::http1
