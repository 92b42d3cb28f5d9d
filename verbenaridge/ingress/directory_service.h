// Keeps the configuration and the endpoints on this host current, from the store and from peers.
//
//   DirectoryService directory(io_context, options, store, clock, random, outputs);
//   Status opened = directory.Open();
//   directory.Start();
//
// One host reads from the store and informs the others by gossip. They fetch changed values from
// the peer that reported them and read from the store only if no peer can send the values or nobody
// reports reads. The version of the configuration never decreases.
#ifndef VERBENARIDGE_INGRESS_DIRECTORY_SERVICE_H_
#define VERBENARIDGE_INGRESS_DIRECTORY_SERVICE_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/directory/directory_store.h"
#include "verbenaridge/directory/endpoint_history.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/directory/evacuations.h"
#include "verbenaridge/directory/refresh_schedule.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/ingress/crash_notice.h"
#include "verbenaridge/ingress/directory_link.h"
#include "verbenaridge/ingress/peer_list.h"

namespace verbenaridge::ingress {

struct DirectoryOptions {
  HostId self;
  std::string ip;
  DataCentreId data_centre;
  double capacity = 0;     // processor share of this host
  std::uint16_t port = 0;  // TCP and UDP; the same on all hosts
  wire::FleetKeys keys;
  std::vector<std::string> seeds;
  Incarnation incarnation = 0;
  Duration endpoint_heartbeat{};
  directory::RefreshOptions refresh{};
  // Of hosts that are not schedulers. Gossip about the reads of schedulers arrives twice a second;
  // without it they read from the store themselves, as the store may reject just the schedulers.
  // All of them try within the jitter, few at first: the first one that succeeds informs the others
  // before most of them have called a store that works.
  directory::RefreshIntervals passive{.interval = std::chrono::milliseconds(750),
                                      .jitter = std::chrono::milliseconds(750),
                                      .jitter_power = 3};
  // Interval between the calls, for each value, of all hosts together to a store that does not
  // respond or rejects them.
  Duration outage_interval = std::chrono::milliseconds(125);
  Duration max_retry_delay = std::chrono::seconds(16);
  // A host that is not a scheduler waits this long for a scheduler of its data centre to report a
  // change before it asks one of another data centre. The local one may have died and not timed
  // out yet.
  Duration local_wait = std::chrono::milliseconds(400);
  // How long an evacuation that a restore of the store has lost is obeyed, unless the operator
  // writes it again or takes it back. Operators need some seconds to notice a restore; an order
  // that they took back meanwhile leaves no trace in the store and binds capacity until then.
  Duration lost_evacuation_time = std::chrono::seconds(15);
  // Whether operators may evacuate data centres. A host then serves nothing before it knows which
  // ones are.
  bool evacuation = false;
  PeerListOptions peers{};
};

struct DirectoryOutputs {
  std::function<void(forwarding::SnapshotPtr)> snapshot;
  // Whether this host is a scheduler, and the addresses of the other schedulers, nearest first.
  std::function<void(bool, std::vector<std::string>)> schedulers;
  std::function<void(Incarnation)> peer_gone;     // left, timed out or restarted
  std::function<void()> peer_started;             // does not know the tasks of the others
  std::function<void(CrashNotice)> crash_notice;  // of a peer
};

// Used by the control thread.
class DirectoryService final : private DirectoryEvents {
 public:
  DirectoryService(asio::io_context& io_context, const DirectoryOptions& options,
                   directory::DirectoryStore& store, const Clock& clock, RandomSource& random,
                   DirectoryOutputs outputs);
  DirectoryService(std::unique_ptr<DirectoryLink> link, const DirectoryOptions& options,
                   directory::DirectoryStore& store, const Clock& clock, RandomSource& random,
                   DirectoryOutputs outputs);

  Status Open();
  void Start();

  // Tells all peers that this host is leaving.
  void AnnounceLeaving();

  // Gossip carries the notice from now on. A scheduler sends it to all hosts at once.
  void SetCrashNotice(CrashNotice notice);

  // Apply changed settings.
  void AddSeeds(std::span<const std::string> seeds);
  void SetEndpointHeartbeat(Duration heartbeat);

  bool ready() const { return configuration_ != nullptr && table_.loaded() && knows_evacuations(); }
  std::uint64_t version() const;
  std::vector<directory::Endpoint> endpoints() const { return table_.endpoints(); }
  // Data centres that are evacuated, in the order of their names.
  std::span<const DataCentreId> evacuated() const { return evacuations_.in_force(); }
  Digest endpoints_digest() const { return last_digest_; }  // of the last read; 0: none
  std::size_t hosts() const { return peers_.live_hosts(); }
  // Peers that have not timed out.
  std::vector<PeerInfo> peers() const { return peers_.LivePeers(); }
  bool is_scheduler() const { return peers_.IsScheduler(); }
  bool store_works() const { return store_works_; }
  Duration configuration_age() const {
    return clock_.Now() - configuration_schedule_.last_current();
  }
  Duration endpoints_age() const { return clock_.Now() - endpoints_schedule_.last_current(); }

 private:
  // What gossip reported of a value that this host does not have.
  struct NewerValue {
    std::string ip;  // of the peer
    std::uint64_t version = 0;
    Digest endpoints_digest = 0;
    directory::StorePosition endpoints_position;
    TimePoint endpoints_read{};
    TimePoint first_reported{};
  };

  // DirectoryEvents
  wire::FetchDirectoryReply Content(const wire::FetchDirectoryRequest& have) const override;
  void OnGossip(const wire::DirectoryGossip& gossip, const std::string& ip) override;
  void Tick() override;

  void DetectStall(TimePoint now);
  void SetIntervals();

  bool knows_evacuations() const { return !options_.evacuation || evacuations_.known(); }
  // Reads all evacuations after the configuration.
  void ReadEvacuations();
  void OnFullRead();
  std::vector<directory::EvacuationChange> ReplaceEvacuations(directory::EvacuationView view);
  void OnEvacuationsChanged(std::span<const directory::EvacuationChange> changes,
                            std::string_view source);
  void OnEvacuationGossip(const wire::DirectoryGossip& gossip);

  void ReadConfiguration();
  void OnConfigurationRead(Result<directory::StoredConfiguration> stored);
  void OnConfigurationPolled(Result<directory::ConfigurationNews> news);
  // Returns true if it is newer than the configuration in force.
  bool Adopt(std::shared_ptr<const directory::Configuration> configuration,
             std::string_view source);
  void OnNewConfiguration(directory::StoredConfiguration stored);
  void OnConfigurationFailed(std::error_code error);

  // Logs when this host takes over the reading of a value.
  void RecordRead(directory::RefreshSchedule& schedule, std::string_view value);

  bool MayReadEndpoints() const;
  void ReadEndpoints();
  // Returns a callback that calls `handler` unless this service has been destroyed.
  template <class Value, class Handler>
  std::function<void(Result<Value>)> WhileAlive(Handler handler) const {
    return [alive = std::weak_ptr<const bool>(alive_),
            handler = std::move(handler)](Result<Value> value) mutable {
      if (!alive.expired()) handler(std::move(value));
    };
  }
  void OnEndpointsRead(Result<directory::StoredEndpoints> stored);
  // Whether a list that was current at the position and time replaces the one of this host. The
  // position decides: a time that a peer reports says how old the list was when the report was
  // sent, and reports wait in the sockets of slow and frozen hosts. Only lists of peers or stores
  // that do not tell a position are compared by time.
  bool IsNewerList(const directory::StorePosition& position, TimePoint read) const;
  // What a peer reports. One of an earlier release tells neither era nor revision; the era is taken
  // for that of this host.
  directory::StorePosition ReportedPosition(directory::StoreEra era, std::uint64_t revision) const;
  // The endpoints of this host are those at this position. Tells the table if the store was
  // restored since the last one.
  void SetEndpointsPosition(const directory::StorePosition& position);
  void ApplyEndpoints(std::vector<directory::Endpoint> entries, std::string_view source);
  void ApplyToTable(std::vector<directory::Endpoint> entries, std::string_view source);
  // Handles unchanged endpoints. Returns false if the table still needs a full update.
  bool HandleUnchangedEndpoints();

  void OnConfigurationGossip(const wire::DirectoryGossip& gossip, const std::string& ip);
  // Whether a read that the gossip reports is one that this host need not make.
  bool Replaces(const directory::RefreshSchedule& schedule,
                const wire::DirectoryGossip& gossip) const;
  void OnEndpointsGossip(const wire::DirectoryGossip& gossip, const std::string& ip);
  // `news`: about a read of the store.
  void SendGossip(bool news);
  void SendGossip(const PeerList::GossipRound& round);
  Duration AgeToReport(const directory::RefreshSchedule& schedule) const;
  // Relays what gossip reported if this host is a scheduler and cannot read from the store.
  void RelayGossip();
  // Reports values that a scheduler fetched to the hosts that fetch from it.
  void RelayChange();
  // Handles gossip of a peer that has a newer value than this host.
  void OnPeerHasNewer(const wire::DirectoryGossip& gossip, const std::string& ip);
  bool IsNewer(const NewerValue& value) const;
  void Fetch();
  Result<std::shared_ptr<const directory::Configuration>> DecodeDocument(
      std::string_view compressed) const;
  void OnFetched(Result<wire::FetchDirectoryReply> reply, const std::string& ip);
  // Return true if the content is newer than what this host has.
  bool AdoptFetchedConfiguration(wire::FetchDirectoryReply& content, const std::string& ip);
  bool AdoptFetchedEndpoints(const wire::FetchDirectoryReply& content, const std::string& ip);
  // The endpoints that the reply describes; nothing if it is a difference from other ones than this
  // host has.
  std::optional<std::vector<directory::Endpoint>> EntriesOf(
      const wire::FetchDirectoryReply& content) const;

  void SetStoreWorks(bool works, std::error_code error);
  void Publish();

  const DirectoryOptions options_;
  directory::DirectoryStore& store_;
  const Clock& clock_;
  RandomSource& random_;
  const DirectoryOutputs outputs_;
  PeerList peers_;
  const std::unique_ptr<DirectoryLink> link_;
  bool started_ = false;

  directory::RefreshSchedule configuration_schedule_;
  directory::RefreshSchedule endpoints_schedule_;
  std::shared_ptr<const directory::Configuration> configuration_;
  directory::Evacuations evacuations_;
  TimePoint forget_lost_evacuations_{};
  bool published_evacuations_ = false;
  bool evacuations_read_needed_ = true;  // with the next full read
  directory::StorePosition position_;    // of the last read of the configuration
  // The stored document in compressed form, as sent to peers. With 1,500 routes it has 400 KB
  // uncompressed, and one host sends it to all others of its data centre over a link of perhaps
  // 14 Mbit/s.
  std::string compressed_document_;
  bool full_read_needed_ = true;  // a poll cannot tell what is newest
  directory::EndpointTable table_;
  std::vector<directory::Endpoint> last_entries_;  // sorted by id
  Digest last_digest_ = 0;
  directory::StorePosition endpoints_position_;      // up to which the last entries are current
  directory::StorePosition endpoints_read_started_;  // the same when the last read started
  directory::EndpointHistory history_;
  bool fetch_all_endpoints_ = false;  // after a difference that did not fit
  std::optional<NewerValue> newer_;   // last report of a value to fetch
  bool fetching_ = false;
  bool store_works_ = true;
  // Last gossip of a scheduler with evacuations of an earlier era than the known one. It does not
  // relay what this host reads.
  std::optional<TimePoint> heard_earlier_scheduler_;
  CrashNotice crash_notice_;
  TimePoint last_gossip_{};
  TimePoint last_published_{};
  TimePoint last_tick_{};
  std::pair<bool, std::vector<std::string>> published_schedulers_;
  // Replies of the store and of peers hold weak references: they may arrive after the destruction.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_DIRECTORY_SERVICE_H_
