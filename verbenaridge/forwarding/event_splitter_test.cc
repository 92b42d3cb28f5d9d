#include "verbenaridge/forwarding/event_splitter.h"

#include <doctest/doctest.h>

namespace verbenaridge::forwarding {
namespace {

// Guards against events that are truncated, joined or assigned a wrong id, whatever the chunks in
// which they arrive.
TEST_CASE("events end at an empty line") {
  struct Row {
    const char* name;
    const char* bytes;
    std::vector<std::optional<std::uint64_t>> ids;
    bool partial;
  };
  const Row rows[] = {
      {"one", "id: 1\ndata: a\n\n", {1}, false},
      {"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", {1, 2}, false},
      {"truncated", "id: 1\ndata: a\n\nid: 2\nda", {1}, true},
      {"CRLF line endings", "id: 7\r\ndata: a\r\n\r\n", {7}, false},
      {"no id", "data: a\n\n", {std::nullopt}, false},
      {"id that is not a number", "id: x\ndata: a\n\n", {std::nullopt}, false},
      {"another field first", "weights: 3\nid: 9\ndata: a\n\n", {9}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EventSplitter at_once;
    const auto events = at_once.Feed(row.bytes);
    REQUIRE(events.size() == row.ids.size());
    for (std::size_t i = 0; i < events.size(); ++i) CHECK(events[i].id == row.ids[i]);
    CHECK(at_once.partial() == row.partial);
    EventSplitter bytewise;
    std::size_t count = 0;
    for (const char c : std::string_view(row.bytes)) count += bytewise.Feed({&c, 1}).size();
    CHECK(count == row.ids.size());
  }
}

// Guards against a response that follows the part of an event and is forwarded as its rest.
TEST_CASE("an event consists of fields") {
  struct Row {
    const char* name;
    const char* bytes;
    bool well_formed;
  };
  const Row rows[] = {
      {"fields", "id: 1\nevent: token\nretry: 5\ndata: HTTP/1.1 503 X\n\n", true},
      {"CRLF line endings", "id: 1\r\ndata: a\r\n\r\n", true},
      {"name alone", "id: 1\ndata\n\n", true},
      {"comment", ": HTTP/1.1\nid: 1\n\n", true},
      {"field with hyphens", "weight-versions: 3\nid: 1\n\n", true},
      {"status line", "id: 1\nHTTP/1.1 503 X\n\n", false},
      {"status line after a part of a name", "id: 1\ndaHTTP/1.1 503 X\r\n\r\n", false},
      {"header after a status line in the data",
       "id: 1\ndata: xHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false},
      {"text", "id: 1\nan error\n\n", false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto events = EventSplitter().Feed(row.bytes);
    REQUIRE(events.size() == 1);
    CHECK(events[0].well_formed == row.well_formed);
  }
}

}  // namespace
}  // namespace verbenaridge::forwarding
