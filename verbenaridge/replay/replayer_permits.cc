// The part of the replay that plays daemons which ask owners for permits.
#include <algorithm>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/replay/replayer.h"

namespace verbenaridge::replay {

namespace {

constexpr std::uint32_t kMaxRoutes = 4;
constexpr Duration kTick = std::chrono::milliseconds(100);

}  // namespace

std::unique_ptr<permits::EndpointOwner> Replayer::MakeOwner(Index endpoint) {
  return std::make_unique<permits::EndpointOwner>(views_[endpoint].id, HostId("host-0"), 1,
                                                  owner_costs_[endpoint], options_.permits,
                                                  scheduler_.now());
}

bool Replayer::RejectEarly(Index index, const routing::RouteDecision& decision) {
  const TraceRequest& request = trace_.requests[index];
  if (results_[index].first_token > Duration::zero()) return false;  // a stream to resume
  const auto best =
      std::min_element(decision.candidates().begin(), decision.candidates().end(),
                       [](const auto& a, const auto& b) { return a.first_token < b.first_token; });
  const Duration waited = scheduler_.now() - TimePoint(std::chrono::hours(1)) - request.arrival;
  const admission::RejectionCheck check =
      admission::CheckDeadline({.queue_delay = best->queue_delay,
                                .prefill = best->first_token - best->queue_delay,
                                .decode = {},
                                .remaining = request.patience - waited,
                                .first_token_target = request.first_token_target - waited,
                                .drain_rate = 1},
                               {});
  if (!check.admit) End(index, RequestEnd::kRejected);
  return !check.admit;
}

permits::PermitInput Replayer::PermitInputFor(Index index,
                                              const routing::Candidate& candidate) const {
  const TraceRequest& request = trace_.requests[index];
  const Active& active = active_[index];
  permits::PermitInput input;
  input.holder = HolderOf(index);
  input.attempt = active.attempt;
  input.account = ClientAccountId("account-" + std::to_string(request.account));
  input.model = model_;
  input.priority = request.priority;
  input.weight = trace_.greedy_accounts.empty() ? fleet_.account_demand[request.account] : 1;
  input.prompt_tokens = request.prompt_tokens + active.delivered;
  input.cached_tokens = candidate.cached_tokens;
  input.max_output_tokens = request.max_output_tokens - active.delivered;
  const Duration waited = scheduler_.now() - TimePoint(std::chrono::hours(1)) - request.arrival;
  const Duration prefill = candidate.first_token - candidate.queue_delay;
  // A stream that is resumed has its first token; it must only end before the caller leaves.
  const bool resumed = results_[index].first_token > Duration::zero();
  const Duration limit = resumed ? request.patience : request.first_token_target;
  input.max_wait = std::max<Duration>(limit - waited - prefill, std::chrono::milliseconds(1));
  input.preemptible = true;
  input.lent = candidate.lent;
  input.spilled = candidate.spilled;
  return input;
}

void Replayer::AskNext(Index index) {
  Active& active = active_[index];
  const std::optional<routing::CandidateRequest> ask = active.candidates.Next();
  if (!ask) {
    if (++active.reroutes >= kMaxRoutes) {
      End(index, RequestEnd::kRejected);
    } else {
      Route(index);
    }
    return;
  }
  ++active.attempt;
  permits::PermitInput input = PermitInputFor(index, ask->candidate);
  input.redirect_above = ask->redirect_above;
  active.cached = ask->candidate.cached_tokens;
  AskOwner(index, ask->candidate.index, input);
}

void Replayer::AskOwner(Index index, Index endpoint, const permits::PermitInput& input) {
  active_[index].asked = endpoint;
  scheduler_.After(Hop(index, endpoint), [this, index, endpoint, input] {
    if (active_[index].ended) return;
    Perform(endpoint, owners_[endpoint]->Request(input, scheduler_.now()));
  });
}

void Replayer::Perform(Index endpoint, const permits::Actions& actions) {
  for (const permits::Action& action : actions) {
    if (const auto* grant = std::get_if<permits::Grant>(&action)) {
      const Index index = grant->holder.sequence;
      scheduler_.After(Hop(index, endpoint), [this, index, endpoint, grant = *grant] {
        OnGrant(index, endpoint, grant);
      });
    } else if (const auto* refusal = std::get_if<permits::Refusal>(&action)) {
      const Index index = refusal->holder.sequence;
      scheduler_.After(Hop(index, endpoint), [this, index, endpoint, refusal = *refusal] {
        OnRefusal(index, endpoint, refusal);
      });
    } else if (const auto* revocation = std::get_if<permits::Revocation>(&action)) {
      const Index index = revocation->holder.sequence;
      scheduler_.After(Hop(index, endpoint),
                       [this, index, id = revocation->permit] { OnRevoked(index, id); });
    }
  }
}

void Replayer::OnGrant(Index index, Index endpoint, const permits::Grant& grant) {
  Active& active = active_[index];
  if (active.group && !active.ended) {
    active.members.emplace_back(endpoint, grant.permit);
    PerformGroup(index,
                 active.group->OnGranted(views_[endpoint].id, grant.permit, scheduler_.now()));
    return;
  }
  if (active.ended || active.asked != endpoint || active.attempt != grant.attempt) {
    Perform(endpoint, owners_[endpoint]->Release({.permit = grant.permit}, scheduler_.now()));
    return;
  }
  active.asked.reset();
  active.permit = grant.permit;
  const TraceRequest& request = trace_.requests[index];
  const std::vector<Digest> blocks = BlocksOf(request);
  const auto cost = static_cast<double>(request.prompt_tokens - active.cached) / prefill_rate_;
  policies_[request.host]->OnDispatched(views_[endpoint], RouteRequestFor(index, blocks), cost);
  Dispatch(index, endpoint);
}

void Replayer::OnRefusal(Index index, Index endpoint, const permits::Refusal& refusal) {
  Active& active = active_[index];
  if (active.ended) return;
  if (active.group) {
    PerformGroup(index, active.group->OnRefused(views_[endpoint].id, scheduler_.now()));
    return;
  }
  if (active.asked != endpoint || active.attempt != refusal.attempt) return;
  active.asked.reset();
  // A request that waited here in vain has no time left to wait elsewhere.
  if (refusal.reason == permits::PermitReason::kDeadline) active.reroutes = kMaxRoutes;
  if (refusal.reason == permits::PermitReason::kQueueFull) {
    End(index, RequestEnd::kRejected);
    return;
  }
  if (refusal.reason == permits::PermitReason::kBusy) active.candidates.OnBusy(refusal.retry_after);
  AskNext(index);
}

void Replayer::OnRevoked(Index index, permits::PermitId permit) {
  Active& active = active_[index];
  if (active.ended || active.permit != permit || !active.endpoint) return;
  ++results_[index].revocations;
  CloseAttempt(index, false);
  Route(index);
}

// Ends what the request holds: the stream, the permits and the place in a queue.
void Replayer::CloseAttempt(Index index, bool completed) {
  Active& active = active_[index];
  const TimePoint now = scheduler_.now();
  streams_.erase(active.stream);
  if (active.group) {
    std::unique_ptr<groups::GroupReservation> group = std::move(active.group);
    for (std::size_t i = 0; i < active.members.size(); ++i) {
      engines_[active.members[i].first]->Cancel(active.stream + i);
      streams_.erase(active.stream + i);
    }
    if (!active.members.empty()) {
      engines_[active.members.front().first]->Cancel(active.stream + active.members.size());
      streams_.erase(active.stream + active.members.size());
    }
    PerformGroup(index, group->Finish());
    active.members.clear();
    return;
  }
  if (active.asked) {
    const Index endpoint = *active.asked;
    Perform(endpoint, owners_[endpoint]->Cancel(HolderOf(index), active.attempt, now));
    active.asked.reset();
  }
  if (!active.endpoint) return;
  const Index endpoint = *active.endpoint;
  active.endpoint.reset();
  if (!completed) active.delivered += engines_[endpoint]->Cancel(active.stream);
  policies_[trace_.requests[index].host]->OnFinished(views_[endpoint]);
  if (!permits_) return;
  const TraceRequest& request = trace_.requests[index];
  Perform(endpoint, owners_[endpoint]->Release(
                        {.permit = active.permit,
                         .prefill_tokens = request.prompt_tokens + active.delivered - active.cached,
                         .output_tokens = request.output_tokens - active.delivered,
                         .prefill_time = active.first_token - active.dispatched,
                         .decode_time = now - active.first_token,
                         .completed = completed},
                        now));
  active.permit = 0;
}

void Replayer::TickOwners() {
  for (Index i = 0; i < owners_.size(); ++i) {
    Perform(i, owners_[i]->OnTick(scheduler_.now()));
  }
  scheduler_.After(kTick, [this] { TickOwners(); });
}

void Replayer::RenewPermits() {
  std::vector<std::vector<permits::HeldPermit>> held(owners_.size());
  std::vector<Index> running;
  for (const auto& [stream, index] : streams_) running.push_back(index);
  for (const Index index : grouped_) running.push_back(index);
  std::sort(running.begin(), running.end());
  for (const Index index : running) {
    const Active& active = active_[index];
    if (active.endpoint) {
      held[*active.endpoint].push_back({.permit = active.permit, .holder = HolderOf(index)});
    }
    for (const auto& [endpoint, permit] : active.members) {
      held[endpoint].push_back({.permit = permit, .holder = HolderOf(index)});
    }
  }
  for (Index i = 0; i < owners_.size() && permits_; ++i) {
    owners_[i]->Renew(held[i], scheduler_.now());
  }
  scheduler_.After(options_.permits.renew_interval, [this] { RenewPermits(); });
}

void Replayer::ReportLoad() {
  const EngineSpec& spec = fleet_.engine;
  for (Index i = 0; i < owners_.size(); ++i) {
    if (engines_[i]->dead()) continue;
    const ByteCount per_token = views_[i].kv_bytes_per_token;
    const permits::LoadReport report{.incarnation = 1,
                                     .kv_capacity_bytes = spec.memory_tokens * per_token,
                                     .kv_used_bytes = engines_[i]->memory_used() * per_token,
                                     .kv_bytes_per_token = per_token,
                                     .prefill_tokens_per_second = prefill_rate_,
                                     .decode_step = FromSeconds(spec.step_seconds)};
    scheduler_.After(options_.report_delay, [this, i, report] {
      Perform(i, owners_[i]->OnLoadReport(report, scheduler_.now()));
    });
  }
  scheduler_.After(std::chrono::seconds(1), [this] { ReportLoad(); });
}

void Replayer::StartGroup(Index index) {
  Active& active = active_[index];
  const TraceRequest& request = trace_.requests[index];
  const Digest centre = HashOf(fleet_.data_centres[request.host % fleet_.data_centres.size()]);
  std::vector<groups::MemberCandidate> members;
  for (const routing::EndpointView& view : views_) {
    if (view.data_centre != centre) continue;
    members.push_back({.endpoint = view.id,
                       .kv_capacity_bytes = view.kv_capacity_bytes,
                       .free_kv_bytes = view.free_kv_bytes,
                       .queue_delay = view.queue_delay[Rank(request.priority)],
                       .ready = view.available && !view.leaving});
  }
  const ByteCount kv =
      (request.prompt_tokens + request.max_output_tokens) * views_.front().kv_bytes_per_token;
  groups::GroupPlan plan = groups::PlanGroup(kv, members, options_.groups);
  if (plan.refusal != groups::GroupRefusal::kNone) {
    End(index, RequestEnd::kTooLong);
    return;
  }
  ++active.attempt;
  grouped_.push_back(index);
  active.group = std::make_unique<groups::GroupReservation>(std::move(plan.members),
                                                            scheduler_.now(), options_.groups);
  PerformGroup(index, active.group->Start());
}

void Replayer::PerformGroup(Index index, const groups::GroupActions& actions) {
  for (const groups::GroupAction& action : actions) {
    if (const auto* ask = std::get_if<groups::RequestMember>(&action)) {
      permits::PermitInput input = PermitInputFor(index, {});
      input.kv_bytes = ask->kv_bytes;
      input.prompt_tokens /= 3;
      input.preemptible = false;
      input.max_wait = options_.groups.reserve_timeout;
      AskOwner(index, EndpointIndex(ask->endpoint), input);
      active_[index].asked.reset();
    } else if (const auto* withdraw = std::get_if<groups::CancelMember>(&action)) {
      const Index endpoint = EndpointIndex(withdraw->endpoint);
      Perform(endpoint,
              owners_[endpoint]->Cancel(HolderOf(index), active_[index].attempt, scheduler_.now()));
    } else if (const auto* release = std::get_if<groups::ReleaseMember>(&action)) {
      const Index endpoint = EndpointIndex(release->endpoint);
      Perform(endpoint, owners_[endpoint]->Release({.permit = release->permit}, scheduler_.now()));
    } else if (std::holds_alternative<groups::GroupReady>(action)) {
      DispatchGroup(index);
    } else {
      End(index, RequestEnd::kRejected);
    }
  }
}

void Replayer::DispatchGroup(Index index) {
  Active& active = active_[index];
  const TraceRequest& request = trace_.requests[index];
  const auto count = static_cast<TokenCount>(active.members.size());
  active.stream = next_stream_;
  active.members_prefilled = 0;
  ++results_[index].attempts;
  for (std::size_t i = 0; i < active.members.size(); ++i) {
    const StreamSpec spec{
        .id = next_stream_++,
        .rank = Rank(permits::EnginePriority(request.priority, request.prompt_tokens,
                                             options_.permits.short_prompt_tokens)),
        .prompt_tokens = request.prompt_tokens / count,
        .output_tokens = request.output_tokens,
        .memory_tokens = request.prompt_tokens / count + request.max_output_tokens,
        .hold_after_prefill = true};
    streams_[spec.id] = index;
    engines_[active.members[i].first]->Start(spec);
  }
  ++next_stream_;  // the id of the decoding stream follows those of the members
}

void Replayer::StartGroupDecode(Index index) {
  const Active& active = active_[index];
  const StreamSpec spec{.id = active.stream + active.members.size(),
                        .rank = 0,
                        .prompt_tokens = 1,
                        .output_tokens = trace_.requests[index].output_tokens};
  streams_[spec.id] = index;
  engines_[active.members.front().first]->Start(spec);
}

}  // namespace verbenaridge::replay
