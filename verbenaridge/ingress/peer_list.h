// The other hosts of the system, as far as this one has heard of them, and which of them keep the
// load board.
//
//   PeerList peers({.host = own_id, .ip = own_ip, .data_centre = centre, .capacity = 0.17}, {});
//   peers.AddSeed("10.1.0.40");
//   peers.OnHeard(facts, now);
//   for (const std::string& ip : peers.NoticeTargets(now)) Send(ip, notice);
//
// Hosts learn of each other from the seeds and from the samples that every notice carries. A few
// hosts of each data centre keep the load board, those with the most processor first: these tell
// all hosts that they live, the others tell only them. A host keeps the board unless it hears
// enough others of its data centre that come before it, so that no agreement is needed. Used by one
// thread.
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
  // Notices come every second; a frozen or cut-off host is missed within this time.
  Duration silence = std::chrono::milliseconds(3'500);
  // Addresses of hosts that were named or have fallen silent are remembered for so long.
  Duration contact = std::chrono::seconds(40);
  std::size_t sample = 8;  // hosts named in a notice
  // Two, so that one may die. Choices that are made at one place do not collide, and a request
  // costs a datagram to each that keeps the board.
  std::size_t keepers_per_data_centre = 2;
  Duration lately = std::chrono::seconds(30);
  // Assumed until the peers had time to be heard.
  std::size_t assumed_hosts = 20;
  Duration hearing_time = std::chrono::seconds(5);
};

// What a host says of itself.
struct PeerInfo {
  HostId host;
  std::string ip;
  DataCentreId data_centre;
  double capacity = 0;  // share of a processor
  Incarnation incarnation = 0;
  bool is_scheduler = false;   // the load board
  std::size_t live_hosts = 0;  // of the system, as it believes
};

class PeerList {
 public:
  explicit PeerList(PeerInfo self, const PeerListOptions& options = {})
      : self_(std::move(self)), options_(options) {}

  void AddSeed(std::string_view ip);

  enum class News : std::uint8_t { kNone, kNew, kRestarted };
  struct Heard {
    News news = News::kNone;
    Incarnation before = 0;  // of a host that has started anew
  };
  Heard OnHeard(const PeerInfo& facts, TimePoint now);

  // Another host named this one.
  void OnNamed(const HostId& host, std::string_view ip, TimePoint now);

  // The host's last incarnation, if it was heard of. It is forgotten.
  std::optional<Incarnation> OnLeaving(const HostId& host);

  // Hosts that were heard of and fell silent since the last call.
  std::vector<std::pair<HostId, Incarnation>> RemoveSilent(TimePoint now);

  // Whether this host keeps the load board.
  bool Keeps() const;

  // Other hosts that keep it, those of the own data centre first.
  std::vector<std::string> Keepers() const;

  // Whether a host of the own data centre that keeps the board is heard.
  bool KnowsNearKeeper() const;

  // Where notices go.
  std::vector<std::string> NoticeTargets() const;

  // Those that keep the board come first.
  std::vector<std::pair<HostId, std::string>> Sample(RandomSource& random) const;

  // The hosts that are heard.
  std::vector<PeerInfo> Live() const;

  // Hosts of the system that live, with this one.
  std::size_t live() const;

  // The most hosts that lived at once lately: a bound that all hosts share must not be spent anew
  // by those that are cut off from the others.
  std::size_t MostLately(TimePoint now);

 private:
  struct Peer {
    PeerInfo facts;
    bool live = false;  // heard of lately
    TimePoint last{};   // heard or named
  };
  // Larger comes first.
  using Rank = std::pair<double, double>;

  static Rank RankOf(const PeerInfo& facts);
  std::size_t heard() const;

  PeerInfo self_;
  const PeerListOptions options_;
  std::map<HostId, Peer> peers_;
  std::vector<std::string> seeds_;
  std::optional<TimePoint> started_;
  std::deque<std::pair<TimePoint, std::size_t>> counts_;  // descending
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_PEER_LIST_H_
