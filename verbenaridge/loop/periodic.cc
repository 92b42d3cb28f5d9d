#include "verbenaridge/loop/periodic.h"

#include <utility>

namespace verbenaridge::loop {

Periodic::Periodic(asio::io_context& io_context, Duration period, std::function<void()> action)
    : period_(period), action_(std::move(action)), timer_(io_context) {
  Arm();
}

void Periodic::Arm() {
  timer_.expires_after(period_);
  // An expiry that is already queued when the timer is destroyed still reports success.
  timer_.async_wait([this, alive = std::weak_ptr<const bool>(alive_)](std::error_code error) {
    if (error || alive.expired()) return;
    action_();
    if (!alive.expired()) Arm();
  });
}

}  // namespace verbenaridge::loop
