// Parses the command line that all daemons have in common.
//
//   const DaemonCommandLine line = ParseDaemonCommandLine(
//       argc, argv, {.program = "verbenaridged", .version = "0.1.0", .usage = kUsage});
//   if (line.exit_code) return *line.exit_code;
#ifndef VERBENARIDGE_SETTINGS_DAEMON_COMMAND_LINE_H_
#define VERBENARIDGE_SETTINGS_DAEMON_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <string_view>

namespace verbenaridge::settings {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;  // also for a faulty settings file

struct DaemonProgram {
  std::string_view program;
  std::string_view version;
  std::string_view usage;
  std::string config{};  // default settings file; empty: must be given
};

struct DaemonCommandLine {
  std::string config;
  bool check = false;
  std::optional<int> exit_code;  // set: exit now, all output is printed
};

// Not thread-safe: getopt_long has global state.
DaemonCommandLine ParseDaemonCommandLine(int argc, char** argv, const DaemonProgram& program);

}  // namespace verbenaridge::settings

#endif  // VERBENARIDGE_SETTINGS_DAEMON_COMMAND_LINE_H_
