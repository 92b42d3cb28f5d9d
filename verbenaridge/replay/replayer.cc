#include "verbenaridge/replay/replayer.h"

#include <algorithm>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::replay {

namespace {

constexpr TokenCount kBlockTokens = 256;
constexpr ByteCount kKvBytesPerToken = 1'000;
constexpr Duration kDeathNotice = std::chrono::milliseconds(50);  // connections break
constexpr Duration kDeathKnown = std::chrono::seconds(1);  // circuit breakers of all daemons open
constexpr std::uint32_t kMaxReroutes = 4;

Digest BlockDigest(std::uint32_t family, TokenCount block) {
  return CombineDigests(family + 1, static_cast<Digest>(block));
}

}  // namespace

ReplayOptions OptionsFor(const FleetSpec& fleet, std::string policy) {
  ReplayOptions options;
  options.policy = std::move(policy);
  const bool kaori = fleet.name == "kaori_sachet";
  options.routing = kaori ? routing::KaoriSachetOptions() : routing::AlpenrandOptions();
  options.permits = kaori ? permits::KaoriSachetOptions() : permits::AlpenrandOptions();
  return options;
}

Metrics Replay(const FleetSpec& fleet, const Trace& trace, const ReplayOptions& options) {
  return Replayer(fleet, trace, options).Run();
}

Replayer::Replayer(const FleetSpec& fleet, const Trace& trace, const ReplayOptions& options)
    : fleet_(fleet), trace_(trace), options_(options), random_(options.seed) {
  BuildFleet();
}

Replayer::~Replayer() = default;

void Replayer::BuildFleet() {
  const EngineSpec& spec = fleet_.engine;
  const double step = spec.step_seconds / static_cast<double>(spec.chunk_tokens);
  prefill_rate_ = 1.0 / (spec.prefill_seconds_per_token + step);
  owner_costs_.resize(fleet_.endpoints);
  cache_sequences_.resize(fleet_.endpoints);
  for (Index i = 0; i < fleet_.endpoints; ++i) {
    const std::string& centre = fleet_.data_centres[i % fleet_.data_centres.size()];
    routing::EndpointView view;
    view.id = EndpointId(centre + "-" + std::to_string(100 + i));
    view.key = HashOf(view.id.value());
    view.data_centre = HashOf(centre);
    view.models = {HashOf(model_.value())};
    view.kv_capacity_bytes = view.free_kv_bytes = spec.memory_tokens * kKvBytesPerToken;
    view.kv_bytes_per_token = kKvBytesPerToken;
    view.prefill_rate = prefill_rate_;
    endpoint_index_[view.id] = i;
    views_.push_back(view);
    engines_.push_back(std::make_unique<EngineModel>(i, spec, scheduler_, *this));
  }
  for (Index i = 0; i < fleet_.endpoints; ++i) owners_.push_back(MakeOwner(i));
  for (Index i = 0; i < fleet_.hosts; ++i) {
    policies_.push_back(routing::MakePolicy(options_.policy, options_.routing));
  }
  permits_ = policies_.front()->uses_permits();
  fifo_ = options_.policy == "least_outstanding";
  for (Index i = 0; i < fleet_.account_demand.size(); ++i) {
    ledger_.SetLimits(ClientAccountId("account-" + std::to_string(i)), {},
                      admission::BucketStart::kFull, scheduler_.now());
  }
}

Duration Replayer::Hop(Index request, Index endpoint) const {
  const std::size_t centres = fleet_.data_centres.size();
  const bool same = trace_.requests[request].host % centres == endpoint % centres;
  return same ? options_.same_centre : options_.other_centre;
}

HolderId Replayer::HolderOf(Index request) const {
  return {HostId("host-" + std::to_string(trace_.requests[request].host)), 1, request};
}

std::vector<Digest> Replayer::BlocksOf(const TraceRequest& request) const {
  std::vector<Digest> blocks;
  for (TokenCount i = 0; i < request.prefix_tokens / kBlockTokens; ++i) {
    blocks.push_back(BlockDigest(request.prefix_family, i));
  }
  return blocks;
}

routing::RouteRequest Replayer::RouteRequestFor(Index index, std::span<const Digest> blocks) const {
  const TraceRequest& request = trace_.requests[index];
  const Active& active = active_[index];
  const std::string& centre = fleet_.data_centres[request.host % fleet_.data_centres.size()];
  return {.model = HashOf(model_.value()),
          .data_centre = HashOf(centre),
          .role = routing::EndpointRole::kAny,
          .priority = request.priority,
          .prompt_tokens = request.prompt_tokens + active.delivered,
          .max_output_tokens = request.max_output_tokens - active.delivered,
          .prefix_blocks = blocks,
          .excluded = active.excluded,
          .now = scheduler_.now()};
}

Metrics Replayer::Run() {
  active_.resize(trace_.requests.size());
  results_.resize(trace_.requests.size());
  for (Index i = 0; i < trace_.requests.size(); ++i) {
    scheduler_.After(trace_.requests[i].arrival, [this, i] { Arrive(i); });
  }
  if (!trace_.dying_endpoints.empty()) {
    scheduler_.After(trace_.death_at, [this] { KillEndpoints(); });
  }
  ReportLoad();
  Publish();
  TickOwners();
  RenewPermits();
  const Duration end = trace_.measured_to + std::chrono::minutes(4);
  scheduler_.RunUntil(scheduler_.now() + end);
  Metrics metrics = Measure(fleet_, trace_, results_);
  for (const auto& owner : owners_) metrics.reserved_after += owner->running() + owner->queued();
  for (const auto& engine : engines_) metrics.reserved_after += engine->outstanding();
  return metrics;
}

void Replayer::Arrive(Index index) {
  const TraceRequest& request = trace_.requests[index];
  scheduler_.After(request.patience, [this, index] { Leave(index); });
  if (!permits_) {
    Route(index);
    return;
  }
  admission::AdmitInput input;
  input.holder = HolderOf(index);
  input.account = ClientAccountId("account-" + std::to_string(request.account));
  input.priority = request.priority;
  input.tokens = request.prompt_tokens + request.max_output_tokens;
  const Duration round_trip = 2 * options_.other_centre;
  scheduler_.After(round_trip, [this, index, input] {
    if (active_[index].ended) return;
    if (ledger_.Admit(input, scheduler_.now()).admitted) {
      Route(index);
    } else {
      End(index, RequestEnd::kRejected);
    }
  });
}

void Replayer::Route(Index index) {
  Active& active = active_[index];
  const std::vector<Digest> blocks = BlocksOf(trace_.requests[index]);
  const routing::RouteRequest request = RouteRequestFor(index, blocks);
  routing::RoutingPolicy& policy = *policies_[trace_.requests[index].host];
  const routing::RouteDecision decision = policy.Choose(request, views_, random_);
  if (decision.candidates().empty()) {
    if (decision.failure == routing::RouteFailure::kTooLong && permits_) {
      StartGroup(index);
    } else {
      End(index, decision.failure == routing::RouteFailure::kTooLong ? RequestEnd::kTooLong
                                                                     : RequestEnd::kRejected);
    }
    return;
  }
  if (permits_) {
    if (RejectEarly(index, decision)) return;
    const std::size_t rank = Rank(request.priority);
    active.candidates =
        routing::CandidateSequence(decision.candidates(), options_.routing.redirect_above[rank]);
    AskNext(index);
    return;
  }
  const Index endpoint = decision.candidates().front().index;
  policy.OnDispatched(views_[endpoint], request, 0);
  ++active.attempt;
  active.cached = 0;
  Dispatch(index, endpoint);
}

void Replayer::Dispatch(Index index, Index endpoint) {
  Active& active = active_[index];
  const TraceRequest& request = trace_.requests[index];
  active.endpoint = endpoint;
  active.stream = next_stream_++;
  active.dispatched = scheduler_.now();
  active.first_token = {};
  ++results_[index].attempts;
  streams_[active.stream] = index;
  StreamSpec spec{.id = active.stream,
                  .rank = Rank(request.priority),
                  .prompt_tokens = request.prompt_tokens + active.delivered,
                  .output_tokens = request.output_tokens - active.delivered,
                  .memory_tokens = request.prompt_tokens + request.max_output_tokens,
                  .prefix_family = request.prefix_family,
                  .prefix_tokens = request.prefix_tokens};
  if (permits_) {
    spec.rank = Rank(permits::EnginePriority(request.priority, spec.prompt_tokens - active.cached,
                                             options_.permits.short_prompt_tokens));
  }
  if (fifo_) spec.rank = 0;
  scheduler_.After(options_.same_centre, [this, index, endpoint, spec] {
    if (active_[index].ended || active_[index].stream != spec.id) return;
    if (!engines_[endpoint]->dead()) {
      engines_[endpoint]->Start(spec);
      return;
    }
    scheduler_.After(kDeathNotice, [this, index, endpoint, id = spec.id] {
      if (active_[index].ended || active_[index].stream != id) return;
      active_[index].excluded.push_back(views_[endpoint].key);
      CloseAttempt(index, false);
      Route(index);
    });
  });
}

void Replayer::OnFirstToken(StreamId stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  const Index index = found->second;
  Active& active = active_[index];
  if (active.group) {
    if (++active.members_prefilled != active.members.size()) return;
    StartGroupDecode(index);
  }
  active.first_token = scheduler_.now();
  if (permits_ && active.endpoint) {
    const Index endpoint = *active.endpoint;
    scheduler_.After(Hop(index, endpoint), [this, endpoint, permit = active.permit] {
      Perform(endpoint, owners_[endpoint]->OnFirstToken(permit, scheduler_.now()));
    });
  }
  if (results_[index].first_token == Duration::zero()) {
    results_[index].first_token =
        scheduler_.now() - TimePoint(std::chrono::hours(1)) - trace_.requests[index].arrival;
  }
}

void Replayer::OnStreamEnd(StreamId stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  End(found->second, RequestEnd::kCompleted);
}

void Replayer::OnPrefixCached(Index engine, std::uint32_t family, bool added) {
  for (TokenCount block = 0; block < 3; ++block) {
    const routing::CacheEvent event{++cache_sequences_[engine], added, BlockDigest(family, block)};
    for (const auto& policy : policies_) {
      if (random_.Uniform() < options_.lost_cache_events) continue;
      scheduler_.After(options_.cache_event_delay, [this, engine, event, policy = policy.get()] {
        policy->OnCacheEvent(views_[engine].key, event, scheduler_.now());
      });
    }
  }
}

void Replayer::End(Index index, RequestEnd end) {
  Active& active = active_[index];
  if (active.ended) return;
  CloseAttempt(index, end == RequestEnd::kCompleted);
  active.ended = true;
  results_[index].end = end;
  const ClientAccountId account("account-" + std::to_string(trace_.requests[index].account));
  if (permits_) ledger_.Finish(HolderOf(index), account, {}, scheduler_.now());
}

void Replayer::Leave(Index index) {
  if (!active_[index].ended) End(index, RequestEnd::kLeft);
}

void Replayer::KillEndpoints() {
  for (const Index endpoint : trace_.dying_endpoints) {
    for (const StreamId stream : engines_[endpoint]->Die()) {
      const auto found = streams_.find(stream);
      if (found == streams_.end()) continue;
      const Index index = found->second;
      scheduler_.After(kDeathNotice, [this, index, endpoint, stream] {
        Active& active = active_[index];
        if (active.ended || active.stream != stream) return;
        CloseAttempt(index, false);
        active.excluded.push_back(views_[endpoint].key);
        if (++active.reroutes > kMaxReroutes) {
          End(index, RequestEnd::kRejected);
        } else {
          Route(index);
        }
      });
    }
    scheduler_.After(kDeathKnown, [this, endpoint] {
      views_[endpoint].available = false;
      Perform(endpoint, owners_[endpoint]->SetLeaving(true, scheduler_.now()));
      Perform(endpoint, owners_[endpoint]->OnEndpointDeath(scheduler_.now()));
    });
  }
}

void Replayer::Publish() {
  std::vector<routing::EndpointView> fresh = views_;
  for (Index i = 0; i < fleet_.endpoints; ++i) {
    routing::EndpointView& view = fresh[i];
    view.reported = scheduler_.now();
    if (permits_) {
      const permits::OwnerSummary summary = owners_[i]->Summary(scheduler_.now());
      view.queue_delay = summary.queue_delay;
      view.free_kv_bytes = summary.free_kv_bytes;
      view.running = static_cast<std::uint32_t>(summary.running);
      view.long_prefills = static_cast<std::uint32_t>(summary.long_prefills);
      view.leaving = summary.leaving;
      view.prefill_rate = owner_costs_[i].PrefillRate(view.id);
    } else {
      for (const Priority priority : kAllPriorities) {
        view.queue_delay[Rank(priority)] =
            FromSeconds(engines_[i]->PrefillAhead(fifo_ ? 0 : Rank(priority)));
      }
      view.running = static_cast<std::uint32_t>(engines_[i]->outstanding());
    }
  }
  scheduler_.After(options_.report_delay, [this, fresh = std::move(fresh)] {
    for (Index i = 0; i < fleet_.endpoints; ++i) {
      const bool available = views_[i].available;
      views_[i] = fresh[i];
      views_[i].available = available;
    }
  });
  scheduler_.After(options_.report_interval, [this] { Publish(); });
}

}  // namespace verbenaridge::replay
