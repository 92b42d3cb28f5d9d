#include "verbenaridge/engine/sse_parser.h"

namespace verbenaridge::engine {

bool SseParser::Feed(std::string_view bytes, const std::function<bool(const SseEvent&)>& on_event) {
  while (!bytes.empty() && !failed_ && !stopped_) {
    // CR LF may be split between two reads.
    if (after_carriage_return_ && bytes.front() == '\n') bytes.remove_prefix(1);
    after_carriage_return_ = false;
    const std::size_t end = bytes.find_first_of("\r\n");
    const std::string_view part = bytes.substr(0, end);
    if (line_.size() + part.size() + data_.size() > max_event_bytes_) {
      failed_ = true;
      break;
    }
    if (end == std::string_view::npos) {
      line_.append(part);
      break;
    }
    after_carriage_return_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    if (line_.empty()) {
      stopped_ = !TakeLine(part, on_event);
    } else {
      line_.append(part);
      stopped_ = !TakeLine(line_, on_event);
      line_.clear();
    }
  }
  return !failed_;
}

bool SseParser::TakeLine(std::string_view line,
                         const std::function<bool(const SseEvent&)>& on_event) {
  if (first_line_ && line.starts_with("\xef\xbb\xbf")) line.remove_prefix(3);
  first_line_ = false;
  if (line.empty()) {
    const bool go_on = !has_data_ || on_event({.type = type_, .data = data_});
    type_.clear();
    data_.clear();
    has_data_ = false;
    return go_on;
  }
  const std::size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (field == "data") {
    if (has_data_) data_.push_back('\n');
    data_.append(value);
    has_data_ = true;
  } else if (field == "event") {
    type_ = value;
  }
  return true;
}

}  // namespace verbenaridge::engine
