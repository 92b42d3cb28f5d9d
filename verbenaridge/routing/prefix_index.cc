#include "verbenaridge/routing/prefix_index.h"

#include <algorithm>
#include <numeric>

namespace verbenaridge::routing {

void PrefixIndex::RemoveBlock(Digest endpoint, Digest block) {
  const auto found = blocks_.find(block);
  if (found == blocks_.end()) return;
  std::erase_if(found->second, [&](const CachedBlock& h) { return h.endpoint == endpoint; });
  if (found->second.empty()) blocks_.erase(found);
}

PrefixIndex::CachedBlock& PrefixIndex::FindOrAdd(Digest endpoint, Digest block) {
  const auto before = [](const CachedBlock& entry, Digest key) { return entry.endpoint < key; };
  const auto place = [&](std::vector<CachedBlock>& entries) {
    return std::lower_bound(entries.begin(), entries.end(), endpoint, before);
  };
  std::vector<CachedBlock>& entries = blocks_[block];
  const auto found = place(entries);
  if (found != entries.end() && found->endpoint == endpoint) return *found;
  entries.insert(found, CachedBlock{.endpoint = endpoint});
  EndpointState& state = endpoints_[endpoint];
  state.blocks.push_back(block);
  if (state.blocks.size() > options_.max_blocks_per_endpoint) {
    const Digest oldest = state.blocks.front();
    state.blocks.pop_front();
    if (oldest != block) RemoveBlock(endpoint, oldest);
  }
  return *place(blocks_[block]);
}

void PrefixIndex::OnCacheEvent(Digest endpoint, const CacheEvent& event, TimePoint now) {
  EndpointState& state = endpoints_[endpoint];
  if (event.sequence > state.last_sequence + 1 && state.last_sequence != 0) ++state.epoch;
  state.last_sequence = std::max(state.last_sequence, event.sequence);
  CachedBlock& entry = FindOrAdd(endpoint, event.block);
  if (event.sequence <= entry.sequence) return;
  entry.sequence = event.sequence;
  entry.cached = event.added;
  entry.epoch = endpoints_[endpoint].epoch;
  entry.confirmed = now;
}

void PrefixIndex::OnDispatched(Digest endpoint, std::span<const Digest> blocks, TimePoint now) {
  const std::uint32_t epoch = endpoints_[endpoint].epoch;
  const std::size_t count = std::min(blocks.size(), options_.max_match_blocks);
  for (const Digest block : blocks.first(count)) {
    CachedBlock& entry = FindOrAdd(endpoint, block);
    entry.cached = true;
    entry.epoch = epoch;
    entry.confirmed = now;
  }
}

void PrefixIndex::Forget(Digest endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  for (const Digest block : found->second.blocks) RemoveBlock(endpoint, block);
  endpoints_.erase(found);
}

double PrefixIndex::Weight(const CachedBlock& entry, std::uint32_t epoch, TimePoint now) const {
  if (!entry.cached || now - entry.confirmed > options_.time_to_live) return 0;
  return entry.epoch == epoch ? 1.0 : options_.gap_trust;
}

std::vector<PrefixMatch> PrefixIndex::Match(std::span<const Digest> blocks, TimePoint now) const {
  std::vector<PrefixMatch> matches;   // sorted by endpoint
  std::vector<std::size_t> complete;  // indexes of the matches that have all blocks so far
  std::vector<std::uint32_t> epochs;  // of the matches
  const std::size_t count = std::min(blocks.size(), options_.max_match_blocks);
  for (std::size_t i = 0; i < count; ++i) {
    const auto found = blocks_.find(blocks[i]);
    if (found == blocks_.end()) break;
    const std::vector<CachedBlock>& entries = found->second;
    if (i == 0) {
      for (const CachedBlock& entry : entries) {
        const std::uint32_t epoch = endpoints_.at(entry.endpoint).epoch;
        const double weight = Weight(entry, epoch, now);
        if (weight <= 0) continue;
        matches.push_back({entry.endpoint, weight});
        epochs.push_back(epoch);
      }
      complete.resize(matches.size());
      std::iota(complete.begin(), complete.end(), std::size_t{0});
      continue;
    }
    // Both lists are sorted by endpoint, so one pass joins them.
    auto entry = entries.begin();
    std::size_t kept = 0;
    for (const std::size_t match : complete) {
      while (entry != entries.end() && entry->endpoint < matches[match].endpoint) ++entry;
      if (entry == entries.end()) break;
      if (entry->endpoint != matches[match].endpoint) continue;
      const double weight = Weight(*entry, epochs[match], now);
      if (weight <= 0) continue;
      matches[match].blocks += weight;
      complete[kept++] = match;
    }
    complete.resize(kept);
    if (complete.empty()) break;
  }
  return matches;
}

}  // namespace verbenaridge::routing
