#include "verbenaridge/membership/owner_ranking.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/base/rendezvous.h"

namespace verbenaridge::membership {

OwnerRanking::OwnerRanking(std::span<const WeightedHost> hosts) {
  for (const WeightedHost& host : hosts) {
    if (host.weight > 0) hosts_.push_back({host.host, HashOf(host.host.value()), host.weight});
  }
}

const HostId* OwnerRanking::Owner(std::string_view key) const {
  const Digest digest = HashOf(key);
  const Entry* best = nullptr;
  double best_score = 0;
  for (const Entry& entry : hosts_) {
    const double score = RendezvousScore(digest, entry.digest, entry.weight);
    // Ties are broken by name, so that the result does not depend on the order of the hosts.
    const bool tie = best != nullptr && score == best_score && entry.host < best->host;
    if (best == nullptr || score > best_score || tie) {
      best = &entry;
      best_score = score;
    }
  }
  return best == nullptr ? nullptr : &best->host;
}

std::vector<HostId> OwnerRanking::Top(std::string_view key, std::size_t count) const {
  const Digest digest = HashOf(key);
  std::vector<std::pair<double, HostId>> scores;
  scores.reserve(hosts_.size());
  for (const Entry& entry : hosts_) {
    // Negated, so that the smallest pair ranks highest and ties are broken by name.
    scores.emplace_back(-RendezvousScore(digest, entry.digest, entry.weight), entry.host);
  }
  const std::size_t kept = std::min(count, scores.size());
  std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept),
                    scores.end());
  std::vector<HostId> top;
  for (std::size_t i = 0; i < kept; ++i) top.push_back(std::move(scores[i].second));
  return top;
}

}  // namespace verbenaridge::membership
