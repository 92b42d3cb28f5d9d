#include "verbenaridge/daemon/owners.h"

#include <string>

namespace verbenaridge::daemon {
namespace {

HostId OwnerOf(const membership::OwnerRanking& ranking, const std::string& key) {
  const HostId* owner = ranking.Owner(key);
  return owner ? *owner : HostId();
}

}  // namespace

HostId AccountOwnerOf(const Snapshot& snapshot, const ClientAccountId& account) {
  return OwnerOf(snapshot.region_ranking, "account/" + account.value());
}

HostId ClaimWriterOf(const Snapshot& snapshot, claims::BucketIndex bucket) {
  return OwnerOf(snapshot.fleet_ranking, "claims/" + std::to_string(bucket));
}

}  // namespace verbenaridge::daemon
