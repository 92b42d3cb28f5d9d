#include "verbenaridge/daemon/held_permits.h"

#include <set>

namespace verbenaridge::daemon {
namespace {

constexpr Duration kRenewDeadline = std::chrono::seconds(1);

HostId OwnerOf(const SnapshotPtr& snapshot, const EndpointId& endpoint) {
  const EndpointView* view = snapshot ? snapshot->FindEndpoint(endpoint) : nullptr;
  return view ? view->owner : HostId();
}

}  // namespace

void HeldPermits::SetSnapshot(SnapshotPtr snapshot) {
  const SnapshotPtr previous = std::exchange(snapshot_, std::move(snapshot));
  std::set<EndpointId> endpoints;
  for (const auto& [key, held] : permits_) endpoints.insert(key.first);
  for (const EndpointId& endpoint : endpoints) {
    const HostId owner = OwnerOf(snapshot_, endpoint);
    if (!owner.empty() && owner != OwnerOf(previous, endpoint)) Renew(endpoint, owner);
  }
}

void HeldPermits::Add(const wire::PermitState& permit, std::function<void()> revoked) {
  permits_[{permit.endpoint, permit.permit}] = {permit, std::move(revoked)};
}

void HeldPermits::Remove(const EndpointId& endpoint, std::uint64_t permit) {
  permits_.erase({endpoint, permit});
}

void HeldPermits::RenewAll() {
  std::set<EndpointId> endpoints;
  for (const auto& [key, held] : permits_) endpoints.insert(key.first);
  for (const EndpointId& endpoint : endpoints) {
    const HostId owner = OwnerOf(snapshot_, endpoint);
    if (!owner.empty()) Renew(endpoint, owner);
  }
}

void HeldPermits::Renew(const EndpointId& endpoint, const HostId& owner) {
  wire::RenewPermitsRequest request;
  const auto first = permits_.lower_bound({endpoint, 0});
  for (auto it = first; it != permits_.end() && it->first.first == endpoint; ++it) {
    request.permits.push_back(it->second.state);
  }
  router_.Call(owner, std::move(request), kRenewDeadline,
               [this, endpoint](Result<wire::Reply> reply) {
                 if (reply.has_error()) return;  // renewed again in two seconds
                 const auto* renewed = std::get_if<wire::RenewPermitsReply>(&reply.value());
                 if (renewed == nullptr) return;
                 for (std::uint64_t permit : renewed->revoked) Revoke(endpoint, permit);
               });
}

void HeldPermits::Revoke(const EndpointId& endpoint, std::uint64_t permit) {
  auto node = permits_.extract({endpoint, permit});
  if (!node.empty() && node.mapped().revoked) node.mapped().revoked();
}

}  // namespace verbenaridge::daemon
