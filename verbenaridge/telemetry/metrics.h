// Counters, gauges and histograms with labels, exported in the Prometheus text format.
//
//   MetricsRegistry registry;
//   auto& requests = registry.AddCounter({.name = "requests_total", .help = "Admitted requests.",
//                                         .labels = {{"client_account", 100}, {"priority", 3}}});
//   Counter& urgent = requests.With({"bakery", "urgent"});
//   urgent.Add();
//
// Recording is thread-safe. Each thread records into its own cell; cells are shared only if more
// than kMetricThreads threads record. `With` takes a shared lock, so hot paths keep its result,
// which is valid as long as the registry. A label takes at most `max_values` values; further ones
// are counted under the value "other".
#ifndef VERBENARIDGE_TELEMETRY_METRICS_H_
#define VERBENARIDGE_TELEMETRY_METRICS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/telemetry/internal/per_thread.h"

namespace verbenaridge::telemetry {

class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    cells_.ForThisThread().value.fetch_add(amount, std::memory_order_relaxed);
  }

  std::uint64_t value() const;

 private:
  struct alignas(internal::kCacheLineBytes) Cell {
    std::atomic<std::uint64_t> value{0};
  };

  internal::PerThread<Cell> cells_;
};

// The value set last by any thread.
class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  void Add(double amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

struct HistogramSnapshot {
  std::uint64_t count = 0;
  double sum = 0;
  std::vector<std::uint64_t> buckets;  // counts up to each bound, cumulative; the last is `count`
  double p50 = 0;                      // estimated since the start; 0 without values
  double p95 = 0;
  double p99 = 0;
};

// Counts values in fixed buckets and estimates quantiles by the extended P-square algorithm.
class Histogram {
 public:
  // Upper bounds in ascending order, without infinity.
  explicit Histogram(const std::vector<double>& bounds);
  ~Histogram();

  // Values that are not finite are ignored.
  void Observe(double value);

  HistogramSnapshot Snapshot() const;
  const std::vector<double>& bounds() const { return bounds_; }

 private:
  struct Cell;
  const std::vector<double> bounds_;
  internal::PerThread<Cell> cells_;
};

// Bounds for the time to first token and for calls, in seconds: 1 ms to 600 s.
std::vector<double> LatencyBounds();

struct Label {
  std::string name;
  std::size_t max_values = 100;
};

struct MetricOptions {
  std::string name;
  std::string help{};
  std::vector<Label> labels{};
};

// The series of one metric, one for each combination of label values.
template <class Metric>
class Family {
 public:
  virtual ~Family() = default;

  // One value for each label, in their order; aborts if the number differs.
  virtual Metric& With(std::initializer_list<std::string_view> values) = 0;
};

class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();

  // Registering a name and kind again returns the existing family. Aborts on programming errors: a
  // different kind or number of labels, or a name that is not valid in Prometheus.
  Family<Counter>& AddCounter(const MetricOptions& options);
  Family<Gauge>& AddGauge(const MetricOptions& options);
  Family<Histogram>& AddHistogram(const MetricOptions& options,
                                  const std::vector<double>& bounds = LatencyBounds());

  // Text format 0.0.4. The quantiles of a histogram are a separate gauge, NAME_quantile.
  std::string PrometheusText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace verbenaridge::telemetry

#endif  // VERBENARIDGE_TELEMETRY_METRICS_H_
