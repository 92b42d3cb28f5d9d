// A simulated fleet of plan replicas with a store, faults and an oracle, for fuzz tests. The oracle
// judges only what daemons serve and what the store holds.
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

  // An operator reads the document; a later write is refused if another one wrote meanwhile.
  void OperatorReads(std::size_t operator_index);
  void OperatorWrites(std::size_t operator_index);
  void Start(std::size_t host);
  void Kill(std::size_t host);
  void Pause(std::size_t host);
  void Resume(std::size_t host);
  // Probes do not find the host, although calls reach it.
  void SetDeaf(std::size_t host, bool deaf) { hosts_[host].deaf = deaf; }
  void SetStoreUp(bool up) { store_up_ = up; }
  void SetCut(std::size_t data_centre, bool cut) { cut_[data_centre] = cut; }
  void SetLoss(double loss) { loss_ = loss; }

  void Run(Duration time);

  // Ends all faults and gives the fleet time; then every daemon must serve the newest version.
  void HealAndSettle();

  // Empty while every invariant held.
  const std::string& violation() const { return violation_; }

 private:
  struct Host {
    HostId id;
    DataCentreId data_centre;
    std::size_t data_centre_index = 0;
    bool paused = false;
    bool deaf = false;
    Incarnation incarnation = 0;
    std::unique_ptr<PlanReplica> replica;  // null while the process does not run
    std::unique_ptr<PlanDistributor> distributor;
    std::map<DataCentreId, PlanVersion> confirmed;
    PlanVersion highest = 0;                  // version that this process had
    bool following = false;                   // a watch of the store waits
    TimePoint joined{};                       // when its peers know of it
    TimePoint last_alive{};                   // last time that probes reached it
    TimePoint last_listed{};                  // last time that the host list saw it run
    std::vector<std::function<void()>> held;  // messages that arrived during a pause
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
  void AnswerStoreRead(std::size_t index, SessionNumber session);
  void Ask(std::size_t index, const FetchPeerPlan& ask);
  void Push(std::size_t index, const PushPlan& push);
  void WriteConfirmed(std::size_t index, PlanVersion version);
  void Gossip(std::size_t index);
  void Follow(std::size_t index);
  std::size_t IndexOf(const HostId& host) const;
  void Judge();
  void Violate(const std::string& text);

  SeededRandom random_;
  ManualClock clock_;
  std::array<Host, kHosts> hosts_;
  std::array<bool, kDataCentres> cut_{};
  std::array<PlanVersion, kDataCentres> confirmed_{};  // in the store
  // No daemon of the data centre served since the last confirmation, so nobody may remember it.
  std::array<bool, kDataCentres> memory_lost_{};
  PlanDocumentPtr stored_ = std::make_shared<const PlanDocument>();
  std::array<PlanDocumentPtr, kOperators> read_;  // by each operator
  std::vector<std::string> written_;              // edit ids of all writes that took effect
  bool store_up_ = true;
  double loss_ = 0;
  int edits_ = 0;
  Incarnation last_incarnation_ = 0;
  std::multimap<TimePoint, Message> network_;
  std::string violation_;
};

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_SIMULATION_H_
