// Writes the claims of the buckets that reach this daemon to the platform's store.
#ifndef VERBENARIDGE_DAEMON_CLAIM_SERVICE_H_
#define VERBENARIDGE_DAEMON_CLAIM_SERVICE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/claims/claim_writer.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/store/key_value_store.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::daemon {

// Runs on the control loop alone.
class ClaimService final : private claims::HolderDirectory {
 public:
  ClaimService(asio::io_context& io_context, const Clock& clock, RandomSource& random,
               store::KeyValueStore& store);

  void SetSnapshot(SnapshotPtr snapshot) { snapshot_ = std::move(snapshot); }

  // An incarnation number for each live host, kept by membership.
  void SetIncarnations(std::unordered_map<HostId, Incarnation> incarnations) {
    incarnations_ = std::move(incarnations);
  }

  void Claim(const wire::ClaimRequest& request, std::shared_ptr<wire::ServerCall> call);
  void Record(const wire::RecordOutcomeRequest& request, std::shared_ptr<wire::ServerCall> call);
  void LookUp(const wire::LookUpClaimRequest& request, std::shared_ptr<wire::ServerCall> call);

 private:
  bool MayBeRunning(const HolderId& holder) const override;
  claims::CallTag Remember(std::shared_ptr<wire::ServerCall> call);
  void Execute(const claims::WriterActions& actions);
  void Perform(const claims::ReadBucket& read);
  void Perform(const claims::WriteBucket& write);
  void Perform(const claims::SendReply& send);
  void ArmTimer();

  const Clock& clock_;
  store::KeyValueStore& store_;
  asio::steady_timer timer_;
  claims::ClaimWriter book_;
  SnapshotPtr snapshot_;
  std::unordered_map<HostId, Incarnation> incarnations_;
  claims::CallTag last_tag_ = 0;
  std::unordered_map<claims::CallTag, std::shared_ptr<wire::ServerCall>> calls_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_CLAIM_SERVICE_H_
