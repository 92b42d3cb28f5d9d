#include "verbenaridge/daemon/account_owner.h"

#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/daemon/account_limits.h"
#include "verbenaridge/daemon/conversions.h"

namespace verbenaridge::daemon {
namespace {

// Holders ask again after this time when identical requests are running.
constexpr Duration kDuplicateRetry = std::chrono::milliseconds(25);

wire::AdmitReply Refuse(wire::RefusalReason reason, Duration retry_after = {}) {
  return {.verdict = wire::Verdict::kRefused, .reason = reason, .retry_after = retry_after};
}

}  // namespace

AccountOwner::AccountOwner(const Clock& clock, SuspectChanges changes)
    : clock_(clock), changes_(std::move(changes)) {}

void AccountOwner::SetSnapshot(SnapshotPtr snapshot) { snapshot_ = std::move(snapshot); }

void AccountOwner::MergeSuspects(std::span<const poison::DeathRecord> deaths,
                                 std::span<const poison::DeathRecord> exonerations) {
  registry_.Merge(deaths, exonerations, clock_.WallNow());
}

bool AccountOwner::EnsureLimits(const ClientAccountId& account) {
  if (!snapshot_ || !snapshot_->plan) return false;
  const PlanVersion version = snapshot_->plan->document().version();
  const auto known = limits_version_.find(account);
  if (known != limits_version_.end() && known->second == version) return true;
  const plans::AccountPlan* holder = snapshot_->plan->Account(account);
  const plans::Plan* plan = holder ? snapshot_->plan->FindPlan(holder->plan) : nullptr;
  if (plan == nullptr) return false;
  ledger_.SetLimits(account, RegionLimits(*plan, snapshot_->region_count),
                    admission::BucketStart::kHalf, clock_.Now());
  limits_version_[account] = version;
  return true;
}

poison::DigestGate& AccountOwner::GateOf(const ClientAccountId& account) {
  return gates_.try_emplace(account, registry_, clock_.Now()).first->second;
}

poison::AdmissionId AccountOwner::AdmissionIdOf(const HolderId& holder) {
  return CombineDigests(CombineDigests(HashOf(holder.host.value()), holder.incarnation),
                        holder.sequence);
}

// Calls of plain services have no digest, so they are never compared.
poison::GateDecision AccountOwner::AskGate(const wire::AdmitRequest& request) {
  if (request.digest == 0) return poison::GateDecision::kRun;
  return GateOf(request.client_account)
      .Admit(request.digest, AdmissionIdOf(request.holder), clock_.Now(), clock_.WallNow());
}

wire::AdmitReply AccountOwner::Admit(const wire::AdmitRequest& request) {
  if (!EnsureLimits(request.client_account)) return Refuse(wire::RefusalReason::kNotServing);
  if (request.present) {
    Present(request);
    return {.verdict = wire::Verdict::kGranted};
  }
  const poison::GateDecision gate = AskGate(request);
  if (gate == poison::GateDecision::kRefuse) {
    ++refused_as_poison_;
    return Refuse(wire::RefusalReason::kPoison);
  }
  if (gate == poison::GateDecision::kWait) {
    return Refuse(wire::RefusalReason::kDuplicateInFlight, kDuplicateRetry);
  }
  const admission::AdmitDecision decision = ledger_.Admit(ToAdmitInput(request), clock_.Now());
  if (!decision.admitted) WithdrawGate(request);
  wire::AdmitReply reply = ToAdmitReply(decision);
  reply.isolate = gate == poison::GateDecision::kRunAlone;
  return reply;
}

void AccountOwner::Present(const wire::AdmitRequest& request) {
  if (request.digest != 0) {
    GateOf(request.client_account).Present(request.digest, AdmissionIdOf(request.holder));
  }
  ledger_.Present({.holder = request.holder,
                   .account = request.client_account,
                   .cost_seconds = request.cost_seconds},
                  clock_.Now());
}

void AccountOwner::WithdrawGate(const wire::AdmitRequest& request) {
  if (request.digest == 0) return;
  GateOf(request.client_account).Withdraw(AdmissionIdOf(request.holder), request.digest);
}

void AccountOwner::FinishGate(const wire::FinishAdmissionRequest& request,
                              std::span<const poison::DeathRecord> deaths) {
  if (request.digest == 0) return;
  poison::DigestGate& gate = GateOf(request.client_account);
  const poison::AdmissionId ticket = AdmissionIdOf(request.holder);
  if (!request.dispatched && deaths.empty()) {
    gate.Withdraw(ticket, request.digest);
  } else {
    gate.Finish(ticket, request.digest, deaths, request.completed, clock_.WallNow());
  }
}

void AccountOwner::Finish(const wire::FinishAdmissionRequest& request) {
  std::vector<poison::DeathRecord> deaths;
  for (const wire::SuspectDeath& death : request.deaths) deaths.push_back(ToDeathRecord(death));
  const WallTime wall = clock_.WallNow();
  std::vector<poison::DeathRecord> exonerated;
  if (request.completed && request.digest != 0) {
    exonerated = registry_.OnCompleted(request.digest, wall);
  }
  FinishGate(request, deaths);
  if (!deaths.empty() || !exonerated.empty()) changes_(std::move(deaths), std::move(exonerated));
  ledger_.Finish(request.holder, request.client_account,
                 {.tokens_admitted = request.tokens_admitted, .tokens_used = request.tokens_used},
                 clock_.Now());
}

void AccountOwner::Expire() {
  ledger_.Expire(clock_.Now());
  registry_.RemoveExpired(clock_.WallNow());
}

}  // namespace verbenaridge::daemon
