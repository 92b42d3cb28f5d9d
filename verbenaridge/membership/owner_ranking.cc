#include "verbenaridge/membership/owner_ranking.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::membership {
namespace {

// Smaller is better: an exponential variate with rate `weight`, drawn from the hash.
double Score(Digest key, Digest host, double weight) {
  const auto bits = static_cast<double>(CombineDigests(key, host) >> 11);
  const double uniform = (bits + 0.5) * 0x1.0p-53;
  return -std::log(uniform) / weight;
}

}  // namespace

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
    const double score = Score(digest, entry.digest, entry.weight);
    // Equal scores are settled by name, so that the order of the input does not matter.
    if (best == nullptr || std::tie(score, entry.host) < std::tie(best_score, best->host)) {
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
    scores.emplace_back(Score(digest, entry.digest, entry.weight), entry.host);
  }
  const std::size_t kept = std::min(count, scores.size());
  std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept),
                    scores.end());
  std::vector<HostId> top;
  for (std::size_t i = 0; i < kept; ++i) top.push_back(std::move(scores[i].second));
  return top;
}

}  // namespace verbenaridge::membership
