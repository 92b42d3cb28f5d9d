// verbenaridgectl: the operators' tool.
#include <asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "verbenaridge/base/random.h"
#include "verbenaridge/ctl/command_line.h"
#include "verbenaridge/ctl/explain.h"
#include "verbenaridge/ctl/operator_commands.h"
#include "verbenaridge/ctl/plan_commands.h"
#include "verbenaridge/net/http_client.h"
#include "verbenaridge/plan_codec/plan_codec.h"
#include "verbenaridge/settings/ingress_settings.h"
#include "verbenaridge/store/http_key_value_store.h"

namespace {

using verbenaridge::ctl::CommandLine;
using verbenaridge::ctl::ExitCode;

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    std::cerr << name << ": cannot be read\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

ExitCode RunOperatorCommand(const CommandLine& line, asio::io_context& io_context,
                            verbenaridge::net::HttpClient& client,
                            verbenaridge::ctl::Reporter reporter) {
  verbenaridge::ctl::OperatorCommands commands(io_context, client, line.daemon_url, reporter);
  if (line.command == "status") return commands.Status();
  auto key = ReadFile(line.key_file);
  if (!key) return ExitCode::kUsage;
  while (!key->empty() && (key->back() == '\n' || key->back() == '\r')) key->pop_back();
  return commands.Drain({line.arguments[0], line.kind == "endpoint", line.undo}, *key);
}

ExitCode RunPlanCommand(const CommandLine& line, verbenaridge::ctl::PlanCommands& commands) {
  if (line.command == "show") return commands.Show();
  const auto file = ReadFile(line.arguments[0]);
  if (!file) return ExitCode::kUsage;
  std::optional<verbenaridge::plans::Catalogue> catalogue;
  if (!line.catalogue_file.empty()) {
    const auto text = ReadFile(line.catalogue_file);
    if (!text) return ExitCode::kUsage;
    auto decoded = verbenaridge::plan_codec::DecodeCatalogue(*text);
    for (const auto& problem : decoded.problems) {
      std::cerr << line.catalogue_file << ": " << problem.path << ": " << problem.message << '\n';
    }
    if (!decoded.value) return ExitCode::kUsage;
    catalogue = std::move(decoded.value);
  }
  const auto* names = catalogue ? &*catalogue : nullptr;
  if (line.command == "check") {
    return commands.Check(*file, names, !line.store_url.empty(), line.allow_cut_off);
  }
  if (line.command == "diff") return commands.Diff(*file);
  return commands.Apply(*file, {.author = line.author,
                                .edit_id = std::to_string(verbenaridge::RandomSeed()),
                                .data_centres = line.data_centres,
                                .wait = line.wait,
                                .allow_cut_off = line.allow_cut_off,
                                .catalogue = names});
}

ExitCode RunExplain(const CommandLine& line) {
  std::vector<verbenaridge::ctl::LogLine> lines;
  for (const std::string& name : line.log_files) {
    std::ifstream file(name, std::ios::binary);
    if (!file) {
      std::cerr << name << ": cannot be read\n";
      return ExitCode::kUsage;
    }
    for (auto& log_line : verbenaridge::ctl::ReadLog(name, file)) {
      lines.push_back(std::move(log_line));
    }
  }
  const verbenaridge::ctl::Story story = verbenaridge::ctl::Explain(lines, line.arguments[0]);
  verbenaridge::ctl::PrintStory(story, line.json, std::cout);
  return story.request.empty() ? ExitCode::kDifferent : ExitCode::kSuccess;
}

ExitCode RunCheckSettings(const std::string& file) {
  const auto loaded = verbenaridge::settings::LoadIngressSettings(file);
  for (const auto& error : loaded.errors) std::cerr << error.Text() << '\n';
  if (!loaded.errors.empty()) return ExitCode::kUsage;
  std::cout << file << ": valid\n";
  return ExitCode::kSuccess;
}

ExitCode Run(int argc, char** argv) {
  const auto line = verbenaridge::ctl::ParseCommandLine(argc, argv, std::cerr);
  if (!line) return ExitCode::kUsage;
  if (line->help) {
    std::cout << verbenaridge::ctl::HelpText(line->command);
    return ExitCode::kSuccess;
  }
  if (line->command == "explain") return RunExplain(*line);
  if (line->command == "check-settings") return RunCheckSettings(line->arguments[0]);
  asio::io_context io_context;
  verbenaridge::net::CurlHttpClient client(io_context);
  const verbenaridge::ctl::Reporter reporter{std::cout, std::cerr, line->json};
  if (line->command == "status" || line->command == "drain") {
    return RunOperatorCommand(*line, io_context, client, reporter);
  }
  verbenaridge::SystemClock clock;
  verbenaridge::store::HttpKeyValueStore key_value_store(client, line->store_url);
  verbenaridge::ctl::LoopStore store(io_context, key_value_store);
  verbenaridge::ctl::PlanCommands commands(store, reporter, clock);
  return RunPlanCommand(*line, commands);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return static_cast<int>(Run(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << "verbenaridgectl: " << error.what() << '\n';
    return static_cast<int>(ExitCode::kUsage);
  }
}
