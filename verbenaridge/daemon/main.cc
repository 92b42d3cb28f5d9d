#include <getopt.h>

#include <cstdio>
#include <iostream>
#include <string>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/daemon/daemon.h"
#include "verbenaridge/settings/settings.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::daemon {
namespace {

// Some 2 MB of lines.
constexpr std::size_t kMaxWaitingLogLines = 4'000;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;  // also for a faulty settings file

constexpr const char* kUsage =
    "Usage: verbenaridged --config FILE [--check]\n"
    "Serves language-model requests of callers to endpoints.\n"
    "\n"
    "  -c, --config FILE  settings in JSON\n"
    "      --check        check the settings and exit\n"
    "  -V, --version      print the version and exit\n"
    "  -h, --help         print this text and exit\n"
    "\n"
    "Signals: SIGTERM and SIGINT drain, a second one stops at once; SIGHUP is ignored.\n"
    "Exit codes: 0 stopped or settings valid, 1 could not start, 2 wrong use or faulty settings.\n";

struct CommandLine {
  std::string config;
  bool check = false;
  int exit_code = -1;  // at least 0: exit at once
};

CommandLine ParseCommandLine(int argc, char** argv) {
  constexpr int kCheck = 1000;
  const option options[] = {{"config", required_argument, nullptr, 'c'},
                            {"check", no_argument, nullptr, kCheck},
                            {"version", no_argument, nullptr, 'V'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  CommandLine command_line;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "c:Vh", options, nullptr)) != -1) {
    switch (choice) {
      case 'c':
        command_line.config = optarg;
        break;
      case kCheck:
        command_line.check = true;
        break;
      case 'V':
        std::cout << "verbenaridged " << VERBENARIDGE_VERSION << '\n';
        command_line.exit_code = kExitOk;
        return command_line;
      case 'h':
        std::cout << kUsage;
        command_line.exit_code = kExitOk;
        return command_line;
      default:
        command_line.exit_code = kExitUsage;
        return command_line;
    }
  }
  if (command_line.config.empty() || optind != argc) {
    std::cerr << kUsage;
    command_line.exit_code = kExitUsage;
  }
  return command_line;
}

telemetry::Level LevelOf(std::string_view name) {
  if (name == "debug") return telemetry::Level::kDebug;
  if (name == "warn") return telemetry::Level::kWarning;
  if (name == "error") return telemetry::Level::kError;
  return telemetry::Level::kInfo;
}

int Main(int argc, char** argv) {
  const CommandLine command_line = ParseCommandLine(argc, argv);
  if (command_line.exit_code >= 0) return command_line.exit_code;
  const settings::LoadedSettings loaded = settings::LoadSettings(command_line.config);
  for (const settings::SettingError& error : loaded.errors) std::cerr << error.Text() << '\n';
  if (!loaded.errors.empty()) return kExitUsage;
  if (command_line.check) {
    std::cout << command_line.config << ": valid\n";
    return kExitOk;
  }
  const Status log = telemetry::StartLog({.level = LevelOf(loaded.settings.log.level),
                                          .file = loaded.settings.log.file,
                                          .max_waiting_lines = kMaxWaitingLogLines});
  if (log.has_error()) {
    std::cerr << "cannot open the log: " << log.error().message() << '\n';
    return kExitFailure;
  }
  const SystemClock clock;
  Daemon daemon(loaded.settings, clock);
  if (const Status opened = daemon.Open(); opened.has_error()) {
    telemetry::Log(telemetry::Level::kError, "start_failed", {{"error", opened.error().message()}});
    return kExitFailure;
  }
  daemon.Run();
  telemetry::StopLog();
  return kExitOk;
}

}  // namespace
}  // namespace verbenaridge::daemon

int main(int argc, char** argv) { return verbenaridge::daemon::Main(argc, argv); }
