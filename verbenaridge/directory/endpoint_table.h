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
// one, from a copy that the store was restored from.
//
//   table.OnStoreRestored(now);         // it came back from a copy that is some seconds old
//   table.OnEntriesRead(entries, now);  // what the copy has, and what was written since
//
// For a while after a restore, what the table knows counts more than an older entry, until
// endpoints that are alive have written again and entries of others have expired. Not thread-safe.
#ifndef VERBENARIDGE_DIRECTORY_ENDPOINT_TABLE_H_
#define VERBENARIDGE_DIRECTORY_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/directory/departed_endpoints.h"

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
  // Time after a restore of the store within which entries of endpoints that are gone expire again
  // and this host learns of it: three heartbeats and a second for the read.
  Duration restored_entry_time = std::chrono::milliseconds(4600);
  DepartedEndpointsOptions departed{};
};

class EndpointTable {
 public:
  explicit EndpointTable(const EndpointTableOptions& options = {})
      : options_(options), departed_(options.departed) {}

  struct Change {
    enum class Kind : std::uint8_t { kAdded, kRestarted, kDraining, kRemoved, kMoved };
    Kind kind = Kind::kAdded;
    Endpoint endpoint;
  };

  // Sets the times that depend on how often endpoints renew their entries.
  void SetHeartbeat(Duration heartbeat);

  // Records that the store has been restored from a copy. To be called once for each restore,
  // before the first entries that were read after it; entries that were read before it may still
  // follow. Has no effect before the first read.
  //
  // For `lapsed_entry_grace`, endpoints without an entry are kept. For `restored_entry_time`:
  // - An endpoint that had left before is not used. One that was removed since and returns has
  //   written again, and is used at once.
  // - An entry of an earlier process than the known one is ignored.
  // - A process that is known to be cold stays so. A warm one may become cold at any moment, so an
  //   entry that says so is believed; if it is an older one, the next one corrects it.
  // - Without a start time, an endpoint that drained stays draining, and one that had left is not
  //   used, as it may be the same process. Afterwards such entries are believed.
  void OnStoreRestored(TimePoint now);

  // Replaces the entries by those just read, all entries of the store. Returns the changes.
  std::vector<Change> OnEntriesRead(std::vector<Endpoint> entries, TimePoint now);

  // Records a read that returned the same entries as the last one. Returns false if the table may
  // still change, because an outage has ended or some endpoints are not as their entries say. The
  // caller must then call OnEntriesRead.
  bool OnEntriesUnchanged(TimePoint now);

  void OnReadFailed(TimePoint now);

  std::vector<Endpoint> endpoints() const;
  bool loaded() const { return loaded_; }

 private:
  // Whether the entry may be of an endpoint that left before the last restore.
  bool MayHaveLeft(const Endpoint& entry, TimePoint now) const;
  // Completes the entry of an endpoint that the table does not have.
  void Add(Endpoint& entry);
  // Replaces what an older entry says by what is known.
  void KeepKnown(const Endpoint& known, Endpoint& entry, TimePoint now);

  EndpointTableOptions options_;
  std::map<EndpointId, Endpoint> endpoints_;
  DepartedEndpoints departed_;
  bool loaded_ = false;
  bool store_failing_ = false;
  bool may_change_ = false;  // by time alone: some endpoints are not as in the last read
  TimePoint last_read_{};
  TimePoint keep_lapsed_until_{};
  TimePoint restored_{};
  TimePoint restored_until_{};  // entries may be older than what is known
};

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_ENDPOINT_TABLE_H_
