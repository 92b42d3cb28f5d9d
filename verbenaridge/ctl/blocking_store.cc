#include "verbenaridge/ctl/blocking_store.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace verbenaridge::ctl {
namespace {

// Shared with the callback, which may run after the wait was given up at the end of the loop.
template <class T>
using Slot = std::shared_ptr<std::optional<Result<T>>>;

template <class T>
Result<T> Await(asio::io_context& io_context, const Slot<T>& slot) {
  io_context.restart();
  while (!slot->has_value()) {
    if (io_context.run_one() == 0) return Errc::kUnavailable;
  }
  return **slot;
}

}  // namespace

Result<store::StoredValue> LoopStore::Read(std::string_view key) {
  auto slot = std::make_shared<std::optional<Result<store::StoredValue>>>();
  store_.Read(key, [slot](const Result<store::StoredValue>& value) { slot->emplace(value); });
  return Await<store::StoredValue>(io_context_, slot);
}

Result<store::KeyVersion> LoopStore::CompareAndSwap(std::string_view key,
                                                    store::KeyVersion expected,
                                                    std::string_view value) {
  auto slot = std::make_shared<std::optional<Result<store::KeyVersion>>>();
  store_.CompareAndSwap(key, expected, value,
                        [slot](Result<store::KeyVersion> version) { slot->emplace(version); });
  return Await<store::KeyVersion>(io_context_, slot);
}

void LoopStore::Wait(Duration time) {
  bool passed = false;
  asio::steady_timer timer(io_context_, time);
  timer.async_wait([&passed](std::error_code) { passed = true; });
  io_context_.restart();
  while (!passed) io_context_.run_one();
}

}  // namespace verbenaridge::ctl
