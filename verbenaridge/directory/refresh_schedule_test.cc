#include "verbenaridge/directory/refresh_schedule.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace verbenaridge::directory {
namespace {

using std::chrono::milliseconds;

// Guards against hosts that all read the store in each interval, and against a system in which none
// does.
TEST_CASE("all hosts together read about once per interval") {
  struct Row {
    const char* name;
    std::size_t hosts;
    bool informed;  // of the reads of other hosts
    double min_per_second;
    double max_per_second;
  };
  const Row rows[] = {
      {"one host", 1, true, 1.2, 2.6},
      {"18 hosts that inform each other", 18, true, 1.5, 2.6},
      {"128 hosts that inform each other", 128, true, 1.5, 2.6},
      {"18 isolated hosts", 18, false, 18 * 1.2, 18 * 2.6},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    SeededRandom random(7);
    std::vector<RefreshSchedule> hosts(
        row.hosts, RefreshSchedule({.interval = milliseconds(400)}, random, clock.Now()));
    constexpr int kSeconds = 20;
    int reads = 0;
    for (int i = 0; i < kSeconds * 1000; ++i) {
      for (std::size_t host = 0; host < row.hosts; ++host) {
        if (!hosts[host].IsDue(clock.Now())) continue;
        ++reads;
        hosts[host].OnReadStarted(clock.Now());
        hosts[host].OnReadSucceeded(clock.Now());
        if (!row.informed) continue;
        for (RefreshSchedule& other : hosts) other.OnPeerRead(clock.Now(), clock.Now());
      }
      clock.Advance(milliseconds(1));
    }
    CHECK(reads > row.min_per_second * kSeconds);
    CHECK(reads < row.max_per_second * kSeconds);
  }
}

// Guards against a known change that is read only after the interval, and against all hosts calling
// a store that is down.
TEST_CASE("a known change is read at once and failures delay the next read") {
  struct Row {
    const char* name;
    int failures;
    bool peer_differs;
    Duration min_delay;
    Duration max_delay;
  };
  const Row rows[] = {
      {"after a successful read", 0, false, milliseconds(400), milliseconds(800)},
      {"a peer has a different value", 0, true, milliseconds(0), milliseconds(0)},
      {"one failure", 1, false, milliseconds(100), milliseconds(300)},
      {"many failures", 20, false, milliseconds(500), milliseconds(1500)},
      {"a peer differs while the store is down", 20, true, milliseconds(500), milliseconds(1500)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    SeededRandom random(3);
    RefreshSchedule schedule({}, random, clock.Now());
    schedule.OnReadStarted(clock.Now());
    schedule.OnReadSucceeded(clock.Now());
    for (int i = 0; i < row.failures; ++i) {
      schedule.OnReadStarted(clock.Now());
      schedule.OnReadFailed(clock.Now());
    }
    if (row.peer_differs) schedule.OnPeerDiffers(clock.Now());
    CHECK(schedule.due() - clock.Now() >= row.min_delay);
    CHECK(schedule.due() - clock.Now() <= row.max_delay);
  }
}

// Guards against hosts that keep calling a store that rejects them although their peers inform
// them.
TEST_CASE("a rejected host retries with the maximum delay while peers report reads") {
  ManualClock clock;
  SeededRandom random(3);
  RefreshSchedule schedule({}, random, clock.Now());
  schedule.OnReadStarted(clock.Now());
  schedule.OnReadFailed(clock.Now());
  clock.Advance(milliseconds(100));
  CHECK(schedule.OnPeerRead(clock.Now(), clock.Now()));
  CHECK(schedule.due() - clock.Now() >= milliseconds(500));
  CHECK(schedule.last_current() == clock.Now());
}

// Guards against a host that postpones its own read because of a report that it already had or that
// is old.
TEST_CASE("a peer's read postpones the next one according to its age") {
  struct Row {
    const char* name;
    Duration age;  // of the peer's read, 300 ms after the own read
    bool newer;
    Duration due_after;
  };
  const Row rows[] = {
      {"just read", milliseconds(0), true, milliseconds(400)},
      {"read a while ago", milliseconds(200), true, milliseconds(200)},
      {"the own read, reported back", milliseconds(295), false, milliseconds(100)},
      {"older than the own read", milliseconds(900), false, milliseconds(100)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    clock.Advance(std::chrono::seconds(10));
    SeededRandom random(3);
    RefreshSchedule schedule({.jitter = {}}, random, clock.Now());
    schedule.OnReadStarted(clock.Now());
    schedule.OnReadSucceeded(clock.Now());
    clock.Advance(milliseconds(300));
    CHECK(schedule.OnPeerRead(clock.Now() - row.age, clock.Now()) == row.newer);
    CHECK(schedule.due() - clock.Now() == row.due_after);
  }
}

// Guards against a change that occurs during a read and is then missed.
TEST_CASE("a change during a read causes another read") {
  ManualClock clock;
  SeededRandom random(3);
  RefreshSchedule schedule({}, random, clock.Now());
  schedule.OnReadStarted(clock.Now());
  schedule.OnPeerDiffers(clock.Now());
  CHECK_FALSE(schedule.IsDue(clock.Now()));
  schedule.OnReadSucceeded(clock.Now());
  CHECK(schedule.IsDue(clock.Now()));
}

}  // namespace
}  // namespace verbenaridge::directory
