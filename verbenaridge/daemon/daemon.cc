#include "verbenaridge/daemon/daemon.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <utility>
#include <vector>

#include "verbenaridge/daemon/call_dispatcher.h"
#include "verbenaridge/daemon/control_plane.h"
#include "verbenaridge/daemon/conversions.h"
#include "verbenaridge/daemon/telemetry_metrics.h"
#include "verbenaridge/daemon/traffic_thread.h"
#include "verbenaridge/loop/periodic.h"
#include "verbenaridge/telemetry/log.h"
#include "verbenaridge/wire/handshake.h"

namespace verbenaridge::daemon {
namespace {

using telemetry::Level;
using telemetry::Log;

// The balancer reads the health page about once a second; it takes this host out meanwhile.
constexpr Duration kDrainGrace = std::chrono::seconds(3);
constexpr Duration kDrainCheck = std::chrono::milliseconds(200);
// A traffic thread reports its running requests once a second.
constexpr int kIdleChecks = 8;

}  // namespace

class Daemon::Parts {
 public:
  Parts(settings::Settings settings, const Clock& clock)
      : settings_(std::move(settings)), clock_(clock) {}

  ~Parts() { StopLoops(); }

  Status Open();
  void Run();
  void RequestStop();

 private:
  void AddTrafficThreads(const wire::FleetKeys& keys, Incarnation incarnation);
  void WatchSignals();
  void OnSignal(int signal);
  void BeginDrain();
  void CheckDrained();
  void StopNow();
  void StopLoops();
  std::size_t Busy() const;

  const settings::Settings settings_;
  const Clock& clock_;
  TelemetryMetrics metrics_;
  std::vector<std::unique_ptr<TrafficThread>> traffic_;
  std::unique_ptr<ControlPlane> control_;
  std::unique_ptr<CallDispatcher> dispatcher_;
  std::unique_ptr<asio::signal_set> signals_;
  std::unique_ptr<asio::steady_timer> drain_timer_;
  bool draining_ = false;  // control loop
  int idle_checks_ = 0;    // control loop

  std::mutex mutex_;
  std::condition_variable stopped_changed_;
  bool stopped_ = false;
};

Status Daemon::Parts::Open() {
  Result<wire::FleetKeys> created = wire::FleetKeys::Create(settings_.fleet_keys);
  if (created.has_error()) return created.error();
  const wire::FleetKeys& keys = created.value();
  // A later start of this host has a greater incarnation, since hosts keep nothing.
  const auto incarnation = static_cast<Incarnation>(ToUnixMilliseconds(clock_.WallNow()));
  AddTrafficThreads(keys, incarnation);
  control_ = std::make_unique<ControlPlane>(
      ControlPlane::Options{.settings = settings_, .keys = keys, .incarnation = incarnation},
      clock_,
      ControlPlane::Outputs{.publish_snapshot =
                                [this](const SnapshotPtr& snapshot) {
                                  for (const auto& thread : traffic_) {
                                    thread->PublishSnapshot(snapshot);
                                  }
                                },
                            .publish_suspects =
                                [this](const SuspectUpdate& update) {
                                  for (const auto& thread : traffic_) {
                                    thread->PublishSuspects(update);
                                  }
                                },
                            .busy = [this] { return Busy(); },
                            .metrics = [this] { return metrics_.PrometheusText(); },
                            .stop_requested = [this] { RequestStop(); }});
  std::vector<ServingLoop> serving;
  for (const auto& thread : traffic_) {
    serving.push_back({&thread->loop(), &thread->owner_service()});
  }
  dispatcher_ = std::make_unique<CallDispatcher>(
      ServingLoop{&control_->loop(), &control_->service()}, std::move(serving), clock_);
  for (const auto& thread : traffic_) {
    const Status opened = thread->Open(*dispatcher_);
    if (opened.has_error()) return opened;
  }
  return control_->Open(*dispatcher_);
}

void Daemon::Parts::AddTrafficThreads(const wire::FleetKeys& keys, Incarnation incarnation) {
  for (std::size_t i = 0; i < settings_.traffic_threads; ++i) {
    traffic_.push_back(std::make_unique<TrafficThread>(
        TrafficThread::Options{
            .settings = settings_, .keys = keys, .incarnation = incarnation, .index = i},
        clock_, metrics_,
        TrafficReports{
            .summaries =
                [this](std::vector<wire::EndpointSummary> summaries) {
                  control_->OnSummaries(std::move(summaries));
                },
            .suspects =
                [this](SuspectUpdate update) { control_->OnSuspects(std::move(update)); }}));
  }
}

void Daemon::Parts::Run() {
  WatchSignals();
  for (const auto& thread : traffic_) thread->Start();
  control_->Start();
  Log(Level::kInfo, "started",
      {{"host", settings_.host.value()}, {"data_centre", settings_.data_centre.value()}});
  std::unique_lock<std::mutex> lock(mutex_);
  stopped_changed_.wait(lock, [this] { return stopped_; });
  lock.unlock();
  StopLoops();
  Log(Level::kInfo, "stopped");
}

void Daemon::Parts::WatchSignals() {
  auto& io_context = control_->loop().io_context();
  drain_timer_ = std::make_unique<asio::steady_timer>(io_context);
  signals_ = std::make_unique<asio::signal_set>(io_context, SIGTERM, SIGINT, SIGHUP);
  OnSignal(0);
}

void Daemon::Parts::OnSignal(int signal) {
  if (signal == SIGHUP) {
    Log(Level::kInfo, "signal_ignored",
        {{"signal", "SIGHUP"}, {"reason", "plans come from the store"}});
  } else if (signal != 0) {
    RequestStop();
  }
  signals_->async_wait([this](std::error_code error, int next) {
    if (!error) OnSignal(next);
  });
}

void Daemon::Parts::RequestStop() {
  control_->loop().Post([this] {
    if (draining_) {
      Log(Level::kWarning, "stopping_at_once", {{"requests_running", Busy()}});
      StopNow();
    } else {
      BeginDrain();
    }
  });
}

void Daemon::Parts::BeginDrain() {
  draining_ = true;
  Log(Level::kInfo, "draining", {{"requests_running", Busy()}});
  control_->BeginDrain();
  drain_timer_->expires_after(kDrainGrace);
  drain_timer_->async_wait([this](std::error_code error) {
    if (error) return;
    control_->RefuseRequests();
    for (const auto& thread : traffic_) thread->StopAccepting();
    CheckDrained();
  });
}

void Daemon::Parts::CheckDrained() {
  idle_checks_ = Busy() == 0 ? idle_checks_ + 1 : 0;
  if (idle_checks_ >= kIdleChecks) {
    Log(Level::kInfo, "drained");
    StopNow();
    return;
  }
  drain_timer_->expires_after(kDrainCheck);
  drain_timer_->async_wait([this](std::error_code error) {
    if (!error) CheckDrained();
  });
}

void Daemon::Parts::StopNow() {
  control_->AnnounceStop();
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
  stopped_changed_.notify_all();
}

void Daemon::Parts::StopLoops() {
  if (control_) {
    control_->loop().Stop();
    control_->loop().Join();
  }
  for (const auto& thread : traffic_) {
    thread->loop().Stop();
    thread->loop().Join();
  }
}

std::size_t Daemon::Parts::Busy() const {
  std::size_t busy = 0;
  for (const auto& thread : traffic_) busy += thread->busy();
  return busy;
}

Daemon::Daemon(settings::Settings settings, const Clock& clock)
    : parts_(std::make_unique<Parts>(std::move(settings), clock)) {}

Daemon::~Daemon() = default;

Status Daemon::Open() { return parts_->Open(); }

void Daemon::Run() { parts_->Run(); }

void Daemon::RequestStop() { parts_->RequestStop(); }

}  // namespace verbenaridge::daemon
