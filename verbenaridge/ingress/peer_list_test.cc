#include "verbenaridge/ingress/peer_list.h"

#include <doctest/doctest.h>

#include <memory>

namespace verbenaridge::ingress {
namespace {

using std::chrono::seconds;

HostId Host(int i) { return HostId(std::string("h").append(std::to_string(i))); }
std::string Ip(int i) { return std::string("10.0.0.").append(std::to_string(i)); }

// Guards against hosts that never find each other, with one seed that may be down.
TEST_CASE("all hosts learn of all others from one seed") {
  struct Row {
    const char* name;
    int hosts;
    int rounds;
  };
  const Row rows[] = {{"three", 3, 4}, {"18", 18, 6}, {"128", 128, 14}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    SeededRandom random(11);
    std::vector<std::unique_ptr<PeerList>> hosts;
    for (int i = 0; i < row.hosts; ++i) {
      hosts.push_back(std::make_unique<PeerList>(Host(i), Ip(i)));
      hosts.back()->AddSeed(Ip(0));
    }
    for (int round = 0; round < row.rounds; ++round) {
      for (int from = 0; from < row.hosts; ++from) {
        const auto sample = hosts[from]->Sample(random);
        for (const std::string& ip : hosts[from]->Addresses(clock.Now())) {
          PeerList& to = *hosts[std::stoi(ip.substr(ip.rfind('.') + 1))];
          to.OnHeard(Host(from), Ip(from), 1, clock.Now());
          for (const auto& [host, address] : sample) to.OnNamed(host, address, clock.Now());
        }
      }
      clock.Advance(seconds(1));
    }
    for (const auto& host : hosts) CHECK(host->live() == static_cast<std::size_t>(row.hosts));
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
    PeerList peers(Host(0), Ip(0));
    CHECK(peers.OnHeard(Host(1), Ip(1), 1, clock.Now()).news == PeerList::News::kNew);
    clock.Advance(row.pause);
    CHECK(peers.RemoveSilent(clock.Now()).size() == row.silent);
    CHECK(peers.OnHeard(Host(1), Ip(1), row.second, clock.Now()).news == row.expected);
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
    PeerList peers(Host(0), Ip(0));
    const auto pass = [&](Duration time, bool hear) {
      for (Duration done{}; done < time; done += seconds(1)) {
        for (int i = 1; hear && i < 10; ++i) peers.OnHeard(Host(i), Ip(i), 1, clock.Now());
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
