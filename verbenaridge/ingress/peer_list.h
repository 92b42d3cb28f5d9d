// The other hosts of the system, as far as this one has heard of them.
//
//   PeerList peers(own_id, own_ip, {});
//   peers.AddSeed("10.1.0.40");
//   peers.OnHeard(host, ip, incarnation, now);
//   for (const std::string& ip : peers.Addresses(now)) Send(ip, notice);
//
// Hosts learn of each other from the seeds and from the samples that every notice carries. A host
// that has been silent too long is left out. Used by one thread.
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
  // A host that was only named by another is asked for so long.
  Duration introduction = std::chrono::seconds(3);
  std::size_t sample = 8;  // hosts named in a notice
  Duration lately = std::chrono::seconds(30);
  // Assumed until the peers had time to be heard.
  std::size_t assumed_hosts = 20;
  Duration hearing_time = std::chrono::seconds(5);
};

class PeerList {
 public:
  PeerList(HostId self, std::string own_ip, const PeerListOptions& options = {})
      : self_(std::move(self)), own_ip_(std::move(own_ip)), options_(options) {}

  void AddSeed(std::string_view ip);

  enum class News : std::uint8_t { kNone, kNew, kRestarted };
  struct Heard {
    News news = News::kNone;
    Incarnation before = 0;  // of a host that has started anew
  };
  Heard OnHeard(const HostId& host, std::string_view ip, Incarnation incarnation, TimePoint now);

  // Another host named this one.
  void OnNamed(const HostId& host, std::string_view ip, TimePoint now);

  // The host's last incarnation, if it was heard of. It is forgotten.
  std::optional<Incarnation> OnLeaving(const HostId& host);

  // Hosts that were heard of and fell silent since the last call; they are forgotten.
  std::vector<std::pair<HostId, Incarnation>> RemoveSilent(TimePoint now);

  // Where notices go: hosts heard of lately, hosts just named, and the seeds.
  std::vector<std::string> Addresses(TimePoint now) const;
  // Hosts heard of lately.
  std::vector<std::string> LiveAddresses() const;

  std::vector<std::pair<HostId, std::string>> Sample(RandomSource& random) const;

  // Hosts of the system that live, with this one.
  std::size_t live() const;

  // The most hosts that lived at once lately: a bound that all hosts share must not be spent anew
  // by those that are cut off from the others.
  std::size_t MostLately(TimePoint now);

 private:
  struct Peer {
    std::string ip;
    Incarnation incarnation = 0;
    bool heard = false;  // false: only named
    TimePoint last{};
  };

  const HostId self_;
  const std::string own_ip_;
  const PeerListOptions options_;
  std::map<HostId, Peer> peers_;
  std::vector<std::string> seeds_;
  std::optional<TimePoint> started_;
  std::deque<std::pair<TimePoint, std::size_t>> counts_;  // descending
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_PEER_LIST_H_
