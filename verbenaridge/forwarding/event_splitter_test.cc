#include "verbenaridge/forwarding/event_splitter.h"

#include <doctest/doctest.h>

#include <iterator>
#include <string>
#include <utility>

#include "verbenaridge/base/random.h"

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

// Guards against an endpoint that keeps the thread busy with bytes that end no event: examining all
// that is held for each piece that arrives takes seconds.
TEST_CASE("each byte is examined once, in whatever pieces it arrives") {
  struct Row {
    const char* name;
    const char* repeated;
    std::size_t piece;  // bytes
  };
  const Row rows[] = {
      {"comments, a line a piece", ":\n", 2},
      {"fields with CRLF, a line a piece", "data: x\r\n", 9},
      {"one line, a byte a piece", "x", 1},
      {"one line, in reads of a socket", "x", 16'384},
      {"events, a byte a piece", "id: 1\ndata: a\n\n", 1},
      {"events without ids, in reads of a socket", "data: a\n\n", 16'384},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::string bytes;
    while (bytes.size() < EventSplitter::kMaxEventBytes) bytes.append(row.repeated);
    EventSplitter splitter;
    for (std::string_view rest = bytes; !rest.empty();) {
      const std::string_view piece = rest.substr(0, row.piece);
      splitter.Feed(piece);
      rest.remove_prefix(piece.size());
    }
    CHECK(splitter.examined_bytes() == bytes.size());
  }
}

// Guards against events that depend on the pieces in which they arrive, as a position that is kept
// between pieces may be wrong.
TEST_CASE("the pieces in which bytes arrive make no difference") {
  SeededRandom random(7);
  constexpr std::string_view kLines[] = {"id: 3\n", "data: a\r\n", "\n", "\r\n",
                                         ":\n",     "Bad\n",       "x"};
  constexpr int kStreams = 300;
  for (int stream = 0; stream < kStreams; ++stream) {
    CAPTURE(stream);
    std::string bytes;
    for (std::size_t lines = random.Below(30); lines > 0; --lines) {
      bytes.append(kLines[random.Below(std::size(kLines))]);
    }
    EventSplitter at_once;
    const std::vector<Event> expected = at_once.Feed(bytes);
    EventSplitter in_pieces;
    std::vector<Event> events;
    for (std::string_view rest = bytes; !rest.empty();) {
      const std::string_view piece = rest.substr(0, 1 + random.Below(9));
      for (Event& event : in_pieces.Feed(piece)) events.push_back(std::move(event));
      rest.remove_prefix(piece.size());
    }
    REQUIRE(events.size() == expected.size());
    for (std::size_t i = 0; i < events.size(); ++i) {
      CHECK(events[i].bytes == expected[i].bytes);
      CHECK(events[i].id == expected[i].id);
      CHECK(events[i].well_formed == expected[i].well_formed);
    }
    CHECK(in_pieces.size() == at_once.size());
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
