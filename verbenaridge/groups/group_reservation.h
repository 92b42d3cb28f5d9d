// All-or-nothing reservation of endpoint groups, for prompts that exceed one engine's memory.
//
// Permits are requested one after another in ascending order of endpoint ids, and each member's
// owner may queue the request. Every group waits only for an endpoint above those it holds, so
// groups cannot deadlock. A reservation that is not complete in time releases all its permits. If
// the coordinator dies, member permits expire.
//
//   GroupPlan plan = PlanGroup(kv_bytes, candidates, policy);
//   if (plan.refusal != GroupRefusal::kNone) return Refuse(plan.refusal);
//   GroupReservation group(plan.members, now, policy);
//   for (GroupAction action : group.Start()) Perform(action);
//   for (GroupAction action : group.OnGranted(endpoint, permit, now)) Perform(action);
#ifndef VERBENARIDGE_GROUPS_GROUP_RESERVATION_H_
#define VERBENARIDGE_GROUPS_GROUP_RESERVATION_H_

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::groups {

struct PolicyOptions {
  std::size_t max_members = 8;
  double kv_fill = 0.9;  // of each member's memory; leaves room for the members' own short prompts
  Duration reserve_timeout = std::chrono::seconds(30);  // until all members are reserved
};

// An endpoint that serves the model.
struct MemberCandidate {
  EndpointId endpoint;
  ByteCount kv_capacity_bytes = 0;
  ByteCount free_kv_bytes = 0;
  Duration queue_delay{};
  bool ready = true;  // false: leaving or unavailable
};

struct MemberShare {
  EndpointId endpoint;
  ByteCount kv_bytes = 0;

  friend bool operator==(const MemberShare&, const MemberShare&) = default;
};

enum class GroupRefusal : std::uint8_t {
  kNone,
  kTooLarge,        // no set of the model's endpoints can hold the prompt
  kNotEnoughReady,  // too few members are ready
};

struct GroupPlan {
  GroupRefusal refusal = GroupRefusal::kNone;
  std::vector<MemberShare> members;  // ascending endpoint id
};

// Chooses the fewest members that fit `kv_bytes`, preferring the shortest queues and then the most
// free memory. If unequal sizes require it, one or more members are added. Shares are proportional
// to the members' memory, so a prompt of more than twice an engine's memory gets at least three
// members.
GroupPlan PlanGroup(ByteCount kv_bytes, std::span<const MemberCandidate> candidates,
                    const PolicyOptions& policy);

// Requests a permit of `kv_bytes` from the member's owner.
struct RequestMember {
  EndpointId endpoint;
  ByteCount kv_bytes = 0;
};
// Cancels the request that is queued at the member's owner.
struct CancelMember {
  EndpointId endpoint;
};
struct ReleaseMember {
  EndpointId endpoint;
  std::uint64_t permit = 0;
};
// All members are reserved, so the prompt can be dispatched.
struct GroupReady {};
struct GroupFailed {
  bool timed_out = false;  // otherwise a member refused or was lost
};

using GroupAction =
    std::variant<RequestMember, CancelMember, ReleaseMember, GroupReady, GroupFailed>;
using GroupActions = std::vector<GroupAction>;

// Used by one thread.
class GroupReservation {
 public:
  GroupReservation(std::vector<MemberShare> members, TimePoint now, const PolicyOptions& policy);

  GroupActions Start();

  // Replies of owners. A late grant is released, and a late refusal is ignored.
  GroupActions OnGranted(const EndpointId& endpoint, std::uint64_t permit, TimePoint now);
  GroupActions OnRefused(const EndpointId& endpoint, TimePoint now);

  // A member's permit was revoked or has expired, or its endpoint has died.
  GroupActions OnLost(const EndpointId& endpoint, TimePoint now);

  GroupActions OnTick(TimePoint now);

  // The response is complete or the caller disconnected. Releases all members.
  GroupActions Finish();

  bool ready() const { return state_ == State::kReady; }
  bool ended() const { return state_ == State::kEnded; }

 private:
  enum class State : std::uint8_t { kReserving, kReady, kEnded };

  void ReleaseAll(GroupActions& actions);
  GroupActions Fail(bool timed_out);

  std::vector<MemberShare> members_;
  std::vector<std::uint64_t> permits_;  // of the first members, in order
  TimePoint deadline_;
  State state_ = State::kReserving;
};

}  // namespace verbenaridge::groups

#endif  // VERBENARIDGE_GROUPS_GROUP_RESERVATION_H_
