// Calls an owner wherever it lives: another daemon over the inner protocol, or this daemon.
//
//   router.Call(owner, wire::AdmitRequest{...}, std::chrono::milliseconds(200), callback);
#ifndef VERBENARIDGE_DAEMON_PEER_ROUTER_H_
#define VERBENARIDGE_DAEMON_PEER_ROUTER_H_

#include <memory>
#include <unordered_map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/daemon/call_dispatcher.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::daemon {

// One per loop, used on that loop alone. Ids are unique per router.
class PeerRouter {
 public:
  struct Options {
    HostId self;
  };

  PeerRouter(Options options, loop::EventLoop& loop, wire::PeerTransport& transport,
             const CallDispatcher& dispatcher, const Clock& clock)
      : options_(std::move(options)),
        loop_(loop),
        transport_(transport),
        dispatcher_(dispatcher),
        clock_(clock) {}

  void SetSnapshot(std::shared_ptr<const Snapshot> snapshot) { snapshot_ = std::move(snapshot); }

  // Errors as PeerTransport::Call, and kNotFound for a host that is not a live member.
  wire::CallId Call(const HostId& host, wire::Request request, Duration deadline,
                    wire::ReplyCallback callback);

  // The callback does not run; a remote owner sees the cancellation.
  void Cancel(wire::CallId id);

 private:
  class LocalCall;
  struct Pending {
    wire::CallId remote = 0;
    std::shared_ptr<LocalCall> local;
  };

  void CallSelf(wire::CallId id, wire::Request request, Duration deadline,
                wire::ReplyCallback callback);

  const Options options_;
  loop::EventLoop& loop_;
  wire::PeerTransport& transport_;
  const CallDispatcher& dispatcher_;
  const Clock& clock_;
  std::shared_ptr<const Snapshot> snapshot_;
  wire::CallId last_id_ = 0;
  std::unordered_map<wire::CallId, Pending> pending_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_PEER_ROUTER_H_
