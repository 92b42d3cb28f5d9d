#include "verbenaridge/ctl/command_line.h"

#include <getopt.h>

#include <charconv>
#include <functional>
#include <map>
#include <string_view>

namespace verbenaridge::ctl {
namespace {

struct CommandHelp {
  std::string_view usage;
  std::string_view text;
  std::size_t arguments;
};

const std::map<std::string, CommandHelp, std::less<>>& Commands() {
  static const std::map<std::string, CommandHelp, std::less<>> commands = {
      {"check",
       {"check FILE [--catalogue FILE] [--store URL] [--allow-cut-off] [--json]",
        "Checks a plan file and reports every problem with its JSON path. With --store, also "
        "reports\nclient accounts that the change would cut off.",
        1}},
      {"diff",
       {"diff FILE --store URL [--json]",
        "Prints what the file changes. Exits with 8 if it changes anything.", 1}},
      {"apply",
       {"apply FILE --store URL --data-centres A,B,... --author NAME [--catalogue FILE]\n"
        "             [--wait SECONDS] [--allow-cut-off] [--json]",
        "Writes the file as the next version if no one else changed the plans since they were read,"
        "\nthen waits until every data centre confirmed it (default 10 s). Exits with 0 only then; "
        "with 4\nif it is written, but still pending in the data centres that it names.",
        1}},
      {"show",
       {"show --store URL", "Prints the stored document, which can be edited and applied.", 0}},
      {"status", {"status --daemon URL [--json]", "Prints the state of one daemon.", 0}},
      {"explain",
       {"explain ID --log FILE [--log FILE ...] [--json]",
        "Tells what the logs of one or more hosts say of a request, and what these hosts noticed\n"
        "around it. ID may be the beginning of an id. Exits with 8 if no line is about it.",
        1}},
      {"check-settings",
       {"check-settings FILE",
        "Checks a settings file of verbenaridge-ingress and reports every fault with its path.",
        1}},
      {"drain",
       {"drain TARGET --daemon URL --key-file FILE [--kind host|endpoint] [--undo] [--json]",
        "Takes a host (default) or an endpoint out of service without cutting off requests, or "
        "undoes it.\nThe file holds the operator key.",
        1}},
  };
  return commands;
}

constexpr std::string_view kExitCodes =
    "Exit codes: 0 success, 1 usage, 2 invalid plan, 3 conflict (nothing written), 4 pending,\n"
    "5 unavailable (nothing written), 6 unknown whether written, 7 refused, 8 different.\n";

std::vector<DataCentreId> Split(std::string_view text) {
  std::vector<DataCentreId> names;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view name = text.substr(0, comma);
    if (!name.empty()) names.emplace_back(std::string(name));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return names;
}

bool ParseWait(std::string_view text, Duration& wait) {
  constexpr int kMaxSeconds = 86'400;
  int seconds = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
  wait = std::chrono::seconds(seconds);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && seconds >= 0 &&
         seconds <= kMaxSeconds;
}

// Returns false for a wrong value.
bool Take(int code, const std::string& value, CommandLine& line) {
  switch (code) {
    case 's':
      line.store_url = value;
      return true;
    case 'd':
      line.daemon_url = value;
      return true;
    case 'c':
      line.catalogue_file = value;
      return true;
    case 'a':
      line.author = value;
      return true;
    case 'k':
      line.key_file = value;
      return true;
    case 'l':
      line.log_files.push_back(value);
      return true;
    case 'n':
      line.data_centres = Split(value);
      return true;
    case 'w':
      return ParseWait(value, line.wait);
    case 't':
      line.kind = value;
      return value == "host" || value == "endpoint";
    case 'u':
      line.undo = true;
      return true;
    case 'f':
      line.allow_cut_off = true;
      return true;
    case 'j':
      line.json = true;
      return true;
    case 'h':
      line.help = true;
      return true;
    default:
      return false;
  }
}

// The option that is missing, or empty.
std::string Missing(const CommandLine& line) {
  const std::string& command = line.command;
  const bool store = command == "diff" || command == "apply" || command == "show";
  if (store && line.store_url.empty()) return "--store";
  if (command == "explain" && line.log_files.empty()) return "--log";
  if (command == "apply" && line.data_centres.empty()) return "--data-centres";
  if (command == "apply" && line.author.empty()) return "--author";
  const bool daemon = command == "status" || command == "drain";
  if (daemon && line.daemon_url.empty()) return "--daemon";
  if (command == "drain" && line.key_file.empty()) return "--key-file";
  return {};
}

}  // namespace

std::string HelpText(const std::string& command) {
  std::string text;
  const auto it = Commands().find(command);
  if (it != Commands().end()) {
    text.append("Usage: verbenaridgectl ").append(it->second.usage).append("\n");
    text.append(it->second.text).append("\n").append(kExitCodes);
    return text;
  }
  text = "Usage: verbenaridgectl COMMAND [OPTION]...\n";
  for (const auto& [name, help] : Commands()) text.append("  ").append(help.usage).append("\n");
  return text.append("COMMAND --help explains a command.\n").append(kExitCodes);
}

std::optional<CommandLine> ParseCommandLine(int argc, char** argv, std::ostream& err) {
  static const option long_options[] = {{"store", required_argument, nullptr, 's'},
                                        {"daemon", required_argument, nullptr, 'd'},
                                        {"catalogue", required_argument, nullptr, 'c'},
                                        {"author", required_argument, nullptr, 'a'},
                                        {"key-file", required_argument, nullptr, 'k'},
                                        {"data-centres", required_argument, nullptr, 'n'},
                                        {"log", required_argument, nullptr, 'l'},
                                        {"wait", required_argument, nullptr, 'w'},
                                        {"kind", required_argument, nullptr, 't'},
                                        {"undo", no_argument, nullptr, 'u'},
                                        {"allow-cut-off", no_argument, nullptr, 'f'},
                                        {"json", no_argument, nullptr, 'j'},
                                        {"help", no_argument, nullptr, 'h'},
                                        {nullptr, 0, nullptr, 0}};
  CommandLine line;
  optind = 0;  // parses anew, also after an earlier call
  for (int code = 0; (code = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
    if (!Take(code, optarg == nullptr ? "" : optarg, line)) {
      err << "wrong option or value; see --help\n";
      return std::nullopt;
    }
  }
  for (int i = optind; i < argc; ++i) {
    if (line.command.empty()) {
      line.command = argv[i];
    } else {
      line.arguments.emplace_back(argv[i]);
    }
  }
  if (line.help) return line;
  const auto command = Commands().find(line.command);
  if (command == Commands().end()) {
    err << "unknown command \"" << line.command << "\"; see --help\n";
    return std::nullopt;
  }
  if (line.arguments.size() != command->second.arguments) {
    err << "usage: verbenaridgectl " << command->second.usage << '\n';
    return std::nullopt;
  }
  if (const std::string missing = Missing(line); !missing.empty()) {
    err << line.command << " needs " << missing << '\n';
    return std::nullopt;
  }
  return line;
}

}  // namespace verbenaridge::ctl
