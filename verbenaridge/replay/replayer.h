// Runs a trace through the decision code in virtual time.
//
// One process, no network: messages between daemons, owners and engines take fixed times. Policies
// without permits send to engines at once, as daemons that decide alone do; the baseline's engines
// run one FIFO queue.
//
//   Metrics metrics = Replay(fleet, trace, {.policy = "owner_permits_affinity"});
#ifndef VERBENARIDGE_REPLAY_REPLAYER_H_
#define VERBENARIDGE_REPLAY_REPLAYER_H_

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "verbenaridge/admission/account_ledger.h"
#include "verbenaridge/admission/early_rejection.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/cost/cost_model.h"
#include "verbenaridge/groups/group_reservation.h"
#include "verbenaridge/permits/endpoint_owner.h"
#include "verbenaridge/replay/engine_model.h"
#include "verbenaridge/replay/metrics.h"
#include "verbenaridge/replay/scheduler.h"
#include "verbenaridge/replay/trace.h"
#include "verbenaridge/routing/candidate_sequence.h"
#include "verbenaridge/routing/routing_policy.h"

namespace verbenaridge::replay {

struct ReplayOptions {
  std::string policy = "owner_permits_affinity";
  std::uint64_t seed = 1;
  Duration same_centre = std::chrono::microseconds(300);  // one way, between daemons
  Duration other_centre = std::chrono::milliseconds(1);
  Duration report_interval = std::chrono::milliseconds(500);
  Duration report_delay = std::chrono::milliseconds(500);
  Duration cache_event_delay = std::chrono::seconds(1);
  double lost_cache_events = 0.02;
  routing::PolicyOptions routing{};
  permits::PolicyOptions permits{};
  groups::PolicyOptions groups{};
};

// The preset of the fleet with the given policy.
ReplayOptions OptionsFor(const FleetSpec& fleet, std::string policy);

class Replayer final : public EngineListener {
 public:
  Replayer(const FleetSpec& fleet, const Trace& trace, const ReplayOptions& options);
  ~Replayer() override;

  Metrics Run();

  void OnFirstToken(StreamId stream) override;
  void OnStreamEnd(StreamId stream) override;
  void OnPrefixCached(std::size_t engine, std::uint32_t family, bool added) override;

 private:
  using Index = std::size_t;
  struct Active {
    std::uint32_t attempt = 0;
    TokenCount delivered = 0;  // output tokens
    routing::CandidateSequence candidates;
    std::vector<Digest> excluded;
    std::optional<Index> asked;     // endpoint whose owner has the permit request
    std::optional<Index> endpoint;  // that runs the stream
    StreamId stream = 0;
    permits::PermitId permit = 0;
    TimePoint dispatched{};
    TimePoint first_token{};
    TokenCount cached = 0;
    TokenCount memory_tokens = 0;
    std::uint32_t reroutes = 0;
    std::unique_ptr<groups::GroupReservation> group;
    std::vector<std::pair<Index, permits::PermitId>> members;
    std::size_t members_prefilled = 0;
    bool ended = false;
  };

  void BuildFleet();
  std::unique_ptr<permits::EndpointOwner> MakeOwner(Index endpoint);
  Duration Hop(Index request, Index endpoint) const;
  HolderId HolderOf(Index request) const;

  void Arrive(Index request);
  void Route(Index request);
  void Dispatch(Index request, Index endpoint);
  void End(Index request, RequestEnd end);
  void CloseAttempt(Index request, bool completed);
  void Leave(Index request);
  void KillEndpoints();
  void Publish();
  std::vector<Digest> BlocksOf(const TraceRequest& request) const;
  routing::RouteRequest RouteRequestFor(Index request, std::span<const Digest> blocks) const;

  // Requests of policies with permits.
  bool RejectEarly(Index request, const routing::RouteDecision& decision);
  void AskNext(Index request);
  void AskOwner(Index request, Index endpoint, const permits::PermitInput& input);
  permits::PermitInput PermitInputFor(Index request, const routing::Candidate& candidate) const;
  void Perform(Index endpoint, const permits::Actions& actions);
  void OnGrant(Index request, Index endpoint, const permits::Grant& grant);
  void OnRefusal(Index request, Index endpoint, const permits::Refusal& refusal);
  void OnRevoked(Index request, permits::PermitId permit);
  void TickOwners();
  void RenewPermits();
  void ReportLoad();

  // Prompts over one engine's memory.
  void StartGroup(Index request);
  void PerformGroup(Index request, const groups::GroupActions& actions);
  void DispatchGroup(Index request);
  // The first member decodes once all members hold their part of the KV cache.
  void StartGroupDecode(Index request);
  Index EndpointIndex(const EndpointId& id) const { return endpoint_index_.at(id); }

  FleetSpec fleet_;
  const Trace& trace_;
  ReplayOptions options_;
  SeededRandom random_;
  Scheduler scheduler_;
  std::vector<std::unique_ptr<EngineModel>> engines_;
  std::vector<cost::CostModel> owner_costs_;
  std::vector<std::unique_ptr<permits::EndpointOwner>> owners_;
  std::vector<routing::EndpointView> views_;  // lagged, shared by all daemons
  std::unordered_map<EndpointId, Index> endpoint_index_;
  std::vector<std::unique_ptr<routing::RoutingPolicy>> policies_;  // one per host
  std::vector<std::uint64_t> cache_sequences_;
  admission::AccountLedger ledger_;
  std::vector<Active> active_;
  std::vector<RequestResult> results_;
  std::unordered_map<StreamId, Index> streams_;
  std::vector<Index> grouped_;  // requests that ever had a group
  StreamId next_stream_ = 1;
  ModelId model_{"model-a"};
  bool permits_ = false;
  bool fifo_ = false;
  double prefill_rate_ = 0;  // nominal, while decoding
};

Metrics Replay(const FleetSpec& fleet, const Trace& trace, const ReplayOptions& options);

}  // namespace verbenaridge::replay

#endif  // VERBENARIDGE_REPLAY_REPLAYER_H_
