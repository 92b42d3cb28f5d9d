#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <mutex>

#include "verbenaridge/telemetry/metrics.h"

namespace verbenaridge::telemetry {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

// Number of values from which the P-square estimates are defined: two markers per quantile plus
// three.
constexpr std::size_t kFirstValues = 2 * kQuantiles.size() + 3;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::min,
                                            acc::tag::max, acc::tag::extended_p_square>>;

// Distribution of the values of one thread: at some points, the share of the `count` values up to
// it.
struct Distribution {
  struct Point {
    double value = 0;
    double share = 0;
  };

  std::uint64_t count = 0;
  std::vector<Point> points;  // ascending; the first share is 0, the last 1

  // Share of values up to `value`, linear between the points.
  double ShareUpTo(double value) const {
    if (value < points.front().value) return 0;
    for (std::size_t i = 1; i < points.size(); ++i) {
      const Point& low = points[i - 1];
      const Point& high = points[i];
      if (value >= high.value) continue;
      return low.share + (high.share - low.share) * (value - low.value) / (high.value - low.value);
    }
    return 1;
  }
};

// Quantile over all threads: the value at which the combined share of all parts reaches `quantile`.
double QuantileOf(const std::vector<Distribution>& parts, double quantile) {
  double low = parts.front().points.front().value;
  double high = parts.front().points.back().value;
  std::uint64_t count = 0;
  for (const Distribution& part : parts) {
    low = std::min(low, part.points.front().value);
    high = std::max(high, part.points.back().value);
    count += part.count;
  }
  // Each step halves the interval; 60 reach the precision of a double.
  for (int step = 0; step < 60 && low < high; ++step) {
    const double middle = low + (high - low) / 2;
    double reached = 0;
    for (const Distribution& part : parts) {
      reached += static_cast<double>(part.count) * part.ShareUpTo(middle);
    }
    (reached < quantile * static_cast<double>(count) ? low : high) = middle;
  }
  return high;
}

}  // namespace

struct Histogram::Cell {
  explicit Cell(std::size_t buckets)
      : counts(buckets), values(acc::extended_p_square_probabilities = kQuantiles) {}

  Distribution Describe() const {
    Distribution result{.count = acc::count(values), .points = {}};
    if (result.count < kFirstValues) {
      std::vector<double> sorted = first;
      std::sort(sorted.begin(), sorted.end());
      result.points.push_back({sorted.front(), 0});
      const auto total = static_cast<double>(sorted.size());
      for (std::size_t i = 0; i < sorted.size(); ++i) {
        result.points.push_back({sorted[i], static_cast<double>(i + 1) / total});
      }
      return result;
    }
    result.points.push_back({acc::min(values), 0});
    const auto estimates = acc::extended_p_square(values);
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      result.points.push_back({estimates[static_cast<std::ptrdiff_t>(i)], kQuantiles[i]});
    }
    result.points.push_back({acc::max(values), 1});
    return result;
  }

  // Locked by the recording thread and, briefly, by a thread that takes a snapshot.
  mutable std::mutex mutex;
  std::vector<std::uint64_t> counts;  // by bucket, the last without bound
  std::vector<double> first;          // until the estimates are defined
  Accumulator values;
};

Histogram::Histogram(const std::vector<double>& bounds) : bounds_(bounds) {}
Histogram::~Histogram() = default;

void Histogram::Observe(double value) {
  if (!std::isfinite(value)) return;
  const auto bucket = std::lower_bound(bounds_.begin(), bounds_.end(), value) - bounds_.begin();
  Cell& cell = cells_.ForThisThread(bounds_.size() + 1);
  const std::lock_guard lock(cell.mutex);
  ++cell.counts[static_cast<std::size_t>(bucket)];
  if (cell.first.size() < kFirstValues) cell.first.push_back(value);
  cell.values(value);
}

HistogramSnapshot Histogram::Snapshot() const {
  HistogramSnapshot result;
  result.buckets.resize(bounds_.size() + 1);
  std::vector<Distribution> parts;
  cells_.ForEach([&](const Cell& cell) {
    const std::lock_guard lock(cell.mutex);
    if (acc::count(cell.values) == 0) return;
    for (std::size_t i = 0; i < cell.counts.size(); ++i) result.buckets[i] += cell.counts[i];
    result.count += acc::count(cell.values);
    result.sum += acc::sum(cell.values);
    parts.push_back(cell.Describe());
  });
  for (std::size_t i = 1; i < result.buckets.size(); ++i) {
    result.buckets[i] += result.buckets[i - 1];
  }
  if (parts.empty()) return result;
  result.p50 = QuantileOf(parts, kQuantiles[0]);
  result.p95 = QuantileOf(parts, kQuantiles[1]);
  result.p99 = QuantileOf(parts, kQuantiles[2]);
  return result;
}

std::vector<double> LatencyBounds() {
  return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1,
          1.3,   2.5,    5,     10,   25,    60,   120, 300,  600};
}

}  // namespace verbenaridge::telemetry
