#include "verbenaridge/poison/suspect_registry.h"

#include <algorithm>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::poison {

void DeathSet::Add(const DeathRecord& dated) {
  const auto found = deaths_.find(dated.death);
  if (found != deaths_.end()) {
    if (found->second >= dated.expiry && !Mutated(Mutation::kLastExpiryWins)) return;
    auto& same_expiry = by_expiry_[found->second];
    same_expiry.erase(dated.death);
    if (same_expiry.empty()) by_expiry_.erase(found->second);
  }
  deaths_[dated.death] = dated.expiry;
  by_expiry_[dated.expiry][dated.death] = true;
  if (deaths_.size() <= capacity_ || Mutated(Mutation::kUnboundedMerge)) return;
  // Ties are broken by the death itself, so that every daemon drops the same one.
  const auto first = by_expiry_.begin();
  deaths_.erase(first->second.begin()->first);
  first->second.erase(first->second.begin());
  if (first->second.empty()) by_expiry_.erase(first);
}

void DeathSet::RemoveExpired(WallTime now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    for (const auto& [death, unused] : by_expiry_.begin()->second) deaths_.erase(death);
    by_expiry_.erase(by_expiry_.begin());
  }
}

std::vector<DeathRecord> DeathSet::Of(Digest digest) const {
  std::vector<DeathRecord> found;
  for (auto it = deaths_.lower_bound(Death{.digest = digest, .endpoint = {}, .incarnation = 0});
       it != deaths_.end() && it->first.digest == digest; ++it) {
    found.push_back({.death = it->first, .expiry = it->second});
  }
  return found;
}

std::vector<DeathRecord> DeathSet::All() const {
  std::vector<DeathRecord> all;
  all.reserve(deaths_.size());
  for (const auto& [death, expiry] : deaths_) all.push_back({.death = death, .expiry = expiry});
  return all;
}

SuspectRegistry::SuspectRegistry(const SuspectRegistryOptions& options)
    : options_(options), deaths_(options.capacity), exonerations_(options.capacity) {}

void SuspectRegistry::OnEndpointDeath(const EndpointId& endpoint, Incarnation incarnation,
                                      std::span<const Digest> in_flight, WallTime now) {
  for (Digest digest : in_flight) {
    const Death death{.digest = digest, .endpoint = endpoint, .incarnation = incarnation};
    // Several observers report one death; the first report keeps its expiry here.
    if (!deaths_.Contains(death)) {
      deaths_.Add({.death = death, .expiry = now + options_.memory});
    }
  }
}

std::vector<DeathRecord> SuspectRegistry::OnCompleted(Digest digest, WallTime now) {
  std::vector<DeathRecord> added;
  if (Mutated(Mutation::kNoExoneration)) return added;
  for (const DeathRecord& dated : deaths_.Of(digest)) {
    if (dated.expiry <= now || exonerations_.Contains(dated.death)) continue;
    // The exoneration outlives the death, whose expiry may be later at another daemon.
    added.push_back({.death = dated.death, .expiry = dated.expiry + options_.memory});
    exonerations_.Add(added.back());
  }
  return added;
}

void SuspectRegistry::Merge(std::span<const DeathRecord> deaths,
                            std::span<const DeathRecord> exonerations, WallTime now) {
  for (const DeathRecord& dated : deaths) {
    if (dated.expiry > now) deaths_.Add(dated);
  }
  for (const DeathRecord& dated : exonerations) {
    if (dated.expiry > now) exonerations_.Add(dated);
  }
}

int SuspectRegistry::CountDeaths(Digest digest, WallTime now) const {
  const std::vector<DeathRecord> deaths = deaths_.Of(digest);
  if (Mutated(Mutation::kExonerateForever) && !exonerations_.Of(digest).empty()) return 0;
  return static_cast<int>(std::count_if(deaths.begin(), deaths.end(), [&](const auto& dated) {
    return dated.expiry > now && !exonerations_.Contains(dated.death);
  }));
}

SuspectAction SuspectRegistry::ActionFor(Digest digest, WallTime now) const {
  const int deaths = CountDeaths(digest, now);
  const int limit = options_.deaths_to_refuse + (Mutated(Mutation::kThreeDeaths) ? 1 : 0);
  if (deaths >= limit) return SuspectAction::kRefuse;
  if (deaths > 0 && !Mutated(Mutation::kNoIsolation)) return SuspectAction::kIsolate;
  return SuspectAction::kAllow;
}

void SuspectRegistry::RemoveExpired(WallTime now) {
  deaths_.RemoveExpired(now);
  exonerations_.RemoveExpired(now);
}

}  // namespace verbenaridge::poison
