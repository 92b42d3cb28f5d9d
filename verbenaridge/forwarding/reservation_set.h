// Memory reserved at several endpoints for one prompt, all or nothing.
//
//   auto reservations =
//       ReservationSet::Create(io_context, clock, pool, adapter, metrics, "t-7f3a", {});
//   reservations->Reserve(members, tokens, [](const ReservationResult& result) { ... });
//   reservations->OnProgress();  // at each event of the response
//   reservations->Release();
//
// Reservations have a short lifetime and are renewed until Release, so that memory reserved by a
// failed host is free soon. They are not renewed while a response that has started makes no
// progress: the request may have ended, and the end of the response may be delayed or lost. Release
// also frees what a call that timed out may have reserved, and is repeated until the endpoint has
// responded or the reservation has expired. Used by the thread of its event loop.
#ifndef VERBENARIDGE_FORWARDING_RESERVATION_SET_H_
#define VERBENARIDGE_FORWARDING_RESERVATION_SET_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
  Duration lifetime = std::chrono::milliseconds(3'300);
  // Leaves time for a second try if one renewal gets no response. A shorter interval costs more
  // calls.
  Duration renewal_interval = std::chrono::milliseconds(1'450);
  // Endpoints respond within a round trip. A call that times out may still take effect later.
  Duration call_timeout = std::chrono::milliseconds(400);
  // A response without an event for this long has stalled. Events are 100 ms apart, but a pass with
  // the prefill of a long prompt takes up to 2.8 s, and the reservation must last until then.
  Duration stalled_after = std::chrono::milliseconds(1'000);
  Duration release_retry_delay = std::chrono::milliseconds(150);
};

struct ReservationResult {
  bool reserved = false;  // at all members
  EndpointId refused_by;  // a member that refused its share; empty: none
};

class ReservationSet : public std::enable_shared_from_this<ReservationSet> {
 public:
  static std::shared_ptr<ReservationSet> Create(asio::io_context& io_context, const Clock& clock,
                                                EndpointPool& pool, const MessageAdapter& adapter,
                                                RequestMetrics& metrics, std::string name,
                                                const ReservationOptions& options);

  // Reserves `tokens[i]` at `members[i]`. The callback runs once, unless the set is released first.
  void Reserve(std::vector<directory::Endpoint> members, std::vector<TokenCount> tokens,
               std::function<void(const ReservationResult&)> done);

  // Records an event of the response to the request that uses the memory.
  void OnProgress();

  // Releases what the members reserved or may have reserved, and stops the renewal. Idempotent.
  void Release();

  const std::string& name() const { return name_; }

 private:
  class Call;

  ReservationSet(asio::io_context& io_context, const Clock& clock, EndpointPool& pool,
                 const MessageAdapter& adapter, RequestMetrics& metrics, std::string name,
                 const ReservationOptions& options);

  enum class CallResult : std::uint8_t {
    kAccepted,
    kRefused,  // the endpoint responded that it did not
    kUnknown,  // no complete response
  };

  void OnReserved(std::size_t member, CallResult result);
  void ArmRenewal();
  void Renew();
  void ReleaseAt(std::size_t member);
  void OnReleaseFailed(std::size_t member);
  void Send(const directory::Endpoint& endpoint, std::string bytes,
            std::function<void(CallResult)> done);

  asio::io_context& io_context_;
  const Clock& clock_;
  EndpointPool& pool_;
  const MessageAdapter& adapter_;
  RequestMetrics& metrics_;
  const std::string name_;
  const ReservationOptions options_;
  asio::steady_timer timer_;
  std::vector<directory::Endpoint> members_;
  std::vector<TokenCount> tokens_;
  std::vector<CallResult> results_;  // of the first call to each member
  std::function<void(const ReservationResult&)> done_;
  std::size_t pending_ = 0;
  std::optional<TimePoint> last_progress_;  // none before the first event
  bool renewal_skipped_ = false;            // while the response made no progress
  TimePoint last_renewal_{};
  bool granted_ = false;  // all members granted their share
  bool released_ = false;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_RESERVATION_SET_H_
