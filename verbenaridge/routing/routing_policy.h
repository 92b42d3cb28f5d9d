// Chooses candidate endpoints for one request.
//
//   std::unique_ptr<RoutingPolicy> policy = MakePolicy("owner_permits_affinity", options, now);
//   RouteDecision decision = policy->Choose(request, views, random);
//   for (const Candidate& candidate : decision.candidates()) AskOwner(views[candidate.index]);
//   policy->OnDispatched(views[chosen], request, cost_seconds);
#ifndef VERBENARIDGE_ROUTING_ROUTING_POLICY_H_
#define VERBENARIDGE_ROUTING_ROUTING_POLICY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/routing/prefix_index.h"

namespace verbenaridge::routing {

enum class EndpointRole : std::uint8_t { kAny, kPrefill, kDecode };

// An endpoint as an ingress daemon sees it. The values from the endpoint's report lag behind.
struct EndpointView {
  EndpointId id;
  Digest key = 0;              // HashOf(id.value())
  Digest data_centre = 0;      // HashOf(data centre's name)
  std::vector<Digest> models;  // HashOf(model's name)
  EndpointRole role = EndpointRole::kAny;
  ByteCount kv_capacity_bytes = 0;
  ByteCount free_kv_bytes = 0;
  ByteCount kv_bytes_per_token = 0;
  double prefill_rate = 0;  // tokens/s
  std::array<Duration, kPriorityCount> queue_delay{};
  std::uint32_t running = 0;
  std::uint32_t long_prefills = 0;
  bool leaving = false;
  bool available = true;  // circuit closed, owner known
  TimePoint reported{};
};

struct RouteRequest {
  Digest model = 0;
  Digest data_centre = 0;  // of this daemon
  EndpointRole role = EndpointRole::kAny;
  Priority priority = Priority::kStandard;
  TokenCount prompt_tokens = 0;
  TokenCount max_output_tokens = 0;
  std::span<const Digest> prefix_blocks{};
  std::span<const Digest> excluded{};  // keys of endpoints that were tried already
  TimePoint now{};
};

struct Candidate {
  std::size_t index = 0;   // in the views
  Duration first_token{};  // predicted, from now
  Duration queue_delay{};
  TokenCount cached_tokens = 0;
  bool lent = false;     // long prompt outside its share
  bool spilled = false;  // another data centre
};

enum class RouteFailure : std::uint8_t {
  kNone,
  kNoModel,    // no endpoint serves the model
  kTooLong,    // fits no single endpoint and needs a group
  kNoneReady,  // all endpoints that fit are leaving, unavailable or excluded
};

class RouteDecision {
 public:
  static constexpr std::size_t kMaxCandidates = 3;

  std::span<const Candidate> candidates() const { return {list_.data(), count_}; }
  void Add(const Candidate& candidate) {
    if (count_ < kMaxCandidates) list_[count_++] = candidate;
  }
  RouteFailure failure = RouteFailure::kNone;

 private:
  std::array<Candidate, kMaxCandidates> list_{};
  std::size_t count_ = 0;
};

struct PolicyOptions {
  TokenCount long_prompt_tokens = 16'000;
  double long_share = 0.4;      // of the endpoints of a model in a data centre, rounded up
  double max_long_share = 0.6;  // with lent endpoints; the rest is reserved for short prompts
  // A long prompt goes to an endpoint outside its share only if that starts it this much sooner.
  Duration lend_gain = std::chrono::seconds(1);
  // Added to the predicted first token of a prompt that is not long, at endpoints that run a long
  // prefill.
  Duration long_penalty = std::chrono::milliseconds(150);
  // Added to the predicted first token when the reported free KV memory is too small, because
  // streams must end first.
  Duration memory_penalty = std::chrono::milliseconds(500);
  TokenCount block_tokens = 256;
  double kv_fill = 0.95;
  // Difference in predicted first token that lowers the weight of a candidate by the factor e. It
  // exceeds the error of lagged reports, so that daemons with the same summaries choose
  // differently.
  Duration spread = std::chrono::milliseconds(40);
  // Predicted waits above which an owner refuses a request, which then goes to the next candidate.
  std::array<Duration, kPriorityCount> redirect_above = {std::chrono::milliseconds(50),
                                                         std::chrono::milliseconds(150),
                                                         std::chrono::milliseconds(300)};
  Duration report_lag = std::chrono::milliseconds(600);  // decay time of own dispatches
  // Queue delays that all local candidates must exceed before a request may spill.
  std::array<Duration, kPriorityCount> spill_above = {
      std::chrono::milliseconds(500), std::chrono::seconds(5), std::chrono::seconds(30)};
  double spill_per_second = 2;  // requests this daemon may send to other data centres
  double spill_burst = 5;
  Duration spill_accept_delay = std::chrono::milliseconds(100);  // maximum at the other endpoint
  Duration spill_cost = std::chrono::milliseconds(20);           // round trips and lost affinity
  PrefixOptions prefix{};
};

// Preset that gives most weight to urgent requests and to the slowdown of short ones.
PolicyOptions KaoriSachetOptions();
// Preset that gives most weight to floods and to small client accounts.
PolicyOptions AlpenrandOptions();

// Used by one thread.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  virtual RouteDecision Choose(const RouteRequest& request, std::span<const EndpointView> views,
                               RandomSource& random) = 0;

  // Records that the request was sent to `view`. It is spilled if `view` is in another data centre.
  virtual void OnDispatched(const EndpointView& view, const RouteRequest& request,
                            double cost_seconds) = 0;
  virtual void OnFinished(const EndpointView& view) = 0;

  // Only policies that use prefixes override these two.
  virtual void OnCacheEvent(Digest /*endpoint*/, const CacheEvent& /*event*/, TimePoint /*now*/) {}
  virtual void OnEndpointRestart(Digest /*endpoint*/) {}

  // Whether requests need an owner's permit. Otherwise they go to the endpoint immediately.
  virtual bool uses_permits() const = 0;
};

// Creates the policy "least_outstanding", "two_choices", "owner_permits" or
// "owner_permits_affinity". Returns null for any other name.
std::unique_ptr<RoutingPolicy> MakePolicy(std::string_view name, const PolicyOptions& options);

// Whether the endpoint can serve the request now, apart from its load.
bool Eligible(const EndpointView& view, const RouteRequest& request, double kv_fill);

// Returns the reason why no view is eligible.
RouteFailure ExplainFailure(const RouteRequest& request, std::span<const EndpointView> views,
                            double kv_fill);

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_ROUTING_POLICY_H_
