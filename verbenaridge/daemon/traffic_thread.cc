#include "verbenaridge/daemon/traffic_thread.h"

#include <string>
#include <utility>

#include "verbenaridge/daemon/account_owner.h"
#include "verbenaridge/daemon/endpoint_owners.h"
#include "verbenaridge/daemon/policies.h"
#include "verbenaridge/daemon/request_pipeline.h"
#include "verbenaridge/engine/http_endpoint_client.h"
#include "verbenaridge/frontend/caller_server.h"
#include "verbenaridge/loop/periodic.h"
#include "verbenaridge/net/http_client.h"
#include "verbenaridge/wire/nghttp2_transport.h"

namespace verbenaridge::daemon {
namespace {

constexpr Duration kOwnerTick = std::chrono::milliseconds(100);
constexpr Duration kLoadPeriod = std::chrono::seconds(1);
constexpr Duration kRenewPeriod = std::chrono::seconds(2);
constexpr Duration kReconcilePeriod = std::chrono::seconds(5);

}  // namespace

// Everything that lives on the loop.
class TrafficThread::Parts final : public wire::PeerService {
 public:
  explicit Parts(TrafficThread& owner);

  void Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call) override;

  void SetSnapshot(const SnapshotPtr& snapshot);
  void SeedCosts();

  TrafficThread& thread;
  const Options& options;
  SeededRandom random;
  cost::CostModel costs;
  std::unique_ptr<routing::RoutingPolicy> routing;
  net::CurlHttpClient http;
  engine::HttpEndpointClient endpoints;
  AccountOwner accounts;

  // Set by Open, which knows the dispatcher.
  struct Connections;
  std::unique_ptr<Connections> connections;
};

// Parts that call other loops or are called by peers and callers.
struct TrafficThread::Parts::Connections {
  Connections(Parts& parts, const CallDispatcher& dispatcher);

  wire::Nghttp2Transport transport;
  PeerRouter router;
  HeldPermits held_permits;
  LocalAdmission local_admission;
  EndpointOwners endpoint_owners;
  RunContext context;
  RequestPipeline pipeline;
  DispatchingService peer_service;
  wire::Nghttp2Server peer_server;
  frontend::CallerServer caller_server;
  loop::Periodic owner_tick;
  loop::Periodic load_tick;
  loop::Periodic renew_tick;
  loop::Periodic reconcile_tick;
};

TrafficThread::Parts::Parts(TrafficThread& owner)
    : thread(owner),
      options(owner.options_),
      random(RandomSeed()),
      routing(MakeRouting(options.settings.policy)),
      http(owner.loop_.io_context()),
      endpoints(owner.loop_.io_context(), http, {}),
      accounts(owner.clock_, [&owner](auto deaths, auto exonerations) {
        owner.reports_.suspects({std::move(deaths), std::move(exonerations)});
      }) {
  SeedCosts();
}

TrafficThread::Parts::Connections::Connections(Parts& parts, const CallDispatcher& dispatcher)
    : transport(parts.thread.loop_.io_context(),
                {.self = parts.options.settings.host, .keys = parts.options.keys, .timeouts = {}}),
      router({.self = parts.options.settings.host}, parts.thread.loop_, transport, dispatcher,
             parts.thread.clock_),
      held_permits(router),
      local_admission(parts.thread.clock_, parts.options.settings.traffic_threads),
      endpoint_owners({.self = parts.options.settings.host,
                       .incarnation = parts.options.incarnation,
                       .thread_index = parts.options.index,
                       .thread_count = parts.options.settings.traffic_threads,
                       .policy = MakePermitPolicy(parts.options.settings.policy)},
                      {.summaries = parts.thread.reports_.summaries,
                       .deaths =
                           [&parts](std::vector<poison::DeathRecord> deaths) {
                             parts.accounts.MergeSuspects(deaths, {});
                             parts.thread.reports_.suspects({std::move(deaths), {}});
                           }},
                      parts.thread.clock_, parts.costs, *parts.routing, parts.endpoints, router),
      context{.loop = parts.thread.loop_,
              .clock = parts.thread.clock_,
              .random = parts.random,
              .router = router,
              .endpoints = parts.endpoints,
              .routing = *parts.routing,
              .routing_options = MakeRoutingOptions(parts.options.settings.policy),
              .permit_options = MakePermitPolicy(parts.options.settings.policy),
              .costs = parts.costs,
              .held_permits = held_permits,
              .local_admission = local_admission,
              .metrics = parts.thread.metrics_,
              .self = parts.options.settings.host,
              .incarnation = parts.options.incarnation,
              .thread_index = parts.options.index,
              .thread_count = parts.options.settings.traffic_threads,
              .unsent_limit = parts.options.settings.limits.unsent_bytes},
      pipeline(
          {.limits = parts.options.settings.limits, .services = parts.options.settings.services},
          context),
      peer_service(parts.thread.loop_, dispatcher),
      peer_server(parts.thread.loop_.io_context(),
                  {.listen = {parts.options.settings.inner.ip, parts.options.settings.inner.port},
                   .reuse_port = true,
                   .self = parts.options.settings.host,
                   .keys = parts.options.keys,
                   .timeouts = {}},
                  peer_service),
      caller_server(parts.thread.loop_.io_context(),
                    {.http = {.address = parts.options.settings.callers.ip,
                              .port = parts.options.settings.callers.port,
                              .max_body_bytes = parts.options.settings.limits.body_bytes,
                              .max_connections = parts.options.settings.limits.caller_connections}},
                    pipeline, parts.thread.clock_, parts.random),
      owner_tick(parts.thread.loop_.io_context(), kOwnerTick, [this] { endpoint_owners.Tick(); }),
      load_tick(parts.thread.loop_.io_context(), kLoadPeriod,
                [this, &parts] {
                  endpoint_owners.FetchLoads();
                  parts.accounts.Expire();
                  parts.thread.busy_.store(pipeline.running(), std::memory_order_relaxed);
                }),
      renew_tick(parts.thread.loop_.io_context(), kRenewPeriod,
                 [this] { held_permits.RenewAll(); }),
      reconcile_tick(parts.thread.loop_.io_context(), kReconcilePeriod,
                     [this] { endpoint_owners.ReconcileStreams(); }) {}

void TrafficThread::Parts::Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call) {
  if (const auto* admit = std::get_if<wire::AdmitRequest>(&request)) {
    call->Answer(accounts.Admit(*admit));
  } else if (const auto* finish = std::get_if<wire::FinishAdmissionRequest>(&request)) {
    accounts.Finish(*finish);
    call->Answer(wire::Acknowledged{});
  } else if (const auto* permit = std::get_if<wire::PermitRequest>(&request)) {
    connections->endpoint_owners.Request(*permit, call);
  } else if (const auto* release = std::get_if<wire::ReleasePermitRequest>(&request)) {
    connections->endpoint_owners.Release(*release, call);
  } else if (const auto* first_token = std::get_if<wire::FirstTokenRequest>(&request)) {
    connections->endpoint_owners.OnFirstToken(*first_token);
    call->Answer(wire::Acknowledged{});
  } else if (const auto* renew = std::get_if<wire::RenewPermitsRequest>(&request)) {
    call->Answer(connections->endpoint_owners.Renew(*renew));
  } else if (const auto* revoke = std::get_if<wire::RevokePermitRequest>(&request)) {
    connections->held_permits.Revoke(revoke->endpoint, revoke->permit);
    call->Answer(wire::Acknowledged{});
  } else {
    call->Fail(Errc::kInvalidArgument);
  }
}

// Predictions for endpoints that another thread or daemon owns start from the settings.
void TrafficThread::Parts::SeedCosts() {
  for (const settings::EndpointSettings& endpoint : options.settings.endpoints) {
    if (endpoint.kind != settings::EndpointKind::kModel) continue;
    costs.OnLoadReport(endpoint.id,
                       {.prefill_tokens_per_second = endpoint.prefill_tokens_per_second,
                        .decode_step = endpoint.decode_step,
                        .kv_bytes_per_token = endpoint.kv_bytes_per_token});
  }
}

void TrafficThread::Parts::SetSnapshot(const SnapshotPtr& snapshot) {
  connections->context.snapshot = snapshot;
  connections->router.SetSnapshot(snapshot);
  accounts.SetSnapshot(snapshot);
  connections->endpoint_owners.SetSnapshot(snapshot);
  connections->held_permits.SetSnapshot(snapshot);
  connections->pipeline.OnSnapshot();
}

TrafficThread::TrafficThread(Options options, const Clock& clock, RequestMetrics& metrics,
                             TrafficReports reports)
    : options_(std::move(options)),
      clock_(clock),
      metrics_(metrics),
      reports_(std::move(reports)),
      loop_("traffic-" + std::to_string(options_.index)),
      parts_(std::make_unique<Parts>(*this)) {}

TrafficThread::~TrafficThread() {
  loop_.Stop();
  loop_.Join();
}

wire::PeerService& TrafficThread::owner_service() { return *parts_; }

Status TrafficThread::Open(const CallDispatcher& dispatcher) {
  parts_->connections = std::make_unique<Parts::Connections>(*parts_, dispatcher);
  const Status listening = parts_->connections->peer_server.Listen();
  if (listening.has_error()) return listening;
  return parts_->connections->caller_server.Open();
}

void TrafficThread::PublishSnapshot(SnapshotPtr snapshot) {
  loop_.Post([this, snapshot = std::move(snapshot)] { parts_->SetSnapshot(snapshot); });
}

void TrafficThread::PublishSuspects(SuspectUpdate update) {
  loop_.Post([this, update = std::move(update)] {
    parts_->accounts.MergeSuspects(update.deaths, update.exonerations);
  });
}

void TrafficThread::StopAccepting() {
  loop_.Post([this] { parts_->connections->caller_server.StopAccepting(); });
}

void TrafficThread::DrainPeers(std::function<void()> done) {
  loop_.Post([this, done = std::move(done)]() mutable {
    parts_->connections->peer_server.Drain(std::move(done));
  });
}

}  // namespace verbenaridge::daemon
