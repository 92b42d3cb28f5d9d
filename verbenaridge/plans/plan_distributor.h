// Distributes plan changes within a data centre. Two hosts, the watchers, watch the store, push
// deltas to the other members, and confirm a version once every member has it.
//
//   PlanDistributor distributor({.host = self, .data_centre = furano});
//   for (auto& action : distributor.Tick(now, members, replica.document())) { ... }
#ifndef VERBENARIDGE_PLANS_PLAN_DISTRIBUTOR_H_
#define VERBENARIDGE_PLANS_PLAN_DISTRIBUTOR_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "verbenaridge/plans/plan_delta.h"
#include "verbenaridge/plans/plan_document.h"

namespace verbenaridge::plans {

inline constexpr std::string_view kCurrentPlanKey = "plans/current";

// The store key of the confirmed version of a data centre.
std::string ConfirmedPlanKey(const DataCentreId& data_centre);

// A host of this data centre; this daemon's host is a member too.
struct PlanMember {
  HostId host;
  Incarnation incarnation = 0;
  bool live_by_probing = false;
  bool listed_live = false;  // according to the platform's host list
};

// Tracks which version each member has. A version applies to one incarnation, because a restarted
// host has no plan.
class ConfirmationTracker {
 public:
  void OnVersion(const HostId& host, Incarnation incarnation, PlanVersion version);

  // The last known version of a member; 0 if none is known for this incarnation.
  PlanVersion VersionOf(const PlanMember& member) const;

  // The highest version that all members have which are live by probing or listed live; 0 if none.
  PlanVersion Confirmed(std::span<const PlanMember> members) const;

  // Members that prevent the confirmation of `version`.
  std::vector<HostId> Missing(std::span<const PlanMember> members, PlanVersion version) const;

  // Removes the entries of hosts that are not in `members`.
  void RemoveOthers(std::span<const PlanMember> members);

 private:
  struct Known {
    Incarnation incarnation = 0;
    PlanVersion version = 0;
  };
  std::map<HostId, Known> known_;
};

// Start or stop watching `plans/current` with long polls.
struct SetWatching {
  bool watching = false;
};

// Send `delta`, or the entire document if `delta` is null. `document` is never null. Pass the
// version in the reply to OnVersion.
struct PushPlan {
  HostId host;
  std::shared_ptr<const PlanDelta> delta;
  PlanDocumentPtr document;
};

// Raise `plans/confirmed/<data centre>` to `version` by compare-and-swap, and never lower it. Then
// call OnConfirmedWritten.
struct WriteConfirmed {
  PlanVersion version = 0;
};

using DistributorAction = std::variant<SetWatching, PushPlan, WriteConfirmed>;

// Not thread-safe; used on the control thread.
class PlanDistributor {
 public:
  struct Options {
    HostId host;
    DataCentreId data_centre;
    std::size_t watchers = 2;
    // The second watcher pushes after this delay, so that each member normally gets a change once.
    Duration backup_push_delay = std::chrono::milliseconds(700);
    // A push without a reply is repeated after this time. A plan change must arrive within 3 s,
    // which leaves time for three pushes.
    Duration push_retry = std::chrono::milliseconds(800);
    Duration confirm_retry = std::chrono::seconds(1);
  };

  explicit PlanDistributor(Options options);

  // `members` are the hosts of this data centre; `document` is the current plan of this daemon.
  // Call it at least every 100 ms, and after each change of the document or of the version of a
  // member.
  std::vector<DistributorAction> Tick(TimePoint now, std::span<const PlanMember> members,
                                      const PlanDocumentPtr& document);

  // A member's version, from the reply to a push or from gossip.
  void OnVersion(const HostId& host, Incarnation incarnation, PlanVersion version);

  // The reply to a push was kConflict. The next push to this host sends the entire document.
  void OnPushConflict(const HostId& host);

  // The confirmed version is in the store, written by this daemon or by the other watcher.
  void OnConfirmedWritten(PlanVersion version);

  bool watching() const { return rank_ < options_.watchers; }
  const ConfirmationTracker& tracker() const { return tracker_; }

 private:
  struct PushState {
    PlanVersion version = 0;
    TimePoint sent{};
    bool send_document = false;  // not a delta
  };

  void UpdateRank(std::span<const PlanMember> members);
  void AddRecent(TimePoint now, const PlanDocumentPtr& document);
  std::shared_ptr<const PlanDelta> DeltaFrom(PlanVersion version);
  void Push(TimePoint now, std::span<const PlanMember> members,
            std::vector<DistributorAction>& actions);
  void Confirm(TimePoint now, std::span<const PlanMember> members,
               std::vector<DistributorAction>& actions);

  const Options options_;
  ConfirmationTracker tracker_;
  std::size_t rank_ = ~std::size_t{0};
  bool reported_watching_ = false;
  std::deque<PlanDocumentPtr> recent_;  // newest last
  TimePoint document_since_{};
  std::map<PlanVersion, std::shared_ptr<const PlanDelta>> deltas_;  // to the newest document
  std::map<HostId, PushState> pushes_;
  PlanVersion confirmed_ = 0;
  PlanVersion confirming_ = 0;
  TimePoint confirm_sent_{};
};

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_DISTRIBUTOR_H_
