// Memory reserved at several endpoints for one prompt, all or nothing.
//
//   auto reservations =
//       ReservationSet::Create(io_context, clock, pool, adapter, metrics, "t-7f3a", {});
//   reservations->Reserve(members, tokens,
//                         {.done = [](const ReservationResult& result) { ... },
//                          .member_lost = [](const EndpointId& member) { ... }});
//   reservations->OnProgress();  // at each event of the response
//   reservations->Release();
//
// Reservations have a short lifetime and are renewed until Release, so that memory reserved by a
// failed host is free soon. They are not renewed while a response that has started makes no
// progress: the request may have ended, and the end of the response may be delayed or lost. A
// member that stops answering before the response has started may be gone, and the request with it.
// Release also frees what a call that timed out may have reserved, and is repeated until the
// endpoint has responded or the reservation has expired. Used by the thread of its event loop.
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
  // A renewal without an answer is repeated after this time, and a member that left so many in a
  // row unanswered is lost. One or two lost answers are no reason to run a request again; after
  // three, 2.8 s after the member's last answer, the memory at the others is still released within
  // the 4 s.
  Duration renewal_retry_interval = std::chrono::milliseconds(450);
  int max_unanswered_renewals = 3;
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

struct ReservationCallbacks {
  // Runs once, unless the set is released first.
  std::function<void(const ReservationResult&)> done;
  // A member has stopped answering renewals before the first event of the response. Runs at most
  // once, and not after Release, which is up to the caller.
  std::function<void(const EndpointId&)> member_lost;
};

class ReservationSet : public std::enable_shared_from_this<ReservationSet> {
 public:
  static std::shared_ptr<ReservationSet> Create(asio::io_context& io_context, const Clock& clock,
                                                EndpointPool& pool, const MessageAdapter& adapter,
                                                RequestMetrics& metrics, std::string name,
                                                const ReservationOptions& options);

  // Reserves `tokens[i]` at `members[i]`.
  void Reserve(std::vector<directory::Endpoint> members, std::vector<TokenCount> tokens,
               ReservationCallbacks callbacks);

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
  void RenewAt(std::size_t member);
  void OnRenewed(std::size_t member, CallResult result);
  void OnRenewalUnanswered(std::size_t member);
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
  std::vector<CallResult> results_;    // of the first call to each member
  std::vector<TimePoint> last_calls_;  // to reserve or renew, to each member
  std::vector<int> unanswered_;        // renewals of each member in a row
  ReservationCallbacks callbacks_;
  std::size_t pending_ = 0;
  std::optional<TimePoint> last_progress_;  // none before the first event
  bool renewal_skipped_ = false;            // while the response made no progress
  bool granted_ = false;                    // all members granted their share
  bool released_ = false;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_RESERVATION_SET_H_
