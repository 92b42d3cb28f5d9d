#include "verbenaridge/poison/digest_gate.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::poison {
namespace {

constexpr Digest kDigest = 99;
const TimePoint kStart{std::chrono::hours(1)};
const TimePoint kSettled = kStart + std::chrono::seconds(10);
const WallTime kWall{std::chrono::hours(1000)};

// Guards against a request that crashes many endpoints because copies of it run at the same time.
TEST_CASE("identical requests are limited by the number of deaths") {
  struct Row {
    const char* name;
    std::vector<int> deaths;  // of the digest before each further identical request
    std::vector<GateDecision> decisions;
  };
  using enum GateDecision;
  const Row rows[] = {
      {"two identical", {0, 0, 0}, {kRun, kRun, kWait}},
      {"suspect runs alone", {1, 1}, {kRunAlone, kWait}},
      {"suspect waits for its running copy", {0, 1}, {kRun, kWait}},
      {"refused after two deaths", {2}, {kRefuse}},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      SuspectRegistry registry;
      DigestGate gate(registry, kStart);
      int died = 0;
      const Digest digests[] = {kDigest};
      for (std::size_t i = 0; i < row.deaths.size(); ++i) {
        for (; died < row.deaths[i]; ++died) {
          registry.OnEndpointDeath(EndpointId("e"), static_cast<Incarnation>(died + 1), digests,
                                   kWall);
        }
        CHECK(gate.Admit(kDigest, i + 1, kSettled, kWall) == row.decisions[i]);
        CHECK(gate.Admit(kDigest, i + 1, kSettled, kWall) == row.decisions[i]);  // repeated call
      }
      for (std::size_t i = 0; i < row.deaths.size(); ++i) {
        gate.Finish(i + 1, kDigest, {}, false, kWall);
      }
      CHECK(gate.Running(kDigest) == 0);
    }
  }
}

// Guards against a sound request that is refused for as long as its deaths are kept, because its
// endpoints were lost for another reason and a refused request cannot complete.
TEST_CASE("a refused request runs alone again after a pause") {
  using std::chrono::minutes;
  struct Row {
    const char* name;
    int deaths;
    minutes later;  // after the last death
    GateDecision decision;
  };
  using enum GateDecision;
  const Row rows[] = {
      {"two deaths, within the pause", 2, minutes(9), kRefuse},
      {"two deaths, after the pause", 2, minutes(10), kRunAlone},
      {"it has crashed another endpoint", 3, minutes(10), kRefuse},
      {"the same, after the longer pause", 3, minutes(50), kRunAlone},
      {"one death", 1, minutes(0), kRunAlone},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      SuspectRegistry registry;
      DigestGate gate(registry, kStart);
      const Digest digests[] = {kDigest};
      for (int death = 1; death <= row.deaths; ++death) {
        registry.OnEndpointDeath(EndpointId("e"), static_cast<Incarnation>(death), digests, kWall);
      }
      const WallTime now = kWall + row.later;
      CHECK(gate.Admit(kDigest, 1, kSettled, now) == row.decision);
      if (row.decision != kRunAlone) continue;
      CHECK(gate.Admit(kDigest, 2, kSettled, now) == kWait);  // one at a time
      gate.Finish(1, kDigest, {}, /*completed=*/true, now);
      CHECK(gate.Admit(kDigest, 3, kSettled, now) == kRun);
    }
  }
}

// Guards against a new owner that admits a digest again before it can know of deaths, and against
// one that delays a digest whose request was never sent.
TEST_CASE("a new owner admits a digest once until it has settled") {
  enum class End { kFinished, kCompleted, kWithdrawn };
  struct Row {
    const char* name;
    End end;
    GateDecision next;
  };
  const Row rows[] = {{"finished", End::kFinished, GateDecision::kWait},
                      {"completed", End::kCompleted, GateDecision::kRun},
                      {"never sent", End::kWithdrawn, GateDecision::kRun}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      SuspectRegistry registry;
      DigestGate gate(registry, kStart);
      CHECK(gate.Admit(kDigest, 1, kStart, kWall) == GateDecision::kRun);
      if (row.end == End::kWithdrawn) {
        gate.Withdraw(1, kDigest);
      } else {
        gate.Finish(1, kDigest, {}, row.end == End::kCompleted, kWall);
      }
      CHECK(gate.Admit(kDigest, 2, kStart, kWall) == row.next);
      CHECK(gate.Admit(kDigest, 3, kSettled, kWall) == GateDecision::kRun);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::poison
