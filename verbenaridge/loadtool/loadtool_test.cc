#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

#include "verbenaridge/fakes/fake_endpoint.h"
#include "verbenaridge/loadtool/player.h"

namespace verbenaridge::loadtool {
namespace {

// Guards against a check that passes lost, doubled or crossed tokens.
TEST_CASE("token texts") {
  struct Row {
    const char* name;
    std::vector<std::string> texts;
    TokenCount lost;
    TokenCount doubled;
    TokenCount crossed;
  };
  const Row rows[] = {
      {"whole", {"r:0 ", "r:1 ", "r:2 "}, 0, 0, 0},
      {"longer id", {"a.r:0 ", "a.r:1 r:2 "}, 0, 0, 0},
      {"lost in the middle", {"r:0 ", "r:2 "}, 1, 0, 0},
      {"lost at the end", {"r:0 "}, 2, 0, 0},
      {"doubled", {"r:0 ", "r:0 ", "r:1 ", "r:2 "}, 0, 1, 0},
      {"crossed", {"r:0 ", "q:1 ", "r:1 ", "r:2 "}, 0, 0, 1},
      {"other text", {"r:0 ", "hello ", "r:1 ", "r:2 "}, 0, 0, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Record record;
    TokenChecker checker("r", record);
    for (const std::string& text : row.texts) checker.Take(text);
    checker.Finish(3);
    CHECK(record.lost == row.lost);
    CHECK(record.doubled == row.doubled);
    CHECK(record.crossed == row.crossed);
  }
}

// Guards against columns that are read as others, and against malformed lines that are passed over.
TEST_CASE("trace files") {
  struct Row {
    const char* name;
    const char* text;
    std::size_t rows;
    bool error;
  };
  const Row rows[] = {
      {"json", "{\"time\":2,\"client_account\":\"a\"}\n\n{\"time\":1,\"prompt_tokens\":7}\n", 2,
       false},
      {"csv", "time,client_account,priority,prompt_tokens\n2,a,urgent,5\n1,b,background,7\n", 2,
       false},
      {"empty", "", 0, false},
      {"bad json", "{\"time\":1}\n{\"time\"\n", 1, true},
      {"bad type", "{\"time\":\"soon\"}\n", 0, true},
      {"bad priority", "{\"priority\":\"top\"}\n", 0, true},
      {"no tokens", "{\"prompt_tokens\":0}\n", 0, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::istringstream in(row.text);
    std::string error;
    const auto parsed = ReadTrace(in, error);
    CHECK(parsed.size() == row.rows);
    CHECK(error.empty() != row.error);
    if (row.rows == 2) CHECK(parsed[0].prompt_tokens == 7);
  }
}

// Guards against a tool that reports other figures than the endpoint's work.
TEST_CASE("plays against a fake endpoint") {
  for (const bool closed_loop : {true, false}) {
    CAPTURE(closed_loop);
    asio::io_context io;
    fakes::FakeEndpointOptions options;
    options.engine.time_scale = 50;
    fakes::FakeEndpoint endpoint(io, options);
    REQUIRE(endpoint.Open().has_value());
    net::CurlHttpClient http(io);
    Player player(io, http, {.targets = {endpoint.url()}, .direct = true, .run_id = "t"});
    TraceRow row{.client_account = "a", .prompt_tokens = 50, .output_tokens = 4};
    if (closed_loop) {
      player.PlayClosedLoop(row, 3, 10);
    } else {
      std::vector<TraceRow> rows(9, row);
      for (std::size_t i = 0; i < rows.size(); ++i) rows[i].time = 0.01 * static_cast<double>(i);
      rows.push_back({.time = 0.05,
                      .client_account = "b",
                      .prompt_tokens = 1,
                      .output_tokens = 1,
                      .operation = "order",
                      .target = "shop"});
      player.PlayTrace(rows);
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!player.finished() && io.run_one_until(deadline) != 0) {
    }
    REQUIRE(player.records().size() == 10);
    for (const Record& record : player.records()) {
      CHECK(record.outcome == "completed");
      CHECK(record.lost + record.doubled + record.crossed == 0);
      CHECK(record.tokens == (record.row.operation == "complete" ? 4 : 0));
    }
    std::ostringstream summary;
    WriteSummary(summary, player.records(), 1);
    CHECK(summary.str().find("0 lost, 0 doubled, 0 crossed") != std::string::npos);
    std::ostringstream csv;
    WriteCsv(csv, player.records());
    const std::string lines = csv.str();
    CHECK(std::count(lines.begin(), lines.end(), '\n') == 11);
  }
}

}  // namespace
}  // namespace verbenaridge::loadtool
