// The command line of verbenaridgectl.
#ifndef VERBENARIDGE_CTL_COMMAND_LINE_H_
#define VERBENARIDGE_CTL_COMMAND_LINE_H_

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::ctl {

struct CommandLine {
  std::string command;
  std::vector<std::string> arguments;
  std::string store_url;
  std::string daemon_url;
  std::string catalogue_file;
  std::string author;
  std::string key_file;
  std::vector<std::string> log_files;
  std::vector<DataCentreId> data_centres;
  Duration wait = std::chrono::seconds(10);
  std::string kind = "host";
  bool undo = false;
  bool allow_cut_off = false;
  bool json = false;
  bool help = false;
};

// Nullopt, with a message on `err`, for wrong options. Not thread-safe: getopt_long has global
// state.
std::optional<CommandLine> ParseCommandLine(int argc, char** argv, std::ostream& err);

// The help of one command, or of all if it is unknown or empty.
std::string HelpText(const std::string& command);

}  // namespace verbenaridge::ctl

#endif  // VERBENARIDGE_CTL_COMMAND_LINE_H_
