#include "verbenaridge/ingress/peer_list.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

namespace verbenaridge::ingress {
namespace {

using std::chrono::seconds;

HostId Host(int i) { return HostId(std::string("h").append(std::to_string(i))); }
std::string Ip(int i) { return std::string("10.0.0.").append(std::to_string(i)); }

PeerInfo Facts(int i) {
  return {.host = Host(i),
          .ip = Ip(i),
          .data_centre = DataCentreId(i % 3 == 0   ? "a"
                                      : i % 3 == 1 ? "b"
                                                   : "c"),
          .capacity = i % 20 == 0 ? 0.5 : 0.1,
          .incarnation = 1};
}

// Hosts that exchange notices in rounds of one second.
class Fleet {
 public:
  explicit Fleet(int size) : dead_(static_cast<std::size_t>(size), false) {
    for (int i = 0; i < size; ++i) {
      hosts.push_back(std::make_unique<PeerList>(Facts(i)));
      hosts.back()->AddSeed(Ip(0));
    }
  }

  // Returns the notices of one round.
  std::size_t Round() {
    std::size_t notices = 0;
    for (std::size_t from = 0; from < hosts.size(); ++from) {
      if (dead_[from]) continue;
      hosts[from]->RemoveSilent(clock_.Now());
      PeerInfo facts = Facts(static_cast<int>(from));
      facts.is_scheduler = hosts[from]->Keeps();
      facts.live_hosts = hosts[from]->live();
      const auto sample = hosts[from]->Sample(random_);
      for (const std::string& ip : hosts[from]->NoticeTargets()) {
        ++notices;
        const auto to = static_cast<std::size_t>(std::stoi(ip.substr(ip.rfind('.') + 1)));
        if (dead_[to]) continue;
        hosts[to]->OnHeard(facts, clock_.Now());
        for (const auto& [host, address] : sample) {
          hosts[to]->OnNamed(host, address, clock_.Now());
        }
      }
    }
    clock_.Advance(seconds(1));
    return notices;
  }

  void Kill(std::size_t host) { dead_[host] = true; }
  bool dead(std::size_t host) const { return dead_[host]; }

  std::vector<std::unique_ptr<PeerList>> hosts;

 private:
  std::vector<bool> dead_;
  ManualClock clock_;
  SeededRandom random_{11};
};

// Guards against hosts that never find each other, against too many or too few that keep the load
// board, and against notices that grow with the square of the hosts.
TEST_CASE("hosts find each other and agree on who keeps the board") {
  struct Row {
    const char* name;
    int hosts;
    int rounds;
    std::size_t least_keepers;
    std::size_t most_keepers;
    std::size_t least_known;   // to each host, of the others that keep the board
    std::size_t most_notices;  // in a round at the end
  };
  const Row rows[] = {{"one", 1, 2, 1, 1, 0, 0},
                      {"three", 3, 6, 3, 3, 2, 6},
                      {"18", 18, 8, 6, 6, 5, 18 * 13},
                      {"128", 128, 25, 6, 6, 5, 128 * 13},
                      {"250", 250, 40, 6, 6, 5, 250 * 13}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fleet fleet(row.hosts);
    std::size_t notices = 0;
    for (int round = 0; round < row.rounds; ++round) notices = fleet.Round();
    std::size_t keepers = 0;
    for (const auto& host : fleet.hosts) {
      CHECK(host->live() == static_cast<std::size_t>(row.hosts));
      CHECK(host->Keepers().size() >= row.least_known);
      keepers += host->Keeps() ? 1 : 0;
    }
    CHECK(keepers >= row.least_keepers);
    CHECK(keepers <= row.most_keepers);
    CHECK(notices <= row.most_notices);
  }
}

// Guards against a system in which nobody keeps the board after those who did have died.
TEST_CASE("others keep the board after a death") {
  struct Row {
    const char* name;
    std::size_t killed;  // of those that keep it
  };
  const Row rows[] = {{"one", 1}, {"all", 6}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fleet fleet(128);
    for (int round = 0; round < 25; ++round) fleet.Round();
    std::size_t killed = 0;
    for (std::size_t i = 0; i < fleet.hosts.size() && killed < row.killed; ++i) {
      if (!fleet.hosts[i]->Keeps()) continue;
      fleet.Kill(i);
      ++killed;
    }
    for (int round = 0; round < 20; ++round) fleet.Round();
    std::size_t keepers = 0;
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
      if (fleet.dead(i)) continue;
      keepers += fleet.hosts[i]->Keeps() ? 1 : 0;
      CHECK(fleet.hosts[i]->Keepers().size() >= 5);
    }
    CHECK(keepers >= 6);
    CHECK(keepers <= 8);
  }
}

// Guards against work of dead hosts that counts for good, and against a restart that is missed.
TEST_CASE("restarts and silence") {
  struct Row {
    const char* name;
    Incarnation second;
    Duration pause;
    PeerList::News expected;
    std::size_t silent;
  };
  const Row rows[] = {
      {"known", 1, seconds(1), PeerList::News::kNone, 0},
      {"restarted", 2, seconds(1), PeerList::News::kRestarted, 0},
      {"silent, then back", 1, seconds(4), PeerList::News::kNew, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    PeerList peers(Facts(0));
    PeerInfo other = Facts(1);
    CHECK(peers.OnHeard(other, clock.Now()).news == PeerList::News::kNew);
    clock.Advance(row.pause);
    CHECK(peers.RemoveSilent(clock.Now()).size() == row.silent);
    other.incarnation = row.second;
    CHECK(peers.OnHeard(other, clock.Now()).news == row.expected);
  }
}

// Guards against a part of a shared bound that grows for hosts that are cut off from the others.
TEST_CASE("how many hosts share a bound") {
  struct Row {
    const char* name;
    Duration heard_for;  // of nine peers, before they fall silent
    Duration silent_for;
    std::size_t expected;
  };
  const Row rows[] = {
      {"just started", {}, {}, 20},
      {"all are heard", seconds(10), {}, 10},
      {"cut off from all", seconds(10), seconds(10), 10},
      {"cut off for long", seconds(10), seconds(60), 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    PeerList peers(Facts(0));
    const auto pass = [&](Duration time, bool hear) {
      for (Duration done{}; done < time; done += seconds(1)) {
        for (int i = 1; hear && i < 10; ++i) peers.OnHeard(Facts(i), clock.Now());
        peers.RemoveSilent(clock.Now());
        peers.MostLately(clock.Now());
        clock.Advance(seconds(1));
      }
    };
    pass(row.heard_for, true);
    pass(row.silent_for, false);
    CHECK(peers.MostLately(clock.Now()) == row.expected);
  }
}

}  // namespace
}  // namespace verbenaridge::ingress
