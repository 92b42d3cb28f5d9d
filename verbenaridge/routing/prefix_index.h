// Index of the prompt prefixes that endpoints probably have cached.
//
// The index learns from cache events, which may be late, duplicated or lost, and from this daemon's
// own dispatches. Per block and endpoint, only an event newer than the last one counts, so the
// order of arrival does not matter. After a gap in an endpoint's sequence numbers, blocks that were
// cached before may have been evicted. Each of them counts as `gap_trust` blocks until an event or
// a dispatch confirms it. They are not removed, because a wrong hit costs one prefill and a removed
// hit costs the same.
//
//   PrefixIndex index;
//   index.OnCacheEvent(endpoint_key, {.sequence = 12, .added = true, .block = digest}, now);
//   for (const PrefixMatch& match : index.Match(blocks, now)) ...
#ifndef VERBENARIDGE_ROUTING_PREFIX_INDEX_H_
#define VERBENARIDGE_ROUTING_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::routing {

struct PrefixOptions {
  std::size_t max_blocks_per_endpoint = 20'000;
  std::size_t max_match_blocks = 64;  // later blocks of a prompt are rarely shared
  Duration time_to_live = std::chrono::minutes(10);
  double gap_trust = 0.5;  // weight of a block cached before a sequence gap
};

struct CacheEvent {
  std::uint64_t sequence = 0;
  bool added = false;  // false: evicted
  Digest block = 0;
};

struct PrefixMatch {
  Digest endpoint = 0;  // hash of the endpoint's id
  double blocks = 0;    // leading blocks, discounted after gaps
};

// Used by one thread.
class PrefixIndex {
 public:
  explicit PrefixIndex(PrefixOptions options = {}) : options_(options) {}

  void OnCacheEvent(Digest endpoint, const CacheEvent& event, TimePoint now);

  // Records that a prompt was sent, so that the endpoint will cache its blocks.
  void OnDispatched(Digest endpoint, std::span<const Digest> blocks, TimePoint now);

  // Removes an endpoint that died or restarted and has an empty cache.
  void Forget(Digest endpoint);

  // Endpoints that hold at least the first block, in the order of their keys.
  std::vector<PrefixMatch> Match(std::span<const Digest> blocks, TimePoint now) const;

 private:
  struct CachedBlock {
    Digest endpoint = 0;
    std::uint64_t sequence = 0;  // of the last event; 0: own dispatch only
    std::uint32_t epoch = 0;     // of the endpoint when last confirmed
    bool cached = false;
    TimePoint confirmed{};
  };
  struct EndpointState {
    std::uint64_t last_sequence = 0;
    std::uint32_t epoch = 0;    // number of sequence gaps
    std::deque<Digest> blocks;  // oldest first
  };

  // Adds the block if it is not in the index.
  CachedBlock& FindOrAdd(Digest endpoint, Digest block);
  // The weight of a block; zero if it is evicted or too old.
  double Weight(const CachedBlock& entry, std::uint32_t epoch, TimePoint now) const;
  void RemoveBlock(Digest endpoint, Digest block);

  PrefixOptions options_;
  std::unordered_map<Digest, std::vector<CachedBlock>> blocks_;  // sorted by endpoint
  std::unordered_map<Digest, EndpointState> endpoints_;
};

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_PREFIX_INDEX_H_
