// The members of the fleet as one daemon sees them, by SWIM-style probing over datagrams. Pure
// state machine: the daemon sends the datagrams it returns.
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

// One line of the platform's host list.
struct HostListEntry {
  HostId host;
  DataCentreId data_centre;
  std::string ip;
  std::uint16_t port = 0;
  bool leaving = false;
};

// Not thread-safe; belongs to the control thread.
class MembershipTable {
 public:
  struct Options {
    // The incarnation must be above those of earlier starts of this host: milliseconds of the wall
    // clock serve, because a restart takes longer than the clock skew of one host with itself.
    Member self;
    std::vector<Member> seeds = {};  // from the settings
    std::map<DataCentreId, RegionId> regions = {};

    Duration probe_interval = std::chrono::seconds(1);
    // A direct answer takes a few ms; the rest of the second is left for indirect probes.
    Duration direct_timeout = std::chrono::milliseconds(300);
    std::size_t indirect_probes = 3;
    Duration suspicion_time = std::chrono::seconds(3);
    Duration gossip_interval = std::chrono::milliseconds(500);
    Duration pause_gap = std::chrono::seconds(2);
    // Dead members are asked again at this interval, one at a time, so that both sides of a healed
    // partition find each other.
    Duration dead_probe_interval = std::chrono::seconds(1);
    // A dead host that neither the settings nor the host list names is forgotten after this time.
    Duration forget_after = std::chrono::minutes(5);
    // Bytes for members per datagram. Gossip pushes carry endpoint summaries and plan versions too;
    // all of it must fit 1,200 bytes, and 2.5 pushes and probes per second into 4 KB/s.
    std::size_t probe_gossip_bytes = 250;
    std::size_t push_gossip_bytes = 500;
    // Old entries that are repeated when there is room, so that lost news arrives in the end.
    std::size_t refresh_entries = 2;
    // A host that starts gets the whole table from the members that it pings, at most one such
    // transfer per member and interval: 380 members are about 22 datagrams.
    std::size_t transfer_bytes = 1000;
    Duration transfer_interval = std::chrono::seconds(1);
  };

  MembershipTable(Options options, RandomSource& random, TimePoint now);

  // Run it every 100 ms. A gap over `pause_gap` counts as a pause of this host.
  MembershipOutput Tick(TimePoint now);

  MembershipOutput OnDatagram(const HostId& from, const DatagramKind& kind,
                              std::span<const Member> gossip, TimePoint now);

  // The list lags and may contradict the probes: it adds members, and never revives or kills one.
  MembershipOutput OnHostList(std::span<const HostListEntry> hosts, TimePoint now);

  // Announces that this host takes no new work, or does again.
  MembershipOutput SetLeaving(bool leaving, TimePoint now);

  // Announces the end of this host, so that nobody has to find out by probing. Send the datagrams
  // before the process exits.
  MembershipOutput Stop(TimePoint now);

  // All members including this host and dead ones.
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
  // What this table alone knows about a member.
  struct Local {
    std::optional<TimePoint> suspected;  // end of the probe that failed
    TimePoint died{};
  };

  struct Probe {
    std::uint64_t sequence = 0;
    HostId target;
    TimePoint started{};
    bool indirect = false;
    bool answered = false;
  };

  // A ping sent for another member.
  struct Relay {
    HostId asker;
    std::uint64_t asker_sequence = 0;
    TimePoint sent{};
  };

  void NotePause(TimePoint now, MembershipOutput& output);
  void Renew(TimePoint now, MemberEventKind kind, MembershipOutput& output);
  void Learn(const Member& news, TimePoint now, MembershipOutput& output);
  void LearnAboutSelf(const Member& news, TimePoint now, MembershipOutput& output);
  void Store(const Member& news, TimePoint now, MembershipOutput& output);
  void StartProbe(TimePoint now, MembershipOutput& output);
  void ContinueProbe(TimePoint now, MembershipOutput& output);
  void FailProbe(TimePoint now, MembershipOutput& output);
  void ProbeDead(TimePoint now, MembershipOutput& output);
  void EndSuspicions(TimePoint now, MembershipOutput& output);
  void Forget(TimePoint now, MembershipOutput& output);
  void PushGossip(MembershipOutput& output);
  bool Started(const HostId& from, std::span<const Member> gossip) const;
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
  std::map<HostId, Local> local_;
  std::map<HostId, bool> listed_;  // live or leaving hosts of the host list, with `leaving`
  std::map<HostId, bool> seeds_;
  GossipQueue<HostId, Member> queue_;
  std::vector<HostId> ring_;  // order of probes, shuffled anew in each round
  std::size_t ring_next_ = 0;
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
