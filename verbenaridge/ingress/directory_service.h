// Keeps this host's copy of configuration and endpoints current, from the store and from peers.
//
//   DirectoryService directory(io_context, options, store, clock, random, outputs);
//   Status opened = directory.Open();
//   directory.Start();
//
// One of the hosts reads from the store in each interval and tells the others; those that have the
// same need not read. A host that the store turns away asks the peer that told it. The version of
// the configuration never goes back.
#ifndef VERBENARIDGE_INGRESS_DIRECTORY_SERVICE_H_
#define VERBENARIDGE_INGRESS_DIRECTORY_SERVICE_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/directory/directory_store.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/directory/refresh_schedule.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/ingress/peer_directory.h"
#include "verbenaridge/ingress/peer_list.h"
#include "verbenaridge/loop/periodic.h"
#include "verbenaridge/wire/datagram_socket.h"

namespace verbenaridge::ingress {

struct DirectoryOptions {
  HostId self;
  std::string ip;
  DataCentreId data_centre;
  double capacity = 0;     // share of a processor
  std::uint16_t port = 0;  // TCP and UDP, the same on all hosts
  wire::FleetKeys keys;
  std::vector<std::string> seeds;
  Incarnation incarnation = 0;
  Duration endpoint_heartbeat{};
  // Versions must be in force within 2 s, and a leaving endpoint gets no work after 2 s.
  directory::RefreshOptions refresh{.interval = std::chrono::milliseconds(450),
                                    .jitter = std::chrono::milliseconds(450)};
  // Of a host that does not keep the load board: it hears of the readings of those that do, twice
  // a second, and reads only when it does not: the store may turn away just those.
  Duration listening_interval = std::chrono::milliseconds(900);
  // All listening hosts together read about so often when they hear of no reading, and all hosts
  // together call a store that does not answer about so often, for each value.
  Duration outage_interval = std::chrono::milliseconds(125);
  Duration max_retry_delay = std::chrono::seconds(16);
  // A host that has read nothing for so long says that it lives.
  Duration notice_interval = std::chrono::seconds(1);
  // A host that does not keep the board waits so long for a near one to tell it of a change before
  // it asks a far one. The near one may be dead and not missed yet.
  Duration near_wait = std::chrono::milliseconds(400);
  PeerListOptions peers{};
};

struct DirectoryOutputs {
  std::function<void(forwarding::SnapshotPtr)> snapshot;
  // Whether this host keeps the load board, and the other hosts that do, the nearest first.
  std::function<void(bool, std::vector<std::string>)> keepers;
  std::function<void(Incarnation)> peer_gone;  // dead, or started anew
  std::function<void()> peer_started;          // knows nothing of the work of the others
};

// Used by the control thread.
class DirectoryService final : private DirectoryContent {
 public:
  DirectoryService(asio::io_context& io_context, const DirectoryOptions& options,
                   directory::DirectoryStore& store, const Clock& clock, RandomSource& random,
                   DirectoryOutputs outputs);

  Status Open();
  void Start();

  // Tells the peers that this host leaves.
  void AnnounceLeaving();

  // Takes over settings that have changed.
  void AddSeeds(std::span<const std::string> seeds);
  void SetEndpointHeartbeat(Duration heartbeat);

  bool ready() const { return configuration_ != nullptr && table_.loaded(); }
  std::uint64_t version() const;
  std::vector<directory::Endpoint> endpoints() const { return table_.endpoints(); }
  Digest endpoints_digest() const { return last_digest_; }  // of the last reading; 0: none
  std::size_t hosts() const { return peers_.live(); }
  // Hosts that this one hears.
  std::vector<PeerInfo> peers() const { return peers_.Live(); }
  bool keeps_board() const { return peers_.Keeps(); }
  bool store_works() const { return store_works_; }
  Duration configuration_age() const {
    return clock_.Now() - configuration_schedule_.last_current();
  }
  Duration endpoints_age() const { return clock_.Now() - endpoints_schedule_.last_current(); }

 private:
  // DirectoryContent
  wire::FetchDirectoryReply Content(const wire::FetchDirectoryRequest& have) const override;

  void Tick();
  void NoticePause(TimePoint now);
  void SetIntervals();

  void ReadConfiguration();
  void OnConfigurationRead(Result<directory::StoredConfiguration> reading);
  void OnConfigurationPolled(Result<std::optional<directory::StoredConfiguration>> reading);
  // True if it is newer than what was known.
  bool Adopt(std::shared_ptr<const directory::Configuration> configuration,
             std::string_view source);
  void OnNewReading(directory::StoredConfiguration reading);
  void OnConfigurationFailed(std::error_code error);

  void ReadEndpoints();
  void OnEndpointsRead(Result<directory::StoredEndpoints> reading);
  void ApplyEndpoints(std::vector<directory::Endpoint> entries, std::string_view source);
  void ApplyToTable(std::vector<directory::Endpoint> entries, std::string_view source);
  // A reading without news. False if it must go to the table nevertheless.
  bool NoteSameEndpoints();

  void OnNotice(const wire::DirectoryGossip& notice, const std::string& ip);
  void OnConfigurationNotice(const wire::DirectoryGossip& notice, const std::string& ip);
  void OnEndpointsNotice(const wire::DirectoryGossip& notice, const std::string& ip);
  // To one host, or to all that it concerns.
  void SendNotice(const std::string* to);
  // A host that keeps the board passes on what it heard if it cannot read for itself.
  void RelayNews();
  // The peer has something else than this host.
  void OnDifference(const wire::DirectoryGossip& notice, const std::string& ip,
                    directory::RefreshSchedule& schedule);
  void AskPeer();
  Result<std::shared_ptr<const directory::Configuration>> Unpack(std::string_view packed) const;
  void OnPeerContent(Result<wire::FetchDirectoryReply> reply, const std::string& ip);

  void NoteStore(bool works, std::error_code error);
  void Publish();

  const DirectoryOptions options_;
  directory::DirectoryStore& store_;
  const Clock& clock_;
  RandomSource& random_;
  const DirectoryOutputs outputs_;
  PeerList peers_;
  wire::DatagramSocket socket_;
  PeerDirectory peer_directory_;
  loop::Periodic tick_;
  bool started_ = false;

  directory::RefreshSchedule configuration_schedule_;
  directory::RefreshSchedule endpoints_schedule_;
  std::shared_ptr<const directory::Configuration> configuration_;
  std::uint64_t revision_ = 0;  // of the store, when it was read
  // The document as peers get it, compressed: with 1,500 routes it has 400 KB, and one host of a
  // data centre sends it to all others there over a link of perhaps 14 Mbit/s.
  std::string packed_document_;
  bool read_anew_ = true;  // the history since the last reading is gone
  directory::EndpointTable table_;
  std::vector<directory::Endpoint> last_entries_;
  Digest last_digest_ = 0;
  std::string informed_peer_;  // the last one that had something else than this host
  bool asking_peer_ = false;
  std::optional<TimePoint> differs_since_;  // peers have something that this host does not have
  bool store_works_ = true;
  TimePoint last_notice_{};
  TimePoint last_published_{};
  TimePoint last_tick_{};
  std::pair<bool, std::vector<std::string>> published_keepers_;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_DIRECTORY_SERVICE_H_
