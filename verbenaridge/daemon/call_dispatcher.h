// Sends each call of a peer, or of this daemon to itself, to the loop that owns its subject:
// accounts and endpoints are pinned to traffic threads by hash, claims, plans and status to the
// control thread.
#ifndef VERBENARIDGE_DAEMON_CALL_DISPATCHER_H_
#define VERBENARIDGE_DAEMON_CALL_DISPATCHER_H_

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::daemon {

// A loop and the service that runs on it.
struct ServingLoop {
  loop::EventLoop* loop = nullptr;
  wire::PeerService* service = nullptr;
};

// Index of the traffic thread that an account or endpoint is pinned to.
std::size_t PinnedThread(std::string_view name, std::size_t thread_count);

// Immutable after construction, so every loop may use it.
class CallDispatcher {
 public:
  CallDispatcher(ServingLoop control, std::vector<ServingLoop> traffic, const Clock& clock)
      : control_(control), traffic_(std::move(traffic)), clock_(clock) {}

  // `origin` is the current loop, on which `call` lives.
  void Dispatch(loop::EventLoop& origin, wire::Request request,
                std::shared_ptr<wire::ServerCall> call) const;

 private:
  const ServingLoop& LoopFor(const wire::Request& request) const;

  const ServingLoop control_;
  const std::vector<ServingLoop> traffic_;
  const Clock& clock_;
};

// PeerService of one loop's server: passes every call to the dispatcher.
class DispatchingService final : public wire::PeerService {
 public:
  DispatchingService(loop::EventLoop& loop, const CallDispatcher& dispatcher)
      : loop_(loop), dispatcher_(dispatcher) {}

  void Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call) override {
    dispatcher_.Dispatch(loop_, std::move(request), std::move(call));
  }

 private:
  loop::EventLoop& loop_;
  const CallDispatcher& dispatcher_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_CALL_DISPATCHER_H_
