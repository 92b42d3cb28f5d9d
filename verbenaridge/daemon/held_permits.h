// Permits that the requests of one traffic thread hold: renewed every two seconds, presented to a
// new endpoint owner, and given back when the owner revokes them.
#ifndef VERBENARIDGE_DAEMON_HELD_PERMITS_H_
#define VERBENARIDGE_DAEMON_HELD_PERMITS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/daemon/peer_router.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

// Used on one loop alone.
class HeldPermits {
 public:
  explicit HeldPermits(PeerRouter& router) : router_(router) {}

  // A new owner of an endpoint is presented with its permits at once.
  void SetSnapshot(SnapshotPtr snapshot);

  // `revoked` runs once if the owner takes the permit back.
  void Add(const wire::PermitState& permit, std::function<void()> revoked);
  void Remove(const EndpointId& endpoint, std::uint64_t permit);

  void RenewAll();
  void Revoke(const EndpointId& endpoint, std::uint64_t permit);

  std::size_t size() const { return permits_.size(); }

 private:
  using Key = std::pair<EndpointId, std::uint64_t>;
  struct Held {
    wire::PermitState state;
    std::function<void()> revoked;
  };

  void Renew(const EndpointId& endpoint, const HostId& owner);

  PeerRouter& router_;
  SnapshotPtr snapshot_;
  std::map<Key, Held> permits_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_HELD_PERMITS_H_
