// The traffic thread. It serves clients, connects to endpoints, and exchanges load information with
// other hosts.
//
//   Traffic traffic(settings, keys, clock, adapter, metrics);
//   Status opened = traffic.Open();
//   traffic.Start();
//   traffic.PublishSnapshot(snapshot);   // from any thread
#ifndef VERBENARIDGE_INGRESS_TRAFFIC_H_
#define VERBENARIDGE_INGRESS_TRAFFIC_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/forwarding/client_server.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/forwarding/message_adapter.h"
#include "verbenaridge/forwarding/notice_recorder.h"
#include "verbenaridge/forwarding/request_run.h"
#include "verbenaridge/ingress/crash_notice.h"
#include "verbenaridge/ingress/host_status.h"
#include "verbenaridge/ingress/load_exchange.h"
#include "verbenaridge/ingress/placement_exchange.h"
#include "verbenaridge/ingress/probe_exchange.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/loop/periodic.h"
#include "verbenaridge/settings/ingress_settings.h"
#include "verbenaridge/telemetry/metrics.h"
#include "verbenaridge/wire/handshake.h"

namespace verbenaridge::ingress {

// Thread-safe unless stated otherwise.
class Traffic final : private forwarding::RequestHandler, private LoadReceiver {
 public:
  Traffic(const settings::IngressSettings& settings, const wire::FleetKeys& keys,
          Incarnation incarnation, const Clock& clock, const forwarding::MessageAdapter& adapter,
          telemetry::MetricsRegistry& registry);
  ~Traffic() override;

  // Called before Start.
  Status Open();
  // Called on the traffic thread with what peers must be told. Set before Start.
  void SetCrashNoticeOutput(std::function<void(CrashNotice)> output) {
    crash_notice_output_ = std::move(output);
  }
  void Start() { loop_.Start(); }
  void Stop();

  void SetRetryBudget(const settings::ReloadableSettings& reloadable);
  // Calls `done` on the traffic thread.
  void Describe(std::function<void(TrafficStatus)> done);

  void PublishSnapshot(forwarding::SnapshotPtr snapshot);
  void PublishSchedulers(bool is_scheduler, std::vector<std::string> others);
  void ForgetPeer(Incarnation peer);
  void AnnounceAll();
  void OnCrashNotice(CrashNotice notice);

  // `end`: when the last response must have ended.
  void BeginDrain(TimePoint end);
  void StopAccepting();
  // No response may start or go on.
  void EndRequests();
  // Closes idle connections and calls `done` on the traffic thread with the number of the others.
  // If there are none and StopAccepting was called, no request can arrive any more.
  void CloseIdle(std::function<void(std::size_t)> done);

  // Closes all connections and calls `done` on the traffic thread with the number of requests that
  // had no complete response.
  void CloseAll(std::function<void(std::size_t)> done);

  // Requests in progress, up to 250 ms ago.
  std::size_t busy() const { return busy_.load(std::memory_order_relaxed); }

  // Whether no endpoint of any service could be used for a second.
  bool without_endpoints() const { return without_endpoints_.load(std::memory_order_relaxed); }

 private:
  // forwarding::RequestHandler
  std::shared_ptr<forwarding::ActiveRequest> Start(
      forwarding::IncomingRequest request, std::shared_ptr<forwarding::ResponseSink> sink) override;
  directory::ClientLimits limits() const override;
  void OnRejected(int status, std::string_view reason) override;
  void OnResponseNotRead(std::size_t unsent_bytes) override;
  void OnInputDiscarded(std::size_t bytes) override;
  void OnConnectionRefused() override;
  // LoadReceiver
  void OnDatagram(const wire::Datagram& datagram, const std::string& ip) override;

  void OnLoadUpdate(const wire::LoadUpdate& update);
  void UpdateCrashNotice();

  void ForgetRemovedEndpoints(const forwarding::DirectorySnapshot& before,
                              const forwarding::DirectorySnapshot& after);
  TrafficStatus CurrentStatus();
  void UpdateGauges();
  void UpdateReach();

  const settings::IngressSettings settings_;
  const Clock& clock_;
  forwarding::RunOptions run_options_;
  SeededRandom random_;
  forwarding::RequestMetrics metrics_;
  telemetry::Gauge& connections_;
  telemetry::Gauge& known_tasks_;
  telemetry::Gauge& queued_;
  telemetry::Gauge& cold_endpoints_;
  telemetry::Family<telemetry::Gauge>& crash_refusals_;  // kind
  telemetry::Family<telemetry::Gauge>& endpoints_;       // state
  telemetry::Family<telemetry::Gauge>& retries_left_;    // service
  loop::EventLoop loop_;
  LoadExchange exchange_;
  forwarding::Dispatcher dispatcher_;
  PlacementExchange placement_;
  dispatch::CrashSuspects suspects_;
  ProbeExchange probes_;
  forwarding::NoticeRecorder notices_;
  forwarding::EndpointPool pool_;
  forwarding::RunContext context_;
  forwarding::ClientServer server_;
  loop::Periodic gauge_timer_;
  loop::Periodic crash_notice_timer_;
  std::function<void(CrashNotice)> crash_notice_output_;
  CrashNotice crash_notice_;  // last output
  TimePoint crash_notice_sent_{};
  std::atomic<std::size_t> busy_{0};
  TimePoint last_usable_endpoint_{};
  std::atomic<bool> without_endpoints_{false};
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_TRAFFIC_H_
