#include "verbenaridge/replay/trace.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>

#include "verbenaridge/base/random.h"

namespace verbenaridge::replay {

namespace {

constexpr double kMeanPrompt = 2'500;  // of ordinary short prompts, 1,000 to 4,000 tokens
constexpr double kMeanOutput = 100;
constexpr std::uint32_t kFamiliesPerAccount = 12;
constexpr double kTraceSeconds = 100;
constexpr double kWarmUpSeconds = 15;

std::size_t PickWeighted(const std::vector<double>& weights, RandomSource& random) {
  double sum = 0;
  for (const double weight : weights) sum += weight;
  double point = random.Uniform() * sum;
  for (std::size_t i = 0; i + 1 < weights.size(); ++i) {
    point -= weights[i];
    if (point < 0) return i;
  }
  return weights.size() - 1;
}

// A stream of short requests; `rate` is in requests/s at a given second.
struct Source {
  std::function<double(double)> rate;
  double max_rate = 0;
  std::vector<double> accounts;
  std::vector<double> priorities;
  std::size_t first_host = 0;  // of the hosts that it reaches
  std::size_t hosts = 0;
};

TraceRequest ShortRequest(const Source& source, double second, RandomSource& random) {
  TraceRequest request;
  request.arrival = FromSeconds(second);
  request.account = PickWeighted(source.accounts, random);
  request.priority = static_cast<Priority>(PickWeighted(source.priorities, random));
  request.host = source.first_host + random.Below(source.hosts);
  request.prompt_tokens = 1'000 + static_cast<TokenCount>(random.Below(3'001));
  request.output_tokens = 20 + static_cast<TokenCount>(random.Below(161));
  request.max_output_tokens = request.output_tokens + static_cast<TokenCount>(random.Below(100));
  request.prefix_family = static_cast<std::uint32_t>(request.account) * kFamiliesPerAccount +
                          static_cast<std::uint32_t>(random.Below(kFamiliesPerAccount));
  // Two in three prompts continue a prefix that others share.
  if (random.Below(3) > 0) request.prefix_tokens = std::min<TokenCount>(768, request.prompt_tokens);
  return request;
}

void AddSource(const Source& source, RandomSource& random, Trace& trace) {
  double second = 0;
  while (source.max_rate > 0) {
    second -= std::log(std::max(random.Uniform(), 1e-12)) / source.max_rate;
    if (second >= kTraceSeconds) break;
    if (random.Uniform() * source.max_rate > source.rate(second)) continue;
    trace.requests.push_back(ShortRequest(source, second, random));
  }
}

Source Constant(const FleetSpec& fleet, double rate) {
  return {.rate = [rate](double) { return rate; },
          .max_rate = rate,
          .accounts = fleet.account_demand,
          .priorities = {fleet.priority_mix.begin(), fleet.priority_mix.end()},
          .first_host = 0,
          .hosts = fleet.hosts};
}

Source OnePriority(const FleetSpec& fleet, double rate, Priority priority) {
  Source source = Constant(fleet, rate);
  source.priorities.assign(kPriorityCount, 0);
  source.priorities[Rank(priority)] = 1;
  return source;
}

// Turns 2% of the requests into prompts of 100,000 to 200,000 tokens, or drops the same ones.
void Lengthen(RandomSource& random, Trace& trace, bool drop) {
  std::vector<TraceRequest> kept;
  for (TraceRequest& request : trace.requests) {
    if (random.Below(50) == 0) {
      if (drop) continue;
      const TokenCount more = request.prompt_tokens * 33;  // up to 99,000
      request.prompt_tokens = 100'001 + more - 33'000;
      request.prefix_tokens = 0;
    }
    kept.push_back(request);
  }
  trace.requests = std::move(kept);
}

void AddGreedy(const FleetSpec& fleet, double capacity, RandomSource& random, Trace& trace) {
  // All accounts are equal here; their shares add up to 80% of the capacity.
  const double share = 0.8 * capacity / static_cast<double>(fleet.account_demand.size());
  trace.greedy_accounts = {0, 1};
  for (std::size_t account = 0; account < fleet.account_demand.size(); ++account) {
    Source source =
        OnePriority(fleet, share * (account < 2 ? 20 : 1), Priority::kStandard);
    source.accounts.assign(fleet.account_demand.size(), 0);
    source.accounts[account] = 1;
    AddSource(source, random, trace);
  }
}

void AddDataCentreFlood(const FleetSpec& fleet, double capacity, RandomSource& random,
                        Trace& trace) {
  // Hosts are dealt to data centres in turn, so a data centre's hosts are not adjacent; requests
  // are drawn for an index and then moved.
  const std::size_t centres = fleet.data_centres.size();
  const double part = capacity / static_cast<double>(centres);
  for (std::size_t centre = 0; centre < centres; ++centre) {
    Trace one;
    AddSource(Constant(fleet, part * (centre == 0 ? 5 : 0.5)), random, one);
    for (TraceRequest request : one.requests) {
      request.host = request.host / centres * centres + centre;
      if (request.host >= fleet.hosts) request.host = centre;
      trace.requests.push_back(request);
    }
  }
}

void AddSources(const FleetSpec& fleet, TraceKind kind, double capacity, RandomSource& random,
                Trace& trace) {
  // With 2% prompts of 150,000 tokens on average, a request costs (2,500 + 3,000) / 2,500 as much.
  const double long_factor = kMeanPrompt / (0.98 * kMeanPrompt + 0.02 * 150'000);
  switch (kind) {
    case TraceKind::kOrdinaryDay: {
      Source day = Constant(fleet, 0.85 * capacity);
      day.rate = [capacity](double second) {
        return capacity * (0.55 - 0.3 * std::cos(2 * std::numbers::pi * second / kTraceSeconds));
      };
      AddSource(day, random, trace);
      break;
    }
    case TraceKind::kFloodLowest:
      AddSource(Constant(fleet, 0.5 * capacity), random, trace);
      AddSource(OnePriority(fleet, 10 * capacity, Priority::kBackground), random, trace);
      break;
    case TraceKind::kFloodHighest:
      AddSource(Constant(fleet, 0.5 * capacity), random, trace);
      AddSource(OnePriority(fleet, 5 * capacity, Priority::kUrgent), random, trace);
      break;
    case TraceKind::kGreedyAccounts:
      AddGreedy(fleet, capacity, random, trace);
      break;
    case TraceKind::kLongPrompts:
    case TraceKind::kShortOnly:
      AddSource(Constant(fleet, 0.8 * long_factor * capacity), random, trace);
      Lengthen(random, trace, kind == TraceKind::kShortOnly);
      break;
    case TraceKind::kGroupPrompt:
      AddSource(Constant(fleet, 0.5 * capacity), random, trace);
      break;
    case TraceKind::kEndpointLoss:
      AddSource(Constant(fleet, 0.75 * capacity), random, trace);
      trace.dying_endpoints = {0, 1, 2};
      trace.death_at = FromSeconds(kTraceSeconds / 2);
      break;
    case TraceKind::kAtCapacity:
      AddSource(Constant(fleet, capacity), random, trace);
      break;
    case TraceKind::kTwiceCapacity:
      AddSource(Constant(fleet, 2 * capacity), random, trace);
      break;
    case TraceKind::kDataCentreFlood:
      AddDataCentreFlood(fleet, capacity, random, trace);
      break;
  }
}

}  // namespace

FleetSpec KaoriSachetFleet() {
  return {.name = "kaori_sachet",
          .data_centres = {"furano", "nakafurano", "biei"},
          .endpoints = 20,
          .hosts = 16,
          .account_demand = {4, 3, 3, 1, 1, 1, 1, 1, 1, 1},
          .priority_mix = {0.3, 0.5, 0.2}};
}

FleetSpec AlpenrandFleet() {
  return {.name = "alpenrand",
          .data_centres = {"bern-a", "olten-b", "aarau-c"},
          .endpoints = 15,
          .hosts = 15,
          .account_demand = {5, 4, 1, 1, 1, 1, 1, 1, 1, 1},
          .priority_mix = {0.4, 0.4, 0.2}};
}

double Capacity(const FleetSpec& fleet) {
  const EngineSpec& engine = fleet.engine;
  const auto chunk = static_cast<double>(engine.chunk_tokens);
  const double streams = chunk * kMeanOutput / kMeanPrompt;
  const double step = engine.step_seconds + engine.step_seconds_per_stream * streams +
                      engine.prefill_seconds_per_token * chunk;
  return static_cast<double>(fleet.endpoints) * chunk / (kMeanPrompt * step);
}

void SetTargets(const EngineSpec& engine, TraceRequest& request) {
  // A longer prompt gets twice the time that its prefill takes on an endpoint that also decodes.
  const TokenCount extra = std::max<TokenCount>(0, request.prompt_tokens - 4'000);
  const double step = engine.step_seconds / static_cast<double>(engine.chunk_tokens);
  const double prefill =
      2 * static_cast<double>(extra) * (engine.prefill_seconds_per_token + step);
  constexpr std::array<double, kPriorityCount> kTarget = {1.3, 5, 30};
  constexpr std::array<double, kPriorityCount> kPatience = {10, 30, 90};
  const std::size_t rank = Rank(request.priority);
  request.first_token_target = FromSeconds(kTarget[rank] + prefill);
  request.patience = FromSeconds(kPatience[rank] + 2 * prefill);
}

Trace GenerateTrace(const FleetSpec& fleet, TraceKind kind, std::uint64_t seed) {
  SeededRandom random(seed);
  Trace trace;
  AddSources(fleet, kind, Capacity(fleet), random, trace);
  if (kind == TraceKind::kGroupPrompt) {
    TraceRequest group;
    group.arrival = FromSeconds(30);
    group.priority = Priority::kStandard;
    group.prompt_tokens = fleet.engine.memory_tokens * 9 / 4;
    group.output_tokens = group.max_output_tokens = 200;
    trace.requests.push_back(group);
  }
  std::stable_sort(
      trace.requests.begin(), trace.requests.end(),
      [](const TraceRequest& a, const TraceRequest& b) { return a.arrival < b.arrival; });
  for (TraceRequest& request : trace.requests) SetTargets(fleet.engine, request);
  trace.measured_from = FromSeconds(kWarmUpSeconds);
  trace.measured_to = FromSeconds(kTraceSeconds);
  return trace;
}

}  // namespace verbenaridge::replay
