#include "verbenaridge/daemon/control_plane.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/base/random.h"
#include "verbenaridge/daemon/claim_service.h"
#include "verbenaridge/daemon/conversions.h"
#include "verbenaridge/daemon/fleet_view.h"
#include "verbenaridge/daemon/gateway_pump.h"
#include "verbenaridge/daemon/plan_service.h"
#include "verbenaridge/daemon/snapshot_builder.h"
#include "verbenaridge/daemon/status_report.h"
#include "verbenaridge/frontend/operator_server.h"
#include "verbenaridge/loop/periodic.h"
#include "verbenaridge/net/http_client.h"
#include "verbenaridge/store/host_list.h"
#include "verbenaridge/store/http_key_value_store.h"
#include "verbenaridge/store/store_gateway.h"
#include "verbenaridge/telemetry/log.h"
#include "verbenaridge/wire/nghttp2_transport.h"
#include "verbenaridge/wire/operator_proof.h"

namespace verbenaridge::daemon {
namespace {

constexpr Duration kControlTick = std::chrono::milliseconds(100);
constexpr Duration kHostListPeriod = std::chrono::seconds(5);
constexpr int kHostListSkips = 12;
constexpr Duration kDrainDeadline = std::chrono::seconds(2);

}  // namespace

class ControlPlane::Parts final : private frontend::OperatorView {
 public:
  Parts(ControlPlane& control, const CallDispatcher& dispatcher);

  Status Open();
  void Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call);

  void OnSummaries(const std::vector<wire::EndpointSummary>& summaries);
  void OnSuspects(const SuspectUpdate& update);
  void BeginDrain();
  void RefuseRequests();
  void AnnounceStop() { fleet_.Stop(); }

 private:
  void Tick();
  void UpdateHosts();
  void FetchHostList();
  void OnGossip(const HostId& sender, Incarnation incarnation, const wire::Gossip& gossip);
  void PublishIfChanged();
  void OnPlanChanged();

  bool healthy() const override { return true; }
  std::string NotReadyReason() const override;
  std::string Metrics() const override;
  std::string StatusJson() const override;
  void Drain(const frontend::DrainOrder& order, std::function<void(Status)> done) override;
  Status CarryOut(const wire::DrainRequest& order);

  ControlPlane& control_;
  const settings::Settings& settings_;
  SeededRandom random_;
  net::CurlHttpClient http_;
  store::HttpKeyValueStore store_;
  store::StoreGateway gateway_;
  GatewayPump pump_;
  PumpedStore claim_store_;
  PumpedStore plan_store_;
  wire::Nghttp2Transport transport_;
  PeerRouter router_;
  SnapshotBuilder builder_;
  poison::SuspectRegistry suspects_;
  store::HostListClient host_list_;
  FleetView fleet_;
  ClaimService claims_;
  PlanService plans_;
  wire::OperatorProofChecker proofs_;
  frontend::OperatorServer operator_server_;
  loop::Periodic control_tick_;
  loop::Periodic host_list_tick_;
  SnapshotPtr snapshot_ = std::make_shared<const Snapshot>();
  plans::PlanDocumentPtr published_plan_;
  std::shared_ptr<const plans::PlanIndex> plan_index_;
  bool serving_ = false;
  int host_list_ticks_ = 0;
  bool changed_ = true;
  bool draining_ = false;
};

ControlPlane::Parts::Parts(ControlPlane& control, const CallDispatcher& dispatcher)
    : control_(control),
      settings_(control.options_.settings),
      random_(RandomSeed()),
      http_(control.loop_.io_context()),
      store_(http_, settings_.platform.key_value_store_url),
      gateway_(store_, control.clock_, random_),
      pump_(control.loop_.io_context(), control.clock_, gateway_),
      claim_store_(pump_, {.read = store::CallKind::kClaim,
                           .write = store::CallKind::kClaim,
                           .watch = store::CallKind::kClaim}),
      plan_store_(pump_, {.read = store::CallKind::kPlanRead,
                          .write = store::CallKind::kPlanConfirm,
                          .watch = store::CallKind::kPlanWatch}),
      transport_(control.loop_.io_context(),
                 {.self = settings_.host, .keys = control.options_.keys, .timeouts = {}}),
      router_({.self = settings_.host}, control.loop_, transport_, dispatcher, control.clock_),
      builder_(settings_),
      host_list_(http_, settings_.platform.host_list_url),
      fleet_(settings_, control.options_.keys, control.options_.incarnation,
             control.loop_.io_context(), control.clock_, random_,
             {.changed = [this] { UpdateHosts(); },
              .gossip =
                  [this](const HostId& sender, Incarnation incarnation,
                         const wire::Gossip& gossip) { OnGossip(sender, incarnation, gossip); }}),
      claims_(control.loop_.io_context(), control.clock_, random_, claim_store_),
      plans_({.host = settings_.host, .data_centre = settings_.data_centre},
             control.loop_.io_context(), control.clock_, random_, plan_store_, router_,
             [this] { OnPlanChanged(); }),
      proofs_(settings_.operator_keys, control.clock_),
      operator_server_(control.loop_.io_context(),
                       {.address = settings_.operators.ip, .port = settings_.operators.port},
                       *this),
      control_tick_(control.loop_.io_context(), kControlTick, [this] { Tick(); }),
      host_list_tick_(control.loop_.io_context(), kHostListPeriod, [this] { FetchHostList(); }) {
  UpdateHosts();
}

Status ControlPlane::Parts::Open() {
  const Status opened = fleet_.Open();
  if (opened.has_error()) return opened;
  return operator_server_.Open();
}

void ControlPlane::Parts::Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call) {
  if (const auto* claim = std::get_if<wire::ClaimRequest>(&request)) {
    claims_.Claim(*claim, std::move(call));
  } else if (const auto* outcome = std::get_if<wire::RecordOutcomeRequest>(&request)) {
    claims_.Record(*outcome, std::move(call));
  } else if (const auto* look_up = std::get_if<wire::LookUpClaimRequest>(&request)) {
    claims_.LookUp(*look_up, std::move(call));
  } else if (const auto* push = std::get_if<wire::PushPlanDeltaRequest>(&request)) {
    call->Answer(plans_.OnPush(*push));
  } else if (const auto* fetch = std::get_if<wire::FetchPlanRequest>(&request)) {
    call->Answer(plans_.OnFetch(*fetch));
  } else if (std::holds_alternative<wire::StatusRequest>(request)) {
    call->Answer(wire::StatusReply{StatusJson()});
  } else if (const auto* drain = std::get_if<wire::DrainRequest>(&request)) {
    const Status proved = proofs_.Check(wire::OrderText(*drain), drain->operator_proof);
    const Status status = proved.has_error() ? proved : CarryOut(*drain);
    if (status.has_value()) {
      call->Answer(wire::Acknowledged{});
    } else {
      call->Fail(status.error() == Errc::kNotFound ? Errc::kNotFound : Errc::kPermissionDenied);
    }
  } else {
    call->Fail(Errc::kInvalidArgument);
  }
}

void ControlPlane::Parts::Tick() {
  fleet_.Tick();
  plans_.Tick(fleet_.PlanPeers(), fleet_.PlanMembers());
  const bool serving = plans_.serving();
  if (serving != serving_) OnPlanChanged();
  suspects_.RemoveExpired(control_.clock_.WallNow());
  fleet_.gossip().SetPlan(serving ? plans_.document()->version() : 0, plans_.confirmed());
  PublishIfChanged();
}

void ControlPlane::Parts::FetchHostList() {
  // Watchers need the list for confirmations; for the others it only adds members, and reading it
  // every 5 s at 380 hosts would take 6 KB/s of each.
  if (!plans_.watching() && host_list_ticks_++ % kHostListSkips != 0) return;
  host_list_.Fetch([this](Result<std::vector<store::ListedHost>> hosts) {
    if (hosts.has_value()) fleet_.OnHostList(hosts.value());
  });
}

void ControlPlane::Parts::OnGossip(const HostId& sender, Incarnation incarnation,
                                   const wire::Gossip& gossip) {
  plans_.OnGossip(sender, incarnation, gossip.plan_version);
  for (const wire::ConfirmedPlan& confirmed : gossip.confirmed) {
    plans_.OnConfirmed(confirmed.data_centre, confirmed.version);
  }
  OnSummaries(gossip.summaries);
  if (gossip.deaths.empty() && gossip.exonerations.empty()) return;
  SuspectUpdate update;
  for (const wire::SuspectDeath& death : gossip.deaths) {
    update.deaths.push_back(ToDeathRecord(death));
  }
  for (const wire::SuspectDeath& death : gossip.exonerations) {
    update.exonerations.push_back(ToDeathRecord(death));
  }
  OnSuspects(update);
}

void ControlPlane::Parts::UpdateHosts() {
  std::vector<HostView> hosts = fleet_.LiveHosts();
  for (HostView& host : hosts) host.region = builder_.RegionOf(host.data_centre);
  builder_.SetHosts(std::move(hosts));
  claims_.SetIncarnations(fleet_.Incarnations());
  changed_ = true;
}

void ControlPlane::Parts::OnPlanChanged() {
  serving_ = plans_.serving();
  if (plans_.document() != published_plan_) {
    published_plan_ = plans_.document();
    plan_index_ = std::make_shared<const plans::PlanIndex>(published_plan_);
    telemetry::Log(telemetry::Level::kInfo, "plan_in_force",
                   {{"version", published_plan_->version()}});
  }
  builder_.SetPlan(plan_index_, serving_);
  changed_ = true;
}

void ControlPlane::Parts::PublishIfChanged() {
  if (!std::exchange(changed_, false)) return;
  snapshot_ = builder_.Build();
  router_.SetSnapshot(snapshot_);
  claims_.SetSnapshot(snapshot_);
  control_.outputs_.publish_snapshot(snapshot_);
}

void ControlPlane::Parts::OnSummaries(const std::vector<wire::EndpointSummary>& summaries) {
  for (const wire::EndpointSummary& summary : summaries) {
    if (!builder_.AddSummary(summary, control_.clock_.Now())) continue;
    const bool own = builder_.IsOwnDataCentre(summary.endpoint);
    changed_ = fleet_.gossip().AddSummary(summary, own, control_.clock_.Now()) || changed_;
  }
}

void ControlPlane::Parts::OnSuspects(const SuspectUpdate& update) {
  // Only news is passed on, so that gossip comes to rest.
  const auto count = [this] { return suspects_.deaths().size() + suspects_.exonerations().size(); };
  const std::size_t before = count();
  suspects_.Merge(update.deaths, update.exonerations, control_.clock_.WallNow());
  if (count() == before) return;
  fleet_.gossip().AddDeaths(update.deaths);
  fleet_.gossip().AddExonerations(update.exonerations);
  control_.outputs_.publish_suspects(update);
}

void ControlPlane::Parts::BeginDrain() {
  draining_ = true;
  fleet_.Leave();
  UpdateHosts();
  PublishIfChanged();
}

void ControlPlane::Parts::RefuseRequests() {
  builder_.SetDraining(true);
  changed_ = true;
  PublishIfChanged();
}

std::string ControlPlane::Parts::NotReadyReason() const {
  if (draining_) return "stopping";
  // The traffic threads go by the snapshot, which follows the plan by up to one tick.
  if (!plans_.serving() || !snapshot_->serving) return "no plan that may be served";
  return {};
}

std::string ControlPlane::Parts::Metrics() const { return control_.outputs_.metrics(); }

std::string ControlPlane::Parts::StatusJson() const {
  return MakeStatusJson({.settings = settings_,
                         .snapshot = *snapshot_,
                         .confirmed = plans_.confirmed(),
                         .gateway = gateway_,
                         .suspects = suspects_,
                         .now = control_.clock_.WallNow(),
                         .draining = draining_,
                         .watching = plans_.watching(),
                         .busy = control_.outputs_.busy()});
}

// An endpoint is drained by its owner, a host by itself.
void ControlPlane::Parts::Drain(const frontend::DrainOrder& order,
                                std::function<void(Status)> done) {
  const auto& keys = settings_.operator_keys;
  if (std::find(keys.begin(), keys.end(), order.operator_key) == keys.end()) {
    done(Errc::kPermissionDenied);
    return;
  }
  HostId executor(order.target);
  if (order.is_endpoint) {
    const EndpointView* endpoint = snapshot_->FindEndpoint(EndpointId(order.target));
    executor = endpoint ? endpoint->owner : HostId();
  }
  wire::DrainRequest request{
      .target = order.target, .is_endpoint = order.is_endpoint, .undo = order.undo};
  request.operator_proof =
      wire::MakeOperatorProof(order.operator_key, wire::OrderText(request), control_.clock_);
  router_.Call(executor, std::move(request), kDrainDeadline,
               [done = std::move(done)](const Result<wire::Reply>& reply) {
                 done(reply.has_value() ? Ok() : Status(reply.error()));
               });
}

Status ControlPlane::Parts::CarryOut(const wire::DrainRequest& order) {
  telemetry::Log(telemetry::Level::kInfo, "drain_ordered",
                 {{"target", order.target}, {"endpoint", order.is_endpoint}, {"undo", order.undo}});
  if (!order.is_endpoint) {
    if (HostId(order.target) != settings_.host || order.undo) return Errc::kNotFound;
    control_.outputs_.stop_requested();
    return Ok();
  }
  if (snapshot_->FindEndpoint(EndpointId(order.target)) == nullptr) return Errc::kNotFound;
  builder_.SetDrained(EndpointId(order.target), !order.undo);
  changed_ = true;
  PublishIfChanged();
  return Ok();
}

ControlPlane::ControlPlane(Options options, const Clock& clock, Outputs outputs)
    : options_(std::move(options)), clock_(clock), outputs_(std::move(outputs)), loop_("control") {}

ControlPlane::~ControlPlane() {
  loop_.Stop();
  loop_.Join();
}

wire::PeerService& ControlPlane::service() { return *this; }

void ControlPlane::Serve(wire::Request request, std::shared_ptr<wire::ServerCall> call) {
  parts_->Serve(std::move(request), std::move(call));
}

Status ControlPlane::Open(const CallDispatcher& dispatcher) {
  parts_ = std::make_unique<Parts>(*this, dispatcher);
  return parts_->Open();
}

void ControlPlane::OnSummaries(std::vector<wire::EndpointSummary> summaries) {
  loop_.Post([this, summaries = std::move(summaries)] { parts_->OnSummaries(summaries); });
}

void ControlPlane::OnSuspects(SuspectUpdate update) {
  loop_.Post([this, update = std::move(update)] { parts_->OnSuspects(update); });
}

void ControlPlane::BeginDrain() {
  loop_.Post([this] { parts_->BeginDrain(); });
}

void ControlPlane::AnnounceStop() { parts_->AnnounceStop(); }

void ControlPlane::RefuseRequests() {
  loop_.Post([this] { parts_->RefuseRequests(); });
}

}  // namespace verbenaridge::daemon
