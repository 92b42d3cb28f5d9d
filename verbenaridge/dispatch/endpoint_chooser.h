// Chooses the endpoint, or the group of endpoints, that one request is sent to.
//
//   std::unique_ptr<EndpointChooser> chooser = MakePredictiveChooser({});
//   Choice choice = chooser->Choose(demand, candidates, random);
//   if (choice.kind == ChoiceKind::kDispatch) Send(candidates[choice.members.front()]);
//
// The predictive chooser computes, for each endpoint, the time of the first event and the other
// requests that would miss their targets because of this one. Both costs are in units of late
// requests, where a long prompt has more weight than a short one, and the endpoint with the lowest
// sum is chosen. A request that would harm others everywhere is queued while it can still meet its
// target later, or while it is late anyway and its deadline is far. Long prompts are shared evenly
// by several engines where that lets them meet their target. A request whose first event would come
// after its deadline is rejected: its prefill would delay others for nothing. Among engines where
// nobody is late, short prompts are packed up to a share of the slots, and the own data centre is
// preferred.
#ifndef VERBENARIDGE_DISPATCH_ENDPOINT_CHOOSER_H_
#define VERBENARIDGE_DISPATCH_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <memory>
#include <optional>
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
  Duration waited{};     // since the arrival of the request
  Duration remaining{};  // until the deadline

  // KV cache memory that the complete request occupies.
  TokenCount kv_tokens() const { return prompt_tokens + output_tokens; }

  // Cost of missing the target. A longer prompt costs its client and the engines more.
  double weight() const {
    constexpr double kTokensOfWeightTwo = 100'000;
    return 1 + static_cast<double>(prompt_tokens) / kTokensOfWeightTwo;
  }
};

// An endpoint that may take the request.
struct Candidate {
  Digest key = 0;
  const PassModel* model = nullptr;  // null: not a model engine
  std::size_t slots = 0;
  EndpointLoad load;
  double error_rate = 0;
  bool remote = false;  // in another data centre than the host that decides
  // Of a remote endpoint, as from CrossingPolicy; none: the fixed one.
  std::optional<double> crossing_cost{};
};

enum class ChoiceKind : std::uint8_t {
  kDispatch,
  kQueue,  // ask again when the load has changed
  kNoCandidate,
  kTooLarge,  // no group of these endpoints has enough memory for the prompt
  // The first event would miss the deadline even if all endpoints were idle, or at those where the
  // request harms others least.
  kUnservable,
};

struct Choice {
  ChoiceKind kind = ChoiceKind::kNoCandidate;
  std::vector<std::size_t> members;  // indexes of candidates; the first one receives the request
  bool reserve = false;              // memory must be reserved at the members before the dispatch
  Duration first_event{};            // predicted, from now
  double cost = 0;
  double harm = 0;              // share of the cost that falls on other requests
  bool waits_for_slot = false;  // queued because even the best engine has no free slot
};

struct ChooserOptions {
  // The cost of lateness rises from 0 at `late_from` to 1 at `late_at`, in fractions of the target.
  // It starts below 1 because predictions are inexact.
  double late_from = 0.6;
  double late_at = 1.0;
  // Cost of a request that misses its deadline, in addition to that of a late one. It rises from
  // `late_from` of the time left. Without it, requests that are late already would be delayed by
  // others until they are lost, and their engines would have prefilled for nothing.
  double lost_cost = 0.5;
  // Nineteen of twenty first events take at least this share of the predicted time. A request is
  // rejected if it would miss its deadline even then.
  double certain_share = 0.7;
  // Weight of the predicted time, so that the faster of two harmless endpoints is chosen.
  double latency_weight = 0.1;
  // Short prompts are packed onto few engines, because a long prompt extends the gaps of all
  // requests that decode on its engine and therefore needs an engine without them. Each engine is
  // filled up to a share of its slots: hosts that decide at the same time would fill the last ones
  // twice, and a request without a slot waits for another one to end.
  double packed_share = 0.6;
  double scatter_cost = 0.1;  // of an idle engine; falls to zero at the packed share
  double crowd_cost = 0.1;    // of the last slot; rises from zero at the packed share
  Duration short_prefill = std::chrono::milliseconds(200);
  // Upper bound of the random cost added to each endpoint, so that hosts with the same view choose
  // different endpoints among those of similar cost.
  double cost_jitter = 0.01;
  double full_cost = 2;       // no slot is free, so the request waits for one
  double no_memory_cost = 3;  // memory is short, so the engine would preempt its newest request
  double max_kv_fill = 0.95;  // usable share of the memory; output token counts are estimates
  double member_cost = 0.05;  // of each additional engine of a group
  std::size_t max_members = 8;
  // A request that does more harm than this is queued while waiting costs it nothing.
  double queue_above_harm = 0.4;
  // A long prompt whose harm exceeds this multiple of its own weight is queued until its deadline.
  // One prompt on several engines must not make all requests there late.
  double max_harm_ratio = 1.5;
  // A short prompt is queued here while the best engine has no free slot. Otherwise it is sent to
  // wait in that engine's queue once waiting here would make it late, and another engine may have a
  // slot first.
  bool wait_for_slot = false;
  // A request that is late anyway is queued until the time left is twice the time that it needs
  // plus this margin.
  Duration queue_deadline_margin = std::chrono::milliseconds(1'500);
};

// Options for a host that has just started and does not know the tasks of its peers. It distributes
// its requests over all engines, since it cannot tell where the others pack theirs.
ChooserOptions WithoutPeerLoad(ChooserOptions options);

// Used by one thread.
class EndpointChooser {
 public:
  virtual ~EndpointChooser() = default;

  virtual Choice Choose(const Demand& demand, std::span<const Candidate> candidates,
                        RandomSource& random) = 0;
};

std::unique_ptr<EndpointChooser> MakePredictiveChooser(const ChooserOptions& options);

// For endpoints without a timing model. Minimizes the sum of slot utilization and error rate, and
// prefers endpoints of the same data centre.
std::unique_ptr<EndpointChooser> MakeLeastBusyChooser();

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_ENDPOINT_CHOOSER_H_
