#include "verbenaridge/loop/periodic.h"

#include <utility>

namespace verbenaridge::loop {

Periodic::Periodic(asio::io_context& io_context, Duration period, std::function<void()> action)
    : period_(period), action_(std::move(action)), timer_(io_context) {
  Arm();
}

void Periodic::Arm() {
  timer_.expires_after(period_);
  timer_.async_wait([this](std::error_code error) {
    if (error) return;
    action_();
    Arm();
  });
}

}  // namespace verbenaridge::loop
