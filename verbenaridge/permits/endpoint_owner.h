// Admission control of one endpoint.
//
// The owner queues requests, reserves KV memory and grants permits that expire unless their holder
// renews them. Its state is soft. A new owner rebuilds it: holders present their permits, and the
// endpoint's stream list shows what runs without a permit. An owner that detects that its own
// process was paused refuses all requests until Restart, because its permits may have expired and
// another owner may have granted new ones.
//
//   EndpointOwner owner(endpoint, HostId("furano-03"), incarnation, costs, options, now);
//   for (const Action& action : owner.Request(input, now)) Perform(action);
//   ...
//   for (const Action& action : owner.Release({.permit = grant.permit}, now)) Perform(action);
//
// `OnTick` must run at least every 500 ms. Used by one thread.
#ifndef VERBENARIDGE_PERMITS_ENDPOINT_OWNER_H_
#define VERBENARIDGE_PERMITS_ENDPOINT_OWNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "verbenaridge/cost/cost_model.h"
#include "verbenaridge/permits/permit_types.h"
#include "verbenaridge/permits/prefill_backlog.h"
#include "verbenaridge/queueing/fair_queue.h"

namespace verbenaridge::permits {

class EndpointOwner {
 public:
  // `costs` must outlive the owner.
  EndpointOwner(EndpointId endpoint, HostId host, Incarnation incarnation, cost::CostModel& costs,
                const PolicyOptions& options, TimePoint now);

  // Grants, refuses or queues the request. Repeating the request of a holder and attempt returns
  // the same grant, and does not queue it twice.
  Actions Request(const PermitInput& input, TimePoint now);

  // Removes a queued request whose caller has disconnected.
  Actions Cancel(const HolderId& holder, AttemptNumber attempt, TimePoint now);

  // Reports that the engine sent the permit's first token. Without this message the owner relies on
  // its predictions until the release. Where they are wrong, the engine idles or queues.
  Actions OnFirstToken(PermitId permit, TimePoint now);

  Actions Release(const ReleaseInput& input, TimePoint now);

  // Renews known permits and adopts unknown ones, which an earlier owner granted. Returns the ids
  // of permits that are revoked or have ended.
  std::vector<PermitId> Renew(std::span<const HeldPermit> permits, TimePoint now);

  Actions OnLoadReport(const LoadReport& report, TimePoint now);

  // Cancels streams that have no permit in two lists at least `orphan_age` apart.
  Actions OnStreamList(std::span<const ListedStream> streams, TimePoint now);

  // While leaving, refuses new requests. Running streams continue.
  Actions SetLeaving(bool leaving, TimePoint now);

  // Ends all permits and refuses queued requests, because the endpoint has died.
  Actions OnEndpointDeath(TimePoint now);

  Actions OnTick(TimePoint now);

  // Resumes after a pause with a new incarnation and an empty state.
  void Restart(Incarnation incarnation, TimePoint now);

  bool paused() const { return paused_; }
  Incarnation incarnation() const { return incarnation_; }
  std::size_t running() const { return permits_.size(); }
  std::size_t queued() const { return queued_.size(); }
  ByteCount reserved_kv_bytes() const { return reserved_kv_; }
  OwnerSummary Summary(TimePoint now);

 private:
  using AttemptKey = std::pair<HolderId, AttemptNumber>;
  struct QueuedRequest {
    PermitInput input;
    cost::Prediction prediction;
    Priority engine_priority = Priority::kStandard;
    bool is_long = false;
    TimePoint enqueued{};
    TimePoint latest_start{};
  };
  struct Permit {
    AttemptKey attempt;
    ClientAccountId account;
    ModelId model;
    Priority priority = Priority::kStandard;
    Priority engine_priority = Priority::kStandard;
    ByteCount kv_bytes = 0;
    TokenCount max_output_tokens = 0;
    TokenCount cached_tokens = 0;
    TokenCount prefill_tokens = 0;
    double prefill_seconds = 0;
    double ahead_seconds = 0;  // prefill work ahead of the prompt when granted
    TimePoint granted{};
    TimePoint prefill_end{};  // predicted, until the first token
    bool prefilled = false;
    bool promoted = false;  // counted as urgent prefill work
    TimePoint expiry{};
    bool is_long = false;
    bool isolate = false;
    bool preemptible = false;
    bool lent = false;
    bool revoked = false;
  };
  struct OrphanStream {
    int lists = 0;  // stream lists that contained it
    TimePoint first_seen{};
    ByteCount kv_bytes = 0;
  };

  // Detects a pause and returns whether the owner may act.
  bool CheckNotPaused(TimePoint now);
  std::optional<Refusal> RefuseImmediately(const PermitInput& input, const QueuedRequest& queued,
                                           TimePoint now);
  QueuedRequest Prepare(const PermitInput& input, TimePoint now) const;
  ByteCount usable_kv() const;
  ByteCount FreeKv(TimePoint now) const;
  bool Fits(const QueuedRequest& queued, bool share_grant, TimePoint now);
  bool FitsMemory(const QueuedRequest& queued, TimePoint now) const;
  void ProcessQueue(TimePoint now, Actions& actions);
  void RefuseOverdue(TimePoint now, Actions& actions);
  void GrantTo(std::uint64_t id, bool share_grant, TimePoint now, Actions& actions);
  void Preempt(TimePoint now, Actions& actions);
  void RevokeFor(const QueuedRequest& queued, TimePoint now, Actions& actions);
  void RefuseAll(PermitReason reason, Actions& actions);
  Grant MakeGrant(PermitId id, const Permit& permit) const;
  QueuedRequest Unqueue(std::uint64_t id);
  void Erase(PermitId id, TimePoint now, bool released);
  void LearnPrefill(Permit& permit, TimePoint first_token);
  void LearnDecode(const Permit& permit, const ReleaseInput& input);
  void MeasureDrain(TimePoint now);
  // Predicted time until `cost` of the priority is served and a prompt of that engine priority
  // starts.
  Duration QueueDelay(Priority priority, double cost, Priority engine_priority, TimePoint now);
  Duration DelayOf(const PermitInput& input, Priority engine_priority, TimePoint now);
  bool IsShareGrant(Priority priority, TimePoint now);
  void PromoteStarved(TimePoint now);
  std::size_t LongPrefills(TimePoint now) const;

  EndpointId endpoint_;
  HostId host_;
  Incarnation incarnation_;
  cost::CostModel& costs_;
  PolicyOptions options_;

  queueing::FairQueue queue_;
  std::unordered_map<std::uint64_t, QueuedRequest> queued_;
  std::map<AttemptKey, std::uint64_t> queued_ids_;
  std::set<std::pair<TimePoint, std::uint64_t>> latest_starts_;
  std::unordered_map<PermitId, Permit> permits_;
  std::map<AttemptKey, PermitId> permit_ids_;
  std::map<PermitId, TimePoint> ended_;  // released or expired permit -> earliest re-adoption time
  std::map<std::pair<RequestId, AttemptNumber>, OrphanStream> orphan_streams_;

  PrefillBacklog backlog_;
  TimePoint last_prefilled_{};
  cost::ObservedOutcome prefill_sample_;  // prompts since the last correction
  LoadReport report_;
  ByteCount reserved_kv_ = 0;
  ByteCount orphan_kv_ = 0;  // of streams without a permit
  std::uint64_t next_id_ = 1;
  PermitId permit_base_ = 0;
  TimePoint started_{};
  TimePoint last_seen_{};
  bool leaving_ = false;
  bool paused_ = false;
  bool isolated_ = false;  // a suspect request runs alone

  // Cost served per second, by priority, while that priority had a queue. The rate is lower when
  // higher priorities take capacity.
  std::array<double, kPriorityCount> drain_rate_ = {1, 1, 1};
  std::array<double, kPriorityCount> drained_cost_{};
  std::array<bool, kPriorityCount> had_queue_{};
  TimePoint drain_from_{};
};

}  // namespace verbenaridge::permits

#endif  // VERBENARIDGE_PERMITS_ENDPOINT_OWNER_H_
