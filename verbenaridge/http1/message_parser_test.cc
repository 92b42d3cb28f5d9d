#include "verbenaridge/http1/message_parser.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenaridge::http1 {
namespace {

class Recorder final : public RequestObserver, public ResponseObserver {
 public:
  void OnHead(RequestHead head) override { request = std::move(head); }
  void OnHead(ResponseHead head) override { response = std::move(head); }
  void OnBody(std::string_view data) override { body.append(data); }

  RequestHead request;
  ResponseHead response;
  std::string body;
};

// Guards against a request that consumes bytes of the next one or is reported complete too early.
TEST_CASE("requests end where their framing says") {
  struct Row {
    const char* name;
    std::string bytes;
    bool complete;
    std::string body;
    std::size_t unused_bytes;
  };
  const Row rows[] = {
      {"no body", "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n", true, "", 0},
      {"length", "POST /a/ HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", true, "abc", 0},
      {"length, one byte missing", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", false, "ab",
       0},
      {"chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", true,
       "abc", 0},
      {"next request follows", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", true, "", 19},
      {"next request after a body", "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\naGET /", true, "a",
       5},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Recorder recorder;
    RequestParser parser({}, recorder);
    const Result<std::size_t> used = parser.Feed(row.bytes);
    REQUIRE(used.has_value());
    CHECK(parser.complete() == row.complete);
    CHECK(recorder.body == row.body);
    CHECK(row.bytes.size() - used.value() == row.unused_bytes);
  }
}

// Guards against a result that depends on where a read ends.
TEST_CASE("bytes may be fed one at a time") {
  const std::string bytes =
      "POST /x?q=1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nwxyz";
  Recorder recorder;
  RequestParser parser({}, recorder);
  for (const char c : bytes) REQUIRE(parser.Feed({&c, 1}).has_value());
  CHECK(parser.complete());
  CHECK(recorder.request.method == "POST");
  CHECK(recorder.request.target == "/x?q=1");
  CHECK(recorder.request.header("HOST") == "a.example");
  CHECK(recorder.body == "wxyz");
}

// Guards against request smuggling, and against heads that exhaust the memory.
TEST_CASE("malformed and oversized requests are rejected") {
  struct Row {
    const char* name;
    std::string bytes;
    Errc error;
  };
  const Row rows[] = {
      {"not HTTP", "hello\r\n\r\n", Errc::kMalformed},
      {"blank before a colon", "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
       Errc::kMalformed},
      {"blank before a colon, chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", Errc::kMalformed},
      {"folded field", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", Errc::kMalformed},
      {"first field starts with a blank", "GET / HTTP/1.1\r\n Host: a\r\n\r\n", Errc::kMalformed},
      {"version 9.9", "GET / HTTP/9.9\r\n\r\n", Errc::kMalformed},
      {"version 0.9", "GET /\r\n\r\n", Errc::kMalformed},
      {"version 2.0", "GET / HTTP/2.0\r\n\r\n", Errc::kMalformed},
      {"tab in the target", "GET /a\tb HTTP/1.1\r\n\r\n", Errc::kMalformed},
      {"form feed in the target", "GET /a\fb HTTP/1.1\r\n\r\n", Errc::kMalformed},
      {"two other bytes after a chunk",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabXY0\r\n\r\n", Errc::kMalformed},
      {"line feed in a chunk extension",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;a\n0\r\nab\r\n0\r\n\r\n",
       Errc::kMalformed},
      {"blank in a trailer's name",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA : b\r\n\r\n", Errc::kMalformed},
      {"another coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
       Errc::kMalformed},
      {"chunks twice",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       Errc::kMalformed},
      {"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       Errc::kMalformed},
      {"empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", Errc::kMalformed},
      {"list of lengths", "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc", Errc::kMalformed},
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
       Errc::kMalformed},
      {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
       Errc::kMalformed},
      {"head over the limit", "GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n",
       Errc::kTooLarge},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Recorder recorder;
    RequestParser parser({.max_head_bytes = 100}, recorder);
    const Result<std::size_t> used = parser.Feed(row.bytes);
    CHECK(used.has_error());
    if (used.has_error()) CHECK(used.error() == row.error);
  }
}

// Guards against a truncated response that is reported complete.
TEST_CASE("responses end where their framing says") {
  struct Row {
    const char* name;
    std::string bytes;
    bool complete;
    bool complete_at_close;
    bool close_delimited;
    std::size_t unused_bytes;
  };
  const Row rows[] = {
      {"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, true, false, 0},
      {"length, truncated", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", false, false, false,
       0},
      {"chunks, truncated", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       false, false, false, 0},
      {"until close", "HTTP/1.1 200 OK\r\n\r\nok", false, true, true, 0},
      {"head truncated", "HTTP/1.1 200 OK\r\nContent-", false, false, false, 0},
      {"second response", "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200", true, true, false, 12},
      {"chunk extensions and trailers",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0A;x=\"y\"\r\n0123456789\r\n"
       "1 ;x\r\na\r\n1 \r\nb\r\n0\r\nX: y\r\n\r\nHTTP",
       true, true, false, 4},
      {"204 with a length", "HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\nok", true, true, false, 2},
      {"204 in chunks", "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, true,
       false, 5},
      {"304 with the length of what did not change", "HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n",
       true, true, false, 0},
      {"interim response first",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, true,
       false, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Recorder recorder;
    ResponseParser parser(recorder);
    const Result<std::size_t> used = parser.Feed(row.bytes);
    REQUIRE(used.has_value());
    CHECK(parser.complete() == row.complete);
    CHECK(recorder.response.close_delimited == row.close_delimited);
    CHECK(row.bytes.size() - used.value() == row.unused_bytes);
    CHECK(parser.Finish().has_value() == row.complete_at_close);
  }
}

// Guards against bytes of an endpoint in trouble that are forwarded as a response.
TEST_CASE("malformed responses are rejected wherever a read ends") {
  struct Row {
    std::string bytes;
    std::string_view fault;
  };
  const std::string end = "\r\nContent-Length: 0\r\n\r\n";
  const Row rows[] = {
      {"HTTP/1.1 000 X" + end, "status_code"},
      {"HTTP/1.1 099 X" + end, "status_code"},
      {"HTTP/1.1 20 X" + end, "status_code"},
      {"HTTP/1.1 600 X" + end, "status_code"},
      {"HTTP/1.1 0200 X" + end, "status_code"},
      {"HTTP/1.1 2000 X" + end, "status_code"},
      {"HTTP/1.1 20\r\n\r\n", "status_code"},
      {"HTTP/1.1  200 X" + end, "status_code"},
      {"HTTP/9.9 200 X" + end, "version"},
      {"HTTP/1. 200 X" + end, "version"},
      {"http/1.1 200 X" + end, "start_line"},
      {"HTTP/1.1 200 \x7f" + end, "start_line"},
      {"HTTP/1.1 200 X\rContent" + end, "line_end"},
      {"HTTP/1.1 200 X\r\nA B: 1" + end, "field_name"},
      {"HTTP/1.1 200 X\r\nA : 1" + end, "field_name"},
      {"HTTP/1.1 200 X\r\nA\1: 1" + end, "field_name"},
      {"HTTP/1.1 200 X\r\n: 1" + end, "field_name"},
      {"HTTP/1.1 200 X\r\nA" + end, "field_name"},
      {"HTTP/1.1 200 X\r\nA: \1" + end, "field_value"},
      {"HTTP/1.1 200 X\r\n A: 1" + end, "folded_field"},
      {"HTTP/1.1 200 X\r\nA: 1\r\n\tB: 1" + end, "folded_field"},
      {"HTTP/1.1 200 X\r\nA: 1\rB: 1" + end, "line_end"},
      {"HTTP/1.1 200 X\r\nContent-Length : 0\r\n\r\n", "field_name"},
      {"HTTP/1.1 200 X\r\nA: 1\r\n\rB", "line_end"},
  };
  for (const Row& row : rows) {
    for (const bool whole : {true, false}) {
      CAPTURE(row.bytes);
      CAPTURE(whole);
      Recorder recorder;
      ResponseParser parser(recorder);
      Result<std::size_t> used = std::size_t{0};
      if (whole) {
        used = parser.Feed(row.bytes);
      } else {
        for (std::size_t i = 0; i < row.bytes.size() && used.has_value(); ++i) {
          used = parser.Feed({&row.bytes[i], 1});
        }
      }
      REQUIRE(used.has_error());
      CHECK(used.error() == Errc::kMalformed);
      CHECK(parser.fault() == row.fault);
      CHECK(recorder.response.status == 0);
    }
  }
}

// Guards against sound responses that are rejected because they are unusual.
TEST_CASE("unusual responses are accepted") {
  const std::string rows[] = {
      "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 599 \xe4\t?\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.0 200 OK\nContent-Length: 0\n\n",
      "\r\nHTTP/1.1 404 Not Found\r\nX:\r\nContent-Length: 0\r\n\r\n",
  };
  for (const std::string& bytes : rows) {
    CAPTURE(bytes);
    Recorder recorder;
    ResponseParser parser(recorder);
    for (const char c : bytes) REQUIRE(parser.Feed({&c, 1}).has_value());
    CHECK(parser.complete());
  }
}

// Guards against headers of one connection that are forwarded to another.
TEST_CASE("hop-by-hop headers are recognized") {
  struct Row {
    const char* name;
    const char* connection;
    bool hop_by_hop;
  };
  const Row rows[] = {{"Connection", "", true},        {"Keep-Alive", "", true},
                      {"Transfer-Encoding", "", true}, {"X-One", "close, x-one", true},
                      {"X-Two", "x-one", false},       {"Content-Type", "", false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(IsHopByHop(row.name, row.connection) == row.hop_by_hop);
  }
}

}  // namespace
}  // namespace verbenaridge::http1
