#include "verbenaridge/settings/daemon_command_line.h"

#include <getopt.h>

#include <iostream>

namespace verbenaridge::settings {

DaemonCommandLine ParseDaemonCommandLine(int argc, char** argv, const DaemonProgram& program) {
  constexpr int kCheck = 1000;
  const option options[] = {{"config", required_argument, nullptr, 'c'},
                            {"check", no_argument, nullptr, kCheck},
                            {"version", no_argument, nullptr, 'V'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  DaemonCommandLine line{.config = program.config};
  for (int choice = 0; (choice = getopt_long(argc, argv, "c:Vh", options, nullptr)) != -1;) {
    switch (choice) {
      case 'c':
        line.config = optarg;
        break;
      case kCheck:
        line.check = true;
        break;
      case 'V':
        std::cout << program.program << ' ' << program.version << '\n';
        line.exit_code = kExitOk;
        return line;
      case 'h':
        std::cout << program.usage;
        line.exit_code = kExitOk;
        return line;
      default:
        line.exit_code = kExitUsage;
        return line;
    }
  }
  if (line.config.empty() || optind != argc) {
    std::cerr << program.usage;
    line.exit_code = kExitUsage;
  }
  return line;
}

}  // namespace verbenaridge::settings
