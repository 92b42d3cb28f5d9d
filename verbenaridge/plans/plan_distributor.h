// How plan changes spread within a data centre: two watchers follow the store, push differences to
// the members, and confirm a version once every member has it.
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

// The store key of a data centre's confirmation.
std::string ConfirmedPlanKey(const DataCentreId& data_centre);

// A host of this data centre, this daemon's own host included.
struct PlanMember {
  HostId host;
  Incarnation incarnation = 0;
  bool live_by_probing = false;
  bool listed_live = false;  // by the platform's host list
};

// Which version each member has. Versions belong to an incarnation, because a restarted host has
// none.
class ConfirmationTracker {
 public:
  void OnVersion(const HostId& host, Incarnation incarnation, PlanVersion version);

  // The version known of a member; 0 if none is known for this incarnation.
  PlanVersion VersionOf(const PlanMember& member) const;

  // The highest version that every member has that is live by probing or listed live; 0 if none.
  PlanVersion Confirmed(std::span<const PlanMember> members) const;

  // Members that stand in the way of `version`.
  std::vector<HostId> Missing(std::span<const PlanMember> members, PlanVersion version) const;

  // Drops what is known of hosts that are not among `members`.
  void Forget(std::span<const PlanMember> members);

 private:
  struct Known {
    Incarnation incarnation = 0;
    PlanVersion version = 0;
  };
  std::map<HostId, Known> known_;
};

// Start or stop following `plans/current` with long polls.
struct SetWatching {
  bool watching = false;
};

// Send a difference, or the whole document if `delta` is null. `document` is never null. The reply
// goes to OnVersion.
struct PushPlan {
  HostId host;
  std::shared_ptr<const PlanDelta> delta;
  PlanDocumentPtr document;
};

// Raise `plans/confirmed/<data centre>` to `version` by compare-and-swap, never lower it; then call
// OnConfirmedWritten.
struct WriteConfirmed {
  PlanVersion version = 0;
};

using DistributorAction = std::variant<SetWatching, PushPlan, WriteConfirmed>;

// Not thread-safe; belongs to the control thread.
class PlanDistributor {
 public:
  struct Options {
    HostId host;
    DataCentreId data_centre;
    std::size_t watchers = 2;
    // The second watcher pushes later, so that a change normally reaches each member once.
    Duration backup_push_delay = std::chrono::milliseconds(700);
    // An unanswered push is repeated after this time; three fit into the 3 s of a plan change.
    Duration push_retry = std::chrono::milliseconds(800);
    Duration confirm_retry = std::chrono::seconds(1);
  };

  explicit PlanDistributor(Options options);

  // `members` are those of this data centre; `document` is what this daemon has in force. Run it at
  // least every 100 ms and after each change of the document or of a member's version.
  std::vector<DistributorAction> Tick(TimePoint now, std::span<const PlanMember> members,
                                      const PlanDocumentPtr& document);

  // A member's version, from the reply to a push or from gossip.
  void OnVersion(const HostId& host, Incarnation incarnation, PlanVersion version);

  // The reply kConflict to a push: the next one carries the whole document.
  void OnPushConflict(const HostId& host);

  // The confirmed version is in the store, written by this daemon or by the other watcher.
  void OnConfirmedWritten(PlanVersion version);

  bool watching() const { return rank_ < options_.watchers; }
  const ConfirmationTracker& tracker() const { return tracker_; }

 private:
  struct PushState {
    PlanVersion version = 0;
    TimePoint sent{};
    bool whole = false;
  };

  void UpdateRank(std::span<const PlanMember> members);
  void Remember(TimePoint now, const PlanDocumentPtr& document);
  std::shared_ptr<const PlanDelta> DeltaFrom(PlanVersion version);
  void Push(TimePoint now, std::span<const PlanMember> members,
            std::vector<DistributorAction>& actions);
  void Confirm(TimePoint now, std::span<const PlanMember> members,
               std::vector<DistributorAction>& actions);

  const Options options_;
  ConfirmationTracker tracker_;
  std::size_t rank_ = ~std::size_t{0};
  bool told_watching_ = false;
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
