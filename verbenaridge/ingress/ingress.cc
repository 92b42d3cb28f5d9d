#include "verbenaridge/ingress/ingress.h"

#include <algorithm>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <future>
#include <span>
#include <utility>

#include "platform/http_adapter.h"
#include "platform/store_client.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/frontend/http_server.h"
#include "verbenaridge/ingress/directory_service.h"
#include "verbenaridge/ingress/operator_pages.h"
#include "verbenaridge/ingress/traffic.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/loop/periodic.h"
#include "verbenaridge/net/http_client.h"
#include "verbenaridge/settings/settings_watch.h"
#include "verbenaridge/telemetry/log.h"
#include "verbenaridge/telemetry/metrics.h"
#include "verbenaridge/wire/handshake.h"

namespace verbenaridge::ingress {
namespace {

using telemetry::Level;
using telemetry::Log;

// The load balancer probes readiness once a second and removes a host after two failed probes.
constexpr Duration kBalancerRemovalDelay = std::chrono::milliseconds(3'200);
// Time for the first bytes of a request on a connection that was accepted last.
constexpr Duration kLastRequestDelay = std::chrono::milliseconds(700);
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(100);
// Part of the grace period that is reserved for the exit of the process.
constexpr Duration kExitMargin = std::chrono::milliseconds(300);
// The last responses are written in this time before the connections are closed.
constexpr Duration kLastResponseTime = std::chrono::milliseconds(100);
// Settings may change without a signal. Reading the small file takes some 20 us.
constexpr Duration kSettingsPeriod = std::chrono::seconds(1);

std::vector<std::string> IpsOf(std::span<const settings::SocketAddress> addresses) {
  std::vector<std::string> ips;
  ips.reserve(addresses.size());
  for (const settings::SocketAddress& address : addresses) ips.push_back(address.ip);
  return ips;
}

}  // namespace

class Ingress::Parts final : private HostView {
 public:
  Parts(settings::IngressSettings settings, const std::string& settings_file, const Clock& clock)
      : settings_(std::move(settings)),
        settings_watch_(settings_file),
        clock_(clock),
        random_(RandomSeed()),
        incarnation_(random_.Next()),
        control_("control") {}

  ~Parts() override { StopLoops(); }

  Status Open();
  void Run();
  void RequestStop();

 private:
  // HostView
  std::string NotReadyReason() const override;
  std::string Metrics() override;
  void DescribeHost(std::function<void(const HostStatus&)> done) override;

  void OpenDirectory(const wire::FleetKeys& keys);
  void WatchSignals();
  void OnSignal(int signal);
  void ReloadSettings();
  void Apply(const settings::ReloadableSettings& reloadable);
  void BeginDrain();
  void ArmDrainCheck();
  void CheckDrained();
  void EndRequests();
  void FinishDrain();
  void StopLoops();

  settings::IngressSettings settings_;  // control loop
  settings::SettingsWatch settings_watch_;
  const Clock& clock_;
  SeededRandom random_;  // control loop
  const Incarnation incarnation_;
  telemetry::MetricsRegistry registry_;
  platform::HttpAdapter adapter_;
  loop::EventLoop control_;
  std::unique_ptr<Traffic> traffic_;
  std::unique_ptr<net::CurlHttpClient> http_;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<DirectoryService> directory_;
  OperatorPages pages_{*this};
  std::unique_ptr<frontend::HttpServer> readiness_server_;
  std::unique_ptr<frontend::HttpServer> metrics_server_;
  std::unique_ptr<asio::signal_set> signals_;
  std::unique_ptr<asio::steady_timer> drain_timer_;
  std::unique_ptr<loop::Periodic> settings_tick_;
  bool draining_ = false;  // control loop
  TimePoint drain_start_{};
  TimePoint last_response_{};  // the responses must have ended
  std::promise<void> stopped_;
  bool stop_signalled_ = false;  // control loop
};

Status Ingress::Parts::Open() {
  Result<wire::FleetKeys> keys = wire::FleetKeys::Create(settings_.fleet_keys);
  if (keys.has_error()) return keys.error();
  traffic_ =
      std::make_unique<Traffic>(settings_, keys.value(), incarnation_, clock_, adapter_, registry_);
  BOOST_OUTCOME_TRYV(traffic_->Open());
  OpenDirectory(keys.value());
  BOOST_OUTCOME_TRYV(directory_->Open());
  readiness_server_ = std::make_unique<frontend::HttpServer>(
      control_.io_context(),
      frontend::HttpServer::Options{.address = settings_.readiness.ip,
                                    .port = settings_.readiness.port},
      pages_);
  BOOST_OUTCOME_TRYV(readiness_server_->Open());
  if (settings_.metrics_port == 0) return Ok();
  metrics_server_ = std::make_unique<frontend::HttpServer>(
      control_.io_context(),
      frontend::HttpServer::Options{.address = settings_.ip, .port = settings_.metrics_port},
      pages_);
  return metrics_server_->Open();
}

void Ingress::Parts::OpenDirectory(const wire::FleetKeys& keys) {
  http_ = std::make_unique<net::CurlHttpClient>(control_.io_context());
  const settings::SocketAddress& store = settings_.reloadable.store;
  store_ = std::make_unique<platform::StoreClient>(
      *http_,
      platform::StoreClientOptions{
          .ip = store.ip, .port = store.port, .watch_evacuations = settings_.evacuation},
      registry_);
  directory_ = std::make_unique<DirectoryService>(
      control_.io_context(),
      DirectoryOptions{.self = settings_.host,
                       .ip = settings_.ip,
                       .data_centre = settings_.data_centre,
                       .capacity = settings_.processor_share,
                       .port = static_cast<std::uint16_t>(settings_.first_internal_port + 1),
                       .keys = keys,
                       .seeds = IpsOf(settings_.reloadable.seeds),
                       .incarnation = incarnation_,
                       .endpoint_heartbeat = settings_.reloadable.endpoint_heartbeat,
                       .evacuation = settings_.evacuation},
      *store_, clock_, random_,
      DirectoryOutputs{
          .snapshot =
              [this](forwarding::SnapshotPtr snapshot) {
                traffic_->PublishSnapshot(std::move(snapshot));
              },
          .schedulers =
              [this](bool self, std::vector<std::string> others) {
                traffic_->PublishSchedulers(self, std::move(others));
              },
          .peer_gone = [this](Incarnation peer) { traffic_->ForgetPeer(peer); },
          .peer_started = [this] { traffic_->AnnounceAll(); },
          .crash_notice =
              [this](CrashNotice notice) { traffic_->OnCrashNotice(std::move(notice)); }});
  traffic_->SetCrashNoticeOutput([this](CrashNotice notice) {
    control_.Post([this, notice = std::move(notice)] { directory_->SetCrashNotice(notice); });
  });
}

void Ingress::Parts::Run() {
  WatchSignals();
  traffic_->Start();
  control_.Post([this] { directory_->Start(); });
  control_.Start();
  Log(Level::kInfo, "started",
      {{"host", settings_.host.value()}, {"data_centre", settings_.data_centre.value()}});
  stopped_.get_future().wait();
  StopLoops();
  Log(Level::kInfo, "stopped");
}

void Ingress::Parts::WatchSignals() {
  drain_timer_ = std::make_unique<asio::steady_timer>(control_.io_context());
  signals_ = std::make_unique<asio::signal_set>(control_.io_context(), SIGTERM, SIGINT, SIGHUP);
  OnSignal(0);
  settings_tick_ = std::make_unique<loop::Periodic>(control_.io_context(), kSettingsPeriod,
                                                    [this] { ReloadSettings(); });
}

void Ingress::Parts::OnSignal(int signal) {
  if (signal == SIGHUP) {
    ReloadSettings();
  } else if (signal != 0) {
    BeginDrain();
  }
  signals_->async_wait([this](std::error_code error, int next) {
    if (!error) OnSignal(next);
  });
}

void Ingress::Parts::ReloadSettings() {
  const auto loaded = settings_watch_.Poll();
  if (!loaded) return;
  if (!loaded->errors.empty()) {
    for (const settings::SettingError& error : loaded->errors) {
      Log(Level::kError, "settings_faulty", {{"error", error.Text()}, {"kept", true}});
    }
    return;
  }
  Log(Level::kInfo, "settings_reloaded",
      {{"changed", loaded->settings.reloadable != settings_.reloadable},
       {"needs_restart", settings::NeedsRestart(settings_, loaded->settings)}});
  Apply(loaded->settings.reloadable);
}

void Ingress::Parts::Apply(const settings::ReloadableSettings& reloadable) {
  settings_.reloadable = reloadable;
  telemetry::SetLogLevel(telemetry::ParseLevel(reloadable.log_level));
  store_->SetAddress(reloadable.store.ip, reloadable.store.port);
  directory_->AddSeeds(IpsOf(reloadable.seeds));
  directory_->SetEndpointHeartbeat(reloadable.endpoint_heartbeat);
  traffic_->SetRetryBudget(reloadable);
}

void Ingress::Parts::RequestStop() {
  control_.Post([this] { BeginDrain(); });
}

void Ingress::Parts::BeginDrain() {
  if (std::exchange(draining_, true)) return;
  drain_start_ = clock_.Now();
  Log(Level::kInfo, "draining", {{"requests_running", traffic_->busy()}});
  // Settings that are reloaded during the drain do not change what its requests were promised.
  last_response_ =
      drain_start_ + settings_.reloadable.grace_period - kExitMargin - kLastResponseTime;
  traffic_->BeginDrain(last_response_);
  ArmDrainCheck();
}

void Ingress::Parts::ArmDrainCheck() {
  drain_timer_->expires_after(
      std::clamp(last_response_ - clock_.Now(), Duration{}, kDrainCheckPeriod));
  drain_timer_->async_wait([this](std::error_code error) {
    if (!error) CheckDrained();
  });
}

void Ingress::Parts::CheckDrained() {
  const TimePoint now = clock_.Now();
  if (now >= last_response_) {
    EndRequests();
    return;
  }
  const Duration since = now - drain_start_;
  if (since >= kBalancerRemovalDelay) traffic_->StopAccepting();
  if (since < kBalancerRemovalDelay + kLastRequestDelay) {
    ArmDrainCheck();
    return;
  }
  traffic_->CloseIdle([this](std::size_t left) {
    control_.Post([this, left] { left == 0 ? FinishDrain() : ArmDrainCheck(); });
  });
}

void Ingress::Parts::EndRequests() {
  traffic_->EndRequests();
  drain_timer_->expires_after(kLastResponseTime);
  drain_timer_->async_wait([this](std::error_code error) {
    if (!error) FinishDrain();
  });
}

void Ingress::Parts::FinishDrain() {
  traffic_->CloseAll([this](std::size_t cut) {
    control_.Post([this, cut] {
      Log(Level::kInfo, "drained",
          {{"requests_running", cut}, {"after_ms", ToSeconds(clock_.Now() - drain_start_) * 1000}});
      directory_->AnnounceLeaving();
      if (!std::exchange(stop_signalled_, true)) stopped_.set_value();
    });
  });
}

void Ingress::Parts::StopLoops() {
  control_.Stop();
  control_.Join();
  if (traffic_) traffic_->Stop();
}

std::string Ingress::Parts::NotReadyReason() const {
  if (draining_) return "draining";
  if (!directory_->ready()) return "no configuration or endpoints yet";
  if (settings_.readiness_needs_endpoints && traffic_->without_endpoints()) {
    return "no endpoint can be used";
  }
  return {};
}

std::string Ingress::Parts::Metrics() {
  const auto set = [this](std::string name, std::string help, double value) {
    registry_.AddGauge({.name = std::move(name), .help = std::move(help)}).With({}).Set(value);
  };
  set("verbenaridge_configuration_version", "Version in force.",
      static_cast<double>(directory_->version()));
  set("verbenaridge_configuration_age_seconds", "Since it was known to be the newest.",
      ToSeconds(directory_->configuration_age()));
  set("verbenaridge_endpoints", "Endpoints in the table.",
      static_cast<double>(directory_->endpoints().size()));
  set("verbenaridge_endpoints_age_seconds", "Since the endpoints were read.",
      ToSeconds(directory_->endpoints_age()));
  set("verbenaridge_hosts", "Hosts of the system that live.",
      static_cast<double>(directory_->hosts()));
  set("verbenaridge_evacuated_data_centres", "Data centres that get no new requests by an order.",
      static_cast<double>(directory_->evacuated().size()));
  set("verbenaridge_log_lines_dropped", "Since the start, for a slow reader of the log.",
      static_cast<double>(telemetry::LogLinesDropped()));
  return registry_.PrometheusText();
}

void Ingress::Parts::DescribeHost(std::function<void(const HostStatus&)> done) {
  traffic_->Describe([this, done = std::move(done)](TrafficStatus traffic) mutable {
    control_.Post([this, done = std::move(done), traffic = std::move(traffic)] {
      done({.host = settings_.host,
            .data_centre = settings_.data_centre,
            .not_ready_reason = NotReadyReason(),
            .configuration_version = directory_->version(),
            .configuration_age = directory_->configuration_age(),
            .store_works = directory_->store_works(),
            .endpoints_age = directory_->endpoints_age(),
            .endpoints = directory_->endpoints(),
            .evacuated_data_centres = {directory_->evacuated().begin(),
                                       directory_->evacuated().end()},
            .is_scheduler = directory_->is_scheduler(),
            .hosts = directory_->hosts(),
            .peers = directory_->peers(),
            .traffic = traffic});
    });
  });
}

Ingress::Ingress(settings::IngressSettings settings, const std::string& settings_file,
                 const Clock& clock)
    : parts_(std::make_unique<Parts>(std::move(settings), settings_file, clock)) {}

Ingress::~Ingress() = default;

Status Ingress::Open() { return parts_->Open(); }

void Ingress::Run() { parts_->Run(); }

void Ingress::RequestStop() { parts_->RequestStop(); }

}  // namespace verbenaridge::ingress
