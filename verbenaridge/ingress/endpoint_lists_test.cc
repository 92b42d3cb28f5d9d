// Tests in virtual time which endpoints hosts use when they learn of changes late or from each
// other.
#include <doctest/doctest.h>

#include <cstdint>
#include <optional>
#include <string>

#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/ingress/simulated_hosts.h"
#include "verbenaridge/ingress/testing.h"

namespace verbenaridge::ingress {
namespace {

using std::chrono::milliseconds;
using testing::kNetworkDelays;
using testing::kServedHostFleet;
using testing::SimulatedHosts;
using testing::StoredState;
using testing::TestSeed;

using Entry = std::optional<directory::Endpoint>;

// The entry of a process of the endpoint i-1.
directory::Endpoint EntryOf(std::uint64_t start_unix_ms, bool draining = false) {
  return {.id = EndpointId("i-1"),
          .service = ServiceId("s"),
          .ip = "127.0.0.1",
          .port = 9,
          .data_centre = DataCentreId("a"),
          .slots = 4,
          .start_unix_ms = start_unix_ms,
          .draining = draining};
}

// Guards against requests to processes that have left, and against endpoints that are lost, because
// hosts believe the entries of a copy that the store was restored from.
TEST_CASE("entries that a restore has brought back are not taken for new ones") {
  struct Row {
    std::string name;
    Entry copy;
    Entry lost;           // written after the copy
    Entry written_again;  // a heartbeat after the restore, or expired
    std::uint64_t used;   // start time of the process that gets requests; 0: none does
    directory::StoreEra first_era = 1;
  };
  const Row rows[] = {
      {"unchanged", EntryOf(7), EntryOf(7), EntryOf(7), 7},
      {"added since the copy", {}, EntryOf(7), EntryOf(7), 7},
      {"drains since the copy", EntryOf(7), EntryOf(7, true), EntryOf(7, true), 0},
      {"left since the copy", EntryOf(7), {}, {}, 0},
      {"left since the copy, the store counts from 0", EntryOf(7), {}, {}, 0, 0},
      {"started anew since the copy", EntryOf(7), EntryOf(9), EntryOf(9), 9},
  };
  constexpr Duration kHeartbeat = milliseconds(1'200);
  constexpr Duration kStep = milliseconds(10);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SimulatedHosts fleet(TestSeed(), kNetworkDelays[1], kServedHostFleet);
    fleet.SetStoreEra(row.first_era);
    fleet.StoreEndpoint(row.copy);
    fleet.Start();
    fleet.Run(milliseconds(2'500));
    const StoredState copy = fleet.state();
    fleet.StoreEndpoint(row.lost);
    fleet.Run(milliseconds(2'500));
    fleet.RestoreStore(copy);
    int wrong_steps = 0;
    for (Duration elapsed{}; elapsed < 6 * kHeartbeat; elapsed += kStep) {
      const Duration write = row.written_again ? kHeartbeat : 3 * kHeartbeat;
      if (elapsed == write) fleet.StoreEndpoint(row.written_again);
      fleet.Run(kStep);
      for (const std::uint64_t start : {std::uint64_t{7}, std::uint64_t{9}}) {
        const std::size_t hosts = start == row.used ? kServedHostFleet : 0;
        wrong_steps += fleet.HostsThatUse(start) == hosts ? 0 : 1;
      }
    }
    CHECK(wrong_steps == 0);
  }
}

// Guards against requests to endpoints that have left because a host that slept spreads its old
// list: messages that waited for it made the list look as if it had just been read (review/7).
TEST_CASE("an old list of endpoints does not replace a newer one") {
  enum class Trouble : std::uint8_t {
    kFreeze,
    kFreezeInRead,  // of the store, if the host reads
    kCut,
  };
  struct Row {
    std::string name;
    std::size_t hosts;
    Trouble trouble;
    Entry left;  // what the store has after the change; the process 7 is used before
    bool by_peers_only = false;  // the store turns the woken host away
  };
  const Row rows[] = {
      {"6 hosts, the entry is removed", 6, Trouble::kFreeze, {}},
      {"6 hosts, the endpoint drains", 6, Trouble::kFreeze, EntryOf(7, true)},
      {"6 hosts, another process under the id", 6, Trouble::kFreeze, EntryOf(9)},
      {"6 hosts, a read is answered in the freeze", 6, Trouble::kFreezeInRead, {}},
      {"6 hosts, the woken host is turned away", 6, Trouble::kFreeze, {}, true},
      {"15 hosts, the entry is removed", 15, Trouble::kFreeze, {}},
      {"6 hosts, a host is cut off", 6, Trouble::kCut, {}},
      {"15 hosts, a host is cut off", 15, Trouble::kCut, {}},
  };
  // Requests may reach the endpoint until 2 s after the change. A host that was in trouble is bound
  // by that once it has been without for 3 s.
  constexpr Duration kBound = std::chrono::seconds(2);
  constexpr Duration kInTouch = std::chrono::seconds(3);
  constexpr Duration kBeforeChange = milliseconds(700);
  constexpr Duration kTrouble = milliseconds(3'500);
  constexpr Duration kStep = milliseconds(10);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    for (std::size_t troubled = 0; troubled < row.hosts; ++troubled) {
      CAPTURE(troubled);
      for (const Duration delay : kNetworkDelays) {
        CAPTURE(ToSeconds(delay));
        SimulatedHosts fleet(TestSeed(), delay, row.hosts);
        fleet.StoreEndpoint(EntryOf(7));
        fleet.Start();
        fleet.Run(milliseconds(2'500));
        REQUIRE(fleet.HostsThatUse(7) == row.hosts);
        if (row.trouble == Trouble::kFreezeInRead) {
          const std::size_t calls = fleet.stores[troubled]->calls;
          for (int i = 0; i < 600 && fleet.stores[troubled]->calls == calls; ++i) {
            fleet.Run(milliseconds(1));
          }
        }
        if (row.trouble == Trouble::kCut) {
          fleet.Cut(troubled);
        } else {
          fleet.Freeze(troubled);
        }
        fleet.Run(kBeforeChange);
        fleet.StoreEndpoint(row.left);
        fleet.Run(kBound);
        int late_steps = 0;  // of hosts without trouble
        for (Duration elapsed = kBeforeChange + kBound; elapsed < kTrouble + kInTouch + kBound;
             elapsed += kStep) {
          if (elapsed == kTrouble) {
            if (row.trouble == Trouble::kCut) {
              fleet.Heal(troubled);
            } else {
              fleet.Wake(troubled);
            }
            fleet.stores[troubled]->rejects = row.by_peers_only;
          }
          fleet.Run(kStep);
          for (std::size_t host = 0; host < row.hosts; ++host) {
            const bool bound = host != troubled || elapsed >= kTrouble + kInTouch;
            late_steps += bound && fleet.Uses(host, 7) ? 1 : 0;
          }
        }
        CHECK(late_steps == 0);
      }
    }
  }
}

}  // namespace
}  // namespace verbenaridge::ingress
