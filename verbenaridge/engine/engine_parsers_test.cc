#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "verbenaridge/engine/engine_json.h"
#include "verbenaridge/engine/sse_parser.h"

namespace verbenaridge::engine {
namespace {

// Guards against events that are lost or merged when reads split them anywhere.
TEST_CASE("server-sent events, whole and byte by byte") {
  struct Row {
    const char* name;
    std::string bytes;
    std::vector<std::string> events;  // "type|data"
    bool ok;
  };
  const Row rows[] = {
      {"one", "data: a\n\n", {"|a"}, true},
      {"no space", "data:a\n\n", {"|a"}, true},
      {"two", "data: a\n\ndata: b\n\n", {"|a", "|b"}, true},
      {"lines", "data: a\ndata: b\n\n", {"|a\nb"}, true},
      {"type", "event: error\ndata: x\n\ndata: y\n\n", {"error|x", "|y"}, true},
      {"comment", ": hi\n\ndata: a\n\n", {"|a"}, true},
      {"carriage returns", "data: a\r\n\r\ndata: b\r\rdata: c\n\n", {"|a", "|b", "|c"}, true},
      {"byte order mark",
       "\xef\xbb\xbf"
       "data: a\n\n",
       {"|a"},
       true},
      {"unknown fields", "id: 4\nretry: 5\nfoo\ndata: a\n\n", {"|a"}, true},
      {"empty data", "data\n\n", {"|"}, true},
      {"type alone", "event: x\n\ndata: a\n\n", {"|a"}, true},
      {"unfinished", "data: a\n\ndata: b\n", {"|a"}, true},
      {"too long", "data: a\n\ndata: " + std::string(200, 'x') + "\n\n", {"|a"}, false},
      {"too many lines",
       "data: " + std::string(60, 'x') + "\ndata: " + std::string(60, 'x') + "\n\n",
       {},
       false},
  };
  for (const Row& row : rows) {
    for (const std::size_t step : {std::size_t{1}, std::size_t{3}, row.bytes.size()}) {
      CAPTURE(row.name);
      CAPTURE(step);
      SseParser parser(100);
      std::vector<std::string> events;
      bool ok = true;
      for (std::size_t at = 0; at < row.bytes.size(); at += step) {
        ok = parser.Feed(std::string_view(row.bytes).substr(at, step), [&](const SseEvent& event) {
          events.push_back(std::string(event.type) + "|" + std::string(event.data));
          return true;
        });
      }
      CHECK(events == row.events);
      CHECK(ok == row.ok);
    }
  }
}

// Guards against engine answers that are taken although a field is missing or of another type.
TEST_CASE("stream events") {
  struct Row {
    const char* data;
    bool accepted;
    bool last;
    TokenCount index;
  };
  const Row rows[] = {
      {R"({"request_id":"r","attempt":1,"index":4,"text":"x"})", true, false, 4},
      {R"({"request_id":"r","attempt":1,"finish_reason":"length"})", true, true, -1},
      {R"({"request_id":"r","attempt":1,"finish_reason":"stop","usage":{"completion_tokens":3}})",
       true, true, 3},
      {R"({"request_id":"r","attempt":1,"index":-1,"text":"x"})", false, false, 0},
      {R"({"request_id":"r","attempt":1,"index":1.5,"text":"x"})", false, false, 0},
      {R"({"request_id":"r","attempt":1,"index":1})", false, false, 0},
      {R"({"request_id":"r","attempt":4294967296,"index":1,"text":"x"})", false, false, 0},
      {R"({"request_id":7,"attempt":1,"index":1,"text":"x"})", false, false, 0},
      {R"({"request_id":"r","attempt":1,"finish_reason":null})", false, false, 0},
      {R"({"request_id":"r","attempt":1,"finish_reason":"stop","usage":[]})", false, false, 0},
      {R"([])", false, false, 0},
      {R"({"request_id")", false, false, 0},
      {"", false, false, 0}};
  for (const Row& row : rows) {
    CAPTURE(row.data);
    const auto event = ParseStreamEvent(row.data);
    REQUIRE(event.has_value() == row.accepted);
    if (!event) continue;
    CHECK(event.value().last == row.last);
    CHECK(event.value().index == row.index);
  }
}

// Guards against a load report or cache list that is half read.
TEST_CASE("load reports and cache events") {
  struct Row {
    const char* body;
    bool load;
    bool cache;
  };
  const Row rows[] = {
      {R"({"incarnation":5,"kv_capacity_bytes":10,"kv_used_bytes":3,"decode_step_ms":2.5,
          "streams":[{"request_id":"r","attempt":2,"permit":9,"kv_bytes":4}],"models":["m"]})",
       true, true},
      {R"({"incarnation":5,"kv_capacity_bytes":-1,"kv_used_bytes":3})", false, true},
      {R"({"incarnation":5,"kv_capacity_bytes":1,"kv_used_bytes":3,"streams":[{}]})", false, true},
      {R"({"incarnation":5,"kv_capacity_bytes":1,"kv_used_bytes":3,"models":[1]})", false, true},
      {R"({"incarnation":5,"kv_capacity_bytes":1,"kv_used_bytes":3,"decode_step_ms":-1})", false,
       true},
      {R"({"events":[{"sequence":1,"added":true,"block":"18446744073709551615"}]})", false, true},
      {R"({"events":[{"sequence":1,"added":true,"block":"x"}]})", false, false},
      {R"({"events":[{"sequence":1,"added":1,"block":"2"}]})", false, false},
      {R"({"events":{}})", false, false},
      {"null", false, false}};
  for (const Row& row : rows) {
    CAPTURE(row.body);
    CHECK(ParseLoadReport(row.body).has_value() == row.load);
    CHECK(ParseCacheEvents(row.body).has_value() == row.cache);
  }
}

// Guards against prompts that reach the engine changed.
TEST_CASE("encoded prompts") {
  for (const char* prompt :
       {"", "plain", "\"quoted\\\"", "line\nbreak\ttab\x01", "\xc3\xa4\xe2\x82\xac"}) {
    CAPTURE(prompt);
    Generation generation;
    generation.request_id = RequestId("r");
    generation.prompt = std::make_shared<const std::string>(prompt);
    const auto json = nlohmann::json::parse(EncodeGeneration(generation));
    CHECK(json["prompt"].get<std::string>() == prompt);
    CHECK(json["request_id"] == "r");
  }
}

}  // namespace
}  // namespace verbenaridge::engine
