#include "verbenaridge/dispatch/load_board.h"

#include <algorithm>

namespace verbenaridge::dispatch {
namespace {

// A read that should be over by now but whose first event has not come: the engine is a little
// behind the prediction.
constexpr Duration kOverdueRead = std::chrono::milliseconds(10);

void Tighten(Duration gap, Duration& tightest) {
  if (gap == Duration{}) return;
  tightest = tightest == Duration{} ? gap : std::min(tightest, gap);
}

}  // namespace

void LoadBoard::Begin(const Work& work, TimePoint now) {
  if (endpoint_of_.contains(work.id)) return;
  endpoint_of_[work.id] = work.endpoint;
  items_[work.endpoint].push_back({work, now, now + work.lifetime, false});
}

LoadBoard::Item* LoadBoard::Find(WorkId id) {
  const auto endpoint = endpoint_of_.find(id);
  if (endpoint == endpoint_of_.end()) return nullptr;
  for (Item& item : items_[endpoint->second]) {
    if (item.work.id == id) return &item;
  }
  return nullptr;
}

void LoadBoard::OnFirstEvent(WorkId id, TimePoint /*now*/) {
  if (Item* item = Find(id)) item->decoding = true;
}

void LoadBoard::End(WorkId id) {
  const auto endpoint = endpoint_of_.find(id);
  if (endpoint == endpoint_of_.end()) return;
  const auto items = items_.find(endpoint->second);
  std::erase_if(items->second, [id](const Item& item) { return item.work.id == id; });
  if (items->second.empty()) items_.erase(items);
  endpoint_of_.erase(endpoint);
}

void LoadBoard::EndAllOf(Digest endpoint) {
  const auto items = items_.find(endpoint);
  if (items == items_.end()) return;
  for (const Item& item : items->second) endpoint_of_.erase(item.work.id);
  items_.erase(items);
}

std::size_t LoadBoard::RemoveExpired(TimePoint now) {
  std::vector<WorkId> expired;
  for (const auto& [endpoint, items] : items_) {
    for (const Item& item : items) {
      if (item.expiry <= now) expired.push_back(item.work.id);
    }
  }
  for (const WorkId id : expired) End(id);
  return expired.size();
}

EndpointLoad LoadBoard::Load(Digest endpoint, TimePoint now) const {
  EndpointLoad load;
  const auto found = items_.find(endpoint);
  if (found == items_.end()) return load;
  TimePoint cursor{};
  for (const Item& item : found->second) {
    ++load.works;
    load.kv_tokens += item.work.kv_tokens;
    if (item.decoding) {
      ++load.decoding.sequences;
      load.decoding.context_tokens += item.work.kv_tokens;
      Tighten(item.work.target_gap, load.tightest_gap);
      if (item.work.target_gap != Duration{}) ++load.decoders_with_gap;
      continue;
    }
    if (item.work.read_time == Duration{}) continue;
    ++load.readers;
    if (item.work.decodes) Tighten(item.work.target_gap, load.tightest_reader_gap);
    cursor = std::max(cursor, item.begun) + item.work.read_time;
    // The engine cannot have finished a read whose first event is missing.
    cursor = std::max(cursor, now + kOverdueRead);
  }
  if (cursor > now) load.reading = cursor - now;
  return load;
}

}  // namespace verbenaridge::dispatch
