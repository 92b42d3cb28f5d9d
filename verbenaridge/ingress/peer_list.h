// Tracks the other hosts of the system from their gossip, and which of them are schedulers.
//
//   PeerList peers({.host = own_id, .ip = own_ip, .data_centre = centre, .capacity = 0.17}, {});
//   peers.AddSeed("10.1.0.40");
//   peers.OnGossip(info, now);
//   const PeerList::GossipRound round = peers.StartRound(now, /*news=*/false);
//   for (const std::string& ip : round.addresses) Send(ip, gossip);
//
// Hosts discover each other through the seeds and through samples of hosts in gossip datagrams. A
// few hosts of each data centre are schedulers, those with the largest processor share first. A
// host is a scheduler unless it knows enough higher-ranked schedulers of its data centre, so no
// agreement protocol is needed. A host knows those that send it gossip and, until it first hears
// from them, those that others mention as schedulers. A host whose gossip shows that it does not
// know the schedulers gets a reply that mentions them.
//
// Schedulers send gossip to all hosts. The others send it to the schedulers, less often to those of
// other data centres. A host that has just become a scheduler, as each host does when it starts,
// tells only its own data centre and the schedulers of the others: otherwise a start of all hosts
// costs a number of datagrams that grows with the square of their number. Used by one thread.
#ifndef VERBENARIDGE_INGRESS_PEER_LIST_H_
#define VERBENARIDGE_INGRESS_PEER_LIST_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::ingress {

struct PeerListOptions {
  Duration interval = std::chrono::seconds(1);  // between two rounds of gossip
  // A host that has just started sends gossip more often: while hosts that start together do not
  // know the schedulers, each decides alone.
  Duration start_interval = std::chrono::milliseconds(200);
  Duration start_period = std::chrono::seconds(1);
  // A host that sends no gossip for this long counts as dead.
  Duration peer_timeout = std::chrono::milliseconds(3'500);
  // A host that is no scheduler sends gossip to other data centres at this interval, unless it has
  // read from the store, and counts as dead there after the timeout.
  Duration far_interval = std::chrono::seconds(2);
  Duration far_timeout = std::chrono::seconds(7);
  // A host that has been a scheduler for this long sends gossip to all hosts. Until then it may
  // hear of higher-ranked ones.
  Duration settle_time = std::chrono::seconds(2);
  // Time between two rounds with a sample of hosts after `start_period`, when most are known.
  Duration sample_interval = std::chrono::seconds(4);
  // A host that others mention as a scheduler and that has never sent gossip to this one counts as
  // a scheduler for this long. Longer than `settle_time`, after which it sends gossip to all hosts.
  Duration presumption = std::chrono::milliseconds(2'500);
  // How long the address of a host is kept after it was last mentioned or the host timed out.
  Duration address_retention = std::chrono::seconds(40);
  // Hosts in one gossip datagram: the schedulers, and at least `min_sampled_others` others.
  std::size_t sample_size = 8;
  std::size_t min_sampled_others = 3;
  // Two, so that one may fail. Few, because placements decided at one host do not conflict, and
  // each request costs a datagram to every scheduler.
  std::size_t schedulers_per_data_centre = 2;
  // Period over which RecentMaxHosts takes the maximum.
  Duration recent_window = std::chrono::seconds(30);
  // Assumed minimum until `discovery_time` has passed since the start.
  std::size_t assumed_hosts = 20;
  Duration discovery_time = std::chrono::seconds(5);
};

// A host that another one has mentioned.
struct KnownHost {
  HostId host;
  std::string ip;
  DataCentreId data_centre;  // empty: unknown
  double capacity = 0;       // share of a processor
  bool is_scheduler = false;
};

// What a host tells its peers about itself.
struct PeerInfo {
  HostId host;
  std::string ip;
  DataCentreId data_centre;
  double capacity = 0;  // share of a processor
  Incarnation incarnation = 0;
  bool is_scheduler = false;
  std::size_t live_hosts = 0;  // in the system, including itself
};

class PeerList {
 public:
  explicit PeerList(PeerInfo self, const PeerListOptions& options = {})
      : self_(std::move(self)), options_(options) {}

  void AddSeed(std::string_view ip);

  enum class Change : std::uint8_t { kNone, kNew, kRestarted };
  struct GossipResult {
    Change change = Change::kNone;
    Incarnation previous = 0;  // incarnation of a restarted host before its restart
    // The peer should be told the schedulers: it is new, or wrong about who they are.
    bool reply = false;
  };
  // `is_reply`: the gossip answers one of this host.
  GossipResult OnGossip(const PeerInfo& info, bool is_reply, TimePoint now);

  // Records a host that another host mentioned.
  void OnMentioned(const KnownHost& host, TimePoint now);

  // Removes the host. Returns its last incarnation if it was live.
  std::optional<Incarnation> OnLeaving(const HostId& host);

  // Returns the hosts that have timed out since the last call. They are no longer live.
  std::vector<std::pair<HostId, Incarnation>> RemoveTimedOut(TimePoint now);

  // Whether this host is a scheduler.
  bool IsScheduler() const;

  // Addresses of the other schedulers, those of this data centre first. Of the hosts that say that
  // they are schedulers, the highest-ranked ones of each data centre.
  std::vector<std::string> Schedulers() const;

  // Whether another live scheduler is in this data centre.
  bool HasLocalScheduler() const;

  struct GossipRound {
    std::vector<std::string> addresses;
    bool with_sample = false;
    bool is_reply = false;  // to gossip of the only address
  };
  // Time from the last round to the next one.
  Duration RoundInterval(TimePoint now) const;

  // Returns to whom this host sends gossip now. `news`: it has just read from the store.
  GossipRound StartRound(TimePoint now, bool news);

  // Addresses of all hosts to which this host sends gossip.
  std::vector<std::string> GossipTargets() const;

  // Addresses of all other hosts that this one knows.
  std::vector<std::string> KnownAddresses() const;

  // Addresses of the other live hosts of this data centre.
  std::vector<std::string> LocalTargets() const;
  // Whether this host has just become a scheduler, so that schedulers of other data centres may not
  // send gossip to all hosts yet.
  bool IsSettling(TimePoint now) const;

  // Live hosts for a gossip datagram: the schedulers of each data centre, then others at random.
  std::vector<KnownHost> Sample(RandomSource& random) const;

  // Peers that have not timed out.
  std::vector<PeerInfo> LivePeers() const;

  // Number of live hosts in the system, including this one.
  std::size_t live_hosts() const;

  // Highest number of live hosts within the recent window. A limit that all hosts share is divided
  // by it, so that hosts that are cut off from the others do not exceed their part.
  std::size_t RecentMaxHosts(TimePoint now);

 private:
  struct Peer {
    PeerInfo info;
    bool live = false;      // has not timed out
    TimePoint last_seen{};  // last gossip or mention
    // Mentioned as a scheduler before its first gossip. Not set after a timeout: the hosts that
    // mention a dead one notice its end later than this host.
    bool presumed = false;
    TimePoint presumed_until{};

    bool claims_scheduler() const { return info.is_scheduler && (live || presumed); }
  };
  // Larger ranks first.
  using Rank = std::pair<double, double>;

  static Rank RankOf(const PeerInfo& info);
  bool IsOutranked(const PeerInfo& info) const {
    return SchedulersBefore(info) >= options_.schedulers_per_data_centre;
  }
  bool IsLocal(const PeerInfo& info) const { return info.data_centre == self_.data_centre; }
  Duration TimeoutOf(const PeerInfo& info) const;
  // Number of schedulers of the data centre that rank before `info`, this host included.
  std::size_t SchedulersBefore(const PeerInfo& info) const;
  std::vector<const Peer*> RankedSchedulers() const;
  std::vector<std::string> NearTargets() const;
  std::size_t live_peers() const;

  PeerInfo self_;
  const PeerListOptions options_;
  std::map<HostId, Peer> peers_;
  std::vector<std::string> seeds_;
  std::optional<TimePoint> first_round_;
  std::optional<TimePoint> last_far_round_;
  std::optional<TimePoint> last_sample_;
  std::optional<TimePoint> scheduler_since_;
  std::optional<TimePoint> first_count_time_;
  std::deque<std::pair<TimePoint, std::size_t>> host_counts_;  // descending by count
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_PEER_LIST_H_
