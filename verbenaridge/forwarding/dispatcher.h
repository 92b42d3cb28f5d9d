// Finds an endpoint for each request of one traffic thread and updates the load table.
//
//   Dispatcher dispatcher(io_context, clock, random, announcements, {});
//   dispatcher.SetSnapshot(snapshot);
//   DispatchId id = dispatcher.Submit({.service = service, .demand = demand}, callback);
//   dispatcher.Cancel(id);
//
// Requests that would make others late at every endpoint are queued and retried every few
// milliseconds, in the order of dispatch::WaitingRequests. Used by the thread of its event loop.
#ifndef VERBENARIDGE_FORWARDING_DISPATCHER_H_
#define VERBENARIDGE_FORWARDING_DISPATCHER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/directory/configuration.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/directory/homes.h"
#include "verbenaridge/dispatch/crash_suspects.h"
#include "verbenaridge/dispatch/crossing_policy.h"
#include "verbenaridge/dispatch/data_centre_reach.h"
#include "verbenaridge/dispatch/endpoint_chooser.h"
#include "verbenaridge/dispatch/endpoint_health.h"
#include "verbenaridge/dispatch/endpoint_notices.h"
#include "verbenaridge/dispatch/endpoint_rates.h"
#include "verbenaridge/dispatch/load_table.h"
#include "verbenaridge/dispatch/slot_turns.h"
#include "verbenaridge/dispatch/waiting_requests.h"

namespace verbenaridge::forwarding {

// Immutable snapshot of the control thread's view of the system.
struct DirectorySnapshot {
  std::shared_ptr<const directory::Configuration> configuration;  // null: not known yet
  std::vector<directory::Endpoint> endpoints;
  std::vector<DataCentreId> evacuated;  // their endpoints get no new requests
  TimePoint endpoints_read{};           // when the endpoints were read from the store
  std::size_t hosts = 1;                // that share the system-wide bounds, including this one
  std::size_t live_hosts = 1;           // of them, that this host hears of now
};
using SnapshotPtr = std::shared_ptr<const DirectorySnapshot>;

// Announces the tasks of this host to its peers.
class LoadAnnouncements {
 public:
  virtual ~LoadAnnouncements() = default;

  virtual void OnBegin(const dispatch::EndpointTask& task) = 0;
  virtual void OnFirstEvent(dispatch::TaskId task) = 0;
  virtual void OnEnd(dispatch::TaskId task) = 0;
  virtual void OnUnreachable(Digest endpoint) = 0;
  // The endpoint named a limit in a response to this host; no value: none any more.
  virtual void OnLimit(Digest endpoint, std::optional<dispatch::RequestsPerSecond> limit) = 0;
  virtual void OnCrash(const dispatch::EndpointCrash& crash) = 0;
  // This host has seen sound responses on a key that is suspected to crash endpoints.
  virtual void OnSoundKey(Digest key, const dispatch::SoundRecord& record) = 0;
};

Digest EndpointKey(const directory::Endpoint& endpoint);

struct DispatchRequest {
  ServiceId service;
  dispatch::Demand demand;  // `waited` and `remaining` are computed at each try
  TimePoint arrived{};
  TimePoint deadline{};                     // of the start of the response
  TimePoint end{};                          // of the response at the latest, if after `deadline`
  int urgency = 0;                          // the lowest value goes first
  std::vector<Digest> excluded{};           // endpoints that failed this request
  Digest digest = 0;                        // equal if its client sends it again; 0: not known
  Digest account = 0;                       // digest of the client account; 0: none
  bool in_progress = false;                 // the client has a part of the response
  bool refusable = false;                   // it has not run, so its client may be told to return
  directory::AllowedDataCentres allowed{};  // endpoints elsewhere are no candidates
  // First task id of a remote request, whose host reserved the ids and announces their progress.
  // Zero: a request of this host.
  dispatch::TaskId first_task = 0;
};

// When its client leaves if no event has arrived.
TimePoint PatienceEnd(const DispatchRequest& request);
// The same, unless the response may have begun.
TimePoint AbandonedAt(const DispatchRequest& request);

struct Assignment {
  enum class Outcome : std::uint8_t {
    kAssigned,
    kNoEndpoint,        // no endpoint serves the service now
    kTooLarge,          // no group of the service's endpoints has enough memory
    kDeadlineExceeded,  // the deadline passed while the request was queued
    kUnservable,        // the response would start after the deadline
    kLimited,           // the endpoints' limits leave no room for it before the deadline
    kNoRoom,            // no slot is in sight before its client leaves
    kOverShare,         // no slot is in sight, and its client account has more than its share
  };
  Outcome outcome = Outcome::kAssigned;
  std::vector<directory::Endpoint> members;  // the first one receives the request
  std::vector<dispatch::TaskId> tasks;       // one for each member; the receiver reports their end
  std::vector<TokenCount> free_kv;           // of each member, according to the load table
  std::vector<TokenCount> kv_shares;         // to be reserved at each member; empty: none
  bool reserve = false;
  Duration predicted{};  // until the first event
  double cost = 0;
  std::size_t candidates = 0;
  Duration retry_after{};       // of a request that is unservable now; zero: not known
  bool waits_for_slot = false;  // of a request that stays queued: no endpoint has a free slot
};

using DispatchId = std::uint64_t;
using AssignmentCallback = std::function<void(Assignment)>;

// Finds endpoints for requests.
class Placement {
 public:
  virtual ~Placement() = default;

  // The callback runs once, at once or later, unless the request is cancelled first.
  virtual DispatchId Submit(DispatchRequest request, AssignmentCallback callback) = 0;
  virtual void Cancel(DispatchId id) = 0;
};

struct DispatcherOptions {
  DataCentreId data_centre;  // of this host
  Incarnation incarnation = 1;
  dispatch::ChooserOptions chooser{};
  // Queued requests are retried at this interval instead of at each change of the load, because
  // under overload both the changes and the queued requests are many.
  Duration retry_interval = std::chrono::milliseconds(10);
  // A host that has started receives the tasks of its peers within this time.
  Duration warm_up = std::chrono::milliseconds(1'500);
  // How long a request waits for an endpoint of a service that has none.
  Duration no_endpoint_wait = std::chrono::milliseconds(400);
  // A task's lifetime is the time to the request's deadline, if any, capped at this value. Peers'
  // tasks whose end was not announced are removed when their lifetime elapses.
  Duration max_task_lifetime = std::chrono::seconds(20);
  // Whether requests beyond the slots of all endpoints are ordered, shared between client accounts
  // and refused as in dispatch::MakeOverloadOrder.
  bool overload_control = false;
  // Whether crossings between data centres are decided by load for all services, and not only for
  // those with a long published delay.
  bool adaptive_crossing = false;
  // A cold endpoint survives its rate times the first in each second, and the second more.
  double cold_overshoot = 1.5;
  double cold_slack = 5;
  // A pause that an endpoint asks for in a refusal is kept up to this time. Zero: it is ignored.
  Duration longest_pause{};
};

class Dispatcher final : public Placement {
 public:
  Dispatcher(asio::io_context& io_context, const Clock& clock, RandomSource& random,
             LoadAnnouncements& announcements, const DispatcherOptions& options);

  void SetSnapshot(SnapshotPtr snapshot);
  const SnapshotPtr& snapshot() const { return snapshot_; }

  DispatchId Submit(DispatchRequest request, AssignmentCallback callback) override;
  void Cancel(DispatchId id) override;

  // Takes over an assignment that another host chose and announced. Returns false if this host does
  // not know one of the endpoints.
  bool Adopt(const DispatchRequest& request, std::span<const EndpointId> members,
             Assignment& assignment);

  // Reserves consecutive ids for the tasks of one request.
  dispatch::TaskId ReserveTaskIds(std::size_t count);

  // Ends the tasks of a remote request whose host did not receive the assignment.
  void EndRemoteTasks(dispatch::TaskId first_task, std::size_t count);

  // Repeats the announcements of this host's tasks for peers that missed them.
  void AnnounceAll();

  // Published timing of the service's engines; null if its endpoints are no model engines or none
  // is known. Valid until the next snapshot.
  const dispatch::PassModel* ModelOf(const ServiceId& service) const;

  // Progress of an assigned task of this host.
  void OnFirstEvent(dispatch::TaskId task);
  void OnEnd(dispatch::TaskId task);

  void OnSuccess(const directory::Endpoint& endpoint);
  void OnFailure(const directory::Endpoint& endpoint, dispatch::FailureKind kind);
  // The endpoint told in a response that it leaves, or something that is not understood. Returns
  // true for the first such response.
  bool OnLeaving(const directory::Endpoint& endpoint);
  bool OnMalformedNotice(const directory::Endpoint& endpoint);
  bool IsLeaving(const directory::Endpoint& endpoint) const;
  // Whether operators evacuate the endpoint's data centre.
  bool IsEvacuated(const directory::Endpoint& endpoint) const;
  // The endpoint named a limit in a response, or none. Returns true if that is new.
  bool OnLimit(const directory::Endpoint& endpoint,
               std::optional<dispatch::RequestsPerSecond> limit);
  // The endpoint asked for a pause. Returns true if it is kept and was not in one.
  bool OnPause(const directory::Endpoint& endpoint, Duration pause);
  // The endpoint told in a response that it has not warmed up yet.
  void OnColdNotice(const directory::Endpoint& endpoint, Duration remaining);
  // Another host reports such a response.
  void OnPeerLimit(Digest endpoint, std::optional<dispatch::RequestsPerSecond> limit) {
    rates_.OnReport(endpoint, limit, clock_.Now());
  }
  // Whether an endpoint of the service has named a limit.
  bool HasLimit(const ServiceId& service) const;
  // Whether requests to the service cross between data centres as the loads of both call for, which
  // only schedulers know.
  bool AdaptsCrossings(const ServiceId& service) const;
  // A scheduler learns of the requests of all hosts. `self` and `other_schedulers`: digests that
  // are equal on all hosts.
  void SetScheduling(bool is_scheduler, Digest self, std::span<const Digest> other_schedulers);
  bool IsElsewhere(const directory::Endpoint& endpoint) const {
    return endpoint.data_centre != options_.data_centre;
  }
  bool knows_endpoints() const { return knows_endpoints_; }
  // Whether a request to any of the services could be sent now.
  bool HasUsableEndpoint() const;
  // Whether a request that was assigned to the endpoint may still be sent to it.
  bool MaySend(const directory::Endpoint& endpoint) const;
  // The service's endpoints that this host does not use because of their notices or an evacuation,
  // for schedulers that do not know of these.
  std::vector<Digest> AvoidedEndpoints(const ServiceId& service) const;
  // Whether no endpoint would remain for the request without the avoided ones.
  bool AvoidsAllEndpoints(const DispatchRequest& request) const;

  // The endpoint's connection failed while it ran the request.
  void OnCrash(const dispatch::EndpointCrash& crash) { announcements_.OnCrash(crash); }
  void OnSoundKey(Digest key, const dispatch::SoundRecord& record) {
    announcements_.OnSoundKey(key, record);
  }

  // Removes tasks whose end was never announced, and rates of endpoints that have ended.
  void RemoveExpired();

  // Announcements received from other hosts.
  void OnPeerBegin(const dispatch::EndpointTask& task);
  void OnPeerFirstEvent(dispatch::TaskId task);
  void OnPeerEnd(dispatch::TaskId task);
  void OnPeerUnreachable(Digest endpoint);
  void OnPeerGone(Incarnation host) { load_table_.EndAllOf(host, clock_.Now()); }

  std::size_t queued() const { return queue_.size(); }
  std::size_t tasks() const { return load_table_.size(); }
  // Endpoints that this host ejects now after failures, without those that are draining.
  std::vector<EndpointId> EjectedEndpoints() const;
  struct LimitedEndpoint {
    EndpointId endpoint;
    dispatch::RequestsPerSecond limit = 0;
  };
  std::vector<LimitedEndpoint> LimitedEndpoints() const;
  // Endpoints that may be cold, as this host knows.
  std::vector<EndpointId> ColdEndpoints() const;
  // Endpoints that told this host that they leave, without those that are draining.
  std::vector<EndpointId> LeavingEndpoints() const;

 private:
  struct QueuedRequest {
    DispatchRequest request;
    AssignmentCallback callback;
  };
  struct Member {
    const directory::Endpoint* endpoint = nullptr;
    Digest key = 0;  // hashed once per snapshot, because each choice examines every member
    bool evacuated = false;
  };
  struct KnownEndpoint {
    ServiceId service;
    bool evacuated = false;
    bool cold = false;   // according to its entry
    bool local = false;  // in the data centre of this host
  };
  struct Group {  // endpoints of one service
    std::vector<Member> endpoints;
    std::unique_ptr<dispatch::PassModel> model;
  };

  bool Try(const DispatchRequest& request, Assignment& assignment);
  // Whether the group's endpoints said that they leave, are evacuated, outside the request's home
  // regions or have lost their address, and none may be used any more. Waiting for one of them is
  // useless then.
  bool HasLeft(const Group& group, const DispatchRequest& request, TimePoint now) const;
  // Whether the endpoint may get the request, apart from its health and its notices.
  static bool IsOpenTo(const Member& member, const DispatchRequest& request) {
    return !member.endpoint->draining && !member.evacuated &&
           request.allowed.Contains(member.endpoint->data_centre);
  }
  // Whether home regions leave no endpoint of the service to the request.
  bool IsShutOut(const DispatchRequest& request) const;
  dispatch::EndpointChooser& ChooserFor(bool generation);
  struct CandidateList {
    std::vector<dispatch::Candidate> candidates;
    std::vector<const directory::Endpoint*> endpoints;  // of the candidates
    bool at_limit = false;                              // others may start no request now
  };
  CandidateList Candidates(const Group& group, const DispatchRequest& request);
  // Sets the costs of candidates in other data centres.
  void SetCrossingCosts(const Group& group, const DispatchRequest& request, CandidateList& list);
  dispatch::CrossingDemand CrossingDemandOf(const Group& group,
                                            const DispatchRequest& request) const;
  // The policy for a service that adapts, which has seen the loads of the candidates.
  dispatch::CrossingPolicy& AdaptiveCrossing(const DispatchRequest& request,
                                             const CandidateList& list);
  std::vector<dispatch::DataCentreLoad> DataCentreLoads(const DispatchRequest& request,
                                                        const CandidateList& list);
  // Learns how long the requests of a service without a timing model run.
  void LearnWork(Digest endpoint, Duration time);
  // The slots of the engine that this host may use now.
  std::size_t UsableSlots(const directory::Endpoint& endpoint, Digest key,
                          const dispatch::EndpointLoad& load) const;
  // Removes engines without a free slot.
  static void RemoveFull(CandidateList& list);
  // Decides on a request that only endpoints at their limits or full ones could serve. Returns
  // false if it is queued, because its turn comes before its client leaves.
  bool RefuseAtLimit(const DispatchRequest& request, const Group& group, Assignment& assignment);
  // Requests a second that an engine without a limit ends while all of its slots are in use; zero
  // if it is no engine.
  static dispatch::RequestsPerSecond FullRate(const directory::Endpoint& endpoint,
                                              const Group& group, const dispatch::Demand& demand);
  void UpdateShare();
  // Limits the requests to endpoints that the new snapshot shows as started or returned.
  void RecordStarts(const std::unordered_map<Digest, KnownEndpoint>& before);
  // Does nothing if endpoints of this service take all requests at once.
  void RecordCold(const directory::Endpoint& endpoint, Duration extra, std::string_view cause);
  // Of all its endpoints.
  void RecordColdDataCentre(const DataCentreId& data_centre, Duration extra,
                            std::string_view cause);
  void LimitCold(const directory::Endpoint& endpoint, const directory::ColdStart& cold_start,
                 Duration duration, std::string_view cause);
  // Null if endpoints of its service take all requests at once.
  const directory::ColdStart* ColdStartOf(const directory::Endpoint& endpoint) const;
  void Assign(const DispatchRequest& request, const Group& group, const dispatch::Choice& choice,
              std::span<const dispatch::Candidate> candidates,
              std::span<const directory::Endpoint* const> endpoints, Assignment& assignment);
  // Adds the task of one member to the load table.
  void BeginTask(const DispatchRequest& request, const Group& group, Digest endpoint,
                 std::size_t member, std::size_t members, bool chosen_here, Assignment& assignment);
  // When the client of an unservable request should come back.
  Duration RetryAfter(const DispatchRequest& request, const Group& group,
                      std::span<const dispatch::Candidate> candidates);
  void RecordUnreachable(const directory::Endpoint& endpoint, std::string_view source);
  dispatch::WaitingRequests& WaitingFor(const ServiceId& service);
  dispatch::WaitingRequest Describe(DispatchId id, const DispatchRequest& request) const;
  dispatch::EngineSeconds CostOf(const DispatchRequest& request) const;
  void TryQueued();
  void TryQueued(const ServiceId& service);
  // Ends the wait of a request, unless it was cancelled.
  void Decide(DispatchId id, Assignment assignment);
  bool IsShort(const DispatchRequest& request) const;
  void RefuseWaiting(const ServiceId& service);
  void ArmTimer();

  const Clock& clock_;
  RandomSource& random_;
  LoadAnnouncements& announcements_;
  const DispatcherOptions options_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  SnapshotPtr snapshot_;
  std::unordered_map<ServiceId, Group> groups_;
  std::unordered_map<Digest, KnownEndpoint> known_endpoints_;
  bool knows_endpoints_ = false;  // a snapshot had some
  const TimePoint started_;
  std::unique_ptr<dispatch::EndpointChooser> predictive_;
  std::unique_ptr<dispatch::EndpointChooser> without_peer_load_;
  std::unique_ptr<dispatch::EndpointChooser> least_busy_;
  dispatch::LoadTable load_table_;
  dispatch::EndpointHealth health_;
  dispatch::EndpointNotices notices_;
  dispatch::EndpointRates rates_;
  bool is_scheduler_ = true;
  std::size_t schedulers_ = 1;  // including this host, if it is one
  dispatch::SlotTurns turns_;
  dispatch::DataCentreReach reach_;
  struct OwnTask {
    dispatch::EndpointTask task;
    TimePoint begun{};
    bool decoding = false;
  };
  std::unordered_map<dispatch::TaskId, OwnTask> own_tasks_;
  std::map<DispatchId, QueuedRequest> queue_;
  std::unordered_map<ServiceId, std::unique_ptr<dispatch::WaitingRequests>> waiting_;
  struct Crossings {
    std::unique_ptr<dispatch::CrossingPolicy> policy;
    dispatch::WorkEstimate work;  // of a service without a timing model
  };
  std::unordered_map<ServiceId, Crossings> crossings_;
  const std::unique_ptr<dispatch::CrossingPolicy> fixed_crossing_ = dispatch::MakeFixedCrossing();
  DispatchId next_id_ = 1;
  dispatch::TaskId next_task_;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_DISPATCHER_H_
