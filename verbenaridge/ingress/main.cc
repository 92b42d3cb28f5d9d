#include <cstdlib>
#include <iostream>
#include <string>

#include "platform/http_adapter.h"
#include "verbenaridge/base/clock.h"
#include "verbenaridge/ingress/ingress.h"
#include "verbenaridge/settings/daemon_command_line.h"
#include "verbenaridge/settings/ingress_settings.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {
namespace {

// About 2 MB of lines, which an ordinary host logs within minutes.
constexpr std::size_t kMaxWaitingLogLines = 4'000;

constexpr const char* kUsage =
    "Usage: verbenaridge-ingress [--config FILE] [--check]\n"
    "Forwards client requests to the endpoints listed in the store of the platform.\n"
    "\n"
    "  -c, --config FILE  JSON settings file (default: the file named by the platform)\n"
    "      --check        check the settings and exit\n"
    "  -V, --version      print the version and exit\n"
    "  -h, --help         print this text and exit\n"
    "\n"
    "Signals: SIGTERM and SIGINT drain and stop; SIGHUP reloads the settings.\n"
    "Exit codes: 0 stopped or settings valid, 1 failed to start, 2 invalid usage or settings.\n";

int Main(int argc, char** argv) {
  const char* const file = std::getenv(platform::kSettingsFileVariable);
  const settings::DaemonCommandLine command_line = settings::ParseDaemonCommandLine(
      argc, argv,
      {.program = "verbenaridge-ingress",
       .version = VERBENARIDGE_VERSION,
       .usage = kUsage,
       .config = file == nullptr ? std::string() : std::string(file)});
  if (command_line.exit_code) return *command_line.exit_code;
  const settings::LoadedIngressSettings loaded = settings::LoadIngressSettings(command_line.config);
  for (const settings::SettingError& error : loaded.errors) std::cerr << error.Text() << '\n';
  if (!loaded.errors.empty()) return settings::kExitUsage;
  if (command_line.check) {
    std::cout << command_line.config << ": valid\n";
    return settings::kExitOk;
  }
  const telemetry::LogOptions log{
      .level = telemetry::ParseLevel(loaded.settings.reloadable.log_level),
      .max_queued_lines = kMaxWaitingLogLines};
  if (telemetry::StartLog(log).has_error()) {
    std::cerr << "cannot open the log\n";
    return settings::kExitFailure;
  }
  const SuspendAwareClock clock;
  Ingress ingress(loaded.settings, command_line.config, clock);
  if (const Status opened = ingress.Open(); opened.has_error()) {
    telemetry::Log(telemetry::Level::kError, "start_failed", {{"error", opened.error().message()}});
    return settings::kExitFailure;
  }
  ingress.Run();
  telemetry::StopLog();
  return settings::kExitOk;
}

}  // namespace
}  // namespace verbenaridge::ingress

int main(int argc, char** argv) { return verbenaridge::ingress::Main(argc, argv); }
