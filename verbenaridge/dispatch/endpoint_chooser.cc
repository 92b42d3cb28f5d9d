#include "verbenaridge/dispatch/endpoint_chooser.h"

#include <algorithm>
#include <array>

namespace verbenaridge::dispatch {
namespace {

constexpr std::array<std::size_t, 6> kGroupSizes = {1, 2, 3, 4, 6, 8};

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
    double harm = 0;        // weight of the requests that this one makes late
    Duration read_end{};    // from now until this engine has read its part
    Duration first_pass{};  // from there to the first event
    double cost = 0;        // as the only member, for the order
  };

  double Late(double ratio) const {
    return std::clamp((ratio - options_.late_from) / (options_.late_at - options_.late_from), 0.0,
                      1.0);
  }

  double HarmToDecoders(const Demand& demand, const Candidate& candidate, Duration read,
                        std::size_t parts) const;
  double HarmToReaders(const Demand& demand, const Candidate& candidate, Duration read,
                       std::size_t parts) const;
  double Crowding(const Demand& demand, const Candidate& candidate) const;
  double MemoryShortage(const Demand& demand, const Candidate& candidate, std::size_t parts) const;
  Place PlaceAt(const Demand& demand, std::span<const Candidate> candidates, std::size_t index,
                std::size_t parts) const;
  Choice Group(const Demand& demand, std::span<const Candidate> candidates, std::size_t parts,
               bool reserve, RandomSource& random) const;
  bool MayHold(const Demand& demand, const Candidate& candidate, const Choice& choice) const;

  const ChooserOptions options_;
};

// Reading stretches the passes of those who decode.
double PredictiveChooser::HarmToDecoders(const Demand& demand, const Candidate& candidate,
                                         Duration read, std::size_t parts) const {
  const EndpointLoad& load = candidate.load;
  if (load.tightest_gap <= Duration{}) return 0;
  const Duration pass = candidate.model->PassTime(load.decoding);
  const Duration in_pass = std::min(
      load.reading + read,
      std::max(load.reading, candidate.model->LongestReadInPass(demand.prompt_tokens, parts)));
  const double before = Late(Ratio(pass + load.reading, load.tightest_gap));
  const double after = Late(Ratio(pass + in_pass, load.tightest_gap));
  return load.decoders_weight * std::max(after - before, 0.0);
}

double PredictiveChooser::HarmToReaders(const Demand& demand, const Candidate& candidate,
                                        Duration read, std::size_t parts) const {
  const EndpointLoad& load = candidate.load;
  const Duration pass = candidate.model->PassTime(
      {.sequences = load.decoding.sequences + 1, .context_tokens = load.decoding.context_tokens});
  double harm = 0;
  for (const Reader& reader : load.readers) {
    if (parts > 1) {  // a part goes ahead, so the reader waits for it
      const Duration finish = reader.finish + pass;
      const double before = reader.due <= Duration{} ? 1 : Late(Ratio(finish, reader.due));
      const double after = reader.due <= Duration{} ? 1 : Late(Ratio(finish + read, reader.due));
      harm += reader.weight * (after - before);
    } else if (reader.target_gap > Duration{}) {  // the reader decodes while this prompt is read
      const Duration longest = candidate.model->LongestReadInPass(demand.prompt_tokens, parts);
      harm += reader.weight * Late(Ratio(pass + std::min(read, longest), reader.target_gap));
    }
  }
  return harm;
}

// No free slot, or no memory.
double PredictiveChooser::Crowding(const Demand& demand, const Candidate& candidate) const {
  double cost = 0;
  if (candidate.load.tasks >= candidate.slots) cost += options_.full_cost;
  const auto memory = static_cast<double>(candidate.model->timing().kv_tokens) * options_.kv_fill;
  const auto own = static_cast<double>(demand.kv_tokens());
  if (own <= memory && static_cast<double>(candidate.load.kv_tokens) + own > memory) {
    cost += options_.no_memory_cost;
  }
  return cost;
}

// Members that have their even part of the memory free come first.
double PredictiveChooser::MemoryShortage(const Demand& demand, const Candidate& candidate,
                                         std::size_t parts) const {
  const double needed = static_cast<double>(demand.kv_tokens()) / static_cast<double>(parts);
  const double free = static_cast<double>(candidate.model->timing().kv_tokens) * options_.kv_fill -
                      static_cast<double>(candidate.load.kv_tokens);
  return options_.no_memory_cost * std::clamp(1 - free / needed, 0.0, 1.0);
}

PredictiveChooser::Place PredictiveChooser::PlaceAt(const Demand& demand,
                                                    std::span<const Candidate> candidates,
                                                    std::size_t index, std::size_t parts) const {
  const Candidate& candidate = candidates[index];
  const EndpointLoad& load = candidate.load;
  const PassModel& model = *candidate.model;
  const Duration read = model.ReadTime(demand.prompt_tokens, parts);
  Place place{.index = index};
  place.harm = HarmToDecoders(demand, candidate, read, parts) +
               HarmToReaders(demand, candidate, read, parts) + Crowding(demand, candidate);
  // A pass that has begun ends first; on average half of it is left.
  place.read_end = model.PassTime(load.decoding) / 2 + read;
  if (parts == 1) place.read_end += load.reading;
  place.first_pass =
      model.PassTime({.sequences = load.decoding.sequences + 1,
                      .context_tokens = load.decoding.context_tokens + demand.prompt_tokens});
  const double ratio =
      Ratio(demand.waited + place.read_end + place.first_pass, demand.target_latency);
  place.cost = place.harm + demand.weight() * Late(ratio) + options_.latency_weight * ratio;
  if (parts == 1 && read < options_.short_read) {
    const double beside = std::min(static_cast<double>(load.tasks), options_.gathered);
    place.cost += options_.scatter_cost * (1 - beside / options_.gathered);
  }
  return place;
}

Choice PredictiveChooser::Group(const Demand& demand, std::span<const Candidate> candidates,
                                std::size_t parts, bool reserve, RandomSource& random) const {
  std::vector<Place> places;
  places.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    Place place = PlaceAt(demand, candidates, i, parts);
    place.cost += options_.spread * random.Uniform();
    if (reserve) place.cost += MemoryShortage(demand, candidates[i], parts);
    places.push_back(place);
  }
  const std::size_t count = std::min(parts, places.size());
  std::partial_sort(places.begin(), places.begin() + static_cast<std::ptrdiff_t>(count),
                    places.end(), [](const Place& a, const Place& b) { return a.cost < b.cost; });
  Choice choice{.kind = ChoiceKind::kDispatch, .reserve = reserve};
  Duration slowest{};
  double memory = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const Place& place = places[i];
    const Candidate& candidate = candidates[place.index];
    choice.members.push_back(place.index);
    choice.harm += place.harm;
    slowest = std::max(slowest, place.read_end);
    memory += std::max(static_cast<double>(candidate.model->timing().kv_tokens) * options_.kv_fill -
                           static_cast<double>(candidate.load.kv_tokens),
                       0.0);
  }
  if (reserve && memory < static_cast<double>(demand.kv_tokens())) choice.kind = ChoiceKind::kHold;
  choice.first_event = slowest + places[0].first_pass;
  const double ratio = Ratio(demand.waited + choice.first_event, demand.target_latency);
  choice.cost = choice.harm + demand.weight() * Late(ratio) + options_.latency_weight * ratio +
                options_.member_cost * static_cast<double>(count - 1);
  return choice;
}

// Whether waiting costs the request nothing: it can still be in time, or it is late anyway and can
// still be answered.
bool PredictiveChooser::MayHold(const Demand& demand, const Candidate& candidate,
                                const Choice& choice) const {
  const Duration needed =
      candidate.model->ReadTime(demand.prompt_tokens, choice.members.size()) +
      candidate.model->PassTime({.sequences = 1, .context_tokens = demand.prompt_tokens});
  if (Ratio(demand.waited + needed, demand.target_latency) < options_.late_from) return true;
  const bool late = Ratio(demand.waited + needed, demand.target_latency) > options_.late_at;
  return late && demand.remaining > 2 * needed + options_.hold_margin;
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
  bool possible = false;  // later, if not now
  for (const std::size_t parts : kGroupSizes) {
    if (parts > std::min(options_.max_members, candidates.size())) break;
    if (parts > 1 && is_short) break;
    if (one_engine * static_cast<double>(parts) < needed) continue;
    possible = true;
    Choice choice = Group(demand, candidates, parts, reserve, random);
    if (choice.kind == ChoiceKind::kHold) continue;  // memory is not free
    if (best.kind != ChoiceKind::kDispatch || choice.cost < best.cost) best = std::move(choice);
  }
  if (best.kind != ChoiceKind::kDispatch) {
    return {.kind = possible ? ChoiceKind::kHold : ChoiceKind::kNever};
  }
  const bool too_harmful = !is_short && best.harm > options_.most_harm * demand.weight();
  if (too_harmful ||
      (best.harm > options_.hold_above && MayHold(demand, candidates.front(), best))) {
    best.kind = ChoiceKind::kHold;
  }
  return best;
}

// As ChooserOptions::spread, for plain endpoints.
constexpr double kPlainSpread = 0.01;

class LeastBusyChooser final : public EndpointChooser {
 public:
  Choice Choose(const Demand& /*demand*/, std::span<const Candidate> candidates,
                RandomSource& random) override {
    Choice best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const Candidate& candidate = candidates[i];
      const double slots = static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
      const double cost = static_cast<double>(candidate.load.tasks) / slots + candidate.error_rate +
                          kPlainSpread * random.Uniform();
      if (best.kind == ChoiceKind::kDispatch && cost >= best.cost) continue;
      best = {.kind = ChoiceKind::kDispatch, .members = {i}, .cost = cost};
    }
    return best;
  }
};

}  // namespace

ChooserOptions WithoutView(ChooserOptions options) {
  options.scatter_cost = 0;
  options.spread = 0.5;
  return options;
}

std::unique_ptr<EndpointChooser> MakePredictiveChooser(const ChooserOptions& options) {
  return std::make_unique<PredictiveChooser>(options);
}

std::unique_ptr<EndpointChooser> MakeLeastBusyChooser() {
  return std::make_unique<LeastBusyChooser>();
}

}  // namespace verbenaridge::dispatch
