#include "verbenaridge/dispatch/memory_shares.h"

#include <doctest/doctest.h>

#include <numeric>
#include <vector>

namespace verbenaridge::dispatch {
namespace {

// Guards against reservations that a member refuses because its share exceeds its free memory, and
// against prompts that get less memory than they need.
TEST_CASE("memory is divided in proportion to what is free") {
  struct Row {
    const char* name;
    TokenCount needed;
    std::vector<TokenCount> free;
    std::vector<TokenCount> shares;
  };
  const Row rows[] = {
      {"equal members", 400'000, {220'000, 220'000}, {200'000, 200'000}},
      {"unequal members", 300'000, {100'000, 200'000, 300'000}, {50'000, 100'000, 150'000}},
      {"a member without free memory", 100'000, {-5'000, 200'000}, {1, 100'000}},
      {"all of the free memory", 300'000, {100'000, 200'000}, {100'000, 200'000}},
      {"not enough", 300'001, {100'000, 200'000}, {}},
      {"no members", 1, {}, {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const std::vector<TokenCount> shares = MemoryShares(row.needed, row.free);
    CHECK(shares == row.shares);
    if (!shares.empty()) {
      CHECK(std::accumulate(shares.begin(), shares.end(), TokenCount{0}) >= row.needed);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
