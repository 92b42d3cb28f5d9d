#include "verbenaridge/dispatch/load_table.h"

#include <algorithm>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::dispatch {
namespace {

// A read that should be over by now but whose first event has not come: the engine is a little
// behind the prediction.
constexpr Duration kOverdueRead = std::chrono::milliseconds(10);

}  // namespace

void LoadTable::Advance(Engine& engine, TimePoint now) {
  Duration left = now - engine.updated;
  engine.updated = std::max(engine.updated, now);
  for (Item& item : engine.items) {
    if (left <= Duration{}) return;
    if (item.decoding) continue;
    const Duration read = std::min(item.remaining, left);
    item.remaining -= read;
    left -= read;
  }
}

void LoadTable::Begin(const EndpointTask& work, TimePoint now) {
  const bool added = endpoint_of_.emplace(work.id, work.endpoint).second;
  if (!added && !Mutated(Mutation::kCountWorkTwice)) return;
  Engine& engine = engines_[work.endpoint];
  Advance(engine, now);
  Item item{
      .work = work, .begun = now, .expiry = now + work.lifetime, .remaining = work.prefill_time};
  engine.items.insert(work.partial_prefill ? engine.items.begin() : engine.items.end(), item);
}

void LoadTable::OnFirstEvent(TaskId id, TimePoint now) {
  const auto endpoint = endpoint_of_.find(id);
  if (endpoint == endpoint_of_.end()) return;
  Engine& engine = engines_[endpoint->second];
  Advance(engine, now);
  for (Item& item : engine.items) {
    if (item.work.id != id) continue;
    item.decoding = true;
    item.remaining = {};
  }
}

void LoadTable::End(TaskId id, TimePoint now) {
  const auto endpoint = endpoint_of_.find(id);
  if (endpoint == endpoint_of_.end()) return;
  const auto engine = engines_.find(endpoint->second);
  Advance(engine->second, now);
  if (Mutated(Mutation::kKeepEndedWork)) return;
  std::erase_if(engine->second.items, [id](const Item& item) { return item.work.id == id; });
  if (engine->second.items.empty()) engines_.erase(engine);
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
    for (const Item& item : engine.items) {
      if (item.expiry <= now) expired.push_back(item.work.id);
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
  for (const Item& item : found->second.items) {
    const EndpointTask& work = item.work;
    ++load.tasks;
    load.kv_tokens += work.kv_tokens;
    if (item.decoding) {
      ++load.decoding.sequences;
      load.decoding.context_tokens += work.kv_tokens;
      if (work.target_gap == Duration{}) continue;
      load.tightest_gap = load.tightest_gap == Duration{}
                              ? work.target_gap
                              : std::min(load.tightest_gap, work.target_gap);
      load.decoders_weight += work.weight;
      continue;
    }
    if (work.prefill_time == Duration{}) continue;
    load.reading += std::max(item.remaining, kOverdueRead);
    load.readers.push_back({.finish = load.reading,
                            .due = item.begun + work.due - now,
                            .target_gap = work.target_gap,
                            .weight = work.weight});
  }
  return load;
}

}  // namespace verbenaridge::dispatch
