// Splits a stream of server-sent events into complete events.
//
//   EventSplitter splitter;
//   for (const Event& event : splitter.Feed(bytes)) Forward(event.bytes);
//   if (splitter.partial()) ...  // the stream ended within an event
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
  void Reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_EVENT_SPLITTER_H_
