// The members of the fleet as seen by one daemon, maintained by SWIM-style probing over datagrams.
// It is a state machine without I/O: the daemon sends the datagrams that it returns.
//
//   MembershipTable table({.self = self, .seeds = seeds}, random, now);
//   auto output = table.Tick(now);                        // every 100 ms
//   auto output = table.OnDatagram(from, kind, gossip, now);
#ifndef VERBENARIDGE_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define VERBENARIDGE_MEMBERSHIP_MEMBERSHIP_TABLE_H_

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/membership/gossip_queue.h"
#include "verbenaridge/membership/member.h"
#include "verbenaridge/membership/owner_ranking.h"

namespace verbenaridge::membership {

// One entry of the platform's host list.
struct HostListEntry {
  HostId host;
  DataCentreId data_centre;
  std::string ip;
  std::uint16_t port = 0;
  bool leaving = false;
};

// Not thread-safe; used on the control thread.
class MembershipTable {
 public:
  struct Options {
    // The incarnation must be higher than after earlier starts of this host. Milliseconds of the
    // wall clock are sufficient, because a restart takes longer than any backward step of the
    // host's clock.
    Member self;
    std::vector<Member> seeds = {};  // from the settings
    std::map<DataCentreId, RegionId> regions = {};

    Duration probe_interval = std::chrono::seconds(1);
    // A direct ack takes a few ms; the rest of the probe interval of 1 s is for indirect probes.
    Duration direct_timeout = std::chrono::milliseconds(300);
    std::size_t indirect_probes = 3;
    Duration suspicion_time = std::chrono::seconds(3);
    Duration gossip_interval = std::chrono::milliseconds(500);
    Duration pause_gap = std::chrono::seconds(2);
    // Dead members are probed at this interval, one at a time, so that both sides of a partition
    // find each other after it heals.
    Duration dead_probe_interval = std::chrono::seconds(1);
    // A dead host that is neither in the settings nor in the host list is removed after this time.
    Duration forget_after = std::chrono::minutes(5);
    // Bytes for members per datagram. Gossip datagrams carry endpoint summaries and plan versions
    // too. A datagram must not exceed 1,200 bytes, and 2.5 gossip datagrams and probes per second
    // must not exceed 4 KB/s.
    std::size_t probe_gossip_bytes = 250;
    std::size_t push_gossip_bytes = 500;
    // Old entries that are repeated if there is room, so that lost updates arrive eventually.
    std::size_t refresh_entries = 2;
    // A host that starts receives the entire table from the members that it pings. Each member
    // sends at most one such transfer per interval; 380 members take about 22 datagrams.
    std::size_t transfer_bytes = 1000;
    Duration transfer_interval = std::chrono::seconds(1);
  };

  MembershipTable(Options options, RandomSource& random, TimePoint now);

  // Call it every 100 ms. A longer interval than `pause_gap` counts as a pause of this host.
  MembershipOutput Tick(TimePoint now);

  MembershipOutput OnDatagram(const HostId& from, const DatagramKind& kind,
                              std::span<const Member> gossip, TimePoint now);

  // The list lags behind and may contradict the probes. It adds members, but never makes a known
  // one live or dead.
  MembershipOutput OnHostList(std::span<const HostListEntry> hosts, TimePoint now);

  // Announces that this host takes no new requests, or that it takes them again.
  MembershipOutput SetLeaving(bool leaving, TimePoint now);

  // Announces that this host stops, so that the other members need not detect it by probing. Send
  // the datagrams before the process exits.
  MembershipOutput Stop(TimePoint now);

  // All members, including this host and dead members.
  const std::map<HostId, Member>& members() const { return members_; }
  const Member& self() const { return self_; }

  // True for alive, suspect and leaving members.
  bool Live(const HostId& host) const;
  bool ListedLive(const HostId& host) const { return listed_.contains(host); }
  std::size_t live_count() const;

  // Members that may own endpoints or client accounts: live and not leaving.
  std::vector<WeightedHost> OwnersOfDataCentre(const DataCentreId& data_centre) const;
  std::vector<WeightedHost> OwnersOfRegion(const RegionId& region) const;

 private:
  // State of a member that is not shared with other hosts.
  struct LocalState {
    std::optional<TimePoint> suspected;  // time at which the probe failed or the suspicion arrived
    TimePoint died{};
  };

  struct Probe {
    std::uint64_t sequence = 0;
    HostId target;
    TimePoint started{};
    bool indirect = false;
    bool acked = false;
  };

  // A ping that was sent for another member.
  struct Relay {
    HostId requester;
    std::uint64_t requester_sequence = 0;
    TimePoint sent{};
  };

  void DetectPause(TimePoint now, MembershipOutput& output);
  void NewIncarnation(TimePoint now, MemberEventKind kind, MembershipOutput& output);
  void OnUpdate(const Member& update, TimePoint now, MembershipOutput& output);
  void OnUpdateOfSelf(const Member& update, TimePoint now, MembershipOutput& output);
  void Store(const Member& update, TimePoint now, MembershipOutput& output);
  void StartProbe(TimePoint now, MembershipOutput& output);
  void ContinueProbe(TimePoint now, MembershipOutput& output);
  void FailProbe(TimePoint now, MembershipOutput& output);
  void ProbeDead(TimePoint now, MembershipOutput& output);
  void ExpireSuspicions(TimePoint now, MembershipOutput& output);
  void RemoveDead(TimePoint now, MembershipOutput& output);
  void PushGossip(MembershipOutput& output);
  bool HasJustStarted(const HostId& from, std::span<const Member> gossip) const;
  void Transfer(const Member& to, TimePoint now, MembershipOutput& output);
  void OnAck(const Ack& ack, const HostId& from, MembershipOutput& output);
  void Send(const Member& to, const DatagramKind& kind, std::size_t budget,
            MembershipOutput& output);
  std::optional<HostId> NextTarget();
  std::vector<HostId> RandomLive(std::size_t count, const HostId& except);
  int MaxSends() const;
  std::vector<WeightedHost> Owners(auto in_scope) const;

  const Options options_;
  RandomSource& random_;
  Member self_;
  std::map<HostId, Member> members_;  // includes this host
  std::map<HostId, LocalState> local_;
  std::map<HostId, bool> listed_;  // live or leaving hosts of the host list; value: `leaving`
  std::map<HostId, bool> seeds_;
  GossipQueue<HostId, Member> queue_;
  std::vector<HostId> probe_order_;  // order of probes, shuffled in each round
  std::size_t next_probe_index_ = 0;
  HostId refresh_after_;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Relay> relays_;
  std::uint64_t last_sequence_ = 0;
  TimePoint last_tick_;
  TimePoint next_probe_;
  TimePoint next_gossip_;
  TimePoint next_dead_probe_;
  TimePoint next_transfer_;
};

}  // namespace verbenaridge::membership

#endif  // VERBENARIDGE_MEMBERSHIP_MEMBERSHIP_TABLE_H_
