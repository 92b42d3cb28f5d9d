#include "verbenaridge/ctl/explain.h"

#include <doctest/doctest.h>

#include <sstream>

namespace verbenaridge::ctl {
namespace {

constexpr const char* kFirstHost =
    R"({"time":"2026-12-04T08:00:00.000Z","event":"started","host":"h1"}
{"time":"2026-12-04T08:00:20.000Z","event":"store_lost","error":"timeout"}
{"time":"2026-12-04T08:00:28.000Z","event":"endpoint_left_out","endpoint":"i-1","reason":"broken"}
{"time":"2026-12-04T08:00:28.500Z","event":"endpoint_left_out","endpoint":"i-9","reason":"broken"}
  12.5 h1 {"time":"2026-12-04T08:00:30.000Z","event":"offered","id":"abc1","endpoints":"i-1,i-2"}
not a line of ours
{"time":"2026-12-04T08:00:31.000Z","event":"request","id":"abc1","outcome":"served"}
{"time":"2026-12-04T08:00:32.000Z","event":"store_regained"}
{"time":"2026-12-04T08:00:33.000Z","event":"request","id":"def2","outcome":"served"}
)";
constexpr const char* kSecondHost =
    R"({"time":"2026-12-04T08:00:29.000Z","event":"request","id":"abc1","outcome":"client_gone"}
{"time":"2026-12-04T08:00:10.000Z","event":"pause_noticed"}
)";

// Guards against a story that leaves out a try at another host, or drowns in what does not concern
// the request.
TEST_CASE("what belongs to a request") {
  struct Row {
    const char* name;
    const char* id;
    std::size_t request;
    std::size_t beliefs;
    const char* first_host;
  };
  const Row rows[] = {
      {"whole id, two hosts", "abc1", 3, 2, "second.log"},
      {"beginning of an id", "ab", 3, 2, "second.log"},
      {"other request", "def2", 1, 1, "h1"},
      {"unknown", "zzz", 0, 0, ""},
      {"empty", "", 0, 0, ""},
  };
  std::istringstream first(kFirstHost);
  std::istringstream second(kSecondHost);
  std::vector<LogLine> lines = ReadLog("first.log", first);
  for (LogLine& line : ReadLog("second.log", second)) lines.push_back(std::move(line));
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Story story = Explain(lines, row.id);
    CHECK(story.request.size() == row.request);
    CHECK(story.beliefs.size() == row.beliefs);
    if (!story.request.empty()) CHECK(story.request.front().host == row.first_host);
    for (const bool json : {false, true}) {
      std::ostringstream out;
      PrintStory(story, json, out);
      CHECK_FALSE(out.str().empty());
      if (json) CHECK(nlohmann::json::parse(out.str())["request"].size() == row.request);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::ctl
