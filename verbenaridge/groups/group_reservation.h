// Endpoint groups for prompts over one engine's memory, reserved all or nothing.
//
// Members are asked one after another in ascending endpoint id, and each member's owner may queue
// the request. Since every group waits only for endpoints above those it holds, no circle of
// waiting groups can form. A reservation that is not complete in time gives back all that it
// holds; member permits expire by themselves if the coordinator dies.
//
//   GroupPlan plan = PlanGroup(kv_bytes, members, options);
//   if (plan.refusal != GroupRefusal::kNone) return Refuse(plan.refusal);
//   GroupReservation group(plan.members, now, options);
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
  Duration reserve_timeout = std::chrono::seconds(30);  // to hold all members
};

// An endpoint that serves the model.
struct MemberCandidate {
  EndpointId endpoint;
  ByteCount kv_capacity_bytes = 0;
  ByteCount free_kv_bytes = 0;
  Duration queue_delay{};
  bool ready = true;  // false: leaving or unavailable now
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

// Chooses the fewest members that hold `kv_bytes`, those with the shortest queue and the most free
// memory first. Shares are in proportion to the members' memory, so a prompt over twice an
// engine's memory gets at least three members.
GroupPlan PlanGroup(ByteCount kv_bytes, std::span<const MemberCandidate> options,
                    const PolicyOptions& policy);

// Ask the member's owner for a permit of `kv_bytes`.
struct RequestMember {
  EndpointId endpoint;
  ByteCount kv_bytes = 0;
};
// Withdraw the request that waits at the member's owner.
struct CancelMember {
  EndpointId endpoint;
};
struct ReleaseMember {
  EndpointId endpoint;
  std::uint64_t permit = 0;
};
// All members are held: dispatch.
struct GroupReady {};
struct GroupFailed {
  bool late = false;  // the limit passed; otherwise a member refused
};

using GroupAction =
    std::variant<RequestMember, CancelMember, ReleaseMember, GroupReady, GroupFailed>;
using GroupActions = std::vector<GroupAction>;

// Used by one thread.
class GroupReservation {
 public:
  GroupReservation(std::vector<MemberShare> members, TimePoint now, const PolicyOptions& policy);

  GroupActions Start();

  // Answers of owners; late ones are released or ignored.
  GroupActions OnGranted(const EndpointId& endpoint, std::uint64_t permit, TimePoint now);
  GroupActions OnRefused(const EndpointId& endpoint, TimePoint now);

  // A member's permit was revoked, expired, or its endpoint died.
  GroupActions OnLost(const EndpointId& endpoint, TimePoint now);

  GroupActions OnTick(TimePoint now);

  // The prompt is answered or its caller left.
  GroupActions Finish();

  bool ready() const { return state_ == State::kReady; }
  bool ended() const { return state_ == State::kEnded; }

 private:
  enum class State : std::uint8_t { kAsking, kReady, kEnded };

  void ReleaseAll(GroupActions& actions);
  GroupActions Fail(bool late);

  std::vector<MemberShare> members_;
  std::vector<std::uint64_t> permits_;  // of the first members, in order
  TimePoint limit_;
  State state_ = State::kAsking;
};

}  // namespace verbenaridge::groups

#endif  // VERBENARIDGE_GROUPS_GROUP_RESERVATION_H_
