// Incremental parser of server-sent events (WHATWG HTML, section 9.2).
//
//   SseParser parser(max_event_bytes);
//   bool ok = parser.Feed(bytes, [](const SseEvent& event) { ... });
#ifndef VERBENARIDGE_ENGINE_SSE_PARSER_H_
#define VERBENARIDGE_ENGINE_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace verbenaridge::engine {

// Views are valid during the callback.
struct SseEvent {
  std::string_view type;  // empty: the default type "message"
  std::string_view data;
};

class SseParser {
 public:
  explicit SseParser(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

  // Returns false, now and from then on, if an event or a line exceeds the limit. Events end with
  // an empty line; an unfinished event at the end of the stream is dropped. `on_event` returns
  // false to stop parsing.
  bool Feed(std::string_view bytes, const std::function<bool(const SseEvent&)>& on_event);

 private:
  // Takes one line without its end; returns false if `on_event` did.
  bool TakeLine(std::string_view line, const std::function<bool(const SseEvent&)>& on_event);

  const std::size_t max_event_bytes_;
  std::string line_;
  std::string type_;
  std::string data_;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
  bool first_line_ = true;
  bool failed_ = false;
  bool stopped_ = false;
};

}  // namespace verbenaridge::engine

#endif  // VERBENARIDGE_ENGINE_SSE_PARSER_H_
