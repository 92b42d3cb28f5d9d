// Members and the datagrams between them, independent of their encoding.
#ifndef VERBENARIDGE_MEMBERSHIP_MEMBER_H_
#define VERBENARIDGE_MEMBERSHIP_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "verbenaridge/base/ids.h"

namespace verbenaridge::membership {

// In increasing precedence within one incarnation: a later state overrides an earlier one.
enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kLeaving = 2, kDead = 3 };

// "alive", "suspect", "leaving" or "dead".
std::string_view MemberStateName(MemberState state);

struct Member {
  HostId host;
  DataCentreId data_centre;
  std::string ip;
  std::uint16_t port = 0;
  Incarnation incarnation = 0;  // 0: known only from settings or the host list
  MemberState state = MemberState::kAlive;

  friend bool operator==(const Member&, const Member&) = default;
};

// Upper bound of the encoded size of one member in a datagram, in bytes.
std::size_t EncodedSize(const Member& member);

// Returns true if the update `next` of a member replaces `current`: the higher incarnation takes
// precedence, and within one incarnation the later state.
bool Supersedes(const Member& next, const Member& current);

struct Ping {
  std::uint64_t sequence = 0;
  HostId target;
};

// Asks the receiver to ping `target`.
struct PingRequest {
  std::uint64_t sequence = 0;
  HostId target;
};

// Confirms that `target` is alive.
struct Ack {
  std::uint64_t sequence = 0;
  HostId target;
};

// Gossip without a probe.
struct GossipOnly {};

using DatagramKind = std::variant<Ping, PingRequest, Ack, GossipOnly>;

// A datagram to send, with gossip about members.
struct Datagram {
  HostId to;
  std::string ip;
  std::uint16_t port = 0;
  DatagramKind kind;
  std::vector<Member> gossip;
};

enum class MemberEventKind : std::uint8_t {
  kJoined,
  kChanged,  // state or incarnation
  kForgotten,
  kPaused,   // this host detected a pause of its own process and took a new incarnation
  kRefuted,  // this host refuted a report that it was suspect or dead
};

struct MemberEvent {
  MemberEventKind kind = MemberEventKind::kChanged;
  Member member;
};

struct MembershipOutput {
  std::vector<Datagram> datagrams;
  std::vector<MemberEvent> events;
};

}  // namespace verbenaridge::membership

#endif  // VERBENARIDGE_MEMBERSHIP_MEMBER_H_
