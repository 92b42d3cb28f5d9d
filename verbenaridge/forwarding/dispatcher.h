// Finds an endpoint for each request of one traffic thread, and keeps the load board up to date.
//
//   Dispatcher dispatcher(io_context, clock, random, announcements, {});
//   dispatcher.SetSnapshot(snapshot);
//   DispatchId id = dispatcher.Submit({.service = service, .demand = demand}, callback);
//   dispatcher.Cancel(id);
//
// Requests that no endpoint can take without harm are held here and are tried again every few
// milliseconds: first those that can still be in time, the most urgent and then the oldest first.
// Used by the thread of its event loop.
#ifndef VERBENARIDGE_FORWARDING_DISPATCHER_H_
#define VERBENARIDGE_FORWARDING_DISPATCHER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/directory/configuration.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/dispatch/data_centre_reach.h"
#include "verbenaridge/dispatch/endpoint_chooser.h"
#include "verbenaridge/dispatch/endpoint_health.h"
#include "verbenaridge/dispatch/load_table.h"

namespace verbenaridge::forwarding {

// What the control thread knows, as of one moment. Immutable.
struct DirectorySnapshot {
  std::shared_ptr<const directory::Configuration> configuration;  // null: none is known yet
  std::vector<directory::Endpoint> endpoints;
  TimePoint endpoints_read{};  // when the endpoints were read from the store
  std::size_t hosts = 1;       // that share the bounds of the system, with this one
};
using SnapshotPtr = std::shared_ptr<const DirectorySnapshot>;

// Tells the other hosts what this one sends to endpoints.
class LoadAnnouncements {
 public:
  virtual ~LoadAnnouncements() = default;

  virtual void OnBegin(const dispatch::EndpointTask& work) = 0;
  virtual void OnFirstEvent(dispatch::TaskId work) = 0;
  virtual void OnEnd(dispatch::TaskId work) = 0;
  virtual void OnUnreachable(Digest endpoint) = 0;
  virtual void OnCrash(Digest request, Digest endpoint) = 0;
};

Digest EndpointKey(const directory::Endpoint& endpoint);

struct DispatchRequest {
  ServiceId service;
  dispatch::Demand demand;  // `waited` and `remaining` are worked out at each try
  TimePoint arrived{};
  TimePoint deadline{};
  int urgency = 0;                 // the lowest goes first
  std::vector<Digest> excluded{};  // endpoints that failed this request
  // Of a request of another host: its works get these ids, and that host tells their progress.
  dispatch::TaskId first_task = 0;
};

struct Assignment {
  enum class Outcome : std::uint8_t {
    kAssigned,
    kNoEndpoint,        // none serves the service now
    kTooLarge,          // no group of the service's endpoints holds the prompt
    kDeadlineExceeded,  // the deadline passed while the request was held
  };
  Outcome outcome = Outcome::kAssigned;
  std::vector<directory::Endpoint> members;  // the first one receives the request
  std::vector<dispatch::TaskId> tasks;       // of the members; the receiver ends them
  std::vector<TokenCount> free_kv;           // memory of the members that the board shows as free
  bool reserve = false;
  Duration predicted{};  // until the first event
  double cost = 0;
  std::size_t candidates = 0;
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
  // Held requests are tried again this often, and not at each change of the load: in a flood both
  // the changes and the held requests are many.
  Duration retry_interval = std::chrono::milliseconds(10);
  // A host that has started hears of the others' work within this time.
  Duration settling = std::chrono::milliseconds(1'500);
  // How long a request waits for an endpoint of a service that has none.
  Duration no_endpoint_wait = std::chrono::milliseconds(400);
  // Work of others whose end was not heard of is forgotten after its deadline; this is for work
  // without one.
  Duration longest_work = std::chrono::seconds(20);
};

class Dispatcher final : public Placement {
 public:
  Dispatcher(asio::io_context& io_context, const Clock& clock, RandomSource& random,
             LoadAnnouncements& announcements, const DispatcherOptions& options);

  void SetSnapshot(SnapshotPtr snapshot);
  const SnapshotPtr& snapshot() const { return snapshot_; }

  DispatchId Submit(DispatchRequest request, AssignmentCallback callback) override;
  void Cancel(DispatchId id) override;

  // Takes over what another host has chosen and announced. False if this host does not know one of
  // the endpoints.
  bool Adopt(const DispatchRequest& request, std::span<const EndpointId> members,
             Assignment& assignment);

  // Ids for the works of one request.
  dispatch::TaskId ReserveTaskIds(std::size_t count);

  // Ends the works of a request of another host, which did not get the answer.
  void EndRemoteTasks(dispatch::TaskId first_task, std::size_t count);

  // Announces again what this host has at endpoints, for hosts that did not hear it.
  void AnnounceAll();

  // Whether requests for the service are generations of a model engine.
  bool HasModel(const ServiceId& service) const;

  // Of assigned work.
  void OnFirstEvent(dispatch::TaskId work);
  void OnEnd(dispatch::TaskId work);

  void OnSuccess(const directory::Endpoint& endpoint);
  void OnFailure(const directory::Endpoint& endpoint, dispatch::FailureKind kind);
  // The request was at the endpoint when that broke off.
  void OnCrash(Digest request, const directory::Endpoint& endpoint);

  // Forgets work whose end was never told.
  void RemoveExpired() { board_.RemoveExpired(clock_.Now()); }

  // From other hosts.
  void OnPeerBegin(const dispatch::EndpointTask& work);
  void OnPeerFirstEvent(dispatch::TaskId work);
  void OnPeerEnd(dispatch::TaskId work);
  void OnPeerUnreachable(Digest endpoint);
  void OnPeerGone(Incarnation host) { board_.EndAllOf(host, clock_.Now()); }

  std::size_t queued() const { return held_.size(); }
  std::size_t tasks() const { return board_.size(); }
  // Endpoints that this host leaves out now after failures; none of those that leave themselves.
  std::vector<EndpointId> EjectedEndpoints() const;

 private:
  struct Held {
    DispatchRequest request;
    AssignmentCallback callback;
  };
  struct Member {
    const directory::Endpoint* endpoint = nullptr;
    Digest key = 0;  // hashed once a snapshot; each choice looks at every member
  };
  struct Group {  // endpoints of one service
    std::vector<Member> endpoints;
    std::unique_ptr<dispatch::PassModel> model;
  };
  // The order in which held requests are tried.
  using Place = std::pair<std::pair<int, TimePoint>, DispatchId>;

  bool Try(const DispatchRequest& request, Assignment& assignment);
  dispatch::EndpointChooser& ChooserFor(bool generation);
  std::vector<dispatch::Candidate> Candidates(const Group& group, const DispatchRequest& request,
                                              std::vector<const directory::Endpoint*>& endpoints);
  void Assign(const DispatchRequest& request, const Group& group, const dispatch::Choice& choice,
              std::span<const dispatch::Candidate> candidates,
              std::span<const directory::Endpoint* const> endpoints, Assignment& assignment);
  // Puts one member's work on the board.
  void Begin(const DispatchRequest& request, const Group& group, Digest endpoint,
             std::size_t member, std::size_t members, bool chosen_here, Assignment& assignment);
  void NoteUnreachable(const directory::Endpoint& endpoint, std::string_view source);
  void TryHeld();
  void ArmTimer();

  const Clock& clock_;
  RandomSource& random_;
  LoadAnnouncements& announcements_;
  const DispatcherOptions options_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  SnapshotPtr snapshot_;
  std::unordered_map<ServiceId, Group> groups_;
  const TimePoint started_;
  std::unique_ptr<dispatch::EndpointChooser> predictive_;
  std::unique_ptr<dispatch::EndpointChooser> without_view_;
  std::unique_ptr<dispatch::EndpointChooser> least_busy_;
  dispatch::LoadTable board_;
  dispatch::EndpointHealth health_;
  dispatch::DataCentreReach reach_;
  struct Own {
    dispatch::EndpointTask work;
    TimePoint begun{};
    bool decoding = false;
  };
  std::unordered_map<dispatch::TaskId, Own> own_;
  std::map<DispatchId, Held> held_;
  std::set<Place> order_;
  DispatchId next_id_ = 1;
  dispatch::TaskId next_work_;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_DISPATCHER_H_
