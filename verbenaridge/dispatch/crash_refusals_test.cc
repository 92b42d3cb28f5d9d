#include "verbenaridge/dispatch/crash_refusals.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Digest kRoute = 11;
constexpr Digest kDeadly = 31;
constexpr TimePoint kCrash{seconds(100)};

// Guards against a refusal that nothing can end, and against one whose probes crash more endpoints
// than the refusal has spared.
TEST_CASE("a refusal is tested by single requests that become rarer") {
  struct Row {
    std::string name;
    bool doubtful;
    bool deadly;  // each probe crashes its endpoint after 100 ms
    bool ever_sound;
    std::vector<seconds> probes;  // after the crash
  };
  const Row rows[] = {
      {"deadly, crashes at one moment", true, true, false, {seconds(2), seconds(152)}},
      {"lost again at each probe",
       true,
       true,
       true,
       {seconds(2), seconds(6), seconds(14), seconds(30)}},
      {"no probe is answered", true, false, false, {seconds(2), seconds(4), seconds(6)}},
      {"deadly, crashes one after the other", false, true, false, {seconds(30), seconds(180)}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashRefusals refusals;
    refusals.Add({.keys = {kRoute}, .last_crash = kCrash, .doubtful = row.doubtful});
    const std::vector<Digest> request = {kRoute, 77};
    std::vector<seconds> probes;
    TimePoint crash = TimePoint::max();
    for (Duration after{}; after < seconds(400) && probes.size() < row.probes.size();
         after += milliseconds(100)) {
      const TimePoint now = kCrash + after;
      if (now >= crash) {
        refusals.OnCrash(
            request, [&](Digest) { return row.ever_sound; }, now);
        crash = TimePoint::max();
      }
      const std::vector<Digest> tested = refusals.FindProbe(request, now);
      if (tested.empty()) continue;
      CHECK(refusals.TakeProbe(tested, now));
      CHECK_FALSE(refusals.TakeProbe(tested, now));
      CHECK(refusals.Find(request) != nullptr);  // others are still refused
      probes.push_back(std::chrono::duration_cast<seconds>(after));
      if (row.deadly) crash = now + milliseconds(100);
    }
    CHECK(probes == row.probes);
  }
}

// Guards against a probe that is known to be deadly for another reason, and against refusals that
// nothing ends because several of them apply to each request.
TEST_CASE("a request tests all refusals that apply to it when all are due") {
  struct Row {
    std::string name;
    std::vector<Digest> request;
    seconds after;
    std::vector<Digest> tested;
  };
  const Row rows[] = {
      {"one refusal applies", {kRoute, 77}, seconds(3), {kRoute}},
      {"another one applies too that is not due", {kRoute, kDeadly, 77}, seconds(3), {}},
      {"both are due", {kRoute, kDeadly, 77}, seconds(31), {kRoute, kDeadly}},
      {"none applies", {77}, seconds(31), {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashRefusals refusals;
    refusals.Add({.keys = {kRoute}, .last_crash = kCrash, .doubtful = true});
    refusals.Add({.keys = {kDeadly}, .last_crash = kCrash});
    const TimePoint now = kCrash + row.after;
    CHECK(refusals.FindProbe(row.request, now) == row.tested);
    CHECK(refusals.TakeProbe(row.tested, now) == !row.tested.empty());
    if (!row.tested.empty()) CHECK(refusals.FindProbe(std::vector<Digest>{kRoute}, now).empty());
  }
}

// Guards against hosts that send further probes because they do not know of those before.
TEST_CASE("what peers know of a refusal is merged") {
  struct Row {
    std::string name;
    CrashRefusal reported;
    milliseconds next_probe;  // after the crash
  };
  const Row rows[] = {
      {"nothing new", {.keys = {kRoute}, .last_crash = kCrash, .doubtful = true}, seconds(2)},
      {"a probe",
       {.keys = {kRoute},
        .last_crash = kCrash,
        .doubtful = true,
        .last_probe = kCrash + milliseconds(1'500)},
       milliseconds(3'500)},
      {"a failed probe",
       {.keys = {kRoute}, .last_crash = kCrash, .doubtful = true, .failed_probes = 1},
       seconds(4)},
      {"the refusal is certain", {.keys = {kRoute}, .last_crash = kCrash}, seconds(30)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashRefusals refusals;
    refusals.Add({.keys = {kRoute}, .last_crash = kCrash, .doubtful = true});
    CHECK_FALSE(refusals.AddFromPeer(row.reported));
    const std::vector<Digest> request = {kRoute};
    CHECK(refusals.FindProbe(request, kCrash + row.next_probe - milliseconds(1)).empty());
    CHECK(refusals.FindProbe(request, kCrash + row.next_probe) == request);
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
