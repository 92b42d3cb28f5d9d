// Runs the store gateway when it has something to do, so that a daemon at rest does not wake up for
// it.
#ifndef VERBENARIDGE_DAEMON_GATEWAY_PUMP_H_
#define VERBENARIDGE_DAEMON_GATEWAY_PUMP_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/store/store_gateway.h"

namespace verbenaridge::daemon {

// Used on its loop alone.
class GatewayPump {
 public:
  GatewayPump(asio::io_context& io_context, const Clock& clock, store::StoreGateway& gateway)
      : io_context_(io_context), clock_(clock), gateway_(gateway), timer_(io_context) {}

  store::StoreGateway& gateway() { return gateway_; }

  // A call was added: runs the gateway on the next turn of the loop.
  void Kick();

 private:
  void Run();

  asio::io_context& io_context_;
  const Clock& clock_;
  store::StoreGateway& gateway_;
  asio::steady_timer timer_;
  bool kicked_ = false;
};

// A BudgetedStore that kicks the pump after each call.
class PumpedStore final : public store::KeyValueStore {
 public:
  PumpedStore(GatewayPump& pump, store::BudgetedStore::Kinds kinds)
      : pump_(pump), store_(pump.gateway(), kinds) {}

  void Read(std::string_view key, store::ReadCallback callback) override;
  void CompareAndSwap(std::string_view key, store::KeyVersion expected, std::string_view value,
                      store::WriteCallback callback) override;
  void Watch(std::string_view key, store::KeyVersion after, Duration wait,
             store::ReadCallback callback) override;
  void Lease(std::string_view key, std::string_view value, Duration time_to_live,
             store::WriteCallback callback) override;

 private:
  GatewayPump& pump_;
  store::BudgetedStore store_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_GATEWAY_PUMP_H_
