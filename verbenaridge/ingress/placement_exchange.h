// Finds endpoints for requests with the help of schedulers, and serves placement requests of other
// hosts.
//
//   PlacementExchange placement(io_context, clock, host, exchange, dispatcher);
//   placement.SetSchedulers(/*is_scheduler=*/false, {"10.1.0.40", "10.1.0.41"});
//   placement.Submit(request, callback);
//   placement.OnDatagram(datagram, ip);   // true if it was a placement message
//
// A scheduler decides locally. Any other host sends a placement request to a scheduler, the nearest
// first. After a short timeout it asks the next one, and finally it decides locally with the load
// that it knows of. An unresponsive scheduler therefore delays a request by milliseconds only, and
// no agreement between hosts is needed. Used by the thread of its event loop.
#ifndef VERBENARIDGE_INGRESS_PLACEMENT_EXCHANGE_H_
#define VERBENARIDGE_INGRESS_PLACEMENT_EXCHANGE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/ingress/load_exchange.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::ingress {

struct PlacementOptions {
  // A round trip takes 2 ms, and some milliseconds more if a host has a small processor share.
  Duration reply_timeout = std::chrono::milliseconds(30);
  // A scheduler that has queued the request sends PlacementQueued again within this time.
  Duration queued_timeout = std::chrono::milliseconds(400);
  Duration queued_interval = std::chrono::milliseconds(150);
  std::size_t max_asked = 3;
  // How long a scheduler that timed out is asked only if no other one is left.
  Duration avoid_time = std::chrono::seconds(1);
};

class PlacementExchange final : public forwarding::Placement {
 public:
  PlacementExchange(asio::io_context& io_context, const Clock& clock, HostId self,
                    LoadExchange& exchange, forwarding::Dispatcher& dispatcher,
                    const PlacementOptions& options = {});

  // `schedulers`: addresses of the other schedulers, nearest first.
  void SetSchedulers(bool is_scheduler, std::vector<std::string> schedulers);

  // forwarding::Placement
  forwarding::DispatchId Submit(forwarding::DispatchRequest request,
                                forwarding::AssignmentCallback callback) override;
  void Cancel(forwarding::DispatchId id) override;

  bool OnDatagram(const wire::Datagram& datagram, const std::string& ip);

 private:
  struct PendingRequest {
    forwarding::DispatchRequest request;
    forwarding::AssignmentCallback callback;
    std::vector<std::string> asked;  // schedulers; the last one may still reply
    std::unique_ptr<asio::steady_timer> timer;
    forwarding::DispatchId local = 0;  // at the local dispatcher; 0: a scheduler decides
  };
  struct RemoteRequest {  // request of another host that is queued here
    std::string ip;
    forwarding::DispatchId dispatch = 0;
    std::unique_ptr<asio::steady_timer> timer;
  };
  using RemoteKey = std::pair<HostId, std::uint64_t>;
  struct SentReply {  // reply that the requester may not have received
    dispatch::TaskId first_task = 0;
    std::size_t tasks = 0;
    TimePoint sent_at{};
  };

  std::string NextScheduler(const PendingRequest& pending) const;
  void SendToNext(std::uint64_t id);
  void DecideLocally(std::uint64_t id);
  void Arm(std::uint64_t id, Duration limit);
  void OnReply(const wire::PlacementReply& reply);
  void OnQueued(const wire::PlacementQueued& queued);
  void OnRequest(const wire::PlacementRequest& request, const std::string& ip);
  void OnCancel(const wire::PlacementCancel& cancel);
  void Reply(const wire::PlacementRequest& request, const std::string& ip,
             const forwarding::Assignment& assignment);
  void SendQueued(const RemoteKey& key);
  void RemoveOldReplies();

  asio::io_context& io_context_;
  const Clock& clock_;
  const HostId self_;
  LoadExchange& exchange_;
  forwarding::Dispatcher& dispatcher_;
  const PlacementOptions options_;
  bool is_scheduler_ = true;
  std::vector<std::string> schedulers_;
  std::unordered_map<std::string, TimePoint> avoided_until_;
  std::unordered_map<std::uint64_t, PendingRequest> pending_requests_;
  std::map<RemoteKey, RemoteRequest> remote_requests_;
  std::map<RemoteKey, SentReply> sent_replies_;
  std::uint64_t next_id_ = 1;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_PLACEMENT_EXCHANGE_H_
