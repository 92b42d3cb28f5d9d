#include "verbenaridge/dispatch/load_table.h"

#include <algorithm>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::dispatch {
namespace {

// Assumed for a prefill that should be complete although its first event has not arrived: the
// engine is slightly behind the prediction.
constexpr Duration kOverduePrefill = std::chrono::milliseconds(10);

}  // namespace

void LoadTable::Advance(Engine& engine, TimePoint now) {
  Duration left = now - engine.updated;
  engine.updated = std::max(engine.updated, now);
  for (Entry& entry : engine.entries) {
    if (left <= Duration{}) return;
    if (entry.decoding) continue;
    const Duration prefill = std::min(entry.remaining_prefill, left);
    entry.remaining_prefill -= prefill;
    left -= prefill;
  }
}

void LoadTable::Begin(const EndpointTask& task, TimePoint now) {
  const bool added = endpoint_of_.emplace(task.id, task.endpoint).second;
  if (!added && !Mutated(Mutation::kCountWorkTwice)) return;
  Engine& engine = engines_[task.endpoint];
  Advance(engine, now);
  Entry entry{.task = task,
              .begun = now,
              .expiry = now + task.lifetime,
              .remaining_prefill = task.prefill_time};
  engine.entries.insert(task.partial_prefill ? engine.entries.begin() : engine.entries.end(),
                        entry);
}

void LoadTable::OnFirstEvent(TaskId id, TimePoint now) {
  const auto endpoint = endpoint_of_.find(id);
  if (endpoint == endpoint_of_.end()) return;
  Engine& engine = engines_[endpoint->second];
  Advance(engine, now);
  for (Entry& entry : engine.entries) {
    if (entry.task.id != id) continue;
    entry.decoding = true;
    entry.remaining_prefill = {};
  }
}

void LoadTable::End(TaskId id, TimePoint now) {
  const auto endpoint = endpoint_of_.find(id);
  if (endpoint == endpoint_of_.end()) return;
  const auto engine = engines_.find(endpoint->second);
  Advance(engine->second, now);
  if (Mutated(Mutation::kKeepEndedWork)) return;
  std::erase_if(engine->second.entries, [id](const Entry& entry) { return entry.task.id == id; });
  if (engine->second.entries.empty()) engines_.erase(engine);
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
  for (const auto& [endpoint, engine] : engines_) {
    for (const Entry& entry : engine.entries) {
      if (entry.expiry <= now) expired.push_back(entry.task.id);
    }
  }
  for (const TaskId id : expired) End(id, now);
  return expired.size();
}

EndpointLoad LoadTable::Load(Digest endpoint, TimePoint now) {
  EndpointLoad load;
  const auto found = engines_.find(endpoint);
  if (found == engines_.end()) return load;
  Advance(found->second, now);
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
                                     .target_gap = task.target_gap,
                                     .weight = task.weight});
  }
  return load;
}

}  // namespace verbenaridge::dispatch
