// The last changes of the endpoints, so that a host sends a peer only what the peer does not have.
//
//   EndpointHistory history;
//   history.Record(entries_before, entries);  // sorted by id
//   if (auto difference = history.Since(digest_of_peer)) Send(*difference);
//   // at the peer:
//   std::vector<Endpoint> entries = Apply(own_entries, difference);
//   if (DigestOf(entries) != difference.result) FetchAll();
//
// A change of one endpoint costs its entry instead of all entries, at each host. Only the changes
// are kept, not the sets of entries that they lead to. Used by one thread.
#ifndef VERBENARIDGE_DIRECTORY_ENDPOINT_HISTORY_H_
#define VERBENARIDGE_DIRECTORY_ENDPOINT_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/directory/endpoint_table.h"

namespace verbenaridge::directory {

// What turns one set of entries into another.
struct EndpointDifference {
  Digest base = 0;                // of the entries before
  Digest result = 0;              // of the entries afterwards
  std::vector<Endpoint> changed;  // new or changed
  std::vector<EndpointId> removed;
};

void SortById(std::vector<Endpoint>& entries);

// Hash of the fields that decide which endpoints receive requests. `entries` are sorted by id.
// Equal on all hosts.
Digest DigestOf(std::span<const Endpoint> entries);

// Both are sorted by id, and so is the result.
EndpointDifference Difference(std::span<const Endpoint> before, std::span<const Endpoint> after);
std::vector<Endpoint> Apply(std::span<const Endpoint> entries,
                            const EndpointDifference& difference);

struct EndpointHistoryOptions {
  // A peer that has missed more changes than this gets all entries. Readers of the store see at
  // most two changes a second, so this covers hosts that are some seconds behind.
  std::size_t max_changes = 16;
  // Bounds the memory, and the size of a difference: larger changes are not kept.
  std::size_t max_entries = 256;
};

class EndpointHistory {
 public:
  explicit EndpointHistory(const EndpointHistoryOptions& options = {}) : options_(options) {}

  // Both are sorted by id. `before` are the entries of the last call, if any.
  void Record(std::span<const Endpoint> before, std::span<const Endpoint> after);

  // What has changed since the entries with this digest; nothing if that is no longer known.
  std::optional<EndpointDifference> Since(Digest base) const;

 private:
  const EndpointHistoryOptions options_;
  std::deque<EndpointDifference> changes_;  // each one starts from the result of the one before
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_ENDPOINT_HISTORY_H_
