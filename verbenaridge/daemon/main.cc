#include <cstdio>
#include <iostream>
#include <string>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/daemon/daemon.h"
#include "verbenaridge/settings/daemon_command_line.h"
#include "verbenaridge/settings/settings.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::daemon {
namespace {

// Some 2 MB of lines.
constexpr std::size_t kMaxWaitingLogLines = 4'000;

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

int Main(int argc, char** argv) {
  const settings::DaemonCommandLine command_line = settings::ParseDaemonCommandLine(
      argc, argv, {.program = "verbenaridged", .version = VERBENARIDGE_VERSION, .usage = kUsage});
  if (command_line.exit_code) return *command_line.exit_code;
  const settings::LoadedSettings loaded = settings::LoadSettings(command_line.config);
  for (const settings::SettingError& error : loaded.errors) std::cerr << error.Text() << '\n';
  if (!loaded.errors.empty()) return settings::kExitUsage;
  if (command_line.check) {
    for (const settings::SettingError& outdated : loaded.outdated) {
      std::cerr << outdated.file << ": " << outdated.path << ": outdated name, now \""
                << outdated.expected << "\"\n";
    }
    std::cout << command_line.config << ": valid\n";
    return settings::kExitOk;
  }
  const Status log = telemetry::StartLog({.level = telemetry::ParseLevel(loaded.settings.log.level),
                                          .file = loaded.settings.log.file,
                                          .max_queued_lines = kMaxWaitingLogLines});
  if (log.has_error()) {
    std::cerr << "cannot open the log: " << log.error().message() << '\n';
    return settings::kExitFailure;
  }
  for (const settings::SettingError& outdated : loaded.outdated) {
    telemetry::Log(telemetry::Level::kWarning, "setting_outdated",
                   {{"path", outdated.path}, {"present_name", outdated.expected}});
  }
  const SystemClock clock;
  Daemon daemon(loaded.settings, clock);
  if (const Status opened = daemon.Open(); opened.has_error()) {
    telemetry::Log(telemetry::Level::kError, "start_failed", {{"error", opened.error().message()}});
    return settings::kExitFailure;
  }
  daemon.Run();
  telemetry::StopLog();
  return settings::kExitOk;
}

}  // namespace
}  // namespace verbenaridge::daemon

int main(int argc, char** argv) { return verbenaridge::daemon::Main(argc, argv); }
