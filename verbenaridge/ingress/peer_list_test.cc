#include "verbenaridge/ingress/peer_list.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace verbenaridge::ingress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<int, 1> kOneSeed = {0};

HostId Host(int i) { return HostId(std::string("h").append(std::to_string(i))); }
std::string Ip(int i) { return std::string("10.0.0.").append(std::to_string(i)); }

PeerInfo Info(int i) {
  return {.host = Host(i),
          .ip = Ip(i),
          .data_centre = DataCentreId(i % 3 == 0   ? "a"
                                      : i % 3 == 1 ? "b"
                                                   : "c"),
          .capacity = i % 20 == 0 ? 0.5 : 0.1,
          .incarnation = 1};
}

// Hosts that exchange gossip. Datagrams arrive at once.
class Fleet {
 public:
  explicit Fleet(int size, std::span<const int> seeds = kOneSeed)
      : dead_(static_cast<std::size_t>(size), false) {
    for (int i = 0; i < size; ++i) {
      hosts.push_back(std::make_unique<PeerList>(Info(i)));
      for (const int seed : seeds) hosts.back()->AddSeed(Ip(seed));
    }
  }

  struct Traffic {
    std::size_t datagrams = 0;
    std::size_t between_data_centres = 0;
  };

  // Lets all hosts send gossip once and returns what was sent.
  Traffic Round() {
    Traffic traffic;
    for (std::size_t from = 0; from < hosts.size(); ++from) {
      if (!dead_[from]) SendRound(from, traffic);
    }
    clock_.Advance(seconds(1));
    return traffic;
  }

  // Lets each host send gossip when it is due, for `time` in steps of `step`.
  Traffic Run(Duration time, Duration step) {
    Traffic traffic;
    last_rounds_.resize(hosts.size());
    for (Duration done{}; done < time; done += step) {
      for (std::size_t host = 0; host < hosts.size(); ++host) {
        std::optional<TimePoint>& last = last_rounds_[host];
        if (dead_[host]) continue;
        hosts[host]->RemoveTimedOut(clock_.Now());
        if (last && clock_.Now() - *last < hosts[host]->RoundInterval(clock_.Now())) continue;
        last = clock_.Now();
        SendRound(host, traffic);
      }
      clock_.Advance(step);
    }
    return traffic;
  }

  void Start(std::size_t host) { dead_[host] = false; }

  void Kill(std::size_t host) { dead_[host] = true; }
  bool dead(std::size_t host) const { return dead_[host]; }

  std::vector<std::unique_ptr<PeerList>> hosts;

 private:
  void SendRound(std::size_t from, Traffic& traffic) {
    hosts[from]->RemoveTimedOut(clock_.Now());
    const PeerList::GossipRound round = hosts[from]->StartRound(clock_.Now(), /*news=*/false);
    for (const std::string& ip : round.addresses) {
      const auto to = static_cast<std::size_t>(std::stoi(ip.substr(ip.rfind('.') + 1)));
      Send(from, to, round.with_sample, /*is_reply=*/false, traffic);
    }
  }

  void Send(std::size_t from, std::size_t to, bool with_sample, bool is_reply, Traffic& traffic) {
    PeerInfo info = Info(static_cast<int>(from));
    info.is_scheduler = hosts[from]->IsScheduler();
    info.live_hosts = hosts[from]->live_hosts();
    ++traffic.datagrams;
    if (info.data_centre != Info(static_cast<int>(to)).data_centre) ++traffic.between_data_centres;
    if (dead_[to]) return;
    const PeerList::GossipResult result = hosts[to]->OnGossip(info, is_reply, clock_.Now());
    if (with_sample) {
      for (const KnownHost& host : hosts[from]->Sample(random_)) {
        hosts[to]->OnMentioned(host, clock_.Now());
      }
    }
    if (result.reply) Send(to, from, /*with_sample=*/true, /*is_reply=*/true, traffic);
  }

  std::vector<bool> dead_;
  std::vector<std::optional<TimePoint>> last_rounds_;
  ManualClock clock_;
  SeededRandom random_{11};
};

// Guards against hosts that never discover each other, against too many or too few schedulers, and
// against gossip traffic that grows with the square of the number of hosts, also between data
// centres when all hosts start.
TEST_CASE("hosts discover each other and agree on the schedulers") {
  struct Row {
    const char* name;
    int hosts;
    int rounds;
    std::size_t min_schedulers;
    std::size_t max_schedulers;
    std::size_t min_known;      // other schedulers that each host knows
    std::size_t max_datagrams;  // in the last round
  };
  // Of each host in any round, from the start: twice what it exchanges with the four schedulers of
  // the other data centres and a seed, as hosts reply to those that they hear for the first time.
  constexpr std::size_t kMaxBetweenDataCentres = 20;
  const Row rows[] = {{"one", 1, 2, 1, 1, 0, 0},
                      {"three", 3, 6, 3, 3, 2, 6},
                      {"18", 18, 8, 6, 6, 5, 18 * 13},
                      {"128", 128, 25, 6, 6, 5, 128 * 13},
                      {"250", 250, 40, 6, 6, 5, 250 * 13}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fleet fleet(row.hosts);
    Fleet::Traffic last;
    for (int round = 0; round < row.rounds; ++round) {
      CAPTURE(round);
      last = fleet.Round();
      CHECK(last.between_data_centres <=
            static_cast<std::size_t>(row.hosts) * kMaxBetweenDataCentres);
    }
    std::size_t schedulers = 0;
    for (const auto& host : fleet.hosts) {
      CHECK(host->live_hosts() == static_cast<std::size_t>(row.hosts));
      CHECK(host->Schedulers().size() >= row.min_known);
      schedulers += host->IsScheduler() ? 1 : 0;
    }
    CHECK(schedulers >= row.min_schedulers);
    CHECK(schedulers <= row.max_schedulers);
    CHECK(last.datagrams <= row.max_datagrams);
  }
}

// Guards against hosts that restart together and each decide alone for seconds, with a load table
// that has only their own requests: the most loaded engines got further prompts meanwhile.
TEST_CASE("hosts that start together soon agree on the schedulers") {
  struct Row {
    const char* name;
    int hosts;
    std::vector<int> seeds;
    Duration start_spread;  // from the start of the first host to that of the last one
  };
  const Row rows[] = {
      {"18", 18, {0, 1, 2}, milliseconds(200)},
      {"120, at once", 120, {0, 1, 2}, milliseconds(0)},
      {"295", 295, {0, 1, 2}, milliseconds(400)},
      {"295, the highest-ranked hosts are no seeds", 295, {3, 7, 11}, milliseconds(400)},
      {"295, one seed does not run", 295, {294, 8, 13}, milliseconds(400)}};
  // DispatcherOptions::warm_up: by then a scheduler counts on knowing the tasks of its peers.
  constexpr Duration kWarmUp = milliseconds(1'500);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fleet fleet(row.hosts, row.seeds);
    const auto size = static_cast<std::size_t>(row.hosts);
    const Duration step = milliseconds(20);
    const bool seed_is_dead = row.seeds.front() == row.hosts - 1;
    for (std::size_t i = 0; i < size; ++i) fleet.Kill(i);
    SeededRandom random(7);
    std::vector<Duration> starts;
    for (std::size_t i = 0; i < size; ++i) {
      starts.push_back(FromSeconds(ToSeconds(row.start_spread) * random.Uniform()));
    }
    Fleet::Traffic traffic;
    for (Duration now{}; now < row.start_spread + kWarmUp; now += step) {
      for (std::size_t i = 0; i < size; ++i) {
        if (starts[i] <= now && !(seed_is_dead && i == size - 1)) fleet.Start(i);
      }
      const Fleet::Traffic sent = fleet.Run(step, step);
      traffic.between_data_centres += sent.between_data_centres;
    }
    std::size_t schedulers = 0;
    for (std::size_t i = 0; i < size; ++i) {
      if (fleet.dead(i)) continue;
      schedulers += fleet.hosts[i]->IsScheduler() ? 1 : 0;
      CHECK(fleet.hosts[i]->Schedulers().size() >= 5);
    }
    CHECK(schedulers == 6);
    CHECK(traffic.between_data_centres <= 150 * size);
  }
}

// Guards against a system without schedulers after the previous ones have died.
TEST_CASE("dead schedulers are replaced") {
  struct Row {
    const char* name;
    std::size_t killed;  // schedulers
  };
  const Row rows[] = {{"one", 1}, {"all", 6}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fleet fleet(128);
    for (int round = 0; round < 25; ++round) fleet.Round();
    std::size_t killed = 0;
    for (std::size_t i = 0; i < fleet.hosts.size() && killed < row.killed; ++i) {
      if (!fleet.hosts[i]->IsScheduler()) continue;
      fleet.Kill(i);
      ++killed;
    }
    for (int round = 0; round < 20; ++round) fleet.Round();
    std::size_t schedulers = 0;
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
      if (fleet.dead(i)) continue;
      schedulers += fleet.hosts[i]->IsScheduler() ? 1 : 0;
      CHECK(fleet.hosts[i]->Schedulers().size() >= 5);
    }
    CHECK(schedulers >= 6);
    CHECK(schedulers <= 8);
  }
}

// Guards against tasks of dead hosts that are counted forever, and against a missed restart.
TEST_CASE("restarts and timeouts of a peer are detected") {
  struct Row {
    const char* name;
    bool local;  // the peer is in the data centre of this host
    bool is_scheduler;
    Incarnation second_incarnation;
    Duration gap;
    PeerList::Change expected;
    std::size_t timed_out;
  };
  const Row rows[] = {
      {"known", true, false, 1, seconds(1), PeerList::Change::kNone, 0},
      {"restarted", true, false, 2, seconds(1), PeerList::Change::kRestarted, 0},
      {"timed out, then back", true, false, 1, seconds(4), PeerList::Change::kNew, 1},
      {"a scheduler elsewhere timed out", false, true, 1, seconds(4), PeerList::Change::kNew, 1},
      {"elsewhere, sends rarely", false, false, 1, seconds(4), PeerList::Change::kNone, 0},
      {"elsewhere, restarted", false, false, 2, seconds(4), PeerList::Change::kRestarted, 0},
      {"elsewhere, timed out", false, false, 1, seconds(8), PeerList::Change::kNew, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    PeerList peers(Info(0));
    PeerInfo other = Info(row.local ? 3 : 1);
    other.is_scheduler = row.is_scheduler;
    CHECK(peers.OnGossip(other, /*is_reply=*/false, clock.Now()).change == PeerList::Change::kNew);
    clock.Advance(row.gap);
    CHECK(peers.RemoveTimedOut(clock.Now()).size() == row.timed_out);
    other.incarnation = row.second_incarnation;
    CHECK(peers.OnGossip(other, /*is_reply=*/false, clock.Now()).change == row.expected);
  }
}

// Guards against hosts of the last release, which do not say where the hosts are that they mention,
// and against a host that starts and sends to all hosts that it hears of.
TEST_CASE("a host that has just started tells its own data centre and schedulers of others") {
  struct Row {
    const char* name;
    int host;
    bool data_centre_known;
    bool told;
  };
  const Row rows[] = {{"own data centre", 3, true, true},
                      {"another data centre", 1, true, false},
                      {"unknown data centre", 2, false, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    PeerList peers(Info(0));
    KnownHost mentioned{.host = Host(row.host), .ip = Ip(row.host)};
    if (row.data_centre_known) mentioned.data_centre = Info(row.host).data_centre;
    peers.OnMentioned(mentioned, clock.Now());
    CHECK(peers.StartRound(clock.Now(), /*news=*/true).addresses.size() == (row.told ? 1 : 0));
    clock.Advance(seconds(3));  // it has found no other scheduler
    CHECK(peers.StartRound(clock.Now(), /*news=*/false).addresses.size() == 1);
  }
}

// Guards against hosts that are cut off from the others and then use a larger part of a shared
// limit.
TEST_CASE("a shared limit is divided by the highest recent number of hosts") {
  struct Row {
    const char* name;
    Duration connected;  // time with gossip from nine peers
    Duration cut_off;    // time without gossip after that
    std::size_t expected;
  };
  const Row rows[] = {
      {"just started", {}, {}, 20},
      {"connected to all", seconds(10), {}, 10},
      {"cut off from all", seconds(10), seconds(10), 10},
      {"cut off for long", seconds(10), seconds(60), 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    PeerList peers(Info(0));
    const auto advance = [&](Duration time, bool connected) {
      for (Duration done{}; done < time; done += seconds(1)) {
        for (int i = 1; connected && i < 10; ++i) {
          peers.OnGossip(Info(i), /*is_reply=*/false, clock.Now());
        }
        peers.RemoveTimedOut(clock.Now());
        peers.RecentMaxHosts(clock.Now());
        clock.Advance(seconds(1));
      }
    };
    advance(row.connected, true);
    advance(row.cut_off, false);
    CHECK(peers.RecentMaxHosts(clock.Now()) == row.expected);
  }
}

}  // namespace
}  // namespace verbenaridge::ingress
