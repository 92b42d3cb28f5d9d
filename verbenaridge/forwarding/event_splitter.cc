#include "verbenaridge/forwarding/event_splitter.h"

#include <algorithm>

#include "verbenaridge/http1/message.h"

namespace verbenaridge::forwarding {
namespace {

// Position after the first empty line, or npos.
std::size_t EndOfEvent(std::string_view text) {
  std::size_t line = 0;
  while (true) {
    const std::size_t end = text.find('\n', line);
    if (end == std::string_view::npos) return end;
    const std::string_view content = text.substr(line, end - line);
    if (line > 0 && (content.empty() || content == "\r")) return end + 1;
    line = end + 1;
  }
}

// Returns the first line without its end, and removes it from the text.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

// Names of fields have no capital letters, unlike a status line and the headers that follow it.
bool IsFieldName(std::string_view name) {
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
}

// An endpoint that breaks off within an event may send another response on the same connection.
bool IsWellFormed(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (!IsFieldName(line.substr(0, line.find(':')))) return false;
  }
  return true;
}

std::optional<std::uint64_t> IdOf(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (line.starts_with(kField)) {
      return http1::ParseUnsigned(http1::Trim(line.substr(kField.size())));
    }
  }
  return {};
}

}  // namespace

std::vector<Event> EventSplitter::Feed(std::string_view data) {
  buffer_.append(data);
  std::vector<Event> events;
  std::size_t start = 0;
  while (true) {
    std::string_view rest = buffer_;
    rest.remove_prefix(start);
    const std::size_t end = EndOfEvent(rest);
    if (end == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, end);
    events.push_back(
        {.bytes = std::string{event}, .id = IdOf(event), .well_formed = IsWellFormed(event)});
    start += end;
  }
  buffer_.erase(0, start);
  return events;
}

}  // namespace verbenaridge::forwarding
