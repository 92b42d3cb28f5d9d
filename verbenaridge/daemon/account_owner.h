// Serves admissions of the client accounts that this daemon owns and that are pinned to one loop.
#ifndef VERBENARIDGE_DAEMON_ACCOUNT_OWNER_H_
#define VERBENARIDGE_DAEMON_ACCOUNT_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "verbenaridge/admission/account_ledger.h"
#include "verbenaridge/base/clock.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/poison/digest_gate.h"
#include "verbenaridge/poison/suspect_registry.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

// Not thread-safe; one per traffic thread.
class AccountOwner {
 public:
  using SuspectChanges = std::function<void(std::vector<poison::DeathRecord> deaths,
                                            std::vector<poison::DeathRecord> exonerations)>;

  // `changes` receives what this loop learned of suspects, for gossip.
  AccountOwner(const Clock& clock, SuspectChanges changes);

  void SetSnapshot(SnapshotPtr snapshot);
  void MergeSuspects(std::span<const poison::DeathRecord> deaths,
                     std::span<const poison::DeathRecord> exonerations);

  wire::AdmitReply Admit(const wire::AdmitRequest& request);
  void Finish(const wire::FinishAdmissionRequest& request);

  // Drops admissions whose holders fell silent.
  void Expire();

  std::size_t refused_as_poison() const { return refused_as_poison_; }

 private:
  bool EnsureLimits(const ClientAccountId& account);
  poison::GateDecision AskGate(const wire::AdmitRequest& request);
  void Present(const wire::AdmitRequest& request);
  void WithdrawGate(const wire::AdmitRequest& request);
  void FinishGate(const wire::FinishAdmissionRequest& request,
                  std::span<const poison::DeathRecord> deaths);
  poison::DigestGate& GateOf(const ClientAccountId& account);
  static poison::AdmissionId AdmissionIdOf(const HolderId& holder);

  const Clock& clock_;
  SuspectChanges changes_;
  SnapshotPtr snapshot_;
  admission::AccountLedger ledger_;
  poison::SuspectRegistry registry_;
  std::map<ClientAccountId, poison::DigestGate> gates_;
  std::map<ClientAccountId, PlanVersion> limits_version_;
  std::size_t refused_as_poison_ = 0;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_ACCOUNT_OWNER_H_
