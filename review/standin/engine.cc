#include "review/standin/engine.h"

#include <algorithm>
#include <thread>

#include "review/standin/harness.h"

namespace review {

bool Engine::Job::WaitUntilRead() {
  std::unique_lock lock(engine_->mutex_);
  engine_->changed_.wait(lock, [&] { return removed_ || read_ >= options_.prompt_tokens; });
  return !removed_;
}

bool Engine::Job::WaitForEvent() {
  std::unique_lock lock(engine_->mutex_);
  engine_->changed_.wait(
      lock, [&] { return removed_ || written_ > taken_ || taken_ >= options_.events; });
  if (removed_ || taken_ >= options_.events) return false;
  ++taken_;
  return true;
}

Engine::Engine(const EngineTiming& timing) : timing_(timing) {
  std::thread([this] { Run(); }).detach();
}

std::shared_ptr<Engine::Job> Engine::Add(const JobOptions& options, bool hold) {
  auto job = std::make_shared<Job>();
  job->options_ = options;
  job->engine_ = this;
  const std::lock_guard lock(mutex_);
  if (options.events == 0) {
    jobs_.push_front(job);
  } else {
    jobs_.push_back(job);
  }
  if (hold) held_.push_back(job);
  changed_.notify_all();
  return job;
}

void Engine::Release(const std::shared_ptr<Job>& job) {
  const std::lock_guard lock(mutex_);
  held_.remove(job);
  changed_.notify_all();
}

void Engine::Remove(const std::shared_ptr<Job>& job) {
  const std::lock_guard lock(mutex_);
  job->removed_ = true;
  jobs_.remove(job);
  held_.remove(job);
  changed_.notify_all();
}

std::size_t Engine::jobs() {
  const std::lock_guard lock(mutex_);
  return jobs_.size();
}

// Milliseconds for one chunk of the first prompt that is not read yet.
double Engine::ReadChunk() {
  std::size_t running = 0;
  for (const auto& job : jobs_) {
    if (job->options_.events > 0 && ++running > timing_.slots) break;
    const double left = job->options_.prompt_tokens - job->read_;
    if (left <= 0) continue;
    const double tokens = std::min(left, timing_.chunk);
    const double before = job->options_.first_token + job->read_;
    const double pairs = tokens * (before + tokens / 2);
    job->read_ += tokens;
    return tokens / timing_.read_per_ms + pairs * timing_.pairs_per_m_ms / 1e6;
  }
  return 0;
}

double Engine::Pass() {
  std::size_t writers = 0;
  double context = 0;
  for (const auto& job : jobs_) {
    if (!job->writing_) continue;
    ++writers;
    context += job->options_.context_tokens;
  }
  const int steps = writers > 0 ? timing_.stride : 1;
  double total = 0;
  for (int i = 0; i < steps; ++i) {
    total += timing_.step_ms + timing_.per_sequence_ms * static_cast<double>(writers) +
             timing_.context_per_k_ms * context / 1000 + ReadChunk();
  }
  return total;
}

void Engine::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [&] { return !jobs_.empty(); });
    const double pass_ms = Pass();
    lock.unlock();
    SleepFor(pass_ms / 1000);
    lock.lock();
    std::size_t running = 0;
    for (const auto& job : jobs_) {
      const JobOptions& options = job->options_;
      if (options.events > 0 && ++running > timing_.slots) break;
      if (job->writing_ && job->written_ < options.events) ++job->written_;
      const bool held = std::find(held_.begin(), held_.end(), job) != held_.end();
      if (job->read_ >= options.prompt_tokens && options.events > 0 && !held) job->writing_ = true;
    }
    jobs_.remove_if([](const auto& job) {
      const bool is_part = job->options_.events == 0;
      return is_part ? job->read_ >= job->options_.prompt_tokens
                     : job->written_ >= job->options_.events;
    });
    changed_.notify_all();
  }
}

}  // namespace review
