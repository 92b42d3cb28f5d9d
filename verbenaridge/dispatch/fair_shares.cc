#include "verbenaridge/dispatch/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace verbenaridge::dispatch {
namespace {

constexpr EngineSeconds kUnlimited = std::numeric_limits<EngineSeconds>::infinity();
// An account whose decayed service is below this and that waits for nothing is forgotten.
constexpr EngineSeconds kNegligible = 1e-4;

}  // namespace

EngineSeconds FairShares::Decayed(const Account& account, TimePoint now) const {
  return account.started *
         std::exp2(-ToSeconds(now - account.updated) / ToSeconds(options_.half_life));
}

void FairShares::OnStart(Digest account, EngineSeconds cost, TimePoint now) {
  Account& state = accounts_[account];
  state.started = Decayed(state, now) + cost;
  state.updated = now;
}

void FairShares::OnWait(Digest account, EngineSeconds cost) {
  Account& state = accounts_[account];
  state.waiting += cost;
  ++state.waiting_requests;
}

void FairShares::OnLeave(Digest account, EngineSeconds cost) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return;
  Account& state = found->second;
  if (state.waiting_requests > 0) --state.waiting_requests;
  // Sums of floating-point numbers do not return to zero by themselves.
  state.waiting = state.waiting_requests == 0 ? 0 : std::max(state.waiting - cost, 0.0);
}

void FairShares::Refresh(TimePoint now) {
  refreshed_ = now;
  std::erase_if(accounts_, [&](const auto& entry) {
    return entry.second.waiting_requests == 0 && Decayed(entry.second, now) < kNegligible;
  });
  EngineSeconds served = 0;
  EngineSeconds waiting = 0;
  std::vector<EngineSeconds> demands;
  demands.reserve(accounts_.size());
  for (const auto& [id, account] : accounts_) {
    const EngineSeconds started = Decayed(account, now);
    served += started;
    waiting += account.waiting;
    demands.push_back(started + account.waiting);
  }
  level_ = kUnlimited;
  if (waiting <= 0) return;
  // The smallest demands are met entirely; the rest is divided among the others.
  std::sort(demands.begin(), demands.end());
  EngineSeconds left = served;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const EngineSeconds even = left / static_cast<double>(demands.size() - i);
    if (demands[i] > even) {
      level_ = even;
      return;
    }
    left -= demands[i];
  }
}

EngineSeconds FairShares::Level(TimePoint now) {
  if (refreshed_ == TimePoint{} || now - refreshed_ >= options_.refresh_interval) Refresh(now);
  return level_;
}

EngineSeconds FairShares::Used(Digest account, TimePoint now) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? 0 : Decayed(found->second, now);
}

bool FairShares::Floods(Digest account, TimePoint now) {
  return Used(account, now) > Level(now) * options_.flood_factor;
}

bool FairShares::IsOverShare(Digest account, TimePoint now) {
  return Used(account, now) > Level(now) * (1 + options_.tolerance);
}

}  // namespace verbenaridge::dispatch
