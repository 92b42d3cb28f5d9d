#include "verbenaridge/routing/prefix_index.h"

#include <algorithm>
#include <numeric>

namespace verbenaridge::routing {

void PrefixIndex::DropHolding(Digest endpoint, Digest block) {
  const auto found = blocks_.find(block);
  if (found == blocks_.end()) return;
  std::erase_if(found->second, [&](const Holding& h) { return h.endpoint == endpoint; });
  if (found->second.empty()) blocks_.erase(found);
}

PrefixIndex::Holding& PrefixIndex::Find(Digest endpoint, Digest block) {
  const auto before = [](const Holding& holding, Digest key) { return holding.endpoint < key; };
  const auto place = [&](std::vector<Holding>& holdings) {
    return std::lower_bound(holdings.begin(), holdings.end(), endpoint, before);
  };
  std::vector<Holding>& holdings = blocks_[block];
  const auto found = place(holdings);
  if (found != holdings.end() && found->endpoint == endpoint) return *found;
  holdings.insert(found, Holding{.endpoint = endpoint});
  EndpointState& state = endpoints_[endpoint];
  state.blocks.push_back(block);
  if (state.blocks.size() > options_.max_blocks_per_endpoint) {
    const Digest oldest = state.blocks.front();
    state.blocks.pop_front();
    if (oldest != block) DropHolding(endpoint, oldest);
  }
  return *place(blocks_[block]);
}

void PrefixIndex::OnCacheEvent(Digest endpoint, const CacheEvent& event, TimePoint now) {
  EndpointState& state = endpoints_[endpoint];
  if (event.sequence > state.last_sequence + 1 && state.last_sequence != 0) ++state.epoch;
  state.last_sequence = std::max(state.last_sequence, event.sequence);
  Holding& holding = Find(endpoint, event.block);
  if (event.sequence <= holding.sequence) return;
  holding.sequence = event.sequence;
  holding.cached = event.added;
  holding.epoch = endpoints_[endpoint].epoch;
  holding.seen = now;
}

void PrefixIndex::OnDispatched(Digest endpoint, std::span<const Digest> blocks, TimePoint now) {
  const std::uint32_t epoch = endpoints_[endpoint].epoch;
  const std::size_t count = std::min(blocks.size(), options_.max_match_blocks);
  for (const Digest block : blocks.first(count)) {
    Holding& holding = Find(endpoint, block);
    holding.cached = true;
    holding.epoch = epoch;
    holding.seen = now;
  }
}

void PrefixIndex::Forget(Digest endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  for (const Digest block : found->second.blocks) DropHolding(endpoint, block);
  endpoints_.erase(found);
}

double PrefixIndex::Trust(const Holding& holding, std::uint32_t epoch, TimePoint now) const {
  if (!holding.cached || now - holding.seen > options_.time_to_live) return 0;
  return holding.epoch == epoch ? 1.0 : options_.gap_trust;
}

std::vector<PrefixMatch> PrefixIndex::Match(std::span<const Digest> blocks, TimePoint now) const {
  std::vector<PrefixMatch> matches;   // by endpoint
  std::vector<std::size_t> alive;     // those that hold all blocks so far
  std::vector<std::uint32_t> epochs;  // of the matches
  const std::size_t count = std::min(blocks.size(), options_.max_match_blocks);
  for (std::size_t i = 0; i < count; ++i) {
    const auto found = blocks_.find(blocks[i]);
    if (found == blocks_.end()) break;
    const std::vector<Holding>& holdings = found->second;
    if (i == 0) {
      for (const Holding& holding : holdings) {
        const std::uint32_t epoch = endpoints_.at(holding.endpoint).epoch;
        const double trust = Trust(holding, epoch, now);
        if (trust <= 0) continue;
        matches.push_back({holding.endpoint, trust});
        epochs.push_back(epoch);
      }
      alive.resize(matches.size());
      std::iota(alive.begin(), alive.end(), std::size_t{0});
      continue;
    }
    // Both lists are in the order of endpoints, so one pass joins them.
    auto holding = holdings.begin();
    std::size_t kept = 0;
    for (const std::size_t match : alive) {
      while (holding != holdings.end() && holding->endpoint < matches[match].endpoint) ++holding;
      if (holding == holdings.end()) break;
      if (holding->endpoint != matches[match].endpoint) continue;
      const double trust = Trust(*holding, epochs[match], now);
      if (trust <= 0) continue;
      matches[match].blocks += trust;
      alive[kept++] = match;
    }
    alive.resize(kept);
    if (alive.empty()) break;
  }
  return matches;
}

}  // namespace verbenaridge::routing
