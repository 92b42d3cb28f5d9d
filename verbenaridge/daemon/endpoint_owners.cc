#include "verbenaridge/daemon/endpoint_owners.h"

#include <algorithm>
#include <optional>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/daemon/call_dispatcher.h"
#include "verbenaridge/daemon/conversions.h"

namespace verbenaridge::daemon {
namespace {

constexpr Duration kLoadTimeout = std::chrono::milliseconds(500);
// Requests go elsewhere after so many load requests in a row without an answer.
constexpr int kUnreachableLoads = 2;
constexpr Duration kRevokeDeadline = std::chrono::seconds(1);
constexpr Duration kDeathMemory = std::chrono::hours(1);
// Longer than the expiry of a permit that is not renewed.
constexpr Duration kInFlightMemory = std::chrono::seconds(10);
// Permits of dead incarnations that are remembered until their holders release them.
constexpr std::size_t kMaxDeadPermits = 4096;

wire::RefusalReason ReasonOf(permits::PermitReason reason) {
  switch (reason) {
    case permits::PermitReason::kQueueFull:
      return wire::RefusalReason::kQueueFull;
    case permits::PermitReason::kDeadline:
      return wire::RefusalReason::kDeadline;
    case permits::PermitReason::kTooLarge:
      return wire::RefusalReason::kTooLarge;
    case permits::PermitReason::kNotOwner:
      return wire::RefusalReason::kNotOwner;
    case permits::PermitReason::kLeaving:
      return wire::RefusalReason::kLeaving;
    case permits::PermitReason::kBusy:
      return wire::RefusalReason::kBusy;
    case permits::PermitReason::kNone:
      return wire::RefusalReason::kNone;
  }
  return wire::RefusalReason::kNone;
}

permits::PermitInput ToPermitInput(const wire::PermitRequest& request) {
  return {.holder = request.holder,
          .attempt = request.attempt,
          .account = request.client_account,
          .model = request.model,
          .priority = request.priority,
          .weight = request.weight,
          .prompt_tokens = request.prompt_tokens,
          .cached_tokens = request.cached_tokens,
          .max_output_tokens = request.max_output_tokens,
          .kv_bytes = request.kv_bytes,
          .max_wait = request.max_wait,
          .redirect_above = request.redirect_above,
          .isolate = request.isolate,
          .preemptible = request.preemptible,
          .lent = request.lent,
          .spilled = request.spilled};
}

permits::HeldPermit ToHeldPermit(const wire::PermitState& state) {
  return {.permit = state.permit,
          .holder = state.holder,
          .attempt = state.attempt,
          .account = state.client_account,
          .priority = state.priority,
          .kv_bytes = state.kv_bytes,
          .remaining_cost_seconds = state.remaining_cost_seconds,
          .isolate = state.isolate,
          .preemptible = state.preemptible};
}

permits::LoadReport ToLoadReport(const engine::LoadReport& report) {
  return {.incarnation = report.incarnation,
          .kv_capacity_bytes = report.kv_capacity_bytes,
          .kv_used_bytes = report.kv_used_bytes,
          .kv_bytes_per_token = report.kv_bytes_per_token,
          .prefill_tokens_per_second = report.prefill_tokens_per_second,
          .decode_step = report.decode_step,
          .leaving = report.leaving};
}

}  // namespace

// One endpoint that this daemon owns.
class EndpointOwners::Owned {
 public:
  using AttemptKey = std::pair<HolderId, AttemptNumber>;
  struct InFlight {
    Digest digest = 0;
    TimePoint renewed{};
  };

  Owned(const EndpointView& view, permits::EndpointOwner new_owner)
      : id(view.settings.id), url(view.settings.url), owner(std::move(new_owner)) {}

  const EndpointId id;
  const std::string url;
  permits::EndpointOwner owner;
  std::map<AttemptKey, std::shared_ptr<wire::ServerCall>> waiting;
  std::map<AttemptKey, Digest> digests;               // of waiting and running attempts
  std::map<std::uint64_t, InFlight> in_flight;        // by permit
  std::map<std::uint64_t, Incarnation> dead_permits;  // permit to the incarnation that died
  Incarnation endpoint_incarnation = 0;
  std::uint64_t cache_sequence = 0;
  int failed_loads = 0;  // in a row
  bool drained = false;
  bool fetching = false;
  bool fetching_events = false;
};

EndpointOwners::EndpointOwners(Options options, Sinks sinks, const Clock& clock,
                               cost::CostModel& costs, routing::RoutingPolicy& routing,
                               engine::EndpointClient& endpoints, PeerRouter& router)
    : options_(std::move(options)),
      sinks_(std::move(sinks)),
      clock_(clock),
      costs_(costs),
      routing_(routing),
      endpoints_(endpoints),
      router_(router) {}

EndpointOwners::~EndpointOwners() = default;

void EndpointOwners::SetSnapshot(SnapshotPtr snapshot) {
  snapshot_ = std::move(snapshot);
  std::map<EndpointId, std::unique_ptr<Owned>> kept;
  for (const EndpointView& view : snapshot_->endpoints) {
    if (view.settings.kind != settings::EndpointKind::kModel) continue;
    if (view.owner != options_.self) continue;
    if (PinnedThread(view.settings.id.value(), options_.thread_count) != options_.thread_index) {
      continue;
    }
    auto node = owned_.extract(view.settings.id);
    if (node.empty()) {
      permits::PolicyOptions policy = options_.policy;
      policy.max_running = view.settings.max_running;
      kept[view.settings.id] = std::make_unique<Owned>(
          view, permits::EndpointOwner(view.settings.id, options_.self, options_.incarnation,
                                       costs_, policy, clock_.Now()));
    } else {
      kept.insert(std::move(node));
    }
    Owned& owned = *kept[view.settings.id];
    owned.drained = view.drained;
    Perform(owned, owned.owner.SetLeaving(view.drained, clock_.Now()));
  }
  // Callers that wait at an endpoint that moved ask its new owner.
  for (auto& [id, owned] : owned_) {
    for (auto& [key, call] : owned->waiting) {
      call->Answer(wire::PermitReply{.reason = wire::RefusalReason::kNotOwner});
    }
  }
  owned_ = std::move(kept);
}

EndpointOwners::Owned* EndpointOwners::Find(const EndpointId& endpoint) {
  const auto it = owned_.find(endpoint);
  return it == owned_.end() ? nullptr : it->second.get();
}

void EndpointOwners::Request(const wire::PermitRequest& request,
                             const std::shared_ptr<wire::ServerCall>& call) {
  Owned* owned = Find(request.endpoint);
  if (owned == nullptr) {
    call->Answer(wire::PermitReply{.reason = wire::RefusalReason::kNotOwner});
    return;
  }
  const Owned::AttemptKey key{request.holder, request.attempt};
  owned->waiting[key] = call;
  owned->digests[key] = request.digest;
  call->OnCancelled([this, endpoint = request.endpoint, key] {
    Owned* owned = Find(endpoint);
    if (owned == nullptr || owned->waiting.erase(key) == 0) return;
    owned->digests.erase(key);
    Perform(*owned, owned->owner.Cancel(key.first, key.second, clock_.Now()));
  });
  Perform(*owned, owned->owner.Request(ToPermitInput(request), clock_.Now()));
}

void EndpointOwners::Perform(Owned& owned, const permits::Actions& actions) {
  for (const permits::Action& action : actions) {
    if (const auto* grant = std::get_if<permits::Grant>(&action)) {
      const Owned::AttemptKey key{grant->holder, grant->attempt};
      auto call = owned.waiting.extract(key);
      auto digest = owned.digests.extract(key);
      owned.in_flight[grant->permit] = {digest.empty() ? 0 : digest.mapped(), clock_.Now()};
      if (call.empty()) continue;
      call.mapped()->Answer(wire::PermitReply{.verdict = wire::Verdict::kGranted,
                                              .permit = grant->permit,
                                              .owner_incarnation = grant->owner_incarnation,
                                              .endpoint_incarnation = owned.endpoint_incarnation,
                                              .cached_tokens = grant->cached_tokens});
    } else if (const auto* refusal = std::get_if<permits::Refusal>(&action)) {
      const Owned::AttemptKey key{refusal->holder, refusal->attempt};
      owned.digests.erase(key);
      auto call = owned.waiting.extract(key);
      if (call.empty()) continue;
      call.mapped()->Answer(wire::PermitReply{.reason = ReasonOf(refusal->reason),
                                              .retry_after = refusal->retry_after});
    } else if (const auto* revocation = std::get_if<permits::Revocation>(&action)) {
      router_.Call(
          revocation->holder.host,
          wire::RevokePermitRequest{
              .permit = revocation->permit, .holder = revocation->holder, .endpoint = owned.id},
          kRevokeDeadline, [](const Result<wire::Reply>&) {});
    } else if (const auto* cancel = std::get_if<permits::StreamCancel>(&action)) {
      endpoints_.CancelStream(owned.url, cancel->request_id, cancel->attempt, [](const Status&) {});
    }
  }
}

void EndpointOwners::Release(const wire::ReleasePermitRequest& request,
                             const std::shared_ptr<wire::ServerCall>& call) {
  Owned* owned = Find(request.endpoint);
  if (owned == nullptr) {
    call->Fail(Errc::kNotFound);
    return;
  }
  const permits::ReleaseInput input = {.permit = request.permit,
                                       .prefill_tokens = request.prefill_tokens,
                                       .output_tokens = request.output_tokens,
                                       .prefill_time = request.prefill_time,
                                       .decode_time = request.decode_time,
                                       .completed = request.completed};
  if (!request.broken) {
    owned->in_flight.erase(request.permit);
    Perform(*owned, owned->owner.Release(input, clock_.Now()));
    call->Answer(wire::ReleasePermitReply{});
    return;
  }
  // The digest stays in flight until it is known whether the endpoint died.
  Fetch(request.endpoint, false, [this, request, input, call](bool) {
    Owned* owned = Find(request.endpoint);
    if (owned == nullptr) {
      call->Fail(Errc::kNotFound);
      return;
    }
    const auto dead = owned->dead_permits.find(request.permit);
    if (dead != owned->dead_permits.end()) {
      call->Answer(
          wire::ReleasePermitReply{.endpoint_died = true, .endpoint_incarnation = dead->second});
      owned->dead_permits.erase(dead);
      return;
    }
    owned->in_flight.erase(request.permit);
    Perform(*owned, owned->owner.Release(input, clock_.Now()));
    call->Answer(wire::ReleasePermitReply{});
  });
}

void EndpointOwners::OnFirstToken(const wire::FirstTokenRequest& request) {
  Owned* owned = Find(request.endpoint);
  if (owned != nullptr) Perform(*owned, owned->owner.OnFirstToken(request.permit, clock_.Now()));
}

wire::RenewPermitsReply EndpointOwners::Renew(const wire::RenewPermitsRequest& request) {
  if (request.permits.empty()) return {};
  Owned* owned = Find(request.permits.front().endpoint);
  if (owned == nullptr) return {};
  std::vector<permits::HeldPermit> held;
  for (const wire::PermitState& state : request.permits) {
    held.push_back(ToHeldPermit(state));
    owned->in_flight[state.permit] = {state.digest, clock_.Now()};
  }
  return {.revoked = owned->owner.Renew(held, clock_.Now())};
}

void EndpointOwners::Tick() {
  std::vector<wire::EndpointSummary> summaries;
  for (auto& [id, owned] : owned_) {
    if (owned->owner.paused()) owned->owner.Restart(options_.incarnation, clock_.Now());
    Perform(*owned, owned->owner.OnTick(clock_.Now()));
    std::erase_if(owned->in_flight, [this](const auto& entry) {
      return clock_.Now() - entry.second.renewed > kInFlightMemory;
    });
    summaries.push_back(SummaryOf(*owned));
  }
  if (!summaries.empty()) sinks_.summaries(std::move(summaries));
}

wire::EndpointSummary EndpointOwners::SummaryOf(Owned& owned) {
  const permits::OwnerSummary summary = owned.owner.Summary(clock_.Now());
  return {.endpoint = owned.id,
          .owner_incarnation = owned.owner.incarnation(),
          .sequence = static_cast<std::uint64_t>(ToUnixMilliseconds(clock_.WallNow())),
          .kv_capacity_bytes = summary.kv_capacity_bytes,
          .free_kv_bytes = summary.free_kv_bytes,
          .queue_delay = {summary.queue_delay.begin(), summary.queue_delay.end()},
          .running = static_cast<std::uint32_t>(summary.running),
          .long_prefills = static_cast<std::uint32_t>(summary.long_prefills),
          .leaving = summary.leaving,
          .drained = owned.drained,
          .reachable = owned.failed_loads < kUnreachableLoads,
          .prefix_digest = {}};
}

void EndpointOwners::FetchLoads() {
  for (auto& [id, owned] : owned_) {
    if (!owned->fetching) Fetch(id, false, [](bool) {});
    FetchCacheEvents(*owned);
  }
}

void EndpointOwners::ReconcileStreams() {
  for (auto& [id, owned] : owned_) Fetch(id, true, [](bool) {});
}

void EndpointOwners::Fetch(const EndpointId& endpoint, bool reconcile,
                           std::function<void(bool died)> done) {
  Owned* owned = Find(endpoint);
  if (owned == nullptr) return;
  owned->fetching = true;
  endpoints_.FetchLoad(
      owned->url, kLoadTimeout,
      [this, endpoint, reconcile, done = std::move(done)](
          const Result<engine::LoadReport>& report) { OnLoad(endpoint, reconcile, report, done); });
}

void EndpointOwners::OnLoad(const EndpointId& endpoint, bool reconcile,
                            const Result<engine::LoadReport>& report,
                            const std::function<void(bool died)>& done) {
  Owned* owned = Find(endpoint);
  if (owned == nullptr) {
    done(false);
    return;
  }
  owned->fetching = false;
  owned->failed_loads = report.has_error() ? owned->failed_loads + 1 : 0;
  if (report.has_error()) {
    // A refused connection means that the process is gone; silence may be the network.
    const bool died = report.error() == Errc::kUnavailable && owned->endpoint_incarnation != 0;
    if (died) OnDeath(*owned);
    done(died);
    return;
  }
  const engine::LoadReport& load = report.value();
  const bool restarted =
      owned->endpoint_incarnation != 0 && owned->endpoint_incarnation != load.incarnation;
  if (restarted) OnDeath(*owned);
  owned->endpoint_incarnation = load.incarnation;
  costs_.OnLoadReport(endpoint, {.prefill_tokens_per_second = load.prefill_tokens_per_second,
                                 .decode_step = load.decode_step,
                                 .kv_bytes_per_token = load.kv_bytes_per_token});
  Perform(*owned, owned->owner.OnLoadReport(ToLoadReport(load), clock_.Now()));
  if (reconcile) {
    std::vector<permits::ListedStream> streams;
    for (const engine::RunningStream& stream : load.streams) {
      streams.push_back({stream.request_id, stream.attempt, stream.permit, stream.kv_bytes});
    }
    Perform(*owned, owned->owner.OnStreamList(streams, clock_.Now()));
  }
  done(restarted);
}

// Every request in flight at the death becomes suspect.
void EndpointOwners::OnDeath(Owned& owned) {
  std::vector<poison::DeathRecord> deaths;
  const WallTime expiry = clock_.WallNow() + kDeathMemory;
  for (const auto& [permit, in_flight] : owned.in_flight) {
    if (owned.dead_permits.size() < kMaxDeadPermits) {
      owned.dead_permits[permit] = owned.endpoint_incarnation;
    }
    if (in_flight.digest == 0) continue;
    deaths.push_back({{in_flight.digest, owned.id, owned.endpoint_incarnation}, expiry});
  }
  owned.in_flight.clear();
  owned.endpoint_incarnation = 0;
  owned.cache_sequence = 0;
  routing_.OnEndpointRestart(HashOf(owned.id.value()));
  Perform(owned, owned.owner.OnEndpointDeath(clock_.Now()));
  if (!deaths.empty()) sinks_.deaths(std::move(deaths));
}

void EndpointOwners::FetchCacheEvents(Owned& owned) {
  if (owned.fetching_events || owned.endpoint_incarnation == 0) return;
  owned.fetching_events = true;
  endpoints_.FetchCacheEvents(
      owned.url, owned.cache_sequence, kLoadTimeout,
      [this, id = owned.id](const Result<std::vector<engine::CacheEvent>>& events) {
        Owned* owned = Find(id);
        if (owned == nullptr) return;
        owned->fetching_events = false;
        if (events.has_error()) return;
        for (const engine::CacheEvent& event : events.value()) {
          owned->cache_sequence = std::max(owned->cache_sequence, event.sequence);
          routing_.OnCacheEvent(HashOf(id.value()), {event.sequence, event.added, event.block},
                                clock_.Now());
        }
      });
}

}  // namespace verbenaridge::daemon
