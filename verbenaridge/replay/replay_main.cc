// Replays traces and prints a table.
//
//   replay [--fleet NAME] [--trace NAME] [--policy NAME] [--seed N]
#include <getopt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "verbenaridge/replay/replayer.h"

namespace verbenaridge::replay {
namespace {

constexpr std::array<const char*, 4> kPolicies = {"least_outstanding", "two_choices",
                                                  "owner_permits", "owner_permits_affinity"};

struct Selection {
  std::string fleet, trace, policy;
  std::uint64_t seed = 1;
};

void PrintRow(const FleetSpec& fleet, std::string_view trace, const char* policy,
              const Metrics& m) {
  std::printf(
      "| %s | %.*s | %s | %.3f / %.3f / %.3f | %.2f / %.2f / %.2f | %.2f / %.2f / %.2f | %.2f | "
      "%.0f | %.3f | %.3f | %.3f | %.1f | %.3f | %zu |\n",
      fleet.name.c_str(), static_cast<int>(trace.size()), trace.data(), policy, m.in_time[0],
      m.in_time[1], m.in_time[2], m.first_token_p95[0], m.first_token_p95[1], m.first_token_p95[2],
      m.served_share[0], m.served_share[1], m.served_share[2], m.short_first_token_p95, m.goodput,
      m.small_in_time_min, m.jain, m.rejected, m.group_first_token, m.other_centres_in_time,
      m.open + m.reserved_after);
  std::fflush(stdout);
}

void Run(const Selection& selection) {
  std::printf(
      "| fleet | trace | policy | in time (urgent / standard / background) | first token p95 s | "
      "served share | short p95 s | goodput tokens/s | worst small account | Jain | rejected | "
      "group first token s | other centres urgent in time | left over |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const FleetSpec& fleet : {KaoriSachetFleet(), AlpenrandFleet()}) {
    if (!selection.fleet.empty() && selection.fleet != fleet.name) continue;
    for (const TraceName& trace : kTraceNames) {
      if (!selection.trace.empty() && selection.trace != trace.name) continue;
      const Trace generated = GenerateTrace(fleet, trace.kind, selection.seed);
      for (const char* policy : kPolicies) {
        if (!selection.policy.empty() && selection.policy != policy) continue;
        PrintRow(fleet, trace.name, policy,
                 Replay(fleet, generated, OptionsFor(fleet, policy)));
      }
    }
  }
}

int Main(int argc, char** argv) {
  const option options[] = {{"fleet", required_argument, nullptr, 'f'},
                            {"trace", required_argument, nullptr, 't'},
                            {"policy", required_argument, nullptr, 'p'},
                            {"seed", required_argument, nullptr, 's'},
                            {nullptr, 0, nullptr, 0}};
  Selection selection;
  for (int c; (c = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
    switch (c) {
      case 'f': selection.fleet = optarg; break;
      case 't': selection.trace = optarg; break;
      case 'p': selection.policy = optarg; break;
      case 's': selection.seed = std::strtoull(optarg, nullptr, 10); break;
      default: return 2;
    }
  }
  Run(selection);
  return 0;
}

}  // namespace
}  // namespace verbenaridge::replay

int main(int argc, char** argv) { return verbenaridge::replay::Main(argc, argv); }
