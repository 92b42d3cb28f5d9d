#include "verbenaridge/dispatch/endpoint_chooser.h"

#include <algorithm>
#include <array>

#include "verbenaridge/dispatch/crossing_policy.h"

namespace verbenaridge::dispatch {
namespace {

constexpr std::array<std::size_t, 6> kGroupSizes = {1, 2, 3, 4, 6, 8};

double Ratio(Duration value, Duration target) {
  return target <= Duration{} ? 0 : ToSeconds(value) / ToSeconds(target);
}

double CrossingCost(const Candidate& candidate, double fixed) {
  return candidate.remote ? candidate.crossing_cost.value_or(fixed) : 0;
}

class PredictiveChooser final : public EndpointChooser {
 public:
  explicit PredictiveChooser(const ChooserOptions& options) : options_(options) {}

  Choice Choose(const Demand& demand, std::span<const Candidate> candidates,
                RandomSource& random) override;

 private:
  struct Evaluation {
    std::size_t index = 0;
    double harm = 0;         // weight of the requests that this one would make late
    Duration prefill_end{};  // from now until the prefill of this engine's part is complete
    Duration first_pass{};   // from the end of the prefill to the first event
    double cost = 0;         // as the only member, to rank the candidates
  };

  double Lateness(double ratio) const {
    return std::clamp((ratio - options_.late_from) / (options_.late_at - options_.late_from), 0.0,
                      1.0);
  }

  // Cost of a first event after `time`, for a request of weight 1. Zero `deadline`: not known.
  double DelayCost(Duration time, Duration due, Duration deadline) const {
    const double late = due <= Duration{} ? 1 : Lateness(Ratio(time, due));
    return late + options_.lost_cost * Lateness(Ratio(time, deadline));
  }

  double HarmToDecoders(const Demand& demand, const Candidate& candidate, Duration prefill,
                        std::size_t parts) const;
  double HarmToPendingPrefills(const Demand& demand, const Candidate& candidate, Duration prefill,
                               std::size_t parts) const;
  Duration PendingPrefillInPass(const Candidate& candidate) const;
  double SaturationCost(const Demand& demand, const Candidate& candidate) const;
  double MemoryShortageCost(const Demand& demand, const Candidate& candidate,
                            std::size_t parts) const;
  double PackingCost(const Candidate& candidate) const;
  // Cost of a first event of the request itself after `time`.
  double OwnCost(const Demand& demand, Duration time) const {
    const double ratio = Ratio(demand.waited + time, demand.target_latency);
    return demand.weight() *
               (Lateness(ratio) + options_.lost_cost * Lateness(Ratio(time, demand.remaining))) +
           options_.latency_weight * ratio;
  }
  Evaluation Evaluate(const Demand& demand, std::span<const Candidate> candidates,
                      std::size_t index, std::size_t parts) const;
  Choice Group(const Demand& demand, std::span<const Candidate> candidates, std::size_t parts,
               bool reserve, RandomSource& random) const;
  bool MayQueue(const Demand& demand, const Candidate& candidate, const Choice& choice) const;
  // Whether a first event that is predicted after `time` certainly misses the deadline.
  bool MissesDeadline(const Demand& demand, Duration time) const {
    return options_.certain_share * ToSeconds(time) > ToSeconds(demand.remaining);
  }

  const ChooserOptions options_;
};

// Prefill extends the passes of decoding requests.
double PredictiveChooser::HarmToDecoders(const Demand& demand, const Candidate& candidate,
                                         Duration prefill, std::size_t parts) const {
  const EndpointLoad& load = candidate.load;
  if (load.tightest_gap <= Duration{}) return 0;
  const Duration pass = candidate.model->PassTime(load.decoding);
  const Duration prefill_in_pass = std::min(
      load.prefill_time + prefill,
      std::max(load.prefill_time, candidate.model->MaxPrefillInPass(demand.prompt_tokens, parts)));
  const double before = Lateness(Ratio(pass + load.prefill_time, load.tightest_gap));
  const double after = Lateness(Ratio(pass + prefill_in_pass, load.tightest_gap));
  return load.decoding_weight * std::max(after - before, 0.0);
}

double PredictiveChooser::HarmToPendingPrefills(const Demand& demand, const Candidate& candidate,
                                                Duration prefill, std::size_t parts) const {
  const EndpointLoad& load = candidate.load;
  const Duration pass = candidate.model->PassTime(
      {.sequences = load.decoding.sequences + 1, .context_tokens = load.decoding.context_tokens});
  double harm = 0;
  for (const PendingPrefill& pending : load.pending_prefills) {
    if (parts > 1) {  // a partial prefill goes first and delays the pending one
      const Duration finish = pending.finish + pass;
      harm += pending.weight * (DelayCost(finish + prefill, pending.due, pending.deadline) -
                                DelayCost(finish, pending.due, pending.deadline));
    } else if (pending.target_gap >
               Duration{}) {  // the pending request decodes during this prefill
      const Duration max_in_pass = candidate.model->MaxPrefillInPass(demand.prompt_tokens, parts);
      harm += pending.weight *
              Lateness(Ratio(pass + std::min(prefill, max_in_pass), pending.target_gap));
    }
  }
  return harm;
}

// How much of the pending prefills may be in the running pass. An engine that decodes prefills up
// to `stride` chunks in one pass.
Duration PredictiveChooser::PendingPrefillInPass(const Candidate& candidate) const {
  if (candidate.load.decoding.sequences == 0) return {};
  return std::min(candidate.load.prefill_time, candidate.model->MaxPrefillInAnyPass());
}

// Cost of an engine without a free slot or without enough free memory.
double PredictiveChooser::SaturationCost(const Demand& demand, const Candidate& candidate) const {
  double cost = 0;
  if (candidate.load.tasks >= candidate.slots) cost += options_.full_cost;
  const auto memory =
      static_cast<double>(candidate.model->timing().kv_tokens) * options_.max_kv_fill;
  const auto needed = static_cast<double>(demand.kv_tokens());
  if (needed <= memory && static_cast<double>(candidate.load.kv_tokens) + needed > memory) {
    cost += options_.no_memory_cost;
  }
  return cost;
}

// Ranks members with enough free memory for their even share first.
double PredictiveChooser::MemoryShortageCost(const Demand& demand, const Candidate& candidate,
                                             std::size_t parts) const {
  const double needed = static_cast<double>(demand.kv_tokens()) / static_cast<double>(parts);
  const double free =
      static_cast<double>(candidate.model->timing().kv_tokens) * options_.max_kv_fill -
      static_cast<double>(candidate.load.kv_tokens);
  return options_.no_memory_cost * std::clamp(1 - free / needed, 0.0, 1.0);
}

double PredictiveChooser::PackingCost(const Candidate& candidate) const {
  const double slots = static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
  const double used = std::min(static_cast<double>(candidate.load.tasks) / slots, 1.0);
  if (used < options_.packed_share) {
    return options_.scatter_cost * (1 - used / options_.packed_share);
  }
  return options_.crowd_cost * (used - options_.packed_share) / (1 - options_.packed_share);
}

PredictiveChooser::Evaluation PredictiveChooser::Evaluate(const Demand& demand,
                                                          std::span<const Candidate> candidates,
                                                          std::size_t index,
                                                          std::size_t parts) const {
  const Candidate& candidate = candidates[index];
  const EndpointLoad& load = candidate.load;
  const PassModel& model = *candidate.model;
  const Duration prefill = model.PrefillTime(demand.prompt_tokens, parts);
  Evaluation evaluation{.index = index};
  evaluation.harm = HarmToDecoders(demand, candidate, prefill, parts) +
                    HarmToPendingPrefills(demand, candidate, prefill, parts) +
                    SaturationCost(demand, candidate);
  // The running pass ends first; on average half of it is left.
  evaluation.prefill_end = model.PassTime(load.decoding) / 2 + load.delay + prefill;
  if (parts == 1) {
    evaluation.prefill_end += load.prefill_time;
  } else {
    // A part precedes the pending prefills, but not those of the running pass.
    evaluation.prefill_end += PendingPrefillInPass(candidate);
  }
  evaluation.first_pass =
      model.PassTime({.sequences = load.decoding.sequences + 1,
                      .context_tokens = load.decoding.context_tokens + demand.prompt_tokens});
  evaluation.cost =
      evaluation.harm + OwnCost(demand, evaluation.prefill_end + evaluation.first_pass);
  if (parts == 1 && prefill < options_.short_prefill) {
    evaluation.cost += PackingCost(candidate);
  }
  return evaluation;
}

Choice PredictiveChooser::Group(const Demand& demand, std::span<const Candidate> candidates,
                                std::size_t parts, bool reserve, RandomSource& random) const {
  std::vector<Evaluation> evaluations;
  evaluations.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    Evaluation evaluation = Evaluate(demand, candidates, i, parts);
    evaluation.cost += options_.cost_jitter * random.Uniform();
    evaluation.cost += CrossingCost(candidates[i], kFixedEngineCrossing);
    if (reserve) evaluation.cost += MemoryShortageCost(demand, candidates[i], parts);
    evaluations.push_back(evaluation);
  }
  const std::size_t count = std::min(parts, evaluations.size());
  std::partial_sort(evaluations.begin(), evaluations.begin() + static_cast<std::ptrdiff_t>(count),
                    evaluations.end(),
                    [](const Evaluation& a, const Evaluation& b) { return a.cost < b.cost; });
  Choice choice{.kind = ChoiceKind::kDispatch, .reserve = reserve};
  Duration slowest{};
  double memory = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const Evaluation& evaluation = evaluations[i];
    const Candidate& candidate = candidates[evaluation.index];
    choice.members.push_back(evaluation.index);
    choice.harm += evaluation.harm;
    slowest = std::max(slowest, evaluation.prefill_end);
    memory +=
        std::max(static_cast<double>(candidate.model->timing().kv_tokens) * options_.max_kv_fill -
                     static_cast<double>(candidate.load.kv_tokens),
                 0.0);
  }
  if (reserve && memory < static_cast<double>(demand.kv_tokens())) choice.kind = ChoiceKind::kQueue;
  choice.first_event = slowest + evaluations[0].first_pass;
  choice.cost = choice.harm + OwnCost(demand, choice.first_event) +
                options_.member_cost * static_cast<double>(count - 1);
  return choice;
}

// Returns whether waiting costs the request nothing: it can still meet its target, or it is late
// anyway and can still complete before its deadline.
bool PredictiveChooser::MayQueue(const Demand& demand, const Candidate& candidate,
                                 const Choice& choice) const {
  const Duration needed =
      candidate.model->PrefillTime(demand.prompt_tokens, choice.members.size()) +
      candidate.model->PassTime({.sequences = 1, .context_tokens = demand.prompt_tokens});
  if (Ratio(demand.waited + needed, demand.target_latency) < options_.late_from) return true;
  const bool late = Ratio(demand.waited + needed, demand.target_latency) > options_.late_at;
  return late && demand.remaining > 2 * needed + options_.queue_deadline_margin;
}

Choice PredictiveChooser::Choose(const Demand& demand, std::span<const Candidate> candidates,
                                 RandomSource& random) {
  if (candidates.empty()) return {.kind = ChoiceKind::kNoCandidate};
  const PassModel& model = *candidates.front().model;
  const auto one_engine = static_cast<double>(model.timing().kv_tokens) * options_.max_kv_fill;
  const auto needed = static_cast<double>(demand.kv_tokens());
  const bool reserve = needed > one_engine;
  const bool is_short = model.PrefillTime(demand.prompt_tokens, 1) < options_.short_prefill;
  Choice best;
  bool possible = false;                // now or later
  Duration shortest = Duration::max();  // time to the first event if all engines were idle
  const Duration pass = model.PassTime({.sequences = 1, .context_tokens = demand.prompt_tokens});
  for (const std::size_t parts : kGroupSizes) {
    if (parts > std::min(options_.max_members, candidates.size())) break;
    if (parts > 1 && is_short) break;
    if (one_engine * static_cast<double>(parts) < needed) continue;
    possible = true;
    shortest = std::min(shortest, model.PrefillTime(demand.prompt_tokens, parts) + pass);
    Choice choice = Group(demand, candidates, parts, reserve, random);
    if (choice.kind == ChoiceKind::kQueue) continue;  // not enough free memory
    if (best.kind != ChoiceKind::kDispatch || choice.cost < best.cost) best = std::move(choice);
  }
  if (!possible) return {.kind = ChoiceKind::kTooLarge};
  if (MissesDeadline(demand, shortest)) return {.kind = ChoiceKind::kUnservable};
  if (best.kind != ChoiceKind::kDispatch) return {.kind = ChoiceKind::kQueue};
  const Candidate& first = candidates[best.members.front()];
  if (options_.wait_for_slot && is_short && first.load.tasks >= first.slots) {
    best.kind = ChoiceKind::kQueue;
    best.waits_for_slot = true;
    return best;
  }
  const bool too_harmful = !is_short && best.harm > options_.max_harm_ratio * demand.weight();
  if (too_harmful ||
      (best.harm > options_.queue_above_harm && MayQueue(demand, candidates.front(), best))) {
    best.kind = ChoiceKind::kQueue;
  } else if (MissesDeadline(demand, best.first_event)) {
    best.kind = ChoiceKind::kUnservable;
  }
  return best;
}

// As in ChooserOptions, for endpoints without a timing model.
constexpr double kPlainCostJitter = 0.01;

class LeastBusyChooser final : public EndpointChooser {
 public:
  Choice Choose(const Demand& /*demand*/, std::span<const Candidate> candidates,
                RandomSource& random) override {
    Choice best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const Candidate& candidate = candidates[i];
      const double slots = static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
      const double cost = static_cast<double>(candidate.load.tasks) / slots + candidate.error_rate +
                          CrossingCost(candidate, kFixedPlainCrossing) +
                          kPlainCostJitter * random.Uniform();
      if (best.kind == ChoiceKind::kDispatch && cost >= best.cost) continue;
      best = {.kind = ChoiceKind::kDispatch, .members = {i}, .cost = cost};
    }
    return best;
  }
};

}  // namespace

ChooserOptions WithoutPeerLoad(ChooserOptions options) {
  options.scatter_cost = 0;
  options.crowd_cost = 0;
  options.cost_jitter = 0.5;
  return options;
}

std::unique_ptr<EndpointChooser> MakePredictiveChooser(const ChooserOptions& options) {
  return std::make_unique<PredictiveChooser>(options);
}

std::unique_ptr<EndpointChooser> MakeLeastBusyChooser() {
  return std::make_unique<LeastBusyChooser>();
}

}  // namespace verbenaridge::dispatch
