#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace verbenaridge {
namespace {

// Packages of decisions, and what their files may not include. `base` is here because the others
// build on it.
const char* const kPackages[] = {"base",    "cost",   "admission",  "queueing", "permits",
                                 "routing", "groups", "directory",  "dispatch", "attempts",
                                 "claims",  "poison", "membership", "plans"};
const char* const kForbidden[] = {"asio",
                                  "curl",
                                  "nghttp2",
                                  "msgpack",
                                  "nlohmann",
                                  "restinio",
                                  "sys/socket.h",
                                  "netinet/",
                                  "arpa/",
                                  "netdb.h",
                                  "http_parser",
                                  "openssl",
                                  "sys/un.h",
                                  "poll.h",
                                  "sys/epoll.h",
                                  "verbenaridge/wire/",
                                  "verbenaridge/net/",
                                  "verbenaridge/engine/",
                                  "verbenaridge/store/",
                                  "verbenaridge/http1/",
                                  "verbenaridge/forwarding/",
                                  "platform/",
                                  "verbenaridge/frontend/",
                                  "verbenaridge/plan_codec/",
                                  "verbenaridge/calls/",
                                  "verbenaridge/daemon/"};

// The forbidden header that a line includes, or nothing.
std::string_view Violation(std::string_view line) {
  const std::size_t hash = line.find_first_not_of(" \t");
  if (hash == std::string_view::npos || line[hash] != '#') return {};
  const std::size_t start = line.find_first_of("<\"");
  if (line.find("include") == std::string_view::npos || start == std::string_view::npos) return {};
  const std::string_view header = line.substr(start + 1);
  for (const std::string_view forbidden : kForbidden) {
    const bool folder = forbidden.starts_with("verbenaridge/") || forbidden.ends_with(".h");
    const bool found =
        folder ? header.starts_with(forbidden) : header.find(forbidden) != std::string_view::npos;
    if (found) return forbidden;
  }
  return {};
}

// Guards against a check that finds nothing.
TEST_CASE("the check finds forbidden includes") {
  struct Row {
    const char* line;
    bool forbidden;
  };
  const Row rows[] = {{"#include <asio.hpp>", true},
                      {"#include <boost/asio.hpp>", true},
                      {"  # include <sys/socket.h>", true},
                      {"#include <nlohmann/json.hpp>", true},
                      {"#include \"verbenaridge/wire/messages.h\"", true},
                      {"#include \"verbenaridge/base/clock.h\"", false},
                      {"#include <vector>", false},
                      {"// asio is not included", false}};
  for (const Row& row : rows) {
    CAPTURE(std::string(row.line));
    CHECK(Violation(row.line).empty() != row.forbidden);
  }
}

// Guards against decision code that depends on an encoding or a transport, which another front end
// could then not use.
TEST_CASE("decision packages include no HTTP, codec or socket header") {
  const std::filesystem::path root = VERBENARIDGE_SOURCE_DIR "/verbenaridge";
  std::size_t files = 0;
  for (const char* package : kPackages) {
    if (!std::filesystem::exists(root / package)) continue;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / package)) {
      const std::string extension = entry.path().extension();
      if (extension != ".h" && extension != ".cc") continue;
      ++files;
      std::ifstream in(entry.path());
      for (std::string line; std::getline(in, line);) {
        CAPTURE(entry.path().string());
        CAPTURE(line);
        CHECK(Violation(line).empty());
      }
    }
  }
  CHECK(files >= 40);
}

}  // namespace
}  // namespace verbenaridge
