// Admits requests with this daemon's share of the limits while no account owner answers.
#ifndef VERBENARIDGE_DAEMON_LOCAL_ADMISSION_H_
#define VERBENARIDGE_DAEMON_LOCAL_ADMISSION_H_

#include <map>

#include "verbenaridge/admission/account_ledger.h"
#include "verbenaridge/base/clock.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

// Not thread-safe; one per traffic thread, each with its part of the daemon's share.
class LocalAdmission {
 public:
  LocalAdmission(const Clock& clock, std::size_t thread_count)
      : clock_(clock), thread_count_(thread_count) {}

  wire::AdmitReply Admit(const wire::AdmitRequest& request, const Snapshot& snapshot);
  void Finish(const wire::FinishAdmissionRequest& request);

 private:
  bool EnsureLimits(const ClientAccountId& account, const Snapshot& snapshot);

  const Clock& clock_;
  const std::size_t thread_count_;
  admission::AccountLedger ledger_;
  std::map<ClientAccountId, PlanVersion> limits_version_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_LOCAL_ADMISSION_H_
