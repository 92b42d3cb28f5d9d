// Names one request at one ingress daemon, to the owners that account for it.
//
//   HolderId holder{.host = HostId("furano-03"), .incarnation = 7, .sequence = 1042};
#ifndef VERBENARIDGE_BASE_HOLDER_H_
#define VERBENARIDGE_BASE_HOLDER_H_

#include <compare>
#include <cstdint>
#include <functional>

#include "verbenaridge/base/ids.h"

namespace verbenaridge {

struct HolderId {
  HostId host;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;

  // clang-tidy 14 takes the literal 0 of a rewritten comparison for a null pointer.
  friend auto operator<=>(const HolderId&,
                          const HolderId&) = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace verbenaridge

template <>
struct std::hash<verbenaridge::HolderId> {
  std::size_t operator()(const verbenaridge::HolderId& id) const noexcept {
    const std::size_t host = std::hash<verbenaridge::HostId>()(id.host);
    return host ^ (id.incarnation * 0x9e3779b97f4a7c15ULL) ^ (id.sequence * 0xc2b2ae3d27d4eb4fULL);
  }
};

#endif  // VERBENARIDGE_BASE_HOLDER_H_
