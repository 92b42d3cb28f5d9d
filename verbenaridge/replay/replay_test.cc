#include <doctest/doctest.h>

#include <cstdio>
#include <map>
#include <string>
#include <utility>

#include "verbenaridge/replay/replayer.h"

namespace verbenaridge::replay {
namespace {

const char* const kProduct = "owner_permits_affinity";
const char* const kBaseline = "least_outstanding";
constexpr std::uint64_t kSeed = 1;

std::string_view NameOf(TraceKind kind) {
  for (const TraceName& trace : kTraceNames) {
    if (trace.kind == kind) return trace.name;
  }
  return "";
}

// Each fleet, trace and policy runs once for all rows.
const Metrics& Result(const FleetSpec& fleet, TraceKind kind, const char* policy) {
  static std::map<std::string, Metrics> results;
  const std::string key = fleet.name + std::string(NameOf(kind)) + policy;
  const auto found = results.find(key);
  if (found != results.end()) return found->second;
  const Trace trace = GenerateTrace(fleet, kind, kSeed);
  return results.emplace(key, Replay(fleet, trace, OptionsFor(fleet, policy))).first->second;
}

struct Row {
  const char* name;
  TraceKind trace;
  // What is measured; may use the result of another trace of the same policy.
  double (*measure)(const FleetSpec&, const char* policy);
  double low, high;  // from the stated targets
};

double InTime(const FleetSpec& fleet, TraceKind kind, const char* policy, Priority priority) {
  return Result(fleet, kind, policy).in_time[Rank(priority)];
}

// Served share of a priority over its stated minimum.
double ShareKept(const FleetSpec& fleet, const char* policy, Priority priority) {
  const double minimum = OptionsFor(fleet, policy).permits.queue.min_share[Rank(priority)];
  const Metrics& metrics = Result(fleet, TraceKind::kFloodHighest, policy);
  return metrics.served_share[Rank(priority)] / minimum;
}

using enum TraceKind;
using Fleet = FleetSpec;
const Row kRows[] = {
    {"ordinary day, urgent in time", kOrdinaryDay,
     [](const Fleet& f, const char* p) { return InTime(f, kOrdinaryDay, p, Priority::kUrgent); },
     0.99, 1},
    {"ordinary day, background in time", kOrdinaryDay,
     [](const Fleet& f, const char* p) {
       return InTime(f, kOrdinaryDay, p, Priority::kBackground);
     },
     0.99, 1},
    {"flood of the lowest, urgent in time", kFloodLowest,
     [](const Fleet& f, const char* p) { return InTime(f, kFloodLowest, p, Priority::kUrgent); },
     0.99, 1},
    {"flood of the lowest, urgent first token p95", kFloodLowest,
     [](const Fleet& f, const char* p) {
       return Result(f, kFloodLowest, p).first_token_p95[Rank(Priority::kUrgent)];
     },
     0.001, 1.3},
    {"flood of the highest, standard keeps its share", kFloodHighest,
     [](const Fleet& f, const char* p) { return ShareKept(f, p, Priority::kStandard); }, 0.9, 100},
    {"flood of the highest, background keeps its share", kFloodHighest,
     [](const Fleet& f, const char* p) { return ShareKept(f, p, Priority::kBackground); }, 0.9,
     100},
    {"small accounts in time beside two that flood", kGreedyAccounts,
     [](const Fleet& f, const char* p) { return Result(f, kGreedyAccounts, p).small_in_time_min; },
     0.95, 1},
    {"Jain index of the small accounts", kGreedyAccounts,
     [](const Fleet& f, const char* p) { return Result(f, kGreedyAccounts, p).jain; }, 0.95, 1},
    {"short prompts beside long ones, first token p95 over that without", kLongPrompts,
     [](const Fleet& f, const char* p) {
       return Result(f, kLongPrompts, p).short_first_token_p95 /
              Result(f, kShortOnly, p).short_first_token_p95;
     },
     0, 1.5},
    {"goodput at twice capacity over that at capacity", kTwiceCapacity,
     [](const Fleet& f, const char* p) {
       return Result(f, kTwiceCapacity, p).goodput / Result(f, kAtCapacity, p).goodput;
     },
     0.95, 100},
    {"prompt over two engines' memory gets its first token", kGroupPrompt,
     [](const Fleet& f, const char* p) { return Result(f, kGroupPrompt, p).group_first_token; },
     0.001, 180},
    {"short urgent prompts beside it in time", kGroupPrompt,
     [](const Fleet& f, const char* p) { return InTime(f, kGroupPrompt, p, Priority::kUrgent); },
     0.99, 1},
    {"endpoint loss at peak, urgent in time", kEndpointLoss,
     [](const Fleet& f, const char* p) { return InTime(f, kEndpointLoss, p, Priority::kUrgent); },
     0.99, 1},
    {"flood in one data centre, urgent in time in the others", kDataCentreFlood,
     [](const Fleet& f, const char* p) {
       return Result(f, kDataCentreFlood, p).other_centres_in_time;
     },
     0.99, 1},
};

// Guards the stated outcomes of both fleets. The baseline runs beside the product and is printed;
// its values have no bound.
TEST_CASE("stated outcomes") {
  for (const FleetSpec& fleet : {KaoriSachetFleet(), AlpenrandFleet()}) {
    std::printf("%-70s %10s %10s   target\n", fleet.name.c_str(), "baseline", "product");
    for (const Row& row : kRows) {
      const double baseline = row.measure(fleet, kBaseline);
      const double product = row.measure(fleet, kProduct);
      std::printf("%-70s %10.3f %10.3f   %g to %g\n", row.name, baseline, product, row.low,
                  row.high);
      CAPTURE(fleet.name);
      CAPTURE(std::string(row.name));
      CHECK(product >= row.low);
      CHECK(product <= row.high);
    }
  }
}

// Guards against requests that never end and against permits, queue places or streams left behind.
TEST_CASE("every request ends and nothing is left") {
  for (const FleetSpec& fleet : {KaoriSachetFleet(), AlpenrandFleet()}) {
    for (const Row& row : kRows) {
      CAPTURE(fleet.name);
      CAPTURE(std::string(row.name));
      CHECK(Result(fleet, row.trace, kProduct).open == 0);
      CHECK(Result(fleet, row.trace, kProduct).reserved_after == 0);
    }
  }
}

// Guards against a trace or a replay that differs between two runs of the same seed.
TEST_CASE("runs are repeatable") {
  const FleetSpec fleet = AlpenrandFleet();
  const Trace first = GenerateTrace(fleet, kOrdinaryDay, 5);
  const Trace second = GenerateTrace(fleet, kOrdinaryDay, 5);
  REQUIRE(first.requests.size() == second.requests.size());
  const Metrics a = Replay(fleet, first, OptionsFor(fleet, kProduct));
  const Metrics b = Replay(fleet, second, OptionsFor(fleet, kProduct));
  CHECK(a.goodput == b.goodput);
  CHECK(a.short_first_token_p95 == b.short_first_token_p95);
}

}  // namespace
}  // namespace verbenaridge::replay
