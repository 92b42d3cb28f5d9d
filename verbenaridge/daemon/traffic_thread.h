// One traffic thread: its event loop, its connections to callers, peers and endpoints, and the
// accounts and endpoints that are pinned to it.
#ifndef VERBENARIDGE_DAEMON_TRAFFIC_THREAD_H_
#define VERBENARIDGE_DAEMON_TRAFFIC_THREAD_H_

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/daemon/call_dispatcher.h"
#include "verbenaridge/daemon/request_metrics.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/poison/suspect_registry.h"
#include "verbenaridge/settings/settings.h"
#include "verbenaridge/wire/handshake.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::daemon {

struct SuspectUpdate {
  std::vector<poison::DeathRecord> deaths;
  std::vector<poison::DeathRecord> exonerations;
};

// What the thread reports to the control thread. Called on the traffic loop; the receiver posts.
struct TrafficReports {
  std::function<void(std::vector<wire::EndpointSummary>)> summaries;
  std::function<void(SuspectUpdate)> suspects;
};

class TrafficThread {
 public:
  struct Options {
    settings::Settings settings;
    wire::FleetKeys keys;
    Incarnation incarnation = 0;
    std::size_t index = 0;
  };

  TrafficThread(Options options, const Clock& clock, RequestMetrics& metrics,
                TrafficReports reports);
  ~TrafficThread();

  loop::EventLoop& loop() { return loop_; }

  // Serves the calls for what is pinned to this thread. Used on its loop.
  wire::PeerService& owner_service();

  // Builds the connections; call once, before Start, when all threads exist.
  Status Open(const CallDispatcher& dispatcher);

  void Start() { loop_.Start(); }

  // Thread-safe.
  void PublishSnapshot(SnapshotPtr snapshot);
  void PublishSuspects(SuspectUpdate update);
  void StopAccepting();

  // Requests that have not ended and inner calls being served; thread-safe, up to a second old.
  std::size_t busy() const { return busy_.load(std::memory_order_relaxed); }

  // Runs `done` on this loop when its inner server has closed its last connection.
  void DrainPeers(std::function<void()> done);

 private:
  class Parts;

  const Options options_;
  const Clock& clock_;
  RequestMetrics& metrics_;
  const TrafficReports reports_;
  loop::EventLoop loop_;
  std::atomic<std::size_t> busy_{0};
  std::unique_ptr<Parts> parts_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_TRAFFIC_THREAD_H_
