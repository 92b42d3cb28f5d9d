#include "verbenaridge/admission/account_ledger.h"

#include <algorithm>

namespace verbenaridge::admission {

namespace {

double BurstOr(double burst, double rate) { return burst > 0 ? burst : std::max(1.0, rate); }

bool Permits(const auto& set, const auto& value) { return set.empty() || set.contains(value); }

bool PlanPermits(const AccountLimits& limits, const AdmitInput& input) {
  return Permits(limits.priorities, input.priority) &&
         (input.model.empty() || Permits(limits.models, input.model)) &&
         (input.service.empty() || Permits(limits.services, input.service));
}

AdmitDecision Refuse(AdmitReason reason, Duration retry_after = {}) {
  return {.admitted = false, .reason = reason, .retry_after = retry_after};
}

}  // namespace

AccountLimits LocalShare(const AccountLimits& limits, std::size_t live_daemons) {
  const auto share = 1.0 / static_cast<double>(std::max<std::size_t>(live_daemons, 1));
  AccountLimits local = limits;
  local.requests_per_second *= share;
  local.request_burst = BurstOr(limits.request_burst, limits.requests_per_second) * share;
  local.tokens_per_second *= share;
  local.token_burst = BurstOr(limits.token_burst, limits.tokens_per_second) * share;
  local.concurrent_cost *= share;
  return local;
}

void AccountLedger::SetLimits(const ClientAccountId& id, AccountLimits limits, BucketStart start,
                              TimePoint now) {
  auto [found, added] = accounts_.try_emplace(id);
  Account& account = found->second;
  const double request_burst = BurstOr(limits.request_burst, limits.requests_per_second);
  const double token_burst = BurstOr(limits.token_burst, limits.tokens_per_second);
  if (added) {
    const double level = start == BucketStart::kFull ? 1.0 : 0.5;
    account.requests = {limits.requests_per_second, request_burst, request_burst * level, now};
    account.tokens = {limits.tokens_per_second, token_burst, token_burst * level, now};
    account.inherited = start == BucketStart::kHalf;
    account.presented_by = now + options_.presentation_time;
  } else {
    account.requests.SetRate(limits.requests_per_second, request_burst, now);
    account.tokens.SetRate(limits.tokens_per_second, token_burst, now);
  }
  account.limits = std::move(limits);
}

AdmitDecision AccountLedger::Check(Account& account, const AdmitInput& input, TimePoint now) const {
  const AccountLimits& limits = account.limits;
  if (!PlanPermits(limits, input)) return Refuse(AdmitReason::kPlanForbids);
  Duration wait{};
  if (limits.requests_per_second > 0) wait = account.requests.WaitFor(1, now);
  if (limits.tokens_per_second > 0) {
    wait = std::max(wait, account.tokens.WaitFor(static_cast<double>(input.tokens), now));
  }
  if (wait > Duration::zero()) return Refuse(AdmitReason::kRateLimited, wait);
  if (limits.concurrent_cost > 0) {
    const bool halved = account.inherited && now < account.presented_by;
    const double limit = limits.concurrent_cost * (halved ? 0.5 : 1.0);
    // A single request over the limit runs alone, because otherwise it could never run.
    const bool alone = account.admissions.empty();
    if (!alone && account.cost + input.cost_seconds > limit) {
      // Running requests end after about their cost, and a part of it is freed earlier.
      const double excess = account.cost + input.cost_seconds - limit;
      return Refuse(AdmitReason::kConcurrencyLimited,
                    FromSeconds(std::clamp(excess, 0.1, std::max(0.1, account.cost))));
    }
  }
  return {.admitted = true};
}

AdmitDecision AccountLedger::Admit(const AdmitInput& input, TimePoint now) {
  const auto found = accounts_.find(input.account);
  if (found == accounts_.end()) return Refuse(AdmitReason::kUnknownAccount);
  Account& account = found->second;
  const auto known = account.admissions.find(input.holder);
  if (known != account.admissions.end()) {
    known->second.expiry = now + options_.expiry;
    return {.admitted = true};
  }
  const AdmitDecision decision = Check(account, input, now);
  if (!decision.admitted) return decision;
  account.requests.Consume(1, now);
  account.tokens.Consume(static_cast<double>(input.tokens), now);
  Add(account, input.holder, {input.cost_seconds, now + options_.expiry});
  return decision;
}

void AccountLedger::Add(Account& account, const HolderId& holder, const Admission& admission) {
  account.admissions.emplace(holder, admission);
  account.cost += admission.cost;
}

void AccountLedger::Remove(Account& account,
                           std::unordered_map<HolderId, Admission>::iterator admission) {
  account.cost -= admission->second.cost;
  account.admissions.erase(admission);
  if (account.admissions.empty()) account.cost = 0;
}

void AccountLedger::Finish(const HolderId& holder, const ClientAccountId& id,
                           const FinishInput& input, TimePoint now) {
  const auto found = accounts_.find(id);
  if (found == accounts_.end()) return;
  const auto admission = found->second.admissions.find(holder);
  if (admission == found->second.admissions.end()) return;
  Remove(found->second, admission);
  const TokenCount unused = input.tokens_admitted - input.tokens_used;
  if (unused > 0) found->second.tokens.Consume(-static_cast<double>(unused), now);
}

void AccountLedger::Present(const PresentedAdmission& presentation, TimePoint now) {
  const auto found = accounts_.find(presentation.account);
  if (found == accounts_.end()) return;
  Account& account = found->second;
  const auto known = account.admissions.find(presentation.holder);
  if (known != account.admissions.end()) {
    known->second.expiry = now + options_.expiry;
    return;
  }
  Add(account, presentation.holder, {presentation.cost_seconds, now + options_.expiry});
}

void AccountLedger::Expire(TimePoint now) {
  for (auto& [id, account] : accounts_) {
    for (auto it = account.admissions.begin(); it != account.admissions.end();) {
      const auto next = std::next(it);
      if (it->second.expiry <= now) Remove(account, it);
      it = next;
    }
  }
}

void AccountLedger::ExpireHost(const HostId& host, Incarnation before) {
  for (auto& [id, account] : accounts_) {
    for (auto it = account.admissions.begin(); it != account.admissions.end();) {
      const auto next = std::next(it);
      if (it->first.host == host && it->first.incarnation < before) Remove(account, it);
      it = next;
    }
  }
}

double AccountLedger::concurrent_cost(const ClientAccountId& id) const {
  const auto found = accounts_.find(id);
  return found == accounts_.end() ? 0 : found->second.cost;
}

std::size_t AccountLedger::in_flight(const ClientAccountId& id) const {
  const auto found = accounts_.find(id);
  return found == accounts_.end() ? 0 : found->second.admissions.size();
}

}  // namespace verbenaridge::admission
