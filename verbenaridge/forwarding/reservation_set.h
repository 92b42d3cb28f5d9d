// Memory reserved at several endpoints for one prompt, all or nothing.
//
//   auto reservations = ReservationSet::Create(io_context, pool, adapter, metrics, "t-7f3a", {});
//   reservations->Reserve(members, tokens, [](bool reserved) { ... });
//   reservations->Release();
//
// Reservations have a short lifetime and are renewed until Release, so that memory reserved by a
// failed host is free soon. Release also frees what a call that timed out may have reserved. Used
// by the thread of its event loop.
#ifndef VERBENARIDGE_FORWARDING_RESERVATION_SET_H_
#define VERBENARIDGE_FORWARDING_RESERVATION_SET_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/forwarding/endpoint_pool.h"
#include "verbenaridge/forwarding/message_adapter.h"
#include "verbenaridge/forwarding/request_metrics.h"

namespace verbenaridge::forwarding {

struct ReservationOptions {
  // Memory must be free within 4 s of the end of the request that used it, even if the host that
  // reserved it has failed by then.
  Duration lifetime = std::chrono::milliseconds(3'700);
  // Leaves time for a second try if one renewal gets no response. A shorter interval costs more
  // calls.
  Duration renewal_interval = std::chrono::milliseconds(1'650);
  // Endpoints respond within a round trip. A call that times out may still take effect later.
  Duration call_timeout = std::chrono::milliseconds(400);
};

class ReservationSet : public std::enable_shared_from_this<ReservationSet> {
 public:
  static std::shared_ptr<ReservationSet> Create(asio::io_context& io_context, EndpointPool& pool,
                                                const MessageAdapter& adapter,
                                                RequestMetrics& metrics, std::string name,
                                                const ReservationOptions& options);

  // Reserves `tokens[i]` at `members[i]`. The callback runs once, unless the set is released first.
  void Reserve(std::vector<directory::Endpoint> members, std::vector<TokenCount> tokens,
               std::function<void(bool reserved)> done);

  // Releases all reservations and stops their renewal. Idempotent.
  void Release();

  const std::string& name() const { return name_; }

 private:
  class Call;

  ReservationSet(asio::io_context& io_context, EndpointPool& pool, const MessageAdapter& adapter,
                 RequestMetrics& metrics, std::string name, const ReservationOptions& options);

  void OnReserved(bool reserved);
  void ArmRenewal();
  void Send(const directory::Endpoint& endpoint, std::string bytes,
            std::function<void(bool accepted)> done);

  asio::io_context& io_context_;
  EndpointPool& pool_;
  const MessageAdapter& adapter_;
  RequestMetrics& metrics_;
  const std::string name_;
  const ReservationOptions options_;
  asio::steady_timer timer_;
  std::vector<directory::Endpoint> members_;
  std::vector<TokenCount> tokens_;
  std::function<void(bool)> done_;
  std::size_t pending_ = 0;
  bool refused_ = false;
  bool granted_ = false;  // all members granted their share
  bool released_ = false;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_RESERVATION_SET_H_
