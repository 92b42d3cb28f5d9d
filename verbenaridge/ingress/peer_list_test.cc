#include "verbenaridge/ingress/peer_list.h"

#include <doctest/doctest.h>

#include <memory>

namespace verbenaridge::ingress {
namespace {

using std::chrono::seconds;

HostId Host(int i) { return HostId("h" + std::to_string(i)); }
std::string Ip(int i) { return "10.0.0." + std::to_string(i); }

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
    PeerList::Heard expected;
    std::size_t silent;
  };
  const Row rows[] = {
      {"known", 1, seconds(1), PeerList::Heard::kKnown, 0},
      {"restarted", 2, seconds(1), PeerList::Heard::kRestarted, 0},
      {"silent, then back", 1, seconds(4), PeerList::Heard::kNew, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    PeerList peers(Host(0), Ip(0));
    CHECK(peers.OnHeard(Host(1), Ip(1), 1, clock.Now()) == PeerList::Heard::kNew);
    clock.Advance(row.pause);
    CHECK(peers.RemoveSilent(clock.Now()).size() == row.silent);
    CHECK(peers.OnHeard(Host(1), Ip(1), row.second, clock.Now()) == row.expected);
  }
}

}  // namespace
}  // namespace verbenaridge::ingress
