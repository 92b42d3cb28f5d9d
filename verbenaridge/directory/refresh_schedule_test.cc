#include "verbenaridge/directory/refresh_schedule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
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
    std::vector<RefreshSchedule> hosts(row.hosts, RefreshSchedule({}, random, clock.Now()));
    constexpr int kSeconds = 20;
    int reads = 0;
    for (int i = 0; i < kSeconds * 1000; ++i) {
      for (std::size_t host = 0; host < row.hosts; ++host) {
        if (!hosts[host].IsDue(clock.Now())) continue;
        ++reads;
        hosts[host].OnReadStarted(clock.Now());
        hosts[host].OnReadSucceeded(clock.Now());
        if (!row.informed) continue;
        for (RefreshSchedule& other : hosts) other.OnPeerRead(clock.Now());
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
    milliseconds later;  // after the last failure
    Duration min_delay;
    Duration max_delay;
  };
  const Row rows[] = {
      {"after a successful read", 0, false, {}, milliseconds(400), milliseconds(800)},
      {"a peer has a different value", 0, true, {}, milliseconds(0), milliseconds(0)},
      {"one failure", 1, false, {}, milliseconds(100), milliseconds(300)},
      {"many failures", 20, false, {}, milliseconds(500), milliseconds(1500)},
      {"a peer differs long after a failure", 1, true, milliseconds(60'000), {}, {}},
      {"a peer differs while the store is down",
       20,
       true,
       {},
       milliseconds(500),
       milliseconds(1500)},
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
    clock.Advance(row.later);
    if (row.peer_differs) schedule.OnPeerDiffers(clock.Now());
    CHECK(schedule.due() - clock.Now() >= row.min_delay);
    CHECK(schedule.due() - clock.Now() <= row.max_delay);
  }
}

// Guards against a store that serves a single host, which then waits for reads of all the others,
// and against a fleet that calls a failing store without end.
TEST_CASE("a host that is served takes over from the reader") {
  struct Row {
    const char* name;
    std::size_t hosts;
    std::size_t served;  // of them, after the reader has failed
    bool failed_before;  // each host, before it learned of the reader's first read
    Duration max_takeover;
    std::size_t max_calls;  // in the first 10 s after the reader has failed
  };
  // A reader calls 21 times in 10 s. Every host tries once within the jitter, and hosts that were
  // rejected try again every 125 ms together.
  const Row rows[] = {
      {"15 hosts, one served", 15, 1, false, milliseconds(1'500), 15 + 21 + 80},
      {"295 hosts, one served", 295, 1, false, milliseconds(1'500), 295 + 21 + 80},
      {"295 hosts, a tenth served", 295, 29, false, milliseconds(1'200), 40 + 21 + 80},
      {"295 hosts, all served", 295, 295, false, milliseconds(1'000), 25 + 21},
      {"15 hosts that failed long before", 15, 1, true, milliseconds(1'500), 15 + 21 + 80},
      {"295 hosts that failed long before", 295, 29, true, milliseconds(1'200), 40 + 21 + 80},
      {"295 hosts, none served", 295, 0, false, std::chrono::seconds(10), 295 + 80},
  };
  // From the read of a host to the moment at which the others know of it.
  constexpr Duration kInformed = milliseconds(20);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    clock.Advance(std::chrono::seconds(10));
    SeededRandom random(11);
    std::vector<RefreshSchedule> hosts(row.hosts, RefreshSchedule({}, random, clock.Now()));
    for (RefreshSchedule& host : hosts) {
      host.SetIntervals({.interval = milliseconds(750),
                         .jitter = milliseconds(750),
                         .jitter_power = 3,
                         .retry_delay = row.hosts * milliseconds(125)});
      host.OnReadStarted(clock.Now());
      if (row.failed_before) {
        host.OnReadFailed(clock.Now());
      } else {
        host.OnReadSucceeded(clock.Now());
      }
      host.OnPeerRead(clock.Now() + milliseconds(100));
    }
    const TimePoint start = clock.Now() + milliseconds(100);  // the last read
    std::optional<TimePoint> first_read;
    TimePoint last_read = start;
    Duration longest_pause{};
    std::size_t calls = 0;
    std::vector<TimePoint> reported;  // reads that the others do not know of yet
    while (clock.Now() - start < std::chrono::seconds(10)) {
      for (std::size_t i = 0; i < row.hosts; ++i) {
        if (!hosts[i].IsDue(clock.Now())) continue;
        ++calls;
        hosts[i].OnReadStarted(clock.Now());
        if (i + row.served < row.hosts) {
          hosts[i].OnReadFailed(clock.Now());
          continue;
        }
        hosts[i].OnReadSucceeded(clock.Now());
        if (first_read) longest_pause = std::max(longest_pause, clock.Now() - last_read);
        if (!first_read) first_read = clock.Now();
        last_read = clock.Now();
        reported.push_back(clock.Now());
      }
      std::erase_if(reported, [&](TimePoint read) {
        if (clock.Now() - read < kInformed) return false;
        for (RefreshSchedule& host : hosts) host.OnPeerRead(read);
        return true;
      });
      clock.Advance(milliseconds(1));
    }
    CHECK(first_read.has_value() == (row.served > 0));
    CHECK(first_read.value_or(start) - start <= row.max_takeover);
    CHECK(longest_pause <= milliseconds(510));
    CHECK(calls <= row.max_calls);
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
  CHECK(schedule.OnPeerRead(clock.Now()));
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
    RefreshSchedule schedule({.reader_interval = milliseconds(400),
                              .reader_jitter = {},
                              .others = {.interval = milliseconds(400), .jitter = {}}},
                             random, clock.Now());
    schedule.OnReadStarted(clock.Now());
    schedule.OnReadSucceeded(clock.Now());
    clock.Advance(milliseconds(300));
    CHECK(schedule.OnPeerRead(clock.Now() - row.age) == row.newer);
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

// Guards against an old response that makes a list look current, or delays the next read.
TEST_CASE("an outdated response causes another read and proves nothing") {
  struct Row {
    const char* name;
    bool peer_read;  // one that a peer reported during the read
  };
  const Row rows[] = {{"no report since", false}, {"a report during the read", true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    SeededRandom random(3);
    RefreshSchedule schedule({}, random, clock.Now());
    schedule.OnReadStarted(clock.Now());
    schedule.OnReadSucceeded(clock.Now());
    clock.Advance(milliseconds(600));
    schedule.OnReadStarted(clock.Now());
    clock.Advance(milliseconds(100));
    if (row.peer_read) schedule.OnPeerRead(clock.Now());
    const TimePoint current = schedule.last_current();
    clock.Advance(milliseconds(100));
    schedule.OnReadOutdated(clock.Now());
    CHECK(schedule.last_current() == current);
    CHECK(schedule.IsDue(clock.Now()));
    CHECK(schedule.failures() == 0);
  }
}

}  // namespace
}  // namespace verbenaridge::directory
