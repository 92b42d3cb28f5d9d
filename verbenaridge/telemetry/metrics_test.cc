#include "verbenaridge/telemetry/metrics.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <thread>

#include "verbenaridge/base/random.h"

namespace verbenaridge::telemetry {
namespace {

// Guards against label values that break the text format or merge two series.
TEST_CASE("label values are escaped") {
  struct Row {
    const char* name;
    std::string_view value;
    std::string_view line;
  };
  const Row rows[] = {
      {"plain", "bakery", "calls_total{client_account=\"bakery\"} 1\n"},
      {"empty", "", "calls_total{client_account=\"\"} 1\n"},
      {"quote", "a\"b", "calls_total{client_account=\"a\\\"b\"} 1\n"},
      {"backslash", "a\\b", "calls_total{client_account=\"a\\\\b\"} 1\n"},
      {"line feed", "a\nb 2", "calls_total{client_account=\"a\\nb 2\"} 1\n"},
      {"two bytes", "b\xc3\xa4r", "calls_total{client_account=\"b\xc3\xa4r\"} 1\n"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    MetricsRegistry registry;
    registry.AddCounter({.name = "calls_total", .help = "H\n\\", .labels = {{"client_account"}}})
        .With({row.value})
        .Add();
    CHECK(registry.PrometheusText() ==
          "# HELP calls_total H\\n\\\\\n# TYPE calls_total counter\n" + std::string(row.line));
  }
}

// Guards against unbounded memory when callers choose label values.
TEST_CASE("label values beyond the limit are counted as other") {
  MetricsRegistry registry;
  auto& family = registry.AddCounter(
      {.name = "n", .help = "", .labels = {{"client_account", 2}, {"priority", 3}}});
  for (const std::string_view account : {"a", "b", "c", "d", "a", "c"}) {
    family.With({account, "urgent"}).Add();
  }
  struct Row {
    std::string_view account;
    std::uint64_t count;
  };
  const Row rows[] = {{"a", 2}, {"b", 1}, {"c", 3}, {"d", 3}, {"other", 3}, {"new", 3}};
  for (const Row& row : rows) {
    CAPTURE(row.account);
    CHECK(family.With({row.account, "urgent"}).value() == row.count);
  }
}

// Guards against values at a bound in the wrong bucket, and against malformed text.
TEST_CASE("gauges and histograms are written in the text format") {
  MetricsRegistry registry;
  registry.AddGauge({.name = "load", .help = "L"}).With({}).Set(0.5);
  auto& histogram = registry.AddHistogram({.name = "wait", .help = "W"}, {0.1, 1}).With({});
  for (const double value : {0.1, 0.2, 1.0, 7.0, std::numeric_limits<double>::quiet_NaN()}) {
    histogram.Observe(value);
  }
  const std::string text = registry.PrometheusText();
  for (const std::string_view line :
       {"# TYPE load gauge\nload 0.5\n", "# TYPE wait histogram\nwait_bucket{le=\"0.1\"} 1\n",
        "wait_bucket{le=\"1\"} 3\n", "wait_bucket{le=\"+Inf\"} 4\n", "wait_sum 8.3\n",
        "wait_count 4\n", "wait_quantile{quantile=\"0.99\"} "}) {
    CAPTURE(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

// Guards against lost counts, and against quantiles of a single thread instead of all.
TEST_CASE("concurrent recording loses no values") {
  struct Row {
    const char* name;
    int threads;
    double step;  // each thread's values are shifted by this much
    double p50, p95, p99;
  };
  const Row rows[] = {
      {"one thread", 1, 0, 0.5, 0.95, 0.99},
      {"equal threads", 4, 0, 0.5, 0.95, 0.99},
      {"different threads", 4, 1, 2, 3.8, 3.96},
      {"more threads than cells", 12, 0, 0.5, 0.95, 0.99},
  };
  constexpr int kValues = 20000;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    MetricsRegistry registry;
    auto& counters = registry.AddCounter({.name = "c", .help = "", .labels = {{"l", 4}}});
    auto& histogram = registry.AddHistogram({.name = "h", .help = ""}, {0.5, 1, 2}).With({});
    std::vector<std::thread> threads;
    for (int thread = 0; thread < row.threads; ++thread) {
      threads.emplace_back([&, thread] {
        SeededRandom random(20261204 + static_cast<std::uint64_t>(thread));
        for (int i = 0; i < kValues; ++i) {
          counters.With({std::to_string(i % 6)}).Add();
          histogram.Observe(random.Uniform() + thread * row.step);
        }
      });
    }
    CHECK(!registry.PrometheusText().empty());  // while threads record
    for (std::thread& thread : threads) thread.join();
    std::uint64_t sum = 0;
    for (const std::string_view label : {"0", "1", "2", "3", "4", "5"}) {
      // Which values are counted as other depends on the scheduling of the threads.
      if (&counters.With({label}) != &counters.With({"other"}))
        sum += counters.With({label}).value();
    }
    const auto total = static_cast<std::uint64_t>(row.threads) * kValues;
    CHECK(sum + counters.With({"other"}).value() == total);
    const HistogramSnapshot snapshot = histogram.Snapshot();
    CHECK(snapshot.count == total);
    CHECK(snapshot.buckets.back() == total);
    CHECK(std::abs(snapshot.p50 - row.p50) < 0.05);
    CHECK(std::abs(snapshot.p95 - row.p95) < 0.05);
    CHECK(std::abs(snapshot.p99 - row.p99) < 0.05);
  }
}

// Guards against estimates that are used before the algorithm has enough values.
TEST_CASE("quantiles of few values are exact") {
  struct Row {
    std::vector<double> values;
    double p50, p99;
  };
  const Row rows[] = {{{}, 0, 0}, {{3}, 3, 3}, {{1, 2}, 1, 1.98}, {{4, 4, 4, 4}, 4, 4}};
  for (const Row& row : rows) {
    CAPTURE(row.values.size());
    Histogram histogram({1});
    for (const double value : row.values) histogram.Observe(value);
    CHECK(histogram.Snapshot().p50 == doctest::Approx(row.p50));
    CHECK(histogram.Snapshot().p99 == doctest::Approx(row.p99));
  }
}

}  // namespace
}  // namespace verbenaridge::telemetry
