#include "verbenaridge/poison/suspect_registry.h"

#include <algorithm>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::poison {

void DeathSet::Add(const DeathRecord& record) {
  const auto found = deaths_.find(record.death);
  if (found != deaths_.end()) {
    if (found->second >= record.expiry && !Mutated(Mutation::kLastExpiryWins)) return;
    auto& same_expiry = by_expiry_[found->second];
    same_expiry.erase(record.death);
    if (same_expiry.empty()) by_expiry_.erase(found->second);
  }
  deaths_[record.death] = record.expiry;
  by_expiry_[record.expiry][record.death] = true;
  if (deaths_.size() <= capacity_ || Mutated(Mutation::kUnboundedMerge)) return;
  // Ties are ordered by the death itself, so that every daemon drops the same one.
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
    // Several observers may report the same death. The first report determines its expiry here.
    if (!deaths_.Contains(death)) {
      deaths_.Add({.death = death, .expiry = now + options_.retention});
    }
  }
}

std::vector<DeathRecord> SuspectRegistry::OnCompleted(Digest digest, WallTime now) {
  std::vector<DeathRecord> added;
  if (Mutated(Mutation::kNoExoneration)) return added;
  for (const DeathRecord& record : deaths_.Of(digest)) {
    if (record.expiry <= now || exonerations_.Contains(record.death)) continue;
    // The exoneration must outlive the death, whose expiry may be later at another daemon.
    added.push_back({.death = record.death, .expiry = record.expiry + options_.retention});
    exonerations_.Add(added.back());
  }
  return added;
}

void SuspectRegistry::Merge(std::span<const DeathRecord> deaths,
                            std::span<const DeathRecord> exonerations, WallTime now) {
  for (const DeathRecord& record : deaths) {
    if (record.expiry > now) deaths_.Add(record);
  }
  for (const DeathRecord& record : exonerations) {
    if (record.expiry > now) exonerations_.Add(record);
  }
}

int SuspectRegistry::CountDeaths(Digest digest, WallTime now) const {
  const std::vector<DeathRecord> deaths = deaths_.Of(digest);
  if (Mutated(Mutation::kExonerateForever) && !exonerations_.Of(digest).empty()) return 0;
  return static_cast<int>(std::count_if(deaths.begin(), deaths.end(), [&](const auto& record) {
    return record.expiry > now && !exonerations_.Contains(record.death);
  }));
}

SuspectAction SuspectRegistry::ActionFor(Digest digest, WallTime now) const {
  const int deaths = CountDeaths(digest, now);
  const int limit = options_.deaths_to_refuse + (Mutated(Mutation::kThreeDeaths) ? 1 : 0);
  if (deaths >= limit && now - LastDeath(digest, now) < PauseAfter(deaths)) {
    return SuspectAction::kRefuse;
  }
  if (deaths > 0 && !Mutated(Mutation::kNoIsolation)) return SuspectAction::kIsolate;
  return SuspectAction::kAllow;
}

WallTime SuspectRegistry::LastDeath(Digest digest, WallTime now) const {
  WallTime last = WallTime::min();
  for (const DeathRecord& record : deaths_.Of(digest)) {
    if (record.expiry <= now || exonerations_.Contains(record.death)) continue;
    last = std::max(last, record.expiry - options_.retention);
  }
  return last;
}

Duration SuspectRegistry::PauseAfter(int deaths) const {
  Duration pause = options_.refusal_pause.first;
  for (int more = deaths - options_.deaths_to_refuse; more > 0 && pause < options_.retention;
       --more) {
    pause *= options_.refusal_pause.factor;
  }
  return pause;
}

void SuspectRegistry::RemoveExpired(WallTime now) {
  deaths_.RemoveExpired(now);
  exonerations_.RemoveExpired(now);
}

}  // namespace verbenaridge::poison
