#include "verbenaridge/membership/member.h"

namespace verbenaridge::membership {

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "dead";
}

std::size_t EncodedSize(const Member& member) {
  // MessagePack: array header, three string headers of up to 2 bytes, port 3, incarnation 9,
  // state 1.
  constexpr std::size_t kFixedBytes = 1 + 3 * 2 + 3 + 9 + 1;
  return kFixedBytes + member.host.value().size() + member.data_centre.value().size() +
         member.ip.size();
}

bool Supersedes(const Member& next, const Member& current) {
  if (next.incarnation != current.incarnation) return next.incarnation > current.incarnation;
  return next.state > current.state;
}

}  // namespace verbenaridge::membership
