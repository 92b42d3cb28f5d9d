// Time to split bytes that end no event, by their number. It grows linearly, also if they arrive in
// pieces of a byte.
//
//   event_splitter_benchmark --benchmark_counters_tabular=true
#include <benchmark/benchmark.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "verbenaridge/forwarding/event_splitter.h"

namespace verbenaridge::forwarding {
namespace {

void FeedInPieces(benchmark::State& state, std::string_view repeated, std::size_t piece) {
  const auto size = static_cast<std::size_t>(state.range(0));
  std::string bytes;
  while (bytes.size() < size) bytes.append(repeated);
  for (auto _ : state) {
    EventSplitter splitter;
    for (std::string_view rest = bytes; !rest.empty();) {
      const std::string_view next = rest.substr(0, piece);
      benchmark::DoNotOptimize(splitter.Feed(next));
      rest.remove_prefix(next.size());
    }
  }
  state.SetBytesProcessed(state.iterations() * static_cast<std::int64_t>(bytes.size()));
  state.SetComplexityN(state.range(0));
}

constexpr std::int64_t kSmallest = std::int64_t{4} * 1024;
constexpr auto kLargest = static_cast<std::int64_t>(EventSplitter::kMaxEventBytes);

BENCHMARK_CAPTURE(FeedInPieces, comments, ":\n", 2)->Range(kSmallest, kLargest)->Complexity();
BENCHMARK_CAPTURE(FeedInPieces, one_line, "x", 1)->Range(kSmallest, kLargest)->Complexity();
BENCHMARK_CAPTURE(FeedInPieces, events, "id: 1\ndata: a\n\n", 16'384)
    ->Range(kSmallest, kLargest)
    ->Complexity();

}  // namespace
}  // namespace verbenaridge::forwarding

BENCHMARK_MAIN();
