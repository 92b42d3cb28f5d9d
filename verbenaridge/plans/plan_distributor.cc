#include "verbenaridge/plans/plan_distributor.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "verbenaridge/membership/owner_ranking.h"
#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::plans {
namespace {

// Deltas are computed from this many recent versions; a member with an older one gets the entire
// document.
constexpr std::size_t kRecentDocuments = 8;

bool MayBeLive(const PlanMember& member) {
  if (Mutated(Mutation::kIgnoreHostList)) return member.live_by_probing;
  return member.live_by_probing || member.listed_live;
}

}  // namespace

std::string ConfirmedPlanKey(const DataCentreId& data_centre) {
  return "plans/confirmed/" + data_centre.value();
}

void ConfirmationTracker::OnVersion(const HostId& host, Incarnation incarnation,
                                    PlanVersion version) {
  Known& known = known_[host];
  if (incarnation < known.incarnation) return;
  if (incarnation > known.incarnation) known = {incarnation, 0};
  known.version = std::max(known.version, version);
}

PlanVersion ConfirmationTracker::VersionOf(const PlanMember& member) const {
  const auto it = known_.find(member.host);
  if (it == known_.end() || it->second.incarnation != member.incarnation) return 0;
  return it->second.version;
}

PlanVersion ConfirmationTracker::Confirmed(std::span<const PlanMember> members) const {
  PlanVersion lowest = std::numeric_limits<PlanVersion>::max();
  bool any = false;
  for (const PlanMember& member : members) {
    if (!MayBeLive(member)) continue;
    any = true;
    lowest = std::min(lowest, VersionOf(member));
  }
  return any ? lowest : 0;
}

std::vector<HostId> ConfirmationTracker::Missing(std::span<const PlanMember> members,
                                                 PlanVersion version) const {
  std::vector<HostId> missing;
  for (const PlanMember& member : members) {
    if (MayBeLive(member) && VersionOf(member) < version) missing.push_back(member.host);
  }
  return missing;
}

void ConfirmationTracker::RemoveOthers(std::span<const PlanMember> members) {
  std::set<HostId> present;
  for (const PlanMember& member : members) present.insert(member.host);
  std::erase_if(known_, [&](const auto& entry) { return !present.contains(entry.first); });
}

PlanDistributor::PlanDistributor(Options options) : options_(std::move(options)) {}

void PlanDistributor::OnVersion(const HostId& host, Incarnation incarnation, PlanVersion version) {
  tracker_.OnVersion(host, incarnation, version);
}

void PlanDistributor::OnPushConflict(const HostId& host) {
  PushState& push = pushes_[host];
  push.send_document = true;
  push.sent = {};
  push.version = 0;
}

void PlanDistributor::OnConfirmedWritten(PlanVersion version) {
  confirmed_ = std::max(confirmed_, version);
}

std::vector<DistributorAction> PlanDistributor::Tick(TimePoint now,
                                                     std::span<const PlanMember> members,
                                                     const PlanDocumentPtr& document) {
  std::vector<DistributorAction> actions;
  UpdateRank(members);
  AddRecent(now, document);
  for (const PlanMember& member : members) {
    if (member.host == options_.host) {
      tracker_.OnVersion(member.host, member.incarnation, document->version());
    }
  }
  tracker_.RemoveOthers(members);
  if (std::exchange(reported_watching_, watching()) != watching()) {
    actions.emplace_back(SetWatching{watching()});
  }
  if (!watching() || document->version() == 0) return actions;
  Push(now, members, actions);
  Confirm(now, members, actions);
  return actions;
}

void PlanDistributor::UpdateRank(std::span<const PlanMember> members) {
  std::vector<membership::WeightedHost> hosts;
  for (const PlanMember& member : members) {
    if (member.live_by_probing || member.host == options_.host) hosts.push_back({member.host, 1});
  }
  const std::vector<HostId> top = membership::OwnerRanking(hosts).Top(
      "plans/" + options_.data_centre.value(), options_.watchers);
  rank_ = static_cast<std::size_t>(std::find(top.begin(), top.end(), options_.host) - top.begin());
  if (rank_ == top.size()) rank_ = options_.watchers;
}

void PlanDistributor::AddRecent(TimePoint now, const PlanDocumentPtr& document) {
  if (!recent_.empty() && recent_.back()->version() >= document->version()) return;
  recent_.push_back(document);
  if (recent_.size() > kRecentDocuments) recent_.pop_front();
  document_since_ = now;
  deltas_.clear();
}

std::shared_ptr<const PlanDelta> PlanDistributor::DeltaFrom(PlanVersion version) {
  const auto base = std::find_if(recent_.begin(), recent_.end(),
                                 [&](const PlanDocumentPtr& d) { return d->version() == version; });
  if (base == recent_.end() || version == 0) return nullptr;
  auto& delta = deltas_[version];
  if (delta == nullptr) {
    delta = std::make_shared<const PlanDelta>(ComputeDelta(**base, *recent_.back()));
  }
  return delta;
}

void PlanDistributor::Push(TimePoint now, std::span<const PlanMember> members,
                           std::vector<DistributorAction>& actions) {
  if (rank_ != 0 && now - document_since_ < options_.backup_push_delay) return;
  const PlanDocumentPtr& newest = recent_.back();
  for (const PlanMember& member : members) {
    // A host that is dead by probing but listed live still gets pushes: only the probes may be
    // failing.
    if (member.host == options_.host || !(member.live_by_probing || member.listed_live)) continue;
    const PlanVersion has = tracker_.VersionOf(member);
    if (has >= newest->version()) continue;
    PushState& push = pushes_[member.host];
    if (push.version == newest->version() && now - push.sent < options_.push_retry) continue;
    auto delta = push.send_document ? nullptr : DeltaFrom(has);
    push = {newest->version(), now, false};
    actions.emplace_back(PushPlan{member.host, delta, newest});
  }
}

void PlanDistributor::Confirm(TimePoint now, std::span<const PlanMember> members,
                              std::vector<DistributorAction>& actions) {
  const PlanVersion version = tracker_.Confirmed(members);
  if (version <= confirmed_) return;
  if (version == confirming_ && now - confirm_sent_ < options_.confirm_retry) return;
  confirming_ = version;
  confirm_sent_ = now;
  actions.emplace_back(WriteConfirmed{version});
}

}  // namespace verbenaridge::plans
