// The inputs from which an endpoint owner learns what runs: releases, renewals, load reports,
// stream lists and ticks.
#include <algorithm>

#include "verbenaridge/permits/endpoint_owner.h"

namespace verbenaridge::permits {

namespace {
// Ids of ended permits are kept for this long, so that a delayed renewal cannot revive them.
constexpr Duration kEndedRetention = std::chrono::seconds(30);
// Prefill time that is collected before the cost model gets one observation.
constexpr Duration kSampleTime = std::chrono::seconds(1);
}  // namespace

void EndpointOwner::Erase(PermitId id, TimePoint now, bool released) {
  const auto found = permits_.find(id);
  const Permit permit = std::move(found->second);
  permits_.erase(found);
  permit_ids_.erase(permit.attempt);
  reserved_kv_ -= permit.kv_bytes;
  // The stream of an expired permit may still hold its memory. The next stream list corrects this.
  if (!released) orphan_kv_ += permit.kv_bytes;
  if (permit.isolate) isolated_ = false;
  backlog_.Remove(id);
  ended_[id] = now + kEndedRetention;
}

// An engine that prefills prompts one after another spends on each of them the time since its
// arrival or since the previous first token, whichever is later. Single values scatter because
// prompts share chunks, so the model learns from sums.
void EndpointOwner::LearnPrefill(Permit& permit, TimePoint first_token) {
  permit.prefilled = true;
  const Duration own = first_token - std::max(permit.granted, last_prefilled_);
  last_prefilled_ = std::max(last_prefilled_, first_token);
  prefill_sample_.prefill_tokens += permit.prefill_tokens;
  prefill_sample_.prefill_time += std::max(own, Duration::zero());
  if (prefill_sample_.prefill_time < kSampleTime) return;
  costs_.OnOutcome(endpoint_, permit.model, prefill_sample_);
  prefill_sample_ = {};
}

void EndpointOwner::LearnDecode(const Permit& permit, const ReleaseInput& input) {
  costs_.OnOutcome(endpoint_, permit.model,
                   {.prefill_tokens = 0,
                    .output_tokens = input.output_tokens,
                    .max_output_tokens = permit.max_output_tokens,
                    .prefill_time = {},
                    .decode_time = input.decode_time});
}

Actions EndpointOwner::OnFirstToken(PermitId id, TimePoint now) {
  Actions actions;
  if (!CheckNotPaused(now)) return actions;
  const auto found = permits_.find(id);
  if (found == permits_.end() || found->second.prefilled) return actions;
  LearnPrefill(found->second, now);
  backlog_.Remove(id);
  ProcessQueue(now, actions);
  return actions;
}

Actions EndpointOwner::Release(const ReleaseInput& input, TimePoint now) {
  Actions actions;
  if (!CheckNotPaused(now)) return actions;
  const auto found = permits_.find(input.permit);
  if (found == permits_.end()) {
    ended_[input.permit] = now + kEndedRetention;
    return actions;
  }
  if (input.completed) {
    Permit& permit = found->second;
    if (!permit.prefilled) LearnPrefill(permit, permit.granted + input.prefill_time);
    LearnDecode(permit, input);
  }
  Erase(input.permit, now, true);
  ProcessQueue(now, actions);
  return actions;
}

std::vector<PermitId> EndpointOwner::Renew(std::span<const HeldPermit> held, TimePoint now) {
  std::vector<PermitId> revoked;
  if (!CheckNotPaused(now)) return revoked;
  for (const HeldPermit& permit : held) {
    const auto found = permits_.find(permit.permit);
    if (found != permits_.end()) {
      found->second.expiry = now + options_.expiry;
      if (found->second.revoked) revoked.push_back(permit.permit);
      continue;
    }
    if (ended_.contains(permit.permit)) {
      revoked.push_back(permit.permit);
      continue;
    }
    Permit adopted;
    adopted.attempt = {permit.holder, permit.attempt};
    adopted.account = permit.account;
    adopted.priority = adopted.engine_priority = permit.priority;
    adopted.kv_bytes = permit.kv_bytes;
    adopted.granted = adopted.prefill_end = now;
    adopted.expiry = now + options_.expiry;
    adopted.prefilled = true;
    adopted.isolate = permit.isolate;
    adopted.preemptible = permit.preemptible;
    reserved_kv_ += adopted.kv_bytes;
    isolated_ = isolated_ || adopted.isolate;
    queue_.ChargePriority(permit.priority, permit.remaining_cost_seconds, now);
    permit_ids_[adopted.attempt] = permit.permit;
    permits_.emplace(permit.permit, std::move(adopted));
  }
  return revoked;
}

Actions EndpointOwner::OnLoadReport(const LoadReport& report, TimePoint now) {
  Actions actions;
  const bool restarted = report_.incarnation != 0 && report.incarnation != report_.incarnation;
  report_ = report;
  costs_.OnLoadReport(endpoint_, {.prefill_tokens_per_second = report.prefill_tokens_per_second,
                                  .decode_step = report.decode_step,
                                  .kv_bytes_per_token = report.kv_bytes_per_token});
  if (!CheckNotPaused(now)) return actions;
  if (restarted) return OnEndpointDeath(now);
  ProcessQueue(now, actions);
  return actions;
}

Actions EndpointOwner::OnStreamList(std::span<const ListedStream> streams, TimePoint now) {
  Actions actions;
  if (!CheckNotPaused(now)) return actions;
  decltype(orphan_streams_) seen;
  orphan_kv_ = 0;
  for (const ListedStream& stream : streams) {
    if (permits_.contains(stream.permit)) continue;
    const auto key = std::make_pair(stream.request_id, stream.attempt);
    const auto before = orphan_streams_.find(key);
    OrphanStream entry = before == orphan_streams_.end() ? OrphanStream{0, now, 0} : before->second;
    ++entry.lists;
    entry.kv_bytes = stream.kv_bytes;
    orphan_kv_ += stream.kv_bytes;
    if (entry.lists >= 2 && now - entry.first_seen >= options_.orphan_age) {
      actions.emplace_back(StreamCancel{stream.request_id, stream.attempt});
    }
    seen.emplace(key, entry);
  }
  orphan_streams_ = std::move(seen);
  ProcessQueue(now, actions);
  return actions;
}

Actions EndpointOwner::SetLeaving(bool leaving, TimePoint now) {
  Actions actions;
  leaving_ = leaving;
  if (CheckNotPaused(now)) ProcessQueue(now, actions);
  return actions;
}

Actions EndpointOwner::OnEndpointDeath(TimePoint now) {
  Actions actions;
  if (!CheckNotPaused(now)) return actions;
  while (!permits_.empty()) Erase(permits_.begin()->first, now, true);
  orphan_kv_ = 0;
  orphan_streams_.clear();
  backlog_ = PrefillBacklog();
  backlog_.Advance(now);
  RefuseAll(PermitReason::kBusy, actions);
  return actions;
}

void EndpointOwner::MeasureDrain(TimePoint now) {
  const double span = ToSeconds(now - drain_from_);
  if (span < 1) return;
  // Only a span with a queue shows what the endpoint can serve. Other spans show the demand.
  for (const Priority priority : kAllPriorities) {
    const std::size_t rank = Rank(priority);
    const bool has_queue = queue_.size(priority) > 0;
    const double observed = std::min(drained_cost_[rank] / span, 10.0);
    if (has_queue && had_queue_[rank]) drain_rate_[rank] += 0.2 * (observed - drain_rate_[rank]);
    // Without a queue the rate is at least the demand. It returns to 1, so that requests are not
    // refused forever after a flood.
    if (!has_queue) drain_rate_[rank] += 0.2 * (std::max(observed, 1.0) - drain_rate_[rank]);
    had_queue_[rank] = has_queue;
  }
  drained_cost_.fill(0);
  drain_from_ = now;
}

Actions EndpointOwner::OnTick(TimePoint now) {
  Actions actions;
  if (!CheckNotPaused(now)) {
    RefuseAll(PermitReason::kNotOwner, actions);
    return actions;
  }
  MeasureDrain(now);
  PromoteStarved(now);
  std::vector<PermitId> expired;
  for (const auto& [id, permit] : permits_) {
    if (permit.expiry <= now) expired.push_back(id);
  }
  for (const PermitId id : expired) Erase(id, now, false);
  std::erase_if(ended_, [&](const auto& entry) { return entry.second <= now; });
  ProcessQueue(now, actions);
  return actions;
}

OwnerSummary EndpointOwner::Summary(TimePoint now) {
  OwnerSummary summary;
  summary.kv_capacity_bytes = report_.kv_capacity_bytes;
  summary.free_kv_bytes = std::max<ByteCount>(0, FreeKv(now));
  for (const Priority priority : kAllPriorities) {
    summary.queue_delay[Rank(priority)] =
        QueueDelay(priority, queue_.NewcomerCostAhead(priority), priority, now);
  }
  summary.running = permits_.size();
  summary.long_prefills = LongPrefills(now);
  summary.leaving = leaving_ || report_.leaving || paused_;
  return summary;
}

}  // namespace verbenaridge::permits
