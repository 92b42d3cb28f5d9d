#include "verbenaridge/dispatch/load_table.h"

#include <algorithm>
#include <cmath>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::dispatch {
namespace {

// Assumed for a prefill that should be complete although its first event has not arrived: the
// engine is slightly behind the prediction.
constexpr Duration kOverduePrefill = std::chrono::milliseconds(10);
// Time between the end of a prefill and the arrival of its first event at this host, which is not a
// delay of the engine: a pass of the engine, the datagram, and hosts with a small processor share.
constexpr Duration kUsualDelay = std::chrono::milliseconds(150);
// A first event that is overdue for longer was never announced, or its host is gone.
constexpr Duration kMaxDelay = std::chrono::seconds(3);
// Weight of the newest first event in the average, so that a single late one changes little.
constexpr double kDelaySmoothing = 0.3;
// The average halves in this time.
constexpr Duration kDelayHalfLife = std::chrono::seconds(1);
// Prompts that different schedulers send within this time may arrive in the other order.
constexpr Duration kOrderUncertainty = std::chrono::milliseconds(30);
// A shorter average is not worth keeping the state of an engine without tasks.
constexpr Duration kNegligibleDelay = std::chrono::milliseconds(20);

bool ShowsDelay(const EndpointTask& task) {
  // Members of a group wait for each other, and an endpoint without prefill has no prediction.
  return task.prefill_time > Duration{} && !task.partial_prefill;
}

Duration DelayOf(TimePoint prefilled, TimePoint now) {
  const Duration overdue = now - prefilled - kUsualDelay;
  return overdue > kMaxDelay ? Duration{} : std::max(overdue, Duration{});
}

}  // namespace

void LoadTable::Advance(Engine& engine, TimePoint now) {
  TimePoint reached = engine.updated;
  engine.updated = std::max(engine.updated, now);
  for (Entry& entry : engine.entries) {
    if (reached >= now) return;
    if (entry.decoding) continue;
    const Duration prefill = std::min(entry.remaining_prefill, now - reached);
    entry.remaining_prefill -= prefill;
    reached += prefill;
    if (entry.remaining_prefill == Duration{} && entry.prefilled == TimePoint{}) {
      entry.prefilled = reached;
    }
  }
}

void LoadTable::CorrectOrder(Engine& engine, std::size_t answered) {
  const Entry& entry = engine.entries[answered];
  if (entry.task.partial_prefill) return;
  // What the table has credited to the prompts in front was spent on this one.
  Duration left = entry.remaining_prefill;
  for (std::size_t i = answered; i-- > 0 && left > Duration{};) {
    Entry& front = engine.entries[i];
    if (front.decoding || front.task.partial_prefill) continue;
    if (entry.begun - front.begun > kOrderUncertainty) break;
    const Duration credited = front.task.prefill_time - front.remaining_prefill;
    const Duration returned = std::min(credited, left);
    front.remaining_prefill += returned;
    front.prefilled = {};
    left -= returned;
  }
}

Duration LoadTable::RememberedDelay(const Engine& engine, TimePoint now) {
  const double half_lives = ToSeconds(now - engine.delay_updated) / ToSeconds(kDelayHalfLife);
  return FromSeconds(ToSeconds(engine.average_delay) * std::exp2(-half_lives));
}

// The longest delay of a first event that has not arrived, or else the remembered one. Entire
// prompts are processed in order, so a prompt that was overtaken has been processed: only its
// announcement is missing.
Duration LoadTable::ExpectedDelay(const Engine& engine, TimePoint now) {
  Duration delay = RememberedDelay(engine, now);
  for (const Entry& entry : engine.entries) {
    if (entry.decoding || entry.prefilled == TimePoint{} || !ShowsDelay(entry.task)) continue;
    if (entry.begun < engine.newest_answered) continue;
    delay = std::max(delay, DelayOf(entry.prefilled, now));
  }
  return delay;
}

void LoadTable::EraseIfUnused(Digest endpoint, TimePoint now) {
  const auto engine = engines_.find(endpoint);
  if (engine == engines_.end() || !engine->second.entries.empty()) return;
  if (RememberedDelay(engine->second, now) < kNegligibleDelay) engines_.erase(engine);
}

bool LoadTable::Begin(const EndpointTask& task, TimePoint now) {
  const bool added = endpoint_of_.emplace(task.id, task.endpoint).second;
  if (!added && !Mutated(Mutation::kCountWorkTwice)) return false;
  Engine& engine = engines_[task.endpoint];
  Advance(engine, now);
  Entry entry{.task = task,
              .begun = now,
              .expiry = now + task.lifetime,
              .remaining_prefill = task.prefill_time};
  engine.entries.insert(task.partial_prefill ? engine.entries.begin() : engine.entries.end(),
                        entry);
  return true;
}

void LoadTable::OnFirstEvent(TaskId id, TimePoint now) {
  const auto endpoint = endpoint_of_.find(id);
  if (endpoint == endpoint_of_.end()) return;
  Engine& engine = engines_[endpoint->second];
  Advance(engine, now);
  for (std::size_t i = 0; i < engine.entries.size(); ++i) {
    Entry& entry = engine.entries[i];
    if (entry.task.id != id || entry.decoding) continue;
    CorrectOrder(engine, i);
    entry.decoding = true;
    entry.remaining_prefill = {};
    if (!ShowsDelay(entry.task)) continue;
    const Duration delay =
        entry.prefilled == TimePoint{} ? Duration{} : DelayOf(entry.prefilled, now);
    engine.average_delay =
        FromSeconds(kDelaySmoothing * ToSeconds(delay) +
                    (1 - kDelaySmoothing) * ToSeconds(RememberedDelay(engine, now)));
    engine.delay_updated = now;
    engine.newest_answered = std::max(engine.newest_answered, entry.begun);
  }
}

void LoadTable::End(TaskId id, TimePoint now) {
  const auto endpoint = endpoint_of_.find(id);
  if (endpoint == endpoint_of_.end()) return;
  const auto engine = engines_.find(endpoint->second);
  Advance(engine->second, now);
  if (Mutated(Mutation::kKeepEndedWork)) return;
  engine->second.last_end = now;
  std::erase_if(engine->second.entries, [id](const Entry& entry) { return entry.task.id == id; });
  EraseIfUnused(endpoint->second, now);
  endpoint_of_.erase(endpoint);
}

std::size_t LoadTable::EndAllOf(Incarnation host, TimePoint now) {
  if (Mutated(Mutation::kForgetNoHost)) return 0;
  const TaskId first = FirstTaskId(host);
  std::vector<TaskId> tasks;
  for (const auto& [id, endpoint] : endpoint_of_) {
    if (id >> kTaskSequenceBits == first >> kTaskSequenceBits) tasks.push_back(id);
  }
  for (const TaskId id : tasks) End(id, now);
  return tasks.size();
}

std::size_t LoadTable::RemoveExpired(TimePoint now) {
  if (Mutated(Mutation::kKeepExpiredWork)) return 0;
  std::vector<TaskId> expired;
  std::vector<Digest> unused;
  for (const auto& [endpoint, engine] : engines_) {
    if (engine.entries.empty()) unused.push_back(endpoint);
    for (const Entry& entry : engine.entries) {
      if (entry.expiry <= now) expired.push_back(entry.task.id);
    }
  }
  for (const TaskId id : expired) End(id, now);
  for (const Digest endpoint : unused) EraseIfUnused(endpoint, now);
  return expired.size();
}

EndpointLoad LoadTable::Load(Digest endpoint, TimePoint now) {
  EndpointLoad load;
  const auto found = engines_.find(endpoint);
  if (found == engines_.end()) return load;
  Advance(found->second, now);
  load.delay = ExpectedDelay(found->second, now);
  if (found->second.last_end != TimePoint{}) load.since_end = now - found->second.last_end;
  for (const Entry& entry : found->second.entries) {
    const EndpointTask& task = entry.task;
    ++load.tasks;
    load.kv_tokens += task.kv_tokens;
    if (entry.decoding) {
      ++load.decoding.sequences;
      load.decoding.context_tokens += task.kv_tokens;
      if (task.target_gap == Duration{}) continue;
      load.tightest_gap = load.tightest_gap == Duration{}
                              ? task.target_gap
                              : std::min(load.tightest_gap, task.target_gap);
      load.decoding_weight += task.weight;
      continue;
    }
    if (task.prefill_time == Duration{}) continue;
    load.prefill_time += std::max(entry.remaining_prefill, kOverduePrefill);
    load.pending_prefills.push_back({.finish = load.prefill_time,
                                     .due = entry.begun + task.due - now,
                                     .deadline = entry.expiry - now,
                                     .target_gap = task.target_gap,
                                     .weight = task.weight});
  }
  return load;
}

}  // namespace verbenaridge::dispatch
