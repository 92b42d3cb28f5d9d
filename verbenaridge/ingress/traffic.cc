#include "verbenaridge/ingress/traffic.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/ingress/wire_conversions.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {
namespace {

constexpr Duration kGaugePeriod = std::chrono::milliseconds(250);
// Shorter losses end before the load balancer has taken the host out.
constexpr Duration kUnreachableBeforeNotReady = std::chrono::seconds(1);
constexpr Duration kCrashNoticePeriod = std::chrono::milliseconds(50);
// Each change of the suspected keys costs a scheduler a datagram to every host.
constexpr Duration kSuspicionInterval = std::chrono::milliseconds(200);

dispatch::RetryBudgetOptions RetryBudgetOptionsOf(const settings::ReloadableSettings& reloadable) {
  return {.ratio = reloadable.retry_budget_ratio,
          .window = reloadable.retry_budget_window,
          .slack = reloadable.retry_budget_slack};
}

telemetry::Gauge& AddGauge(telemetry::MetricsRegistry& registry, std::string name,
                           std::string help) {
  return registry.AddGauge({.name = std::move(name), .help = std::move(help)}).With({});
}

}  // namespace

Traffic::Traffic(const settings::IngressSettings& settings, const wire::FleetKeys& keys,
                 Incarnation incarnation, const Clock& clock,
                 const forwarding::MessageAdapter& adapter, telemetry::MetricsRegistry& registry)
    : settings_(settings),
      clock_(clock),
      run_options_{.max_held_response = settings.max_held_response_bytes,
                   .budget = RetryBudgetOptionsOf(settings.reloadable),
                   .regions = settings.regions},
      random_(RandomSeed()),
      metrics_(registry),
      connections_(AddGauge(registry, "verbenaridge_client_connections", "Open connections.")),
      known_tasks_(AddGauge(registry, "verbenaridge_known_works",
                            "Requests at endpoints that this host knows of, of all hosts.")),
      queued_(AddGauge(registry, "verbenaridge_held_requests", "Requests that wait here.")),
      cold_endpoints_(AddGauge(registry, "verbenaridge_cold_endpoints",
                               "Endpoints that get a limited rate because they may be cold.")),
      crash_refusals_(registry.AddGauge(
          {.name = "verbenaridge_crash_refusals",
           .help = "Requests and parts of prompts that are refused now, because endpoints crash.",
           .labels = {{"kind", 2}}})),
      endpoints_(registry.AddGauge({.name = "verbenaridge_endpoints_by_state",
                                    .help = "Endpoints in the table, as this host uses them.",
                                    .labels = {{"state", 5}}})),
      retries_left_(registry.AddGauge({.name = "verbenaridge_retries_left",
                                       .help = "What this host may still send again.",
                                       .labels = {{"service", 50}}})),
      loop_("traffic-0"),
      exchange_(loop_.io_context(), clock,
                {.self = settings.host,
                 .ip = settings.ip,
                 .port = settings.first_internal_port,
                 .keys = keys},
                *this),
      dispatcher_(loop_.io_context(), clock, random_, exchange_,
                  {.data_centre = settings.data_centre,
                   .incarnation = incarnation,
                   .overload_control = settings.overload_control,
                   .adaptive_crossing = settings.adaptive_crossing,
                   .cold_overshoot = settings.cold_overshoot,
                   .cold_slack = settings.cold_slack,
                   .longest_pause = settings.endpoint_pause}),
      placement_(loop_.io_context(), clock, settings.host, exchange_, dispatcher_),
      probes_(loop_.io_context(), clock, settings.host, exchange_, suspects_),
      notices_(dispatcher_, metrics_),
      pool_(loop_.io_context(), clock, adapter, {}, &notices_),
      context_{.io_context = loop_.io_context(),
               .clock = clock,
               .random = random_,
               .adapter = adapter,
               .pool = pool_,
               .dispatcher = dispatcher_,
               .placement = placement_,
               .suspects = suspects_,
               .probes = probes_,
               .metrics = metrics_,
               .options = run_options_,
               .ticket_prefix =
                   settings.host.value() + "-" + std::to_string(random_.Next() % 100'000) + "-"},
      server_(loop_.io_context(),
              {.ip = settings.clients.ip,
               .port = settings.clients.port,
               .max_connections = settings.max_connections},
              clock, *this),
      gauge_timer_(loop_.io_context(), kGaugePeriod, [this] { UpdateGauges(); }),
      crash_notice_timer_(loop_.io_context(), kCrashNoticePeriod, [this] { UpdateCrashNotice(); }) {
}

Traffic::~Traffic() { Stop(); }

Status Traffic::Open() {
  BOOST_OUTCOME_TRYV(exchange_.Open());
  return server_.Open();
}

void Traffic::Stop() {
  loop_.Stop();
  loop_.Join();
}

void Traffic::SetRetryBudget(const settings::ReloadableSettings& reloadable) {
  loop_.Post([this, options = RetryBudgetOptionsOf(reloadable)] {
    run_options_.budget = options;
    for (auto& [service, budget] : context_.budgets) budget.SetOptions(options);
  });
}

void Traffic::Describe(std::function<void(TrafficStatus)> done) {
  loop_.Post([this, done = std::move(done)] { done(CurrentStatus()); });
}

void Traffic::PublishSnapshot(forwarding::SnapshotPtr snapshot) {
  loop_.Post([this, snapshot = std::move(snapshot)]() mutable {
    ForgetRemovedEndpoints(*dispatcher_.snapshot(), *snapshot);
    dispatcher_.SetSnapshot(std::move(snapshot));
  });
}

void Traffic::ForgetRemovedEndpoints(const forwarding::DirectorySnapshot& before,
                                     const forwarding::DirectorySnapshot& after) {
  std::unordered_map<EndpointId, std::uint64_t> kept;
  for (const directory::Endpoint& entry : after.endpoints) kept[entry.id] = entry.start_unix_ms;
  for (const directory::Endpoint& endpoint : before.endpoints) {
    const auto found = kept.find(endpoint.id);
    if (found == kept.end() || found->second != endpoint.start_unix_ms) pool_.Forget(endpoint.id);
  }
}

void Traffic::PublishSchedulers(bool is_scheduler, std::vector<std::string> others) {
  loop_.Post([this, is_scheduler, others = std::move(others)]() mutable {
    probes_.SetSchedulers(is_scheduler, others);
    placement_.SetSchedulers(is_scheduler, std::move(others));
  });
}

void Traffic::ForgetPeer(Incarnation peer) {
  loop_.Post([this, peer] { dispatcher_.OnPeerGone(peer); });
}

void Traffic::AnnounceAll() {
  loop_.Post([this] { dispatcher_.AnnounceAll(); });
}

void Traffic::BeginDrain(TimePoint end) {
  loop_.Post([this, end, now = clock_.Now()] {
    context_.stop.Begin(now, end);
    server_.BeginDrain();
  });
}

void Traffic::StopAccepting() {
  loop_.Post([this] { server_.StopAccepting(); });
}

void Traffic::EndRequests() {
  loop_.Post([this] { server_.EndRequests(); });
}

void Traffic::CloseIdle(std::function<void(std::size_t)> done) {
  loop_.Post([this, done = std::move(done)] {
    server_.CloseIdle();
    done(server_.connections());
  });
}

void Traffic::CloseAll(std::function<void(std::size_t)> done) {
  loop_.Post([this, done = std::move(done)] { done(server_.CloseAll()); });
}

std::shared_ptr<forwarding::ActiveRequest> Traffic::Start(
    forwarding::IncomingRequest request, std::shared_ptr<forwarding::ResponseSink> sink) {
  auto run =
      std::make_shared<forwarding::RequestRun>(context_, std::move(request), std::move(sink));
  busy_.fetch_add(1, std::memory_order_relaxed);
  run->Start();
  return run;
}

directory::ClientLimits Traffic::limits() const {
  const auto& configuration = dispatcher_.snapshot()->configuration;
  return configuration == nullptr ? directory::ClientLimits{} : configuration->limits();
}

void Traffic::OnRejected(int status, std::string_view reason) {
  metrics_.refusals.With({"unreadable"}).Add();
  telemetry::Log(telemetry::Level::kInfo, "request_unreadable",
                 {{"status", status}, {"reason", reason}});
}

void Traffic::OnResponseNotRead(std::size_t unsent_bytes) {
  metrics_.connections_closed.With({"response_not_read"}).Add();
  telemetry::Log(telemetry::Level::kInfo, "response_not_read", {{"unsent_bytes", unsent_bytes}});
}

void Traffic::OnInputDiscarded(std::size_t bytes) {
  metrics_.connections_closed.With({"input_discarded"}).Add();
  telemetry::Log(telemetry::Level::kInfo, "input_discarded", {{"bytes", bytes}});
}

// Only counted: a flood of connections must not become one of log lines.
void Traffic::OnConnectionRefused() { metrics_.connections_closed.With({"too_many"}).Add(); }

void Traffic::OnDatagram(const wire::Datagram& datagram, const std::string& ip) {
  if (placement_.OnDatagram(datagram, ip) || probes_.OnDatagram(datagram, ip)) return;
  if (const auto* update = std::get_if<wire::LoadUpdate>(&datagram)) OnLoadUpdate(*update);
}

void Traffic::OnLoadUpdate(const wire::LoadUpdate& update) {
  const TimePoint now = clock_.Now();
  for (const wire::TaskEntry& task : update.started) dispatcher_.OnPeerBegin(FromWire(task));
  for (const std::uint64_t task : update.first_events) dispatcher_.OnPeerFirstEvent(task);
  for (const std::uint64_t task : update.ended) dispatcher_.OnPeerEnd(task);
  for (const Digest key : update.unreachable_endpoints) dispatcher_.OnPeerUnreachable(key);
  for (const wire::EndpointLimitEntry& entry : update.limits) {
    dispatcher_.OnPeerLimit(
        entry.endpoint, entry.limited ? std::optional(entry.requests_per_second) : std::nullopt);
  }
  for (const wire::CrashEntry& crash : update.crashes) {
    suspects_.OnCrash({.endpoint = crash.endpoint,
                       .request = crash.request,
                       .begun = crash.begun,
                       .parts = crash.parts},
                      now);
  }
  for (const wire::SoundKeyEntry& sound : update.sound_keys) {
    suspects_.OnSound(sound.key, {.responses = sound.responses, .last = now - sound.age},
                      HashOf(update.sender.value()));
  }
}

void Traffic::OnCrashNotice(CrashNotice notice) {
  loop_.Post([this, notice = std::move(notice)] {
    for (const dispatch::CrashRefusal& refusal : notice.refusals) context_.OnRefusalOfPeer(refusal);
    for (const dispatch::RefutedKey& key : notice.refuted) suspects_.OnRefuted(key);
    for (const Digest key : suspects_.OnAsked(notice.suspected, clock_.Now())) {
      exchange_.OnSoundKey(key, suspects_.OwnRecord(key));
    }
  });
}

void Traffic::UpdateCrashNotice() {
  const TimePoint now = clock_.Now();
  context_.JudgeCrashes();
  const std::span<const dispatch::CrashRefusal> refusals = suspects_.refusals();
  CrashNotice notice{.suspected = suspects_.SuspectedKeys(now),
                     .refusals = {refusals.begin(), refusals.end()},
                     .refuted = suspects_.RefutedKeys(now)};
  if (notice == crash_notice_) return;
  const bool decided =
      notice.refusals != crash_notice_.refusals || notice.refuted != crash_notice_.refuted;
  if (!decided && now - crash_notice_sent_ < kSuspicionInterval) return;
  crash_notice_sent_ = now;
  crash_notice_ = std::move(notice);
  if (crash_notice_output_) crash_notice_output_(crash_notice_);
}

TrafficStatus Traffic::CurrentStatus() {
  TrafficStatus status{.requests_running = server_.busy(),
                       .requests_queued = dispatcher_.queued(),
                       .known_tasks = dispatcher_.tasks(),
                       .client_connections = server_.connections(),
                       .ejected_endpoints = dispatcher_.EjectedEndpoints(),
                       .leaving_endpoints = dispatcher_.LeavingEndpoints(),
                       .cold_endpoints = dispatcher_.ColdEndpoints()};
  for (const auto& [endpoint, limit] : dispatcher_.LimitedEndpoints()) {
    status.limited_endpoints.push_back({endpoint, limit});
  }
  for (auto& [service, budget] : context_.budgets) {
    status.budgets.push_back(
        {service, budget.Remaining(dispatcher_.snapshot()->hosts, clock_.Now())});
  }
  for (const dispatch::CrashRefusal& refusal : suspects_.refusals()) {
    (refusal.whole_request ? status.blocked_requests : status.blocked_parts)
        .push_back(dispatch::ToText(refusal));
  }
  return status;
}

void Traffic::UpdateReach() {
  const TimePoint now = clock_.Now();
  if (!dispatcher_.knows_endpoints() || dispatcher_.HasUsableEndpoint()) {
    last_usable_endpoint_ = now;
  }
  const bool without = now - last_usable_endpoint_ > kUnreachableBeforeNotReady;
  if (without_endpoints_.exchange(without, std::memory_order_relaxed) == without) return;
  telemetry::Log(telemetry::Level::kWarning, without ? "no_usable_endpoint" : "usable_endpoint",
                 {{"endpoints", dispatcher_.snapshot()->endpoints.size()}});
}

void Traffic::UpdateGauges() {
  dispatcher_.RemoveExpired();
  UpdateReach();
  const TrafficStatus status = CurrentStatus();
  busy_.store(status.requests_running, std::memory_order_relaxed);
  connections_.Set(static_cast<double>(status.client_connections));
  known_tasks_.Set(static_cast<double>(status.known_tasks));
  queued_.Set(static_cast<double>(status.requests_queued));
  cold_endpoints_.Set(static_cast<double>(status.cold_endpoints.size()));
  crash_refusals_.With({"request"}).Set(static_cast<double>(status.blocked_requests.size()));
  crash_refusals_.With({"prompt_part"}).Set(static_cast<double>(status.blocked_parts.size()));
  for (const BudgetStatus& budget : status.budgets) {
    retries_left_.With({budget.service.value()}).Set(budget.retries_left);
  }
  const auto& all = dispatcher_.snapshot()->endpoints;
  const auto draining = static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [](const auto& endpoint) { return endpoint.draining; }));
  endpoints_.With({"draining"}).Set(static_cast<double>(draining));
  endpoints_.With({"left_out"}).Set(static_cast<double>(status.ejected_endpoints.size()));
  endpoints_.With({"leaving"}).Set(static_cast<double>(status.leaving_endpoints.size()));
  endpoints_.With({"ready"}).Set(static_cast<double>(
      all.size() - draining - status.ejected_endpoints.size() - status.leaving_endpoints.size()));
}

}  // namespace verbenaridge::ingress
