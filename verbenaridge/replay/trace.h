// Fleets and traces of the replay, from fixed seeds.
//
//   FleetSpec fleet = KaoriSachetFleet();
//   Trace trace = GenerateTrace(fleet, TraceKind::kOrdinaryDay, 1);
#ifndef VERBENARIDGE_REPLAY_TRACE_H_
#define VERBENARIDGE_REPLAY_TRACE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::replay {

// One model engine: each step decodes one token of every running stream and prefills one chunk.
struct EngineSpec {
  double prefill_seconds_per_token = 1.0 / 16'000;
  TokenCount chunk_tokens = 256;
  double step_seconds = 0.008;
  double step_seconds_per_stream = 0.0001;
  std::size_t max_streams = 64;
  TokenCount memory_tokens = 400'000;
  std::size_t cached_prefixes = 40;
};

struct FleetSpec {
  std::string name;
  std::vector<std::string> data_centres;
  std::size_t endpoints = 0;
  std::size_t hosts = 0;
  std::vector<double> account_demand;  // part of the ordinary demand; also the fair-queue weights
  std::array<double, kPriorityCount> priority_mix{};
  EngineSpec engine{};
};

FleetSpec KaoriSachetFleet();
FleetSpec AlpenrandFleet();

enum class TraceKind : std::uint8_t {
  kOrdinaryDay,
  kFloodLowest,   // background at 10 times capacity
  kFloodHighest,  // urgent at 5 times capacity
  kGreedyAccounts,  // two accounts ask 20 times their share
  kLongPrompts,     // 2% of prompts over 100,000 tokens at 80% load
  kShortOnly,       // the short prompts of kLongPrompts alone
  kGroupPrompt,     // one prompt of more than twice an engine's memory among short ones
  kEndpointLoss,    // three endpoints die at peak
  kAtCapacity,
  kTwiceCapacity,
  kDataCentreFlood,  // one data centre gets 5 times its capacity, the others half of theirs
};

struct TraceName {
  TraceKind kind;
  std::string_view name;
};
inline constexpr std::array<TraceName, 11> kTraceNames = {
    {{TraceKind::kOrdinaryDay, "ordinary_day"},
     {TraceKind::kFloodLowest, "flood_lowest_10x"},
     {TraceKind::kFloodHighest, "flood_highest_5x"},
     {TraceKind::kGreedyAccounts, "greedy_accounts_20x"},
     {TraceKind::kLongPrompts, "long_prompts"},
     {TraceKind::kShortOnly, "short_only"},
     {TraceKind::kGroupPrompt, "group_prompt"},
     {TraceKind::kEndpointLoss, "endpoint_loss"},
     {TraceKind::kAtCapacity, "at_capacity"},
     {TraceKind::kTwiceCapacity, "twice_capacity"},
     {TraceKind::kDataCentreFlood, "data_centre_flood"}}};

struct TraceRequest {
  Duration arrival{};
  std::size_t account = 0;
  std::size_t host = 0;
  Priority priority = Priority::kStandard;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  TokenCount max_output_tokens = 0;
  std::uint32_t prefix_family = 0;
  TokenCount prefix_tokens = 0;
  Duration first_token_target{};
  Duration patience{};  // the caller leaves
};

struct Trace {
  std::vector<TraceRequest> requests;  // by arrival
  Duration measured_from{};            // requests that arrive outside are not counted
  Duration measured_to{};
  std::vector<std::size_t> dying_endpoints;
  Duration death_at{};
  std::vector<std::size_t> greedy_accounts;
};

// Requests/s of ordinary short traffic that the fleet's endpoints can serve without cached prefixes.
double Capacity(const FleetSpec& fleet);

Trace GenerateTrace(const FleetSpec& fleet, TraceKind kind, std::uint64_t seed);

// First-token target and patience of a request, by priority and prompt length.
void SetTargets(const EngineSpec& engine, TraceRequest& request);

}  // namespace verbenaridge::replay

#endif  // VERBENARIDGE_REPLAY_TRACE_H_
