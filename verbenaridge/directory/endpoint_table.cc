#include "verbenaridge/directory/endpoint_table.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::directory {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
// Endpoints have up to some hundred slots. One with far more would never look full, and would
// attract all requests.
constexpr std::size_t kMaxSlots = 100'000;
// Time from a read of the store, about two a second by one host, until the others have its entries.
constexpr Duration kMaxReadDelay = std::chrono::seconds(1);

// Without start times, two processes under one id cannot be told apart: an endpoint that started
// anew must not be taken for the one that drained.
bool IsSameProcess(const Endpoint& a, const Endpoint& b) {
  return a.start_unix_ms != 0 && a.start_unix_ms == b.start_unix_ms;
}

std::optional<EndpointTable::Change::Kind> KindOfChange(const Endpoint& known,
                                                        const Endpoint& entry) {
  using Kind = EndpointTable::Change::Kind;
  if (known.start_unix_ms != entry.start_unix_ms) return Kind::kRestarted;
  if (known.ip != entry.ip || known.port != entry.port || known.service != entry.service) {
    return Kind::kMoved;
  }
  if (known.draining != entry.draining) return Kind::kDraining;
  return std::nullopt;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::none_of(text.begin(), text.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte < 0x20 || byte == 0x7f;
         });
}

}  // namespace

bool IsPlausible(const Endpoint& endpoint) {
  return IsName(endpoint.id.value()) && IsName(endpoint.service.value()) &&
         IsName(endpoint.data_centre.value()) && endpoint.port != 0 && endpoint.slots <= kMaxSlots;
}

void EndpointTable::SetHeartbeat(Duration heartbeat) {
  options_.outage_threshold = 2 * heartbeat;
  options_.restored_entry_time = 3 * heartbeat + kMaxReadDelay;
}

void EndpointTable::OnStoreRestored(TimePoint now) {
  if (!loaded_) return;
  keep_lapsed_until_ = std::max(keep_lapsed_until_, now + options_.lapsed_entry_grace);
  restored_ = now;
  restored_until_ = now + options_.restored_entry_time;
}

std::vector<EndpointTable::Change> EndpointTable::OnEntriesRead(std::vector<Endpoint> entries,
                                                                TimePoint now) {
  if (loaded_ && store_failing_ && now - last_read_ > options_.outage_threshold &&
      !Mutated(Mutation::kForgetInOutage)) {
    keep_lapsed_until_ = now + options_.lapsed_entry_grace;
  }
  store_failing_ = false;
  loaded_ = true;
  last_read_ = now;
  departed_.RemoveExpired(now);
  may_change_ = false;
  std::vector<Change> changes;
  std::map<EndpointId, Endpoint> next;
  for (Endpoint& entry : entries) {
    const auto known = endpoints_.find(entry.id);
    if (known == endpoints_.end()) {
      if (MayHaveLeft(entry, now)) {
        may_change_ = true;
        continue;
      }
      Add(entry);
      changes.push_back({Change::Kind::kAdded, entry});
    } else {
      KeepKnown(known->second, entry, now);
      if (const auto kind = KindOfChange(known->second, entry)) changes.push_back({*kind, entry});
      if (Mutated(Mutation::kIgnoreLeaving)) entry.draining = known->second.draining;
    }
    EndpointId id = entry.id;
    next.insert_or_assign(std::move(id), std::move(entry));
  }
  for (auto& [id, endpoint] : endpoints_) {
    if (next.contains(id)) continue;
    if (now < keep_lapsed_until_ || Mutated(Mutation::kKeepRemoved)) {
      next.emplace(id, std::move(endpoint));
      may_change_ = true;
    } else {
      departed_.Add(endpoint, now);
      changes.push_back({Change::Kind::kRemoved, endpoint});
    }
  }
  endpoints_ = std::move(next);
  return changes;
}

bool EndpointTable::MayHaveLeft(const Endpoint& entry, TimePoint now) const {
  if (now >= restored_until_) return false;
  const DepartedEndpoints::Departure* const departure = departed_.Find(entry.id);
  return departure != nullptr && departure->time <= restored_ && !departure->IsSucceededBy(entry);
}

void EndpointTable::Add(Endpoint& entry) {
  const DepartedEndpoints::Departure* const departure = departed_.Find(entry.id);
  if (departure == nullptr) return;
  if (entry.start_unix_ms != 0 && entry.start_unix_ms == departure->start_unix_ms) {
    entry.draining = entry.draining || departure->draining;
  }
  departed_.Remove(entry.id);
}

void EndpointTable::KeepKnown(const Endpoint& known, Endpoint& entry, TimePoint now) {
  if (IsSameProcess(known, entry)) entry.draining = entry.draining || known.draining;
  if (now >= restored_until_) return;
  const Endpoint read = entry;
  if (entry.start_unix_ms == known.start_unix_ms) {
    entry.draining = entry.draining || known.draining;
    entry.cold = entry.cold || known.cold;
  } else if (entry.start_unix_ms != 0 && entry.start_unix_ms < known.start_unix_ms) {
    entry = known;
  }
  may_change_ = may_change_ || entry != read;
}

bool EndpointTable::OnEntriesUnchanged(TimePoint now) {
  if (!loaded_ || store_failing_ || may_change_) return false;
  last_read_ = now;
  return true;
}

void EndpointTable::OnReadFailed(TimePoint /*now*/) { store_failing_ = true; }

std::vector<Endpoint> EndpointTable::endpoints() const {
  std::vector<Endpoint> list;
  list.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) list.push_back(endpoint);
  return list;
}

}  // namespace verbenaridge::directory
