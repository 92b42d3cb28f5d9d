#include "verbenaridge/forwarding/event_splitter.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/http1/message.h"

namespace verbenaridge::forwarding {
namespace {

constexpr std::string_view kIdField = "id:";

// Names of fields have no capital letters, unlike a status line and the headers that follow it. An
// endpoint that breaks off within an event may send another response on the same connection.
bool IsFieldName(std::string_view name) {
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
}

}  // namespace

std::vector<Event> EventSplitter::Feed(std::string_view data) {
  buffer_.append(data);
  std::vector<Event> events;
  while (true) {
    const std::size_t end = buffer_.find('\n', examined_);
    const std::size_t examined = end == std::string::npos ? buffer_.size() : end + 1;
    examined_bytes_ += examined - std::exchange(examined_, examined);
    if (end == std::string::npos) break;
    if (TakeLine(end)) events.push_back(TakeEvent(end + 1));
    line_ = end + 1;
  }
  buffer_.erase(0, event_);
  line_ -= event_;
  examined_ -= event_;
  event_ = 0;
  return events;
}

bool EventSplitter::TakeLine(std::size_t end) {
  std::string_view line = std::string_view{buffer_}.substr(line_, end - line_);
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty() && line_ > event_) return true;
  if (!IsFieldName(line.substr(0, line.find(':')))) well_formed_ = false;
  if (!has_id_field_ && line.starts_with(kIdField)) {
    has_id_field_ = true;
    id_ = http1::ParseUnsigned(http1::Trim(line.substr(kIdField.size())));
  }
  return false;
}

Event EventSplitter::TakeEvent(std::size_t end) {
  Event event{
      .bytes = buffer_.substr(event_, end - event_), .id = id_, .well_formed = well_formed_};
  event_ = end;
  BeginEvent();
  return event;
}

void EventSplitter::BeginEvent() {
  has_id_field_ = false;
  id_.reset();
  well_formed_ = true;
}

void EventSplitter::Reset() {
  buffer_.clear();
  event_ = line_ = examined_ = 0;
  BeginEvent();
}

}  // namespace verbenaridge::forwarding
