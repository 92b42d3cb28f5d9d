#include "verbenaridge/telemetry/internal/line_writer.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>
#include <vector>

namespace verbenaridge::telemetry::internal {
namespace {

// Guards against threads that block on a stalled reader of the log, and against dropped lines that
// are not reported.
TEST_CASE("a stalled output does not block Push") {
  struct Row {
    const char* name;
    std::size_t capacity;
    int lines;
    bool stalled;
    std::size_t written;
    std::size_t dropped;
  };
  const Row rows[] = {
      {"not stalled", 100, 50, false, 50, 0},
      {"stalled, all fit", 100, 50, true, 50, 0},
      {"stalled, more than fit", 10, 50, true, 11, 39},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::promise<void> first_line;
    std::promise<void> resume;
    std::vector<std::string> written;
    std::size_t dropped = 0;
    {
      LineWriter writer(
          row.capacity,
          [&](const std::string& line) {
            if (written.empty() && row.stalled) {
              first_line.set_value();
              resume.get_future().wait();
            }
            written.push_back(line);
          },
          [&](std::size_t count) { dropped += count; });
      const auto start = std::chrono::steady_clock::now();
      writer.Push("0");
      if (row.stalled) first_line.get_future().wait();
      for (int i = 1; i < row.lines; ++i) writer.Push(std::to_string(i));
      CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
      if (row.stalled) resume.set_value();
    }
    CHECK(written.size() == row.written);
    CHECK(written.front() == "0");
    CHECK(dropped == row.dropped);
  }
}

}  // namespace
}  // namespace verbenaridge::telemetry::internal
