// Runs an action at a fixed period on an event loop.
//
//   Periodic tick(io_context, std::chrono::milliseconds(100), [] { ... });
#ifndef VERBENARIDGE_LOOP_PERIODIC_H_
#define VERBENARIDGE_LOOP_PERIODIC_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "verbenaridge/base/clock.h"

namespace verbenaridge::loop {

// Used only on the thread of its event loop. A late tick delays the following ones; missed ticks
// are not repeated. After the destruction no action starts, not even one whose time has passed.
class Periodic {
 public:
  Periodic(asio::io_context& io_context, Duration period, std::function<void()> action);

  Periodic(const Periodic&) = delete;
  Periodic& operator=(const Periodic&) = delete;

 private:
  void Arm();

  const Duration period_;
  const std::function<void()> action_;
  asio::steady_timer timer_;
  const std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace verbenaridge::loop

#endif  // VERBENARIDGE_LOOP_PERIODIC_H_
