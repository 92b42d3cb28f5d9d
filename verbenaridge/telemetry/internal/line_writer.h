// Queues lines for a writer thread, so that a stalled output does not block the threads that log.
//
//   LineWriter writer(1'000, [](const std::string& line) { ... }, [](std::size_t count) { ... });
//   writer.Push(line);
#ifndef VERBENARIDGE_TELEMETRY_INTERNAL_LINE_WRITER_H_
#define VERBENARIDGE_TELEMETRY_INTERNAL_LINE_WRITER_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace verbenaridge::telemetry::internal {

// Push is thread-safe and never waits for the output.
class LineWriter {
 public:
  // `write` and `dropped` run on the writer thread. If lines were dropped because `capacity` lines
  // were queued, `dropped` is called with their number once the queued lines are written.
  LineWriter(std::size_t capacity, std::function<void(const std::string&)> write,
             std::function<void(std::size_t)> dropped);
  // Writes the queued lines.
  ~LineWriter();

  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // False if the line was dropped.
  bool Push(std::string line);

 private:
  void Run();

  const std::size_t capacity_;
  const std::function<void(const std::string&)> write_;
  const std::function<void(std::size_t)> dropped_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::string> lines_;
  std::size_t dropped_count_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace verbenaridge::telemetry::internal

#endif  // VERBENARIDGE_TELEMETRY_INTERNAL_LINE_WRITER_H_
