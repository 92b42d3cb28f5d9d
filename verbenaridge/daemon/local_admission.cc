#include "verbenaridge/daemon/local_admission.h"

#include "verbenaridge/daemon/account_limits.h"

namespace verbenaridge::daemon {

bool LocalAdmission::EnsureLimits(const ClientAccountId& account, const Snapshot& snapshot) {
  if (!snapshot.plan) return false;
  const PlanVersion version = snapshot.plan->document().version();
  const auto known = limits_version_.find(account);
  if (known != limits_version_.end() && known->second == version) return true;
  const plans::AccountPlan* holder = snapshot.plan->Account(account);
  const plans::Plan* plan = holder ? snapshot.plan->FindPlan(holder->plan) : nullptr;
  if (plan == nullptr) return false;
  ledger_.SetLimits(account,
                    admission::LocalShare(RegionLimits(*plan, snapshot.region_count),
                                          snapshot.hosts.size() * thread_count_),
                    admission::BucketStart::kFull, clock_.Now());
  limits_version_[account] = version;
  return true;
}

wire::AdmitReply LocalAdmission::Admit(const wire::AdmitRequest& request,
                                       const Snapshot& snapshot) {
  if (!EnsureLimits(request.client_account, snapshot)) {
    return {.verdict = wire::Verdict::kRefused, .reason = wire::RefusalReason::kNotServing};
  }
  return ToAdmitReply(ledger_.Admit(ToAdmitInput(request), clock_.Now()));
}

void LocalAdmission::Finish(const wire::FinishAdmissionRequest& request) {
  ledger_.Finish(request.holder, request.client_account,
                 {.tokens_admitted = request.tokens_admitted, .tokens_used = request.tokens_used},
                 clock_.Now());
}

}  // namespace verbenaridge::daemon
