// The control thread: membership, plans, claims, the store gateway, suspects, and the snapshots
// that the traffic threads read.
#ifndef VERBENARIDGE_DAEMON_CONTROL_PLANE_H_
#define VERBENARIDGE_DAEMON_CONTROL_PLANE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/daemon/call_dispatcher.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/daemon/traffic_thread.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/settings/settings.h"
#include "verbenaridge/wire/handshake.h"

namespace verbenaridge::daemon {

class ControlPlane final : private wire::PeerService {
 public:
  struct Options {
    settings::Settings settings;
    wire::FleetKeys keys;
    Incarnation incarnation = 0;
  };
  struct Outputs {
    std::function<void(SnapshotPtr)> publish_snapshot;
    std::function<void(SuspectUpdate)> publish_suspects;
    std::function<std::size_t()> busy;     // requests that have not ended
    std::function<std::string()> metrics;  // Prometheus text
    std::function<void()> stop_requested;  // an operator drains this host
  };

  ControlPlane(Options options, const Clock& clock, Outputs outputs);
  ~ControlPlane() override;

  loop::EventLoop& loop() { return loop_; }

  // Serves claims, plans, status and drains. Used on the control loop.
  wire::PeerService& service();

  // Opens sockets; call once, before Start.
  Status Open(const CallDispatcher& dispatcher);
  void Start() { loop_.Start(); }

  // Thread-safe.
  void OnSummaries(std::vector<wire::EndpointSummary> summaries);
  void OnSuspects(SuspectUpdate update);

  // Announces that this host leaves and that callers should go elsewhere. Thread-safe.
  void BeginDrain();
  // Refuses new requests. Thread-safe.
  void RefuseRequests();
  // Tells the other daemons that this one has ended. Call on the control loop.
  void AnnounceStop();

 private:
  class Parts;

  void Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call) override;

  const Options options_;
  const Clock& clock_;
  const Outputs outputs_;
  loop::EventLoop loop_;
  std::unique_ptr<Parts> parts_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_CONTROL_PLANE_H_
