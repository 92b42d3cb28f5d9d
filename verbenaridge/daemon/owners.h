// Which daemon owns what, in the view of one snapshot.
#ifndef VERBENARIDGE_DAEMON_OWNERS_H_
#define VERBENARIDGE_DAEMON_OWNERS_H_

#include "verbenaridge/base/ids.h"
#include "verbenaridge/claims/claim_types.h"
#include "verbenaridge/daemon/snapshot.h"

namespace verbenaridge::daemon {

// The account owner of this daemon's region; empty if the region has no live host.
HostId AccountOwnerOf(const Snapshot& snapshot, const ClientAccountId& account);

// The writer of a claim bucket; empty if there is no live host.
HostId ClaimWriterOf(const Snapshot& snapshot, claims::BucketIndex bucket);

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_OWNERS_H_
