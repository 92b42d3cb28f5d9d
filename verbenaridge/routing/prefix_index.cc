#include "verbenaridge/routing/prefix_index.h"

#include <algorithm>

namespace verbenaridge::routing {

void PrefixIndex::DropHolding(Digest endpoint, Digest block) {
  const auto found = blocks_.find(block);
  if (found == blocks_.end()) return;
  std::erase_if(found->second, [&](const Holding& h) { return h.endpoint == endpoint; });
  if (found->second.empty()) blocks_.erase(found);
}

PrefixIndex::Holding& PrefixIndex::Find(Digest endpoint, Digest block) {
  std::vector<Holding>& holdings = blocks_[block];
  for (Holding& holding : holdings) {
    if (holding.endpoint == endpoint) return holding;
  }
  EndpointState& state = endpoints_[endpoint];
  state.blocks.push_back(block);
  holdings.push_back(Holding{.endpoint = endpoint});
  if (state.blocks.size() > options_.max_blocks_per_endpoint) {
    const Digest oldest = state.blocks.front();
    state.blocks.pop_front();
    if (oldest != block) DropHolding(endpoint, oldest);
  }
  return blocks_[block].back();
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

std::vector<PrefixMatch> PrefixIndex::Match(std::span<const Digest> blocks, TimePoint now) const {
  struct Progress {
    Digest endpoint;
    std::size_t depth;
    double trusted;
  };
  std::vector<Progress> progress;
  const std::size_t count = std::min(blocks.size(), options_.max_match_blocks);
  for (std::size_t i = 0; i < count; ++i) {
    const auto found = blocks_.find(blocks[i]);
    if (found == blocks_.end()) break;
    bool extended = false;
    for (const Holding& holding : found->second) {
      if (!holding.cached || now - holding.seen > options_.time_to_live) continue;
      const bool current = holding.epoch == endpoints_.at(holding.endpoint).epoch;
      const double trust = current ? 1.0 : options_.gap_trust;
      if (i == 0) {
        progress.push_back({holding.endpoint, 1, trust});
        extended = true;
        continue;
      }
      const auto at = std::find_if(progress.begin(), progress.end(), [&](const Progress& p) {
        return p.endpoint == holding.endpoint && p.depth == i;
      });
      if (at == progress.end()) continue;
      at->depth = i + 1;
      at->trusted += trust;
      extended = true;
    }
    if (!extended) break;
  }
  std::vector<PrefixMatch> matches;
  matches.reserve(progress.size());
  for (const Progress& p : progress) matches.push_back({p.endpoint, p.trusted});
  return matches;
}

}  // namespace verbenaridge::routing
