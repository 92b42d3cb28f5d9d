#include "verbenaridge/daemon/gateway_pump.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace verbenaridge::daemon {

void GatewayPump::Kick() {
  if (std::exchange(kicked_, true)) return;
  asio::post(io_context_, [this] {
    kicked_ = false;
    Run();
  });
}

void GatewayPump::Run() {
  gateway_.Tick();
  timer_.cancel();
  const auto wake = gateway_.NextWake();
  if (!wake) return;
  // The gateway may ask for the same moment again while a call is being answered.
  constexpr Duration kShortestWait = std::chrono::milliseconds(1);
  timer_.expires_after(std::max<Duration>(kShortestWait, *wake - clock_.Now()));
  timer_.async_wait([this](std::error_code error) {
    if (!error) Run();
  });
}

void PumpedStore::Read(std::string_view key, store::ReadCallback callback) {
  store_.Read(key, std::move(callback));
  pump_.Kick();
}

void PumpedStore::CompareAndSwap(std::string_view key, store::KeyVersion expected,
                                 std::string_view value, store::WriteCallback callback) {
  store_.CompareAndSwap(key, expected, value, std::move(callback));
  pump_.Kick();
}

void PumpedStore::Watch(std::string_view key, store::KeyVersion after, Duration wait,
                        store::ReadCallback callback) {
  store_.Watch(key, after, wait, std::move(callback));
  pump_.Kick();
}

void PumpedStore::Lease(std::string_view key, std::string_view value, Duration time_to_live,
                        store::WriteCallback callback) {
  store_.Lease(key, value, time_to_live, std::move(callback));
  pump_.Kick();
}

}  // namespace verbenaridge::daemon
