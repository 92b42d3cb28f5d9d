#include "verbenaridge/permits/endpoint_owner.h"

#include <algorithm>
#include <functional>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::permits {

namespace {

constexpr TimePoint kNever = TimePoint::max();

PermitId PermitBase(const HostId& host, const EndpointId& endpoint, Incarnation incarnation) {
  // The low 24 bits are a counter. The remaining bits make the ids of different owners distinct.
  const Digest digest = CombineDigests(HashOf({host.value(), endpoint.value()}), incarnation);
  return digest & ~PermitId{0xffffff};
}

}  // namespace

PolicyOptions KaoriSachetOptions() {
  PolicyOptions options;
  options.queue.min_share = {0, 0.10, 0.05};
  options.queue.short_first_factor = 8;
  options.promote_after = {std::chrono::seconds(1), std::chrono::seconds(2),
                           std::chrono::seconds(5)};
  return options;
}

PolicyOptions AlpenrandOptions() {
  PolicyOptions options;
  options.queue.min_share = {0, 0.15, 0.05};
  options.queue.short_first_factor = 4;
  return options;
}

Priority EnginePriority(Priority priority, TokenCount uncached_tokens,
                        TokenCount short_prompt_tokens) {
  if (uncached_tokens <= short_prompt_tokens) return priority;
  return static_cast<Priority>(std::min(Rank(priority) + 1, kPriorityCount - 1));
}

EndpointOwner::EndpointOwner(EndpointId endpoint, HostId host, Incarnation incarnation,
                             cost::CostModel& costs, const PolicyOptions& options, TimePoint now)
    : endpoint_(std::move(endpoint)),
      host_(std::move(host)),
      incarnation_(incarnation),
      costs_(costs),
      options_(options),
      queue_(options.queue) {
  Restart(incarnation, now);
}

void EndpointOwner::Restart(Incarnation incarnation, TimePoint now) {
  incarnation_ = incarnation;
  permit_base_ = PermitBase(host_, endpoint_, incarnation);
  queue_ = queueing::FairQueue(options_.queue);
  queued_.clear();
  queued_ids_.clear();
  latest_starts_.clear();
  permits_.clear();
  permit_ids_.clear();
  ended_.clear();
  orphan_streams_.clear();
  backlog_ = PrefillBacklog();
  prefill_sample_ = {};
  last_prefilled_ = now;
  reserved_kv_ = orphan_kv_ = 0;
  paused_ = isolated_ = false;
  started_ = last_seen_ = drain_from_ = now;
  drained_cost_.fill(0);
  had_queue_.fill(false);
}

bool EndpointOwner::CheckNotPaused(TimePoint now) {
  if (now - last_seen_ > options_.max_pause) paused_ = true;
  last_seen_ = std::max(last_seen_, now);
  if (!paused_) backlog_.Advance(now);
  return !paused_;
}

ByteCount EndpointOwner::usable_kv() const {
  return static_cast<ByteCount>(static_cast<double>(report_.kv_capacity_bytes) * options_.kv_fill);
}

ByteCount EndpointOwner::FreeKv(TimePoint now) const {
  ByteCount used = reserved_kv_ + orphan_kv_;
  // Until holders have had time to present their permits, the endpoint's own figure may be higher.
  if (now - started_ < options_.expiry) used = std::max(used, report_.kv_used_bytes);
  return usable_kv() - used;
}

std::size_t EndpointOwner::LongPrefills(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      permits_.begin(), permits_.end(),
      [&](const auto& entry) { return entry.second.is_long && entry.second.prefill_end > now; }));
}

Duration EndpointOwner::QueueDelay(Priority priority, double cost, Priority engine_priority,
                                   TimePoint now) {
  backlog_.Advance(now);
  const double total = drain_rate_[0] + drain_rate_[1] + drain_rate_[2];
  const double floor = std::max(0.05, total * options_.queue.min_share[Rank(priority)]);
  return FromSeconds(backlog_.Ahead(engine_priority) +
                     cost / std::max(drain_rate_[Rank(priority)], floor));
}

Duration EndpointOwner::DelayOf(const PermitInput& input, Priority engine_priority, TimePoint now) {
  const double cost = queue_.CostAhead(input.priority, input.account, input.weight);
  return QueueDelay(input.priority, cost, engine_priority, now);
}

EndpointOwner::QueuedRequest EndpointOwner::Prepare(const PermitInput& input, TimePoint now) const {
  const TokenCount uncached = input.prompt_tokens - input.cached_tokens;
  QueuedRequest queued;
  queued.input = input;
  queued.prediction = costs_.Predict(
      endpoint_, input.model, {input.prompt_tokens, input.cached_tokens, input.max_output_tokens});
  if (input.kv_bytes > 0) queued.prediction.kv_bytes = input.kv_bytes;
  queued.engine_priority = EnginePriority(input.priority, uncached, options_.short_prompt_tokens);
  queued.is_long = uncached > options_.long_prompt_tokens;
  queued.enqueued = now;
  // A granted prompt waits inside the engine for at most about one window of other prefill work.
  const Duration window = options_.prefill_window[Rank(queued.engine_priority)];
  queued.latest_start = input.max_wait > Duration::zero()
                            ? now + std::max(input.max_wait - window, Duration::zero())
                            : kNever;
  return queued;
}

std::optional<Refusal> EndpointOwner::RefuseImmediately(const PermitInput& input,
                                                        const QueuedRequest& queued,
                                                        TimePoint now) {
  const auto refuse = [&](PermitReason reason, Duration retry = {}) {
    return Refusal{input.holder, input.attempt, reason, retry};
  };
  if (paused_) return refuse(PermitReason::kNotOwner);
  if (leaving_ || report_.leaving) return refuse(PermitReason::kLeaving);
  if (report_.kv_capacity_bytes > 0 && queued.prediction.kv_bytes > usable_kv()) {
    return refuse(PermitReason::kTooLarge);
  }
  const Duration delay = DelayOf(input, queued.engine_priority, now);
  if (input.max_wait > Duration::zero() && delay > input.max_wait) {
    return refuse(PermitReason::kDeadline, delay - input.max_wait);
  }
  if (input.redirect_above > Duration::zero() && delay > input.redirect_above) {
    return refuse(PermitReason::kBusy, delay);
  }
  if (input.spilled && delay > options_.spill_accept_delay) {
    return refuse(PermitReason::kBusy, delay);
  }
  return std::nullopt;
}

Grant EndpointOwner::MakeGrant(PermitId id, const Permit& permit) const {
  return {permit.attempt.first, permit.attempt.second, id,
          incarnation_,         permit.expiry,         permit.cached_tokens};
}

Actions EndpointOwner::Request(const PermitInput& input, TimePoint now) {
  Actions actions;
  const bool alive = CheckNotPaused(now);
  const AttemptKey key{input.holder, input.attempt};
  if (alive) {
    const auto granted = permit_ids_.find(key);
    if (granted != permit_ids_.end()) {
      actions.emplace_back(MakeGrant(granted->second, permits_.at(granted->second)));
      return actions;
    }
    if (queued_ids_.contains(key)) return actions;
  }
  QueuedRequest queued = Prepare(input, now);
  if (auto refusal = RefuseImmediately(input, queued, now)) {
    actions.emplace_back(std::move(*refusal));
    return actions;
  }
  const std::uint64_t id = next_id_++;
  const queueing::PushResult pushed = queue_.Push({.id = id,
                                                   .account = input.account,
                                                   .priority = input.priority,
                                                   .cost = queued.prediction.cost_seconds,
                                                   .weight = input.weight,
                                                   .enqueued = now},
                                                  now);
  const Duration retry = DelayOf(input, queued.engine_priority, now);
  if (!pushed.accepted) {
    actions.emplace_back(Refusal{input.holder, input.attempt, PermitReason::kQueueFull, retry});
    return actions;
  }
  latest_starts_.insert({queued.latest_start, id});
  queued_ids_[key] = id;
  queued_.emplace(id, std::move(queued));
  if (pushed.dropped) {
    const QueuedRequest dropped = Unqueue(pushed.dropped->id);
    actions.emplace_back(
        Refusal{dropped.input.holder, dropped.input.attempt, PermitReason::kQueueFull, retry});
  }
  ProcessQueue(now, actions);
  return actions;
}

EndpointOwner::QueuedRequest EndpointOwner::Unqueue(std::uint64_t id) {
  const auto found = queued_.find(id);
  QueuedRequest queued = std::move(found->second);
  queued_.erase(found);
  queued_ids_.erase({queued.input.holder, queued.input.attempt});
  latest_starts_.erase({queued.latest_start, id});
  queue_.Remove(id);
  return queued;
}

Actions EndpointOwner::Cancel(const HolderId& holder, AttemptNumber attempt, TimePoint now) {
  Actions actions;
  if (!CheckNotPaused(now)) return actions;
  const auto found = queued_ids_.find({holder, attempt});
  if (found == queued_ids_.end()) return actions;
  Unqueue(found->second);
  ProcessQueue(now, actions);
  return actions;
}

bool EndpointOwner::FitsMemory(const QueuedRequest& queued, TimePoint now) const {
  return permits_.size() < options_.max_running && queued.prediction.kv_bytes <= FreeKv(now);
}

bool EndpointOwner::Fits(const QueuedRequest& queued, bool share_grant, TimePoint now) {
  if (isolated_ || (queued.input.isolate && !permits_.empty())) return false;
  if (!FitsMemory(queued, now)) return false;
  if (queued.is_long && LongPrefills(now) >= options_.max_long_prefills) return false;
  const Priority place = share_grant ? Priority::kUrgent : queued.engine_priority;
  return FromSeconds(backlog_.Ahead(place)) < options_.prefill_window[Rank(place)];
}

void EndpointOwner::GrantTo(std::uint64_t id, bool share_grant, TimePoint now, Actions& actions) {
  const QueuedRequest queued = Unqueue(id);
  const PermitInput& input = queued.input;
  Permit permit;
  permit.attempt = {input.holder, input.attempt};
  permit.account = input.account;
  permit.model = input.model;
  permit.priority = input.priority;
  permit.engine_priority = queued.engine_priority;
  permit.kv_bytes = queued.prediction.kv_bytes;
  permit.max_output_tokens = input.max_output_tokens;
  permit.cached_tokens = input.cached_tokens;
  permit.prefill_tokens = input.prompt_tokens - input.cached_tokens;
  permit.prefill_seconds = ToSeconds(queued.prediction.prefill);
  permit.ahead_seconds = backlog_.Ahead(queued.engine_priority);
  permit.granted = now;
  permit.prefill_end = now + FromSeconds(permit.ahead_seconds + permit.prefill_seconds);
  permit.expiry = now + options_.expiry;
  permit.is_long = queued.is_long;
  permit.isolate = input.isolate;
  permit.preemptible = input.preemptible;
  permit.lent = input.lent;
  permit.promoted = share_grant && !permit.is_long;
  reserved_kv_ += permit.kv_bytes;
  isolated_ = isolated_ || permit.isolate;
  drained_cost_[Rank(input.priority)] += queued.prediction.cost_seconds;
  const PermitId permit_id = permit_base_ | (next_id_++ & 0xffffff);
  permit_ids_[permit.attempt] = permit_id;
  // The engine works in strict priority order, so the owner guarantees a minimum share by delaying
  // urgent permits: work that is granted for its share occupies part of the urgent window.
  backlog_.Add(permit_id, permit.engine_priority, permit.prefill_seconds);
  if (permit.promoted) backlog_.Promote(permit_id);
  actions.emplace_back(MakeGrant(permit_id, permit));
  permits_.emplace(permit_id, std::move(permit));
}

void EndpointOwner::RefuseOverdue(TimePoint now, Actions& actions) {
  while (!latest_starts_.empty() && latest_starts_.begin()->first < now) {
    const QueuedRequest queued = Unqueue(latest_starts_.begin()->second);
    const Duration retry = DelayOf(queued.input, queued.engine_priority, now);
    actions.emplace_back(
        Refusal{queued.input.holder, queued.input.attempt, PermitReason::kDeadline, retry});
  }
}

void EndpointOwner::ProcessQueue(TimePoint now, Actions& actions) {
  RefuseOverdue(now, actions);
  if (leaving_ || report_.leaving) RefuseAll(PermitReason::kLeaving, actions);
  for (;;) {
    bool blocked = false;
    bool share_grant = false;
    const auto fits = [&](const queueing::QueueItem& item) {
      if (blocked) return false;
      const QueuedRequest& queued = queued_.at(item.id);
      share_grant = IsShareGrant(queued.input.priority, now);
      if (Fits(queued, share_grant, now)) return true;
      // A request that has waited `max_bypass` for memory is not overtaken any more. Otherwise a
      // steady flow of small requests would starve it.
      const bool starved = now - queued.enqueued > options_.max_bypass;
      blocked = starved && (queued.input.isolate || !FitsMemory(queued, now));
      return false;
    };
    const auto item = queue_.Pop(now, fits);
    if (!item) break;
    GrantTo(item->id, share_grant, now, actions);
  }
  if (options_.preemption) Preempt(now, actions);
}

// Whether a grant to this priority would only be due to its minimum share.
bool EndpointOwner::IsShareGrant(Priority priority, TimePoint now) {
  bool higher_queued = false;
  for (std::size_t rank = 0; rank < Rank(priority); ++rank) {
    higher_queued = higher_queued || queue_.size(static_cast<Priority>(rank)) > 0;
  }
  return higher_queued && !queue_.AboveShare(priority, now);
}

void EndpointOwner::PromoteStarved(TimePoint now) {
  for (auto& [id, permit] : permits_) {
    const Duration limit = options_.promote_after[Rank(permit.priority)];
    const bool starved = !permit.prefilled && now - permit.granted > limit;
    if (!starved || permit.promoted || permit.is_long || permit.isolate) continue;
    permit.promoted = true;
    backlog_.Promote(id);
  }
}

void EndpointOwner::RefuseAll(PermitReason reason, Actions& actions) {
  while (!queued_.empty()) {
    const QueuedRequest queued = Unqueue(queued_.begin()->first);
    actions.emplace_back(Refusal{queued.input.holder, queued.input.attempt, reason, {}});
  }
}

void EndpointOwner::Preempt(TimePoint now, Actions& actions) {
  if (queued_.empty()) return;
  // Accepts no item, so that Pop visits the heads without removing any.
  const auto revoke_for_head = [&](const queueing::QueueItem& item) {
    const QueuedRequest& queued = queued_.at(item.id);
    const bool due = now - queued.enqueued >= options_.preempt_after;
    if (due && !queued.input.isolate && !isolated_ && !FitsMemory(queued, now)) {
      RevokeFor(queued, now, actions);
    }
    return false;
  };
  queue_.Pop(now, revoke_for_head);
}

// Revokes the newest preemptible streams until `queued` fits. Revokes none if they do not free
// enough.
void EndpointOwner::RevokeFor(const QueuedRequest& queued, TimePoint now, Actions& actions) {
  std::vector<std::pair<TimePoint, PermitId>> victims;
  ByteCount kv = FreeKv(now);
  std::size_t running = permits_.size();
  for (const auto& [id, permit] : permits_) {
    if (permit.revoked) {
      kv += permit.kv_bytes;
      --running;
      continue;
    }
    const bool lower =
        permit.priority > queued.input.priority && queue_.AboveShare(permit.priority, now);
    const bool reclaimed =
        permit.lent && permit.priority >= queued.input.priority && !queued.is_long;
    if (permit.preemptible && (lower || reclaimed)) victims.emplace_back(permit.granted, id);
  }
  const auto enough = [&] {
    return kv >= queued.prediction.kv_bytes && running < options_.max_running;
  };
  std::sort(victims.begin(), victims.end(), std::greater<>());
  std::size_t count = 0;
  while (!enough() && count < victims.size()) {
    kv += permits_.at(victims[count++].second).kv_bytes;
    --running;
  }
  if (!enough()) return;
  for (std::size_t i = 0; i < count; ++i) {
    Permit& permit = permits_.at(victims[i].second);
    permit.revoked = true;
    actions.emplace_back(Revocation{permit.attempt.first, victims[i].second});
  }
}

}  // namespace verbenaridge::permits
