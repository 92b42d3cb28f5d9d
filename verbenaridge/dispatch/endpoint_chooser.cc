#include "verbenaridge/dispatch/endpoint_chooser.h"

#include <algorithm>
#include <array>

namespace verbenaridge::dispatch {
namespace {

constexpr std::array<std::size_t, 6> kGroupSizes = {1, 2, 3, 4, 6, 8};

// Requests that differ by less than this in cost are spread at random, so that hosts with the same
// view do not choose alike.
constexpr double kSpread = 0.01;

double Ratio(Duration value, Duration target) {
  return target <= Duration{} ? 0 : ToSeconds(value) / ToSeconds(target);
}

class PredictiveChooser final : public EndpointChooser {
 public:
  explicit PredictiveChooser(const ChooserOptions& options) : options_(options) {}

  Choice Choose(const Demand& demand, std::span<const Candidate> candidates,
                RandomSource& random) override;

 private:
  struct Place {
    std::size_t index = 0;
    double harm = 0;        // requests that this one makes late
    Duration wait{};        // until the engine reads this prompt
    Duration first_pass{};  // from the end of the read to the first event
  };

  double Late(double ratio) const {
    return std::clamp((ratio - options_.late_from) / (options_.late_at - options_.late_from), 0.0,
                      1.0);
  }

  double Harm(const Demand& demand, const Candidate& candidate, Duration read) const;
  Place PlaceAt(const Demand& demand, std::span<const Candidate> candidates, std::size_t index,
                std::size_t parts) const;
  Choice Group(const Demand& demand, std::span<const Candidate> candidates, std::size_t parts,
               bool reserve, RandomSource& random) const;
  bool MayHold(const Demand& demand, const Candidate& candidate, std::size_t parts) const;

  const ChooserOptions options_;
};

// The harm that reading for `read` does to those who are at the engine.
double PredictiveChooser::Harm(const Demand& demand, const Candidate& candidate,
                               Duration read) const {
  const EndpointLoad& load = candidate.load;
  double harm = 0;
  const Duration pass = candidate.model->PassTime(load.decoding);
  if (load.tightest_gap > Duration{}) {
    const double before = Late(Ratio(pass + load.reading, load.tightest_gap));
    const double after = Late(Ratio(pass + load.reading + read, load.tightest_gap));
    harm += static_cast<double>(load.decoders_with_gap) * (after - before);
  }
  if (load.tightest_reader_gap > Duration{}) {
    // Those who read now decode while this prompt is read.
    const Duration later =
        candidate.model->PassTime({.sequences = load.decoding.sequences + 1,
                                   .context_tokens = load.decoding.context_tokens}) +
        read;
    harm += static_cast<double>(load.readers) * Late(Ratio(later, load.tightest_reader_gap));
  }
  if (load.works >= candidate.slots) harm += options_.full_cost;
  const auto memory = static_cast<double>(candidate.model->timing().kv_tokens) * options_.kv_fill;
  const auto needed = static_cast<double>(load.kv_tokens + demand.kv_tokens());
  if (needed > memory && demand.kv_tokens() < static_cast<TokenCount>(memory)) {
    harm += options_.no_memory_cost;
  }
  return harm;
}

PredictiveChooser::Place PredictiveChooser::PlaceAt(const Demand& demand,
                                                    std::span<const Candidate> candidates,
                                                    std::size_t index, std::size_t parts) const {
  const Candidate& candidate = candidates[index];
  const EndpointLoad& load = candidate.load;
  const Duration read = candidate.model->ReadTime(demand.prompt_tokens, parts);
  Place place{.index = index, .harm = Harm(demand, candidate, read)};
  if (load.works == 0 && read < options_.short_read && parts == 1) {
    place.harm += options_.idle_engine_cost;
  }
  // A pass that has begun ends first; on average half of it is left.
  place.wait = candidate.model->PassTime(load.decoding) / 2 + load.reading;
  place.first_pass = candidate.model->PassTime(
      {.sequences = load.decoding.sequences + 1,
       .context_tokens = load.decoding.context_tokens + demand.prompt_tokens});
  return place;
}

Choice PredictiveChooser::Group(const Demand& demand, std::span<const Candidate> candidates,
                                std::size_t parts, bool reserve, RandomSource& random) const {
  std::vector<Place> places;
  places.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    Place place = PlaceAt(demand, candidates, i, parts);
    place.harm += kSpread * random.Uniform();
    places.push_back(place);
  }
  const auto cost_of = [&](const Place& place) {
    const Duration first_event =
        place.wait + candidates[place.index].model->ReadTime(demand.prompt_tokens, parts) +
        place.first_pass;
    const double ratio = Ratio(demand.waited + first_event, demand.target_latency);
    return place.harm + Late(ratio) + options_.latency_weight * ratio;
  };
  const std::size_t count = std::min(parts, places.size());
  std::partial_sort(
      places.begin(), places.begin() + static_cast<std::ptrdiff_t>(count), places.end(),
      [&](const Place& a, const Place& b) { return cost_of(a) < cost_of(b); });
  Choice choice{.kind = ChoiceKind::kDispatch, .reserve = reserve};
  Duration slowest{};
  double memory = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const Place& place = places[i];
    const Candidate& candidate = candidates[place.index];
    choice.members.push_back(place.index);
    choice.cost += place.harm;
    slowest = std::max(slowest, place.wait + candidate.model->ReadTime(demand.prompt_tokens, parts));
    memory += static_cast<double>(candidate.model->timing().kv_tokens) * options_.kv_fill -
              static_cast<double>(candidate.load.kv_tokens);
  }
  choice.first_event = slowest + places[0].first_pass;
  const double ratio = Ratio(demand.waited + choice.first_event, demand.target_latency);
  choice.cost += Late(ratio) + options_.latency_weight * ratio +
                 options_.member_cost * static_cast<double>(count - 1);
  if (reserve && memory < static_cast<double>(demand.kv_tokens())) {
    choice.cost += options_.no_memory_cost * static_cast<double>(count);
  }
  return choice;
}

// Whether the request can wait a little and still be in time at an idle endpoint.
bool PredictiveChooser::MayHold(const Demand& demand, const Candidate& candidate,
                                std::size_t parts) const {
  const Duration best = candidate.model->ReadTime(demand.prompt_tokens, parts) +
                        candidate.model->PassTime({.sequences = 1});
  return Ratio(demand.waited + best, demand.target_latency) < options_.late_from;
}

Choice PredictiveChooser::Choose(const Demand& demand, std::span<const Candidate> candidates,
                                 RandomSource& random) {
  if (candidates.empty()) return {.kind = ChoiceKind::kNone};
  const PassModel& model = *candidates.front().model;
  const auto one_engine = static_cast<double>(model.timing().kv_tokens) * options_.kv_fill;
  const auto needed = static_cast<double>(demand.kv_tokens());
  const bool reserve = needed > one_engine;
  const bool is_short = model.ReadTime(demand.prompt_tokens, 1) < options_.short_read;
  Choice best;
  for (const std::size_t parts : kGroupSizes) {
    if (parts > std::min(options_.max_members, candidates.size())) break;
    if (parts > 1 && is_short) break;
    if (one_engine * static_cast<double>(parts) < needed) continue;
    Choice choice = Group(demand, candidates, parts, reserve, random);
    if (best.kind != ChoiceKind::kDispatch || choice.cost < best.cost) best = std::move(choice);
  }
  if (best.kind != ChoiceKind::kDispatch) return {.kind = ChoiceKind::kNever};
  if (best.cost > options_.hold_above &&
      MayHold(demand, candidates.front(), is_short ? 1 : best.members.size())) {
    best.kind = ChoiceKind::kHold;
  }
  return best;
}

class LeastBusyChooser final : public EndpointChooser {
 public:
  Choice Choose(const Demand& /*demand*/, std::span<const Candidate> candidates,
                RandomSource& random) override {
    Choice best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const Candidate& candidate = candidates[i];
      const double slots = static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
      const double cost = static_cast<double>(candidate.load.works) / slots +
                          candidate.error_rate + kSpread * random.Uniform();
      if (best.kind == ChoiceKind::kDispatch && cost >= best.cost) continue;
      best = {.kind = ChoiceKind::kDispatch, .members = {i}, .cost = cost};
    }
    return best;
  }
};

}  // namespace

std::unique_ptr<EndpointChooser> MakePredictiveChooser(const ChooserOptions& options) {
  return std::make_unique<PredictiveChooser>(options);
}

std::unique_ptr<EndpointChooser> MakeLeastBusyChooser() {
  return std::make_unique<LeastBusyChooser>();
}

}  // namespace verbenaridge::dispatch
