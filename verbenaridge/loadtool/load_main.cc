// Program verbenaridge_load: plays a trace, or a closed loop of equal requests, and reports.

#include <getopt.h>

#include <array>
#include <asio/steady_timer.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "verbenaridge/base/random.h"
#include "verbenaridge/loadtool/player.h"

namespace {

using verbenaridge::loadtool::Player;
using verbenaridge::loadtool::PlayerOptions;
using verbenaridge::loadtool::TraceRow;

struct Arguments {
  PlayerOptions player;
  TraceRow row;  // of the closed loop
  std::string trace;
  std::string csv;
  std::string svg;
  std::size_t streams = 0;
  std::size_t requests = 100;
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) parts.push_back(part);
  return parts;
}

struct Option {
  const char* help;
  std::function<void(Arguments&, const std::string&)> set;
};

const std::map<std::string, Option>& Options() {
  static const std::map<std::string, Option> options = {
      {"target",
       {"base URLs, separated by commas", [](auto& a, auto& v) { a.player.targets = Split(v); }}},
      {"direct",
       {"yes: the targets are endpoints", [](auto& a, auto& v) { a.player.direct = v == "yes"; }}},
      {"key",
       {"bearer key, or ACCOUNT=KEY,...",
        [](auto& a, auto& v) {
          for (const std::string& part : Split(v)) {
            const std::size_t equals = part.find('=');
            if (equals == std::string::npos) {
              a.player.default_key = part;
            } else {
              a.player.keys[part.substr(0, equals)] = part.substr(equals + 1);
            }
          }
        }}},
      {"trace", {"trace file, JSON lines or CSV", [](auto& a, auto& v) { a.trace = v; }}},
      {"speed",
       {"trace seconds per second", [](auto& a, auto& v) { a.player.speed = std::stod(v); }}},
      {"max-requests",
       {"bound of requests", [](auto& a, auto& v) { a.player.max_requests = std::stoul(v); }}},
      {"max-seconds",
       {"nothing starts later", [](auto& a, auto& v) { a.player.max_seconds = std::stod(v); }}},
      {"check-texts",
       {"no: the engines are no fakes",
        [](auto& a, auto& v) { a.player.check_texts = v != "no"; }}},
      {"streams",
       {"closed loop: requests at once", [](auto& a, auto& v) { a.streams = std::stoul(v); }}},
      {"requests",
       {"closed loop: requests in all", [](auto& a, auto& v) { a.requests = std::stoul(v); }}},
      {"prompt-tokens",
       {"closed loop", [](auto& a, auto& v) { a.row.prompt_tokens = std::stoll(v); }}},
      {"output-tokens",
       {"closed loop", [](auto& a, auto& v) { a.row.output_tokens = std::stoll(v); }}},
      {"model", {"closed loop", [](auto& a, auto& v) { a.row.target = v; }}},
      {"csv", {"results, one line a request", [](auto& a, auto& v) { a.csv = v; }}},
      {"svg", {"histograms", [](auto& a, auto& v) { a.svg = v; }}}};
  return options;
}

bool ParseArguments(int argc, char** argv, Arguments& arguments) {
  std::vector<option> table;
  std::vector<const Option*> entries;
  for (const auto& [name, entry] : Options()) {
    table.push_back({name.c_str(), required_argument, nullptr, 0});
    entries.push_back(&entry);
  }
  table.push_back({nullptr, 0, nullptr, 0});
  int index = 0;
  for (int code; (code = getopt_long(argc, argv, "", table.data(), &index)) != -1;) {
    if (code != 0) return false;
    try {
      entries.at(static_cast<std::size_t>(index))->set(arguments, optarg);
    } catch (const std::exception&) {
      std::fprintf(stderr, "verbenaridge_load: invalid value %s\n", optarg);
      return false;
    }
  }
  return optind == argc && !arguments.player.targets.empty() &&
         arguments.trace.empty() == (arguments.streams > 0) && arguments.player.speed > 0;
}

void ReportProgress(asio::steady_timer& timer, const Player& player) {
  timer.expires_after(std::chrono::seconds(5));
  timer.async_wait([&timer, &player](std::error_code error) {
    if (error) return;
    std::fprintf(stderr, "%.0f s: %zu ended, %zu running\n", player.elapsed_s(),
                 player.records().size(), player.running());
    ReportProgress(timer, player);
  });
}

bool StartTrace(const std::string& path, Player& player) {
  std::ifstream file(path);
  std::string error = file ? "" : "cannot open the file";
  auto rows = verbenaridge::loadtool::ReadTrace(file, error);
  if (!error.empty()) {
    std::fprintf(stderr, "verbenaridge_load: %s: %s\n", path.c_str(), error.c_str());
    return false;
  }
  player.PlayTrace(std::move(rows));
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  arguments.row.prompt_tokens = 1000;
  arguments.row.output_tokens = 32;
  arguments.row.client_account = "default";
  if (!ParseArguments(argc, argv, arguments)) {
    std::fprintf(stderr, "usage: verbenaridge_load --target URL (--trace FILE | --streams N)\n");
    for (const auto& [name, option] : Options()) {
      std::fprintf(stderr, "  --%-14s %s\n", name.c_str(), option.help);
    }
    return 2;
  }
  std::array<char, 16> run_id{};
  std::snprintf(run_id.data(), run_id.size(), "load%08x",
                static_cast<unsigned>(verbenaridge::RandomSeed()));
  arguments.player.run_id = run_id.data();
  asio::io_context io_context;
  verbenaridge::net::CurlHttpClient http(io_context, {.max_idle_connections = 4096});
  Player player(io_context, http, arguments.player);
  if (arguments.streams > 0) {
    player.PlayClosedLoop(arguments.row, arguments.streams, arguments.requests);
  } else if (!StartTrace(arguments.trace, player)) {
    return 1;
  }
  asio::steady_timer progress(io_context);
  ReportProgress(progress, player);
  while (!player.finished()) io_context.run_one();
  verbenaridge::loadtool::WriteSummary(std::cout, player.records(), player.elapsed_s());
  if (!arguments.csv.empty()) {
    std::ofstream out(arguments.csv);
    verbenaridge::loadtool::WriteCsv(out, player.records());
  }
  if (!arguments.svg.empty()) {
    std::ofstream out(arguments.svg);
    verbenaridge::loadtool::WriteSvg(out, player.records());
  }
  return 0;
}
