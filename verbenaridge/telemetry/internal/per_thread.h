// One cell for each recording thread, created when the thread first records.
//
// Cells are created on demand to save memory: 20,000 series with padded cells for all threads would
// take 10 MB of the 32 MB of control memory of a daemon.
#ifndef VERBENARIDGE_TELEMETRY_INTERNAL_PER_THREAD_H_
#define VERBENARIDGE_TELEMETRY_INTERNAL_PER_THREAD_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <utility>

namespace verbenaridge::telemetry {

// Threads with their own cell. A daemon records from its control thread and a few traffic threads.
inline constexpr std::size_t kMetricThreads = 8;

namespace internal {

inline constexpr std::size_t kCacheLineBytes = 64;

// Cell index of the calling thread, from 0 to kMetricThreads - 1.
inline std::size_t ThreadCellIndex() {
  static std::atomic<std::size_t> next{0};
  thread_local const std::size_t number =
      next.fetch_add(1, std::memory_order_relaxed) % kMetricThreads;
  return number;
}

// Several threads share a cell if more than kMetricThreads record, so operations of cells must be
// thread-safe.
template <class Cell>
class PerThread {
 public:
  PerThread() = default;
  PerThread(const PerThread&) = delete;
  PerThread& operator=(const PerThread&) = delete;
  ~PerThread() {
    for (auto& cell : cells_) delete cell.load(std::memory_order_relaxed);
  }

  template <class... Arguments>
  Cell& ForThisThread(const Arguments&... arguments) {
    std::atomic<Cell*>& slot = cells_[ThreadCellIndex()];
    Cell* cell = slot.load(std::memory_order_acquire);
    if (cell != nullptr) return *cell;
    auto* const created = new Cell(arguments...);
    if (slot.compare_exchange_strong(cell, created, std::memory_order_acq_rel)) return *created;
    delete created;
    return *cell;
  }

  template <class Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& slot : cells_) {
      if (const Cell* cell = slot.load(std::memory_order_acquire)) visit(*cell);
    }
  }

 private:
  std::array<std::atomic<Cell*>, kMetricThreads> cells_{};
};

}  // namespace internal
}  // namespace verbenaridge::telemetry

#endif  // VERBENARIDGE_TELEMETRY_INTERNAL_PER_THREAD_H_
