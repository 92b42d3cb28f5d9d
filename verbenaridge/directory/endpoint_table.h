// Decides which endpoints exist and which may get new work, from readings of the store's entries.
//
//   EndpointTable table({.lapsed_entry_grace = std::chrono::seconds(2)});
//   table.OnEntriesRead(entries, now);   // a whole reading of the store
//   table.OnReadFailed(now);
//   for (const Endpoint& endpoint : table.endpoints()) { ... }
//
// Entries may lapse while the store is away although their endpoints live. So an entry that is
// missing in the first reading after an outage is kept until `lapsed_entry_grace` later; then it is
// gone. Not thread-safe.
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
  // Unix milliseconds of its start, 0 if not told: a later start under the same id knows nothing of
  // what ran before.
  std::uint64_t start_unix_ms = 0;
  bool draining = false;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

struct EndpointTableOptions {
  // Entries that lapsed during an outage are back this long after its end, or their endpoint is
  // gone.
  Duration lapsed_entry_grace = std::chrono::seconds(2);
  // Without a successful reading for so long, entries may have lapsed. Two heartbeats.
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

  // A whole, current reading. Returns what changed.
  std::vector<Change> OnEntriesRead(std::vector<Endpoint> entries, TimePoint now);

  // A current reading has the same entries as the last one. False if that may change something
  // nevertheless: then it must be given whole.
  bool OnEntriesUnchanged(TimePoint now);

  void OnReadFailed(TimePoint now);

  std::vector<Endpoint> endpoints() const;
  bool loaded() const { return loaded_; }

 private:
  EndpointTableOptions options_;
  std::map<EndpointId, Endpoint> endpoints_;
  bool loaded_ = false;
  bool failing_ = false;
  bool keeps_missing_ = false;  // endpoints that the last reading did not have
  TimePoint last_reading_{};
  TimePoint keep_missing_until_{};
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_ENDPOINT_TABLE_H_
