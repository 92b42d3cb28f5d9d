#include "verbenaridge/telemetry/internal/line_writer.h"

#include <utility>

namespace verbenaridge::telemetry::internal {

LineWriter::LineWriter(std::size_t capacity, std::function<void(const std::string&)> write,
                       std::function<void(std::size_t)> dropped)
    : capacity_(capacity),
      write_(std::move(write)),
      dropped_(std::move(dropped)),
      thread_([this] { Run(); }) {}

LineWriter::~LineWriter() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

bool LineWriter::Push(std::string line) {
  bool wake = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (lines_.size() >= capacity_) {
      ++dropped_count_;
      return false;
    }
    wake = lines_.empty();
    lines_.push_back(std::move(line));
  }
  if (wake) changed_.notify_one();
  return true;
}

void LineWriter::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
    if (lines_.empty()) return;
    std::deque<std::string> lines = std::exchange(lines_, {});
    const std::size_t dropped = std::exchange(dropped_count_, 0);
    lock.unlock();
    for (const std::string& line : lines) write_(line);
    if (dropped > 0) dropped_(dropped);
    lock.lock();
  }
}

}  // namespace verbenaridge::telemetry::internal
