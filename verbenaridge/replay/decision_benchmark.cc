// Time of one routing decision and of one queue operation, with p99, for growing fleets.
//
//   decision_benchmark
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/queueing/fair_queue.h"
#include "verbenaridge/routing/routing_policy.h"

namespace verbenaridge {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
constexpr Digest kModel = 1;

// Times each call and reports percentiles in microseconds.
class Percentiles {
 public:
  template <class Call>
  void Time(Call&& call) {
    const auto start = std::chrono::steady_clock::now();
    call();
    const auto end = std::chrono::steady_clock::now();
    if (samples_.size() < kMaxSamples) {
      samples_.push_back(std::chrono::duration<double, std::micro>(end - start).count());
    }
  }

  void Report(benchmark::State& state, const char* prefix) {
    std::sort(samples_.begin(), samples_.end());
    const auto at = [&](double q) {
      return samples_[static_cast<std::size_t>(q * static_cast<double>(samples_.size() - 1))];
    };
    state.counters[std::string(prefix) + "p50_us"] = at(0.5);
    state.counters[std::string(prefix) + "p99_us"] = at(0.99);
  }

 private:
  static constexpr std::size_t kMaxSamples = 2'000'000;
  std::vector<double> samples_;
};

std::vector<routing::EndpointView> Views(std::size_t count) {
  SeededRandom random(1);
  std::vector<routing::EndpointView> views;
  for (std::size_t i = 0; i < count; ++i) {
    routing::EndpointView view;
    view.id = EndpointId("endpoint-" + std::to_string(i));
    view.key = HashOf(view.id.value());
    view.data_centre = i % 5;
    view.models = {kModel, 2, 3};
    view.kv_capacity_bytes = view.free_kv_bytes = 1'000'000'000;
    view.kv_bytes_per_token = 1'000;
    view.prefill_rate = 10'000;
    view.queue_delay.fill(FromSeconds(random.Uniform()));
    view.long_prefills = random.Below(10) == 0 ? 1 : 0;
    views.push_back(view);
  }
  return views;
}

// Endpoint count, prompt tokens. Every endpoint knows some of 200 prefixes of 64 blocks.
void RouteDecision(benchmark::State& state) {
  const auto count = static_cast<std::size_t>(state.range(0));
  const std::vector<routing::EndpointView> views = Views(count);
  SeededRandom random(2);
  const auto policy = routing::MakePolicy("owner_permits_affinity", {});
  std::vector<std::vector<Digest>> prefixes(200);
  for (auto& blocks : prefixes) {
    for (int i = 0; i < 64; ++i) blocks.push_back(random.Next());
  }
  routing::RouteRequest request;
  request.model = kModel;
  request.prompt_tokens = state.range(1);
  request.max_output_tokens = 100;
  request.now = kStart;
  for (std::size_t i = 0; i < count * 20; ++i) {
    request.prefix_blocks = prefixes[random.Below(prefixes.size())];
    policy->OnDispatched(views[random.Below(count)], request, 0.1);
  }
  Percentiles times;
  for ([[maybe_unused]] auto _ : state) {
    request.data_centre = random.Below(5);
    request.prefix_blocks = prefixes[random.Below(prefixes.size())];
    request.now += std::chrono::milliseconds(1);
    times.Time([&] { benchmark::DoNotOptimize(policy->Choose(request, views, random)); });
  }
  times.Report(state, "");
}
BENCHMARK(RouteDecision)
    ->ArgNames({"endpoints", "prompt"})
    ->Args({12, 2'000})
    ->Args({120, 2'000})
    ->Args({1'200, 2'000})
    ->Args({120, 150'000});

// Client accounts, all with ten waiting requests.
void QueueOperations(benchmark::State& state) {
  const auto accounts = static_cast<std::uint64_t>(state.range(0));
  queueing::FairQueue queue({.max_items_per_priority = 1'000'000});
  SeededRandom random(3);
  std::vector<ClientAccountId> names;
  for (std::uint64_t i = 0; i < accounts; ++i) names.emplace_back("account-" + std::to_string(i));
  std::uint64_t id = 0;
  TimePoint now = kStart;
  const auto item = [&] {
    return queueing::QueueItem{.id = ++id,
                               .account = names[random.Below(accounts)],
                               .priority = static_cast<Priority>(random.Below(3)),
                               .cost = 0.1 + random.Uniform(),
                               .weight = 1,
                               .enqueued = now};
  };
  for (std::uint64_t i = 0; i < accounts * 10; ++i) queue.Push(item(), now);
  const queueing::FairQueue::Fits fits = [](const queueing::QueueItem&) { return true; };
  Percentiles enqueue, dequeue;
  for ([[maybe_unused]] auto _ : state) {
    now += std::chrono::microseconds(100);
    queueing::QueueItem next = item();
    enqueue.Time([&] { benchmark::DoNotOptimize(queue.Push(std::move(next), now)); });
    dequeue.Time([&] { benchmark::DoNotOptimize(queue.Pop(now, fits)); });
  }
  enqueue.Report(state, "enqueue_");
  dequeue.Report(state, "dequeue_");
}
BENCHMARK(QueueOperations)->ArgName("accounts")->Arg(13)->Arg(130)->Arg(1'300)->Arg(13'000);

}  // namespace
}  // namespace verbenaridge

BENCHMARK_MAIN();
