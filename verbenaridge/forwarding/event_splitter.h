// Splits a stream of server-sent events into complete events.
//
//   EventSplitter splitter;
//   for (const Event& event : splitter.Feed(bytes)) Forward(event.bytes);
//   if (splitter.partial()) ...  // the stream ended within an event
//
// The bytes of an event that is not yet whole are held, and each is examined once, whatever the
// pieces in which they arrive.
#ifndef VERBENARIDGE_FORWARDING_EVENT_SPLITTER_H_
#define VERBENARIDGE_FORWARDING_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenaridge::forwarding {

struct Event {
  std::string bytes;  // as received, with the empty line that ends it
  std::optional<std::uint64_t> id;
  bool well_formed = false;  // each line is a comment or a field with a name of an event's field
};

class EventSplitter {
 public:
  // An event longer than this is an error of the endpoint.
  static constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

  std::vector<Event> Feed(std::string_view data);

  bool partial() const { return !buffer_.empty(); }
  std::size_t size() const { return buffer_.size(); }  // of the event that is not yet whole
  void Reset();

  // Bytes in which the end of a line was sought so far, for tests of the cost.
  std::uint64_t examined_bytes() const { return examined_bytes_; }

 private:
  // Takes the line that ends at `end` into account. Returns whether it ends the event.
  bool TakeLine(std::size_t end);
  Event TakeEvent(std::size_t end);
  void BeginEvent();

  std::string buffer_;
  // Positions in the buffer.
  std::size_t event_ = 0;     // where the current event begins
  std::size_t line_ = 0;      // where the current line begins
  std::size_t examined_ = 0;  // no line ends between the beginning of the line and here
  // Of the complete lines of the current event.
  bool has_id_field_ = false;
  std::optional<std::uint64_t> id_;  // of the first such field, if it is a number
  bool well_formed_ = true;
  std::uint64_t examined_bytes_ = 0;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_EVENT_SPLITTER_H_
