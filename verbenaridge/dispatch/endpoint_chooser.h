// Chooses the endpoint, or the group of endpoints, that one request is sent to.
//
//   std::unique_ptr<EndpointChooser> chooser = MakePredictiveChooser({});
//   Choice choice = chooser->Choose(demand, candidates, random);
//   if (choice.kind == ChoiceKind::kDispatch) Send(candidates[choice.members.front()]);
//
// The predictive chooser works out, for each endpoint, when the first event would come and which
// other requests would miss their targets because of it. It takes the endpoint with the lowest sum
// of both, in requests that come late, where a long prompt counts for more than a short one. A
// request that would do harm everywhere is held while it can still be in time later, or while it is
// late anyway and its deadline is far. Long prompts are read in even parts by several engines where
// that brings them into their target.
#ifndef VERBENARIDGE_DISPATCH_ENDPOINT_CHOOSER_H_
#define VERBENARIDGE_DISPATCH_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/dispatch/load_table.h"
#include "verbenaridge/dispatch/pass_model.h"

namespace verbenaridge::dispatch {

struct Demand {
  TokenCount prompt_tokens = 0;  // zero: no generation
  TokenCount output_tokens = 0;
  Duration target_latency{};
  Duration target_gap{};
  Duration waited{};     // since the request came
  Duration remaining{};  // until its deadline

  // Memory that it holds on engines at its end.
  TokenCount kv_tokens() const { return prompt_tokens + output_tokens; }

  // What it counts for: a longer prompt has cost its client and the engines more.
  double weight() const {
    constexpr double kTokensOfTwo = 100'000;
    return 1 + static_cast<double>(prompt_tokens) / kTokensOfTwo;
  }
};

// An endpoint that may take the request.
struct Candidate {
  Digest key = 0;
  const PassModel* model = nullptr;  // null: no model engine
  std::size_t slots = 0;
  EndpointLoad load;
  double error_rate = 0;
};

enum class ChoiceKind : std::uint8_t {
  kDispatch,
  kHold,   // ask again when the load changes
  kNone,   // no candidate
  kNever,  // no group of these endpoints can hold the prompt
};

struct Choice {
  ChoiceKind kind = ChoiceKind::kNone;
  std::vector<std::size_t> members;  // indexes of candidates; the first one receives the request
  bool reserve = false;              // memory must be reserved at the members first
  Duration first_event{};            // predicted, from now
  double cost = 0;
  double harm = 0;  // the part of the cost that others bear
};

struct ChooserOptions {
  // A request counts as late from here on, in parts of its target: predictions err.
  double late_from = 0.6;
  double late_at = 1.0;
  // Added for the predicted time, so that the faster of two harmless endpoints is taken.
  double latency_weight = 0.1;
  // Short prompts gather on few engines, because a long one stretches the pauses of all who decode
  // beside it and needs an engine without them. This is added for a short prompt on an idle engine,
  // and less where others are, down to nothing at `gathered`.
  double scatter_cost = 0.1;
  double gathered = 10;
  Duration short_read = std::chrono::milliseconds(200);
  // Endpoints that differ by less than this in cost are drawn at random, so that hosts with the
  // same view do not choose alike.
  double spread = 0.01;
  double full_cost = 2;       // no slot is free: the request waits for one
  double no_memory_cost = 3;  // the engine would preempt its newest request
  double kv_fill = 0.95;      // token counts of answers are estimates
  double member_cost = 0.05;  // of each further engine of a group
  std::size_t max_members = 8;
  // A request that does more harm than this is held while waiting costs it nothing.
  double hold_above = 0.4;
  // A long prompt that does more harm than this many times its own weight is held to the end: one
  // prompt over several engines must not make all that runs there late.
  double most_harm = 1.5;
  // A request that is late anyway is dispatched when its deadline is this near, beyond twice the
  // time that it needs.
  Duration hold_margin = std::chrono::milliseconds(1'500);
};

// For a host that has just started and does not know what the others have sent: spreads its
// requests over all engines, since it cannot tell where others gather.
ChooserOptions WithoutView(ChooserOptions options);

// Used by one thread.
class EndpointChooser {
 public:
  virtual ~EndpointChooser() = default;

  virtual Choice Choose(const Demand& demand, std::span<const Candidate> candidates,
                        RandomSource& random) = 0;
};

std::unique_ptr<EndpointChooser> MakePredictiveChooser(const ChooserOptions& options);

// For endpoints without a timing model: the least busy of those that fail least.
std::unique_ptr<EndpointChooser> MakeLeastBusyChooser();

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_ENDPOINT_CHOOSER_H_
