#include "verbenaridge/routing/prefix_index.h"

#include <doctest/doctest.h>

namespace verbenaridge::routing {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
constexpr Digest kEndpoint = 9;

// Guards against matches that are lost or invented after a late, repeated or missing cache event.
TEST_CASE("matches tolerate late, repeated and missing cache events") {
  struct Row {
    const char* name;
    std::vector<CacheEvent> events;  // of blocks 1 to 4
    double blocks;                   // matched of the prompt 1, 2, 3, 4
  };
  const CacheEvent a1{1, true, 1}, a2{2, true, 2}, a3{3, true, 3}, evict2{4, false, 2};
  const Row rows[] = {{"nothing", {}, 0},
                      {"in order", {a1, a2, a3}, 3},
                      {"late", {a1, a3, a2}, 2.5},
                      {"repeated", {a1, a1, a2, a2}, 2},
                      {"evicted", {a1, a2, a3, evict2}, 1},
                      {"eviction arrives before the addition", {a1, evict2, a2, a3}, 0.5},
                      {"first block missing", {a2, a3}, 0},
                      {"gap", {a1, a2, {9, true, 77}}, 1},
                      {"confirmed after a gap", {a1, a2, {9, true, 77}, {10, true, 1}}, 1.5}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      PrefixIndex index;
      for (const CacheEvent& event : row.events) index.OnCacheEvent(kEndpoint, event, kStart);
      const Digest prompt[] = {1, 2, 3, 4};
      const auto matches = index.Match(prompt, kStart);
      CHECK((matches.empty() ? 0 : matches[0].blocks) == row.blocks);
    }
  }
}

// Guards against an index that grows without limit or matches expired or removed blocks.
TEST_CASE("old, excess and removed blocks do not match") {
  PrefixIndex index({.max_blocks_per_endpoint = 10});
  const Digest first[] = {1, 2, 3};
  index.OnDispatched(kEndpoint, first, kStart);
  CHECK(index.Match(first, kStart).size() == 1);
  CHECK(index.Match(first, kStart + std::chrono::minutes(11)).empty());
  for (Digest block = 100; block < 110; ++block) {
    index.OnDispatched(kEndpoint, {&block, 1}, kStart);
  }
  CHECK(index.Match(first, kStart).empty());
  const Digest last[] = {109};
  CHECK(index.Match(last, kStart).size() == 1);
  index.Forget(kEndpoint);
  CHECK(index.Match(last, kStart).empty());
}

}  // namespace
}  // namespace verbenaridge::routing
