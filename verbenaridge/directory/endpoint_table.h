// Tracks which endpoints exist and which of them may receive new requests, from the entries read
// from the store.
//
//   EndpointTable table({.lapsed_entry_grace = std::chrono::seconds(2)});
//   table.OnEntriesRead(entries, now);   // all entries of the store
//   table.OnReadFailed(now);
//   for (const Endpoint& endpoint : table.endpoints()) { ... }
//
// Entries may expire during an outage of the store although their endpoints are alive. The table
// therefore keeps an entry that is missing from the first read after an outage for
// `lapsed_entry_grace`, and then removes it.
//
// A process that drains does not become ready again: it exits. An entry that says so is an older
// one, from a copy that the store was restored from. Not thread-safe.
#ifndef VERBENARIDGE_DIRECTORY_ENDPOINT_TABLE_H_
#define VERBENARIDGE_DIRECTORY_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::directory {

struct Endpoint {
  EndpointId id;
  ServiceId service;
  std::string ip;
  std::uint16_t port = 0;
  DataCentreId data_centre;
  std::size_t slots = 0;
  // Start time of the endpoint process in milliseconds since 1970; 0: unknown. A process that was
  // restarted under the same id has no state of the earlier one.
  std::uint64_t start_unix_ms = 0;
  bool draining = false;
  bool cold = false;  // it says that it has not warmed up yet

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// Whether the fields can be those of an endpoint. Other writers than endpoints can create entries.
// Names are sent in headers, written to logs and passed to all hosts, so they are short and have no
// control characters.
bool IsPlausible(const Endpoint& endpoint);

struct EndpointTableOptions {
  // Time within which a live endpoint renews its entry after an outage. Entries that are still
  // missing then are removed.
  Duration lapsed_entry_grace = std::chrono::seconds(2);
  // Entries may have expired after this time without a successful read. Two heartbeats.
  Duration outage_threshold = std::chrono::milliseconds(2400);
};

class EndpointTable {
 public:
  explicit EndpointTable(const EndpointTableOptions& options = {}) : options_(options) {}

  struct Change {
    enum class Kind : std::uint8_t { kAdded, kRestarted, kDraining, kRemoved, kMoved };
    Kind kind = Kind::kAdded;
    Endpoint endpoint;
  };

  void SetOutageThreshold(Duration limit) { options_.outage_threshold = limit; }

  // Replaces the entries by those just read, all entries of the store. Returns the changes.
  std::vector<Change> OnEntriesRead(std::vector<Endpoint> entries, TimePoint now);

  // Records a read that returned the same entries as the last one. Returns false if the table may
  // still change, because an outage has ended or lapsed entries are kept. The caller must then call
  // OnEntriesRead.
  bool OnEntriesUnchanged(TimePoint now);

  void OnReadFailed(TimePoint now);

  std::vector<Endpoint> endpoints() const;
  bool loaded() const { return loaded_; }

 private:
  EndpointTableOptions options_;
  std::map<EndpointId, Endpoint> endpoints_;
  bool loaded_ = false;
  bool store_failing_ = false;
  bool keeps_lapsed_ = false;  // has endpoints that were missing from the last read
  TimePoint last_read_{};
  TimePoint keep_lapsed_until_{};
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_ENDPOINT_TABLE_H_
