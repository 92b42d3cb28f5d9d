#include "verbenaridge/directory/endpoint_history.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::directory {

void SortById(std::vector<Endpoint>& entries) {
  std::sort(entries.begin(), entries.end(),
            [](const Endpoint& a, const Endpoint& b) { return a.id < b.id; });
}

Digest DigestOf(std::span<const Endpoint> entries) {
  Digest digest = 1;
  for (const Endpoint& entry : entries) {
    digest = CombineDigests(
        digest, HashOf({entry.id.value(), entry.service.value(), entry.ip,
                        std::to_string(entry.port), std::to_string(entry.start_unix_ms),
                        entry.draining ? std::string_view("d") : std::string_view("r")}));
    if (entry.cold) digest = CombineDigests(digest, HashOf("cold"));
  }
  return digest;
}

EndpointDifference Difference(std::span<const Endpoint> before, std::span<const Endpoint> after) {
  EndpointDifference difference{.base = DigestOf(before), .result = DigestOf(after)};
  auto old = before.begin();
  for (const Endpoint& entry : after) {
    for (; old != before.end() && old->id < entry.id; ++old) difference.removed.push_back(old->id);
    const bool known = old != before.end() && old->id == entry.id;
    if (!known || *old != entry) difference.changed.push_back(entry);
    if (known) ++old;
  }
  for (; old != before.end(); ++old) difference.removed.push_back(old->id);
  return difference;
}

std::vector<Endpoint> Apply(std::span<const Endpoint> entries,
                            const EndpointDifference& difference) {
  std::map<EndpointId, Endpoint> result;
  for (const Endpoint& entry : entries) result.emplace(entry.id, entry);
  for (const EndpointId& id : difference.removed) result.erase(id);
  for (const Endpoint& entry : difference.changed) result.insert_or_assign(entry.id, entry);
  std::vector<Endpoint> sorted;
  sorted.reserve(result.size());
  for (auto& [id, entry] : result) sorted.push_back(std::move(entry));
  return sorted;
}

void EndpointHistory::Record(std::span<const Endpoint> before, std::span<const Endpoint> after) {
  EndpointDifference change = Difference(before, after);
  const bool continues = changes_.empty() || changes_.back().result == change.base;
  const bool too_large = change.changed.size() + change.removed.size() > options_.max_entries;
  if (!continues || too_large) changes_.clear();
  if (too_large) return;
  changes_.push_back(std::move(change));
  if (changes_.size() > options_.max_changes) changes_.pop_front();
}

std::optional<EndpointDifference> EndpointHistory::Since(Digest base) const {
  // The last one, since the same entries may have been current several times.
  const auto last = std::find_if(changes_.rbegin(), changes_.rend(),
                                 [base](const auto& change) { return change.base == base; });
  if (last == changes_.rend()) return std::nullopt;
  std::map<EndpointId, const Endpoint*> state;  // null: removed
  for (auto change = last.base() - 1; change != changes_.end(); ++change) {
    for (const EndpointId& id : change->removed) state[id] = nullptr;
    for (const Endpoint& entry : change->changed) state[entry.id] = &entry;
  }
  if (state.size() > options_.max_entries) return std::nullopt;
  EndpointDifference difference{.base = base, .result = changes_.back().result};
  for (const auto& [id, entry] : state) {
    if (entry == nullptr) {
      difference.removed.push_back(id);
    } else {
      difference.changed.push_back(*entry);
    }
  }
  return difference;
}

}  // namespace verbenaridge::directory
