#include "verbenaridge/telemetry/log.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace verbenaridge::telemetry {
namespace {

// Logs to a file of this process, which the destructor removes.
class LogFile {
 public:
  explicit LogFile(Level level) {
    std::filesystem::remove(path_);
    REQUIRE(StartLog({.level = level, .file = path_.string()}).has_value());
  }
  ~LogFile() { std::filesystem::remove(path_); }

  std::vector<std::string> Lines() const {
    StopLog();
    std::ifstream in(path_);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    return lines;
  }

 private:
  const std::filesystem::path path_ = std::filesystem::temp_directory_path() /
                                      ("verbenaridge_log_test_" + std::to_string(getpid()));
};

// Guards against lines that are not JSON objects, change a value's type or disclose a secret.
TEST_CASE("fields keep their values unless secret or too long") {
  struct Row {
    const char* name;
    Field field;
    nlohmann::json expected;
  };
  const std::string text = "owned";
  const std::string long_text(5000, 'x');
  const Row rows[] = {
      {"integer", {"version", 12}, 12},
      {"negative", {"shift", -3L}, -3},
      {"unsigned", {"digest", ~0ULL}, ~0ULL},
      {"double", {"cost", 0.25}, 0.25},
      {"boolean", {"leaving", true}, true},
      {"literal", {"data_centre", "furano"}, "furano"},
      {"string", {"endpoint", text}, "owned"},
      {"quotes and line feed", {"error", "a \"b\"\n{"}, "a \"b\"\n{"},
      {"not ASCII", {"shop", "Z\xc3\xbcrich"}, "Z\xc3\xbcrich"},
      {"invalid UTF-8", {"shop", "a\xff"}, "a\xef\xbf\xbd"},
      {"percent signs", {"shop", "%n%m"}, "%n%m"},
      {"long text", {"body", long_text}, std::string(kMaxFieldBytes, 'x')},
      {"secret", {"fleet_key", "hush"}, "[redacted]"},
      {"secret number", {"password", 1234}, "[redacted]"},
      {"no secret", {"keyboard", "k"}, "k"},
      {"repeated name", {"event", "forged"}, "tested"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const LogFile file(Level::kInfo);
    Log(Level::kInfo, "tested", {row.field});
    const auto lines = file.Lines();
    REQUIRE(lines.size() == 1);
    const auto parsed = nlohmann::json::parse(lines[0]);
    CHECK(parsed.at(std::string(row.field.key())) == row.expected);
    CHECK(parsed.at("event") == "tested");
    CHECK(parsed.at("level") == "info");
    CHECK(parsed.at("time").get<std::string>().size() == 24);
  }
}

// Guards against lines of disabled levels that are written, and lines of enabled levels that are
// not.
TEST_CASE("only enabled levels are written") {
  struct Row {
    Level lowest;
    std::size_t lines;
  };
  const Row rows[] = {
      {Level::kDebug, 4}, {Level::kWarning, 2}, {Level::kError, 1}, {Level::kOff, 0}};
  for (const Row& row : rows) {
    CAPTURE(static_cast<int>(row.lowest));
    const LogFile file(row.lowest);
    for (const Level level : {Level::kDebug, Level::kInfo, Level::kWarning, Level::kError}) {
      CHECK(LogEnabled(level) == (level >= row.lowest));
      Log(level, "tested");
    }
    CHECK(file.Lines().size() == row.lines);
  }
  CHECK(!LogEnabled(Level::kError));
  CHECK(StartLog({.file = "/nonexistent/directory/log"}).error() == Errc::kUnavailable);
}

// Guards against lost or interleaved lines when several threads log.
TEST_CASE("concurrent lines stay intact") {
  constexpr int kThreads = 4;
  constexpr int kLines = 200;
  const LogFile file(Level::kInfo);
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([thread] {
      for (int i = 0; i < kLines; ++i) Log(Level::kInfo, "line", {{"thread", thread}, {"i", i}});
    });
  }
  for (std::thread& thread : threads) thread.join();
  const auto lines = file.Lines();
  CHECK(lines.size() == kThreads * kLines);
  for (const std::string& line : lines) CHECK(nlohmann::json::accept(line));
}

}  // namespace
}  // namespace verbenaridge::telemetry
