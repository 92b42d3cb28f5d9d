// Permits of an endpoint group for one prompt over one engine's memory: asks the members' owners in
// the order that the groups package decides, renews what is held, and gives everything back at the
// end.
#ifndef VERBENARIDGE_DAEMON_GROUP_PERMITS_H_
#define VERBENARIDGE_DAEMON_GROUP_PERMITS_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "verbenaridge/daemon/run_context.h"
#include "verbenaridge/groups/group_reservation.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

struct GroupMember {
  EndpointId endpoint;
  std::string url;
  std::uint64_t permit = 0;  // 0: not held
};

// Chooses a group in one data centre, the own one first. kTooLarge only if no data centre can ever
// hold the prompt.
groups::GroupPlan ChooseGroup(const Snapshot& snapshot, const ModelId& model, ByteCount kv_bytes);

// Lives on its traffic thread's loop.
class GroupPermits : public std::enable_shared_from_this<GroupPermits> {
 public:
  struct Events {
    std::function<void()> ready;
    // Nothing is held any more: a member refused, was lost, or the limit passed.
    std::function<void()> failed;
  };

  // `request` is asked of each member, with its endpoint and share of memory.
  GroupPermits(RunContext& context, const SnapshotPtr& snapshot, wire::PermitRequest request,
               const groups::GroupPlan& plan, Events events);

  void Start();

  // Gives back all permits and withdraws waiting requests. No event follows.
  void Finish();

  // In ascending endpoint id; the first member leads.
  std::vector<GroupMember> members() const;

 private:
  struct Member {
    GroupMember member;
    HostId owner;
    wire::CallId call = 0;
  };

  void Perform(const groups::GroupActions& actions);
  void Ask(const groups::RequestMember& ask);
  void OnReply(const EndpointId& endpoint, const Result<wire::Reply>& reply);
  void Hold(const Member& member);
  void Withdraw(const EndpointId& endpoint);
  void Release(const EndpointId& endpoint, std::uint64_t permit);
  void ArmTimer();

  RunContext& context_;
  const wire::PermitRequest request_;
  Events events_;
  groups::GroupReservation reservation_;
  std::map<EndpointId, Member> members_;
  asio::steady_timer timer_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_GROUP_PERMITS_H_
