#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "verbenaridge/membership/simulated_fleet.h"

namespace verbenaridge::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The hosts that every running host sees as live, or null if the tables disagree.
std::optional<std::set<HostId>> AgreedLiveHosts(SimulatedFleet& fleet) {
  std::optional<std::set<HostId>> agreed;
  for (std::size_t i = 0; i < fleet.hosts().size(); ++i) {
    if (!fleet.Running(i)) continue;
    std::set<HostId> live;
    for (const auto& [host, member] : fleet.host(i).table->members()) {
      if (member.state != MemberState::kDead) live.insert(host);
    }
    if (agreed && *agreed != live) return std::nullopt;
    agreed = live;
  }
  return agreed;
}

void Partition(SimulatedFleet& fleet, std::size_t side, bool one_way) {
  for (std::size_t a = 0; a < side; ++a) {
    for (std::size_t b = side; b < fleet.hosts().size(); ++b) {
      fleet.SetReachable(a, b, false);
      if (!one_way) fleet.SetReachable(b, a, false);
    }
  }
}

// Guards against running hosts that stay dead in a table, stopped hosts that stay live, and tables
// that disagree after a fault.
TEST_CASE("tables agree within a bounded time after a fault") {
  struct Row {
    std::string name;
    std::function<void(SimulatedFleet&)> fault;
    Duration convergence_time;
    std::size_t live;
  };
  const Row rows[] = {
      {"start", [](auto&) {}, seconds(0), 20},
      {"a host is killed", [](auto& f) { f.Kill(7); }, seconds(10), 19},
      {"ten hosts are killed",
       [](auto& f) {
         for (std::size_t i = 10; i < 20; ++i) f.Kill(i);
       },
       seconds(20), 10},
      {"a host stops", [](auto& f) { f.Stop(7); }, seconds(3), 19},
      {"a host restarts",
       [](auto& f) {
         f.Kill(7);
         f.Run(seconds(1));
         f.Start(7);
       },
       seconds(6), 20},
      {"a host restarts after 400 s",
       [](auto& f) {
         f.Kill(7);
         f.Run(seconds(400));
         CHECK_FALSE(f.host(5).table->members().contains(HostId("host-7")));
         f.Start(7);
       },
       seconds(6), 20},
      {"a host pauses",
       [](auto& f) {
         f.host(7).paused = true;
         f.Run(seconds(15));
         CHECK_FALSE(f.host(5).table->Live(HostId("host-7")));
         f.host(7).paused = false;
         f.Run(milliseconds(100));
         CHECK(f.host(7).pauses == 1);
       },
       seconds(6), 20},
      {"partition",
       [](auto& f) {
         Partition(f, 8, false);
         f.Run(seconds(60));
         CHECK(f.host(0).table->live_count() == 8);
         CHECK(f.host(19).table->live_count() == 12);
         f.HealNetwork();
       },
       seconds(25), 20},
      {"one-way partition",
       [](auto& f) {
         Partition(f, 8, true);
         f.Run(seconds(60));
         f.HealNetwork();
       },
       seconds(25), 20},
      {"lossy network",
       [](auto& f) {
         f.SetLoss(0.2);
         f.Run(seconds(60));
         f.HealNetwork();
       },
       seconds(10), 20},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SimulatedFleet fleet(20, 3, 11);
    fleet.Run(seconds(10));
    row.fault(fleet);
    fleet.Run(row.convergence_time);
    const auto live = AgreedLiveHosts(fleet);
    REQUIRE(live.has_value());
    CHECK(live->size() == row.live);
    CHECK(fleet.largest_datagram() <= 1200);
  }
}

// Guards against a single failed link that makes a running host appear dead. Indirect probes must
// reach it.
TEST_CASE("a failed link between two hosts makes no host dead") {
  for (const bool one_way : {false, true}) {
    CAPTURE(one_way);
    SimulatedFleet fleet(10, 1, 5);
    fleet.Run(seconds(5));
    fleet.SetReachable(3, 4, false);
    if (!one_way) fleet.SetReachable(4, 3, false);
    for (auto& host : fleet.hosts()) host.died = 0;
    fleet.Run(seconds(120));
    for (auto& host : fleet.hosts()) CHECK(host.died == 0);
  }
}

// Guards against a leaving host that keeps its endpoints, and against an undone leave that does not
// reach the other hosts.
TEST_CASE("a leaving host owns nothing until the leave is undone") {
  SimulatedFleet fleet(20, 2, 3);
  fleet.Run(seconds(10));
  const auto owners = [&](std::size_t viewer) {
    return fleet.host(viewer).table->OwnersOfDataCentre(DataCentreId("dc-0")).size();
  };
  fleet.SetLeaving(4, true);
  fleet.Run(seconds(3));
  for (std::size_t i = 0; i < 20; ++i) CHECK(owners(i) == 9);
  CHECK(fleet.host(1).table->OwnersOfRegion(RegionId("r")).size() == 19);
  fleet.SetLeaving(4, false);
  fleet.Run(seconds(3));
  for (std::size_t i = 0; i < 20; ++i) CHECK(owners(i) == 10);
  fleet.SetLeaving(4, true);
  fleet.Run(seconds(2));
  fleet.Kill(4);
  fleet.Run(seconds(15));
  for (std::size_t i = 0; i < 20; ++i) {
    if (i != 4) CHECK_FALSE(fleet.host(i).table->Live(HostId("host-4")));
  }
}

// Guards against a lagging host list that makes a dead host live or a live host dead, or whose new
// hosts are ignored.
TEST_CASE("the host list adds hosts and never makes a known one live or dead") {
  SeededRandom random(1);
  ManualClock clock;
  const Member self{HostId("a"), DataCentreId("d"), "10.0.0.1", 7001, 5, MemberState::kAlive};
  MembershipTable table({.self = self}, random, clock.Now());
  const HostListEntry own{HostId("a"), DataCentreId("d"), "10.0.0.1", 7001, false};
  const HostListEntry other{HostId("b"), DataCentreId("d"), "10.0.0.2", 7002, false};
  table.OnHostList(std::vector{own, other}, clock.Now());
  CHECK(table.Live(HostId("b")));
  for (int i = 0; i < 80; ++i) {
    clock.Advance(milliseconds(100));
    table.Tick(clock.Now());
  }
  CHECK_FALSE(table.Live(HostId("b")));
  table.OnHostList(std::vector{own, other}, clock.Now());
  CHECK_FALSE(table.Live(HostId("b")));
  CHECK(table.ListedLive(HostId("b")));
  const Member alive{HostId("b"), DataCentreId("d"), "10.0.0.2", 7002, 9, MemberState::kAlive};
  table.OnDatagram(HostId("b"), GossipOnly{}, std::vector{alive}, clock.Now());
  table.OnHostList(std::vector{own}, clock.Now());
  CHECK(table.Live(HostId("b")));
  HostListEntry leaving = own;
  leaving.leaving = true;
  table.OnHostList(std::vector{leaving}, clock.Now());
  CHECK(table.self().state == MemberState::kLeaving);
  table.SetLeaving(false, clock.Now());
  table.OnHostList(std::vector{leaving}, clock.Now());
  CHECK(table.self().state == MemberState::kAlive);
}

// Guards against a merged state that depends on the order in which updates arrive.
TEST_CASE("a higher incarnation or a later state takes precedence") {
  struct Row {
    std::string name;
    Incarnation incarnation;
    MemberState state;
    bool replaces;  // an entry that is suspect at incarnation 5
  };
  const Row rows[] = {{"older and dead", 4, MemberState::kDead, false},
                      {"same and alive", 5, MemberState::kAlive, false},
                      {"same and suspect", 5, MemberState::kSuspect, false},
                      {"same and leaving", 5, MemberState::kLeaving, true},
                      {"same and dead", 5, MemberState::kDead, true},
                      {"newer and alive", 6, MemberState::kAlive, true}};
  Member current{HostId("a"), DataCentreId("d"), "10.0.0.1", 7001, 5, MemberState::kSuspect};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Member next = current;
    next.incarnation = row.incarnation;
    next.state = row.state;
    CHECK(Supersedes(next, current) == row.replaces);
  }
}

}  // namespace
}  // namespace verbenaridge::membership
