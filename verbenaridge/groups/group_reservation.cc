#include "verbenaridge/groups/group_reservation.h"

#include <algorithm>
#include <utility>

namespace verbenaridge::groups {

namespace {

ByteCount Usable(const MemberCandidate& candidate, const PolicyOptions& policy) {
  return static_cast<ByteCount>(static_cast<double>(candidate.kv_capacity_bytes) * policy.kv_fill);
}

// Returns the smallest number of candidates, largest first, that fit `kv_bytes`, or 0 if
// `max_members` of them do not.
std::size_t FewestMembers(ByteCount kv_bytes, std::span<const MemberCandidate> candidates,
                          const PolicyOptions& policy) {
  std::vector<ByteCount> sizes;
  for (const MemberCandidate& candidate : candidates) sizes.push_back(Usable(candidate, policy));
  std::sort(sizes.rbegin(), sizes.rend());
  ByteCount sum = 0;
  for (std::size_t i = 0; i < sizes.size() && i < policy.max_members; ++i) {
    sum += sizes[i];
    if (sum >= kv_bytes) return i + 1;
  }
  return 0;
}

}  // namespace

GroupPlan PlanGroup(ByteCount kv_bytes, std::span<const MemberCandidate> candidates,
                    const PolicyOptions& policy) {
  if (FewestMembers(kv_bytes, candidates, policy) == 0) {
    return {.refusal = GroupRefusal::kTooLarge, .members = {}};
  }
  std::vector<MemberCandidate> ready;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(ready),
               [](const MemberCandidate& candidate) { return candidate.ready; });
  const std::size_t count = FewestMembers(kv_bytes, ready, policy);
  if (count == 0) return {.refusal = GroupRefusal::kNotEnoughReady, .members = {}};
  std::sort(ready.begin(), ready.end(), [](const MemberCandidate& a, const MemberCandidate& b) {
    if (a.queue_delay != b.queue_delay) return a.queue_delay < b.queue_delay;
    if (a.free_kv_bytes != b.free_kv_bytes) return a.free_kv_bytes > b.free_kv_bytes;
    return a.endpoint < b.endpoint;
  });
  // With endpoints of unequal size, the fewest members may have to be the largest endpoints. Larger
  // groups are tried first, before the preference for short queues is dropped.
  for (std::size_t size = count; size <= std::min(ready.size(), policy.max_members); ++size) {
    ByteCount total = 0;
    for (std::size_t i = 0; i < size; ++i) total += Usable(ready[i], policy);
    if (total < kv_bytes) continue;
    GroupPlan plan;
    for (std::size_t i = 0; i < size; ++i) {
      const double part =
          static_cast<double>(Usable(ready[i], policy)) / static_cast<double>(total);
      plan.members.push_back(
          {ready[i].endpoint, static_cast<ByteCount>(static_cast<double>(kv_bytes) * part) + 1});
    }
    std::sort(plan.members.begin(), plan.members.end(),
              [](const MemberShare& a, const MemberShare& b) { return a.endpoint < b.endpoint; });
    return plan;
  }
  std::sort(ready.begin(), ready.end(), [](const MemberCandidate& a, const MemberCandidate& b) {
    return a.kv_capacity_bytes > b.kv_capacity_bytes;
  });
  ready.resize(count);
  return PlanGroup(kv_bytes, ready, policy);
}

GroupReservation::GroupReservation(std::vector<MemberShare> members, TimePoint now,
                                   const PolicyOptions& policy)
    : members_(std::move(members)), deadline_(now + policy.reserve_timeout) {}

GroupActions GroupReservation::Start() {
  return {RequestMember{members_.front().endpoint, members_.front().kv_bytes}};
}

void GroupReservation::ReleaseAll(GroupActions& actions) {
  for (std::size_t i = 0; i < permits_.size(); ++i) {
    actions.emplace_back(ReleaseMember{members_[i].endpoint, permits_[i]});
  }
  if (state_ == State::kReserving && permits_.size() < members_.size()) {
    actions.emplace_back(CancelMember{members_[permits_.size()].endpoint});
  }
  permits_.clear();
  state_ = State::kEnded;
}

GroupActions GroupReservation::Fail(bool timed_out) {
  GroupActions actions;
  ReleaseAll(actions);
  actions.emplace_back(GroupFailed{timed_out});
  return actions;
}

GroupActions GroupReservation::OnGranted(const EndpointId& endpoint, std::uint64_t permit,
                                         TimePoint now) {
  const bool expected =
      state_ == State::kReserving && members_[permits_.size()].endpoint == endpoint;
  if (!expected) {
    for (std::size_t i = 0; i < permits_.size(); ++i) {
      if (members_[i].endpoint == endpoint && permits_[i] == permit) return {};  // repeated reply
    }
    return {ReleaseMember{endpoint, permit}};
  }
  permits_.push_back(permit);
  if (now >= deadline_) return Fail(true);
  if (permits_.size() == members_.size()) {
    state_ = State::kReady;
    return {GroupReady{}};
  }
  const MemberShare& next = members_[permits_.size()];
  return {RequestMember{next.endpoint, next.kv_bytes}};
}

GroupActions GroupReservation::OnRefused(const EndpointId& endpoint, TimePoint /*now*/) {
  const bool expected =
      state_ == State::kReserving && members_[permits_.size()].endpoint == endpoint;
  if (!expected) return {};
  return Fail(false);
}

GroupActions GroupReservation::OnLost(const EndpointId& endpoint, TimePoint /*now*/) {
  for (std::size_t i = 0; i < permits_.size(); ++i) {
    if (members_[i].endpoint == endpoint) return Fail(false);
  }
  return {};
}

GroupActions GroupReservation::OnTick(TimePoint now) {
  if (state_ == State::kReserving && now >= deadline_) return Fail(true);
  return {};
}

GroupActions GroupReservation::Finish() {
  GroupActions actions;
  if (state_ != State::kEnded) ReleaseAll(actions);
  return actions;
}

}  // namespace verbenaridge::groups
