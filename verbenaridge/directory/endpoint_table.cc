#include "verbenaridge/directory/endpoint_table.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::directory {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
// Endpoints have up to some hundred slots. One with far more would never look full, and would
// attract all requests.
constexpr std::size_t kMaxSlots = 100'000;

// Without start times, two processes under one id cannot be told apart: an endpoint that started
// anew must not be taken for the one that drained.
bool IsSameProcess(const Endpoint& a, const Endpoint& b) {
  return a.start_unix_ms != 0 && a.start_unix_ms == b.start_unix_ms;
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

std::vector<EndpointTable::Change> EndpointTable::OnEntriesRead(std::vector<Endpoint> entries,
                                                                TimePoint now) {
  if (loaded_ && store_failing_ && now - last_read_ > options_.outage_threshold &&
      !Mutated(Mutation::kForgetInOutage)) {
    keep_lapsed_until_ = now + options_.lapsed_entry_grace;
  }
  store_failing_ = false;
  loaded_ = true;
  last_read_ = now;
  keeps_lapsed_ = false;
  std::vector<Change> changes;
  std::map<EndpointId, Endpoint> next;
  for (Endpoint& entry : entries) {
    const auto known = endpoints_.find(entry.id);
    if (known != endpoints_.end() && IsSameProcess(known->second, entry)) {
      entry.draining = entry.draining || known->second.draining;
    }
    if (known == endpoints_.end()) {
      changes.push_back({Change::Kind::kAdded, entry});
    } else if (known->second.start_unix_ms != entry.start_unix_ms) {
      changes.push_back({Change::Kind::kRestarted, entry});
    } else if (known->second.ip != entry.ip || known->second.port != entry.port ||
               known->second.service != entry.service) {
      changes.push_back({Change::Kind::kMoved, entry});
    } else if (known->second.draining != entry.draining) {
      changes.push_back({Change::Kind::kDraining, entry});
    }
    if (Mutated(Mutation::kIgnoreLeaving) && known != endpoints_.end()) {
      entry.draining = known->second.draining;
    }
    EndpointId id = entry.id;
    next.insert_or_assign(std::move(id), std::move(entry));
  }
  for (auto& [id, endpoint] : endpoints_) {
    if (next.contains(id)) continue;
    if (now < keep_lapsed_until_ || Mutated(Mutation::kKeepRemoved)) {
      next.emplace(id, std::move(endpoint));
      keeps_lapsed_ = true;
    } else {
      changes.push_back({Change::Kind::kRemoved, endpoint});
    }
  }
  endpoints_ = std::move(next);
  return changes;
}

bool EndpointTable::OnEntriesUnchanged(TimePoint now) {
  if (!loaded_ || store_failing_ || keeps_lapsed_) return false;
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
