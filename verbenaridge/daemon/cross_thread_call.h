// Lets one event loop serve a call that arrived on another.
#ifndef VERBENARIDGE_DAEMON_CROSS_THREAD_CALL_H_
#define VERBENARIDGE_DAEMON_CROSS_THREAD_CALL_H_

#include <functional>
#include <memory>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::daemon {

// Serves `request` with `service` on `serving`. Called on `origin`, where `call` lives.
void ServeOnLoop(loop::EventLoop& origin, loop::EventLoop& serving, wire::PeerService& service,
                 wire::Request request, std::shared_ptr<wire::ServerCall> call, const Clock& clock);

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_CROSS_THREAD_CALL_H_
