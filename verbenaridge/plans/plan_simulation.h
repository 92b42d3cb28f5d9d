// A simulated fleet of plan replicas with a store, faults and invariant checks, for fuzz tests. The
// checks use only the versions that daemons serve and the values in the store.
#ifndef VERBENARIDGE_PLANS_PLAN_SIMULATION_H_
#define VERBENARIDGE_PLANS_PLAN_SIMULATION_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/plans/plan_distributor.h"
#include "verbenaridge/plans/plan_replica.h"

namespace verbenaridge::plans {

class PlanSimulation {
 public:
  static constexpr std::size_t kDataCentres = 2;
  static constexpr std::size_t kHosts = 6;
  static constexpr std::size_t kOperators = 2;

  explicit PlanSimulation(std::uint64_t seed);

  // An operator reads the document. A later write is refused if another operator wrote in between.
  void OperatorReads(std::size_t operator_index);
  void OperatorWrites(std::size_t operator_index);
  void Start(std::size_t host);
  void Kill(std::size_t host);
  void Pause(std::size_t host);
  void Resume(std::size_t host);
  // Sets whether probes of the host fail although calls reach it.
  void SetProbesFail(std::size_t host, bool probes_fail) { hosts_[host].probes_fail = probes_fail; }
  void SetStoreUp(bool up) { store_up_ = up; }
  void SetPartitioned(std::size_t data_centre, bool partitioned) {
    partitioned_[data_centre] = partitioned;
  }
  void SetLoss(double loss) { loss_ = loss; }

  void Run(Duration time);

  // Ends all faults, runs until the fleet should have converged, and checks that every daemon
  // serves the newest version.
  void HealAndConverge();

  // The first violated invariant; empty if none.
  const std::string& violation() const { return violation_; }

 private:
  struct Host {
    HostId id;
    DataCentreId data_centre;
    std::size_t data_centre_index = 0;
    bool paused = false;
    bool probes_fail = false;
    Incarnation incarnation = 0;
    std::unique_ptr<PlanReplica> replica;  // null while the process does not run
    std::unique_ptr<PlanDistributor> distributor;
    std::map<DataCentreId, PlanVersion> confirmed;
    PlanVersion highest = 0;                    // highest version that this process had
    bool watching = false;                      // a watch of the store is pending
    TimePoint joined{};                         // time from which its peers know this host
    TimePoint last_alive{};                     // last time that a probe succeeded
    TimePoint last_listed{};                    // last time that the host list had it as running
    std::vector<std::function<void()>> queued;  // messages that arrived during a pause
  };

  struct Message {
    std::size_t to;
    Incarnation incarnation;
    std::function<void()> deliver;
  };

  bool Running(const Host& host) const { return host.replica != nullptr && !host.paused; }
  bool Reachable(std::size_t from, std::size_t to) const;
  bool StoreReachable(std::size_t host) const;
  void Step();
  void TickHost(std::size_t index);
  void Post(std::size_t to, std::function<void()> deliver);
  void DeliverDue();
  std::vector<PlanMember> MembersSeenBy(std::size_t viewer) const;
  std::vector<PlanPeer> PeersSeenBy(std::size_t viewer) const;
  void Execute(std::size_t index, const std::vector<ReplicaAction>& actions);
  void Execute(std::size_t index, const std::vector<DistributorAction>& actions);
  void ReplyToStoreRead(std::size_t index, SessionNumber session);
  void FetchPlan(std::size_t index, const FetchPeerPlan& fetch);
  void Push(std::size_t index, const PushPlan& push);
  void WriteConfirmed(std::size_t index, PlanVersion version);
  void Gossip(std::size_t index);
  void Watch(std::size_t index);
  std::size_t IndexOf(const HostId& host) const;
  void CheckInvariants();
  void Fail(const std::string& text);

  SeededRandom random_;
  ManualClock clock_;
  std::array<Host, kHosts> hosts_;
  std::array<bool, kDataCentres> partitioned_{};
  std::array<PlanVersion, kDataCentres> confirmed_{};  // in the store
  // No daemon of the data centre serves a version at or above the confirmed one, so it may be lost.
  std::array<bool, kDataCentres> confirmed_may_be_lost_{};
  PlanDocumentPtr stored_ = std::make_shared<const PlanDocument>();
  std::array<PlanDocumentPtr, kOperators> read_;  // by each operator
  std::vector<std::string> written_;              // edit ids of all successful writes
  bool store_up_ = true;
  double loss_ = 0;
  int edits_ = 0;
  Incarnation last_incarnation_ = 0;
  std::multimap<TimePoint, Message> network_;
  std::string violation_;
};

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_SIMULATION_H_
