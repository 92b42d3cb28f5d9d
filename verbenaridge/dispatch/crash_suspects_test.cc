#include "verbenaridge/dispatch/crash_suspects.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Parts of prompts. Those of a route, of a client account, and one that crashes endpoints.
constexpr Digest kRoute = 11;
constexpr Digest kOtherRoute = 12;
constexpr Digest kAccount = 21;
constexpr Digest kDeadly = 31;
constexpr Digest kOtherDeadly = 32;
constexpr Digest kOtherHost = 7;

struct Event {
  enum class Kind { kCrash, kUnbegun, kSound, kSoundElsewhere };
  milliseconds at{};
  Kind kind = Kind::kCrash;
  std::vector<Digest> parts{};
  Digest endpoint = 0;
  Digest request = 0;
};

void Play(CrashSuspects& suspects, const Event& event, TimePoint now) {
  switch (event.kind) {
    case Event::Kind::kCrash:
    case Event::Kind::kUnbegun:
      suspects.OnCrash({.endpoint = event.endpoint,
                        .request = event.request,
                        .begun = event.kind == Event::Kind::kCrash,
                        .parts = event.parts},
                       now);
      return;
    case Event::Kind::kSound:
      suspects.OnSoundResponse(event.parts, now);
      return;
    case Event::Kind::kSoundElsewhere:
      for (const Digest part : event.parts) {
        suspects.OnSound(part, {.responses = 1, .last = now}, kOtherHost);
      }
      return;
  }
}

bool Refuses(const CrashSuspects& suspects, const std::vector<Digest>& keys) {
  return suspects.FindRefusal(keys) != nullptr;
}

std::vector<Event> Crashes(int count, const std::vector<Digest>& parts,
                           Event::Kind kind = Event::Kind::kCrash,
                           milliseconds gap = milliseconds(10)) {
  std::vector<Event> events;
  for (int i = 0; i < count; ++i) {
    events.push_back({milliseconds(1'000) + i * gap, kind, parts, static_cast<Digest>(100 + i),
                      static_cast<Digest>(200 + i)});
  }
  return events;
}

std::vector<Event> Join(std::vector<Event> events, const std::vector<Event>& more) {
  events.insert(events.end(), more.begin(), more.end());
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  return events;
}

// Streams of one route that had just begun when their endpoints were lost at the same moment.
std::vector<Event> Loss(milliseconds at, Digest first_endpoint) {
  std::vector<Event> events = Crashes(10, {kRoute, kAccount}, Event::Kind::kCrash, milliseconds(0));
  for (Event& event : events) {
    event.at = at;
    event.endpoint += first_endpoint;
    event.request += first_endpoint;
  }
  return events;
}

// Guards against requests with a deadly part that crash one endpoint after another, and against
// the refusal of sound requests that share other parts with them or broke at the same crashes.
TEST_CASE("requests with the part that crashes have in common are refused") {
  using Kind = Event::Kind;
  struct Row {
    std::string name;
    std::vector<Event> events;
    bool deadly_refused;
    bool route_refused = false;    // sound requests of the same route
    bool account_refused = false;  // of the same client account
  };
  const std::vector<Digest> deadly = {kRoute, kDeadly};
  const Event route_sound_before{milliseconds(100), Kind::kSound, {kRoute}};
  const Event sound_before{milliseconds(100), Kind::kSound, {kRoute, kAccount}};
  const Event sound_elsewhere{milliseconds(100), Kind::kSoundElsewhere, {kRoute, kAccount}};
  const std::vector<Event> loss = Join({sound_before}, Loss(milliseconds(1'000), 1'000));
  const Row rows[] = {
      {"nothing", {}, false},
      {"endpoints lost together", loss, false},
      {"endpoints lost together, sound responses at another host",
       Join({sound_elsewhere}, Loss(milliseconds(1'000), 1'000)), false},
      {"endpoints lost together, twice", Join(loss, Loss(milliseconds(1'800), 2'000)), false},
      {"a deadly part ten times a second, after a loss",
       Join(loss, {{milliseconds(2'000), Kind::kCrash, deadly, 100, 200},
                   {milliseconds(2'100), Kind::kCrash, deadly, 101, 201},
                   {milliseconds(2'200), Kind::kCrash, deadly, 102, 202}}),
       true},
      {"a deadly part beside a loss", Join(loss, Crashes(3, deadly)), true},
      {"two crashes", Join({route_sound_before}, Crashes(2, deadly)), false},
      {"three crashes", Join({route_sound_before}, Crashes(3, deadly)), true},
      {"three reports of one crash",
       {{milliseconds(1'000), Kind::kCrash, deadly, 100, 200},
        {milliseconds(1'001), Kind::kCrash, deadly, 100, 201},
        {milliseconds(1'002), Kind::kCrash, deadly, 100, 202}},
       false},
      {"three crashes of one request",
       {{milliseconds(1'000), Kind::kCrash, deadly, 100, 200},
        {milliseconds(1'200), Kind::kCrash, deadly, 101, 200},
        {milliseconds(1'400), Kind::kCrash, deadly, 102, 200}},
       false},
      {"another host knows sound responses on the first part",
       Join({{milliseconds(100), Kind::kSoundElsewhere, {kRoute}}}, Crashes(3, deadly)), true},
      {"the first part was never seen sound: refused together only", Crashes(3, deadly), true},
      {"the first part differs",
       Join(Crashes(2, deadly),
            {{milliseconds(1'500), Kind::kCrash, {kOtherRoute, kDeadly}, 150, 250},
             {milliseconds(1'600), Kind::kCrash, {kOtherRoute, kDeadly}, 151, 251}}),
       true},
      {"an endpoint lost beside three crashes",
       Join(Join({route_sound_before}, Crashes(3, deadly)),
            {{milliseconds(1'015), Kind::kUnbegun, {kRoute, kAccount}, 150, 250}}),
       true},
      {"two deadly parts",
       Join(Join({route_sound_before}, Crashes(3, deadly)),
            {{milliseconds(1'012), Kind::kCrash, {kRoute, kOtherDeadly}, 150, 250},
             {milliseconds(1'014), Kind::kCrash, {kRoute, kOtherDeadly}, 151, 251}}),
       true},
      {"two deadly parts, of which none has crashed three endpoints",
       Join(Join({route_sound_before}, Crashes(2, deadly)),
            {{milliseconds(1'012), Kind::kCrash, {kRoute, kOtherDeadly}, 150, 250},
             {milliseconds(1'014), Kind::kCrash, {kRoute, kOtherDeadly}, 151, 251}}),
       false},
      {"deadly as the first part",
       Join({{milliseconds(100), Kind::kSound, {kAccount}}}, Crashes(3, {kDeadly, kAccount})),
       true},
      {"the part is sound after the crashes",
       Join(Crashes(3, deadly), {{milliseconds(1'100), Kind::kSound, deadly}}), false},
      {"sound between the crashes",
       Join(Crashes(3, deadly), {{milliseconds(1'015), Kind::kSound, deadly}}), false},
      {"bystanders whose response had not begun",
       Join(Join({route_sound_before}, Crashes(3, deadly)),
            {{milliseconds(1'000), Kind::kUnbegun, {kAccount}, 100, 300},
             {milliseconds(1'010), Kind::kUnbegun, {kAccount}, 101, 301},
             {milliseconds(1'020), Kind::kUnbegun, {kAccount}, 102, 302}}),
       true},
      {"many endpoints lost at once", Crashes(12, {kAccount}, Kind::kUnbegun), false},
      {"crashes before each response began",
       Join({route_sound_before}, Crashes(6, deadly, Kind::kUnbegun, milliseconds(250))), true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashSuspects suspects;
    const TimePoint start{seconds(100)};
    std::size_t refusals = 0;
    for (const Event& event : row.events) {
      Play(suspects, event, start + event.at);
      refusals += suspects.Judge(start + event.at).size();
    }
    CHECK(refusals == 0);  // none before the other hosts could object
    suspects.Judge(start + seconds(3));
    CHECK(Refuses(suspects, std::vector<Digest>{kRoute, kDeadly}) == row.deadly_refused);
    CHECK(Refuses(suspects, std::vector<Digest>{kRoute}) == row.route_refused);
    CHECK(Refuses(suspects, std::vector<Digest>{kRoute, kAccount}) == row.account_refused);
    CHECK(suspects.Judge(start + seconds(4)).empty());
  }
}

// Guards against a request that comes again, at any host, and crashes one endpoint after another,
// and against the refusal of requests that merely ran on endpoints that crashed.
TEST_CASE("a request is refused after crashes of three endpoints") {
  using Kind = Event::Kind;
  constexpr Digest kRequest = 41;
  constexpr Digest kNeighbour = 42;
  struct Row {
    std::string name;
    std::vector<Event> events;
    bool refused;
    bool neighbour_refused = false;
    bool route_refused = false;
    milliseconds judged = milliseconds(3'000);
  };
  const std::vector<Digest> parts = {kRoute, kAccount};
  const auto crashes = [&](const std::vector<Digest>& endpoints, Digest request, Kind kind,
                           milliseconds gap = milliseconds(300)) {
    std::vector<Event> events;
    milliseconds at(1'000);
    for (const Digest endpoint : endpoints) {
      events.push_back({at, kind, parts, endpoint, request});
      at += gap;
    }
    return events;
  };
  const auto begun = [&](const std::vector<Digest>& endpoints) {
    return crashes(endpoints, kRequest, Kind::kCrash);
  };
  const Event route_sound{milliseconds(100), Kind::kSound, {kRoute, kAccount}};
  // A stream of its own has begun at each endpoint that crashes.
  const auto beside_streams = [&](const std::vector<Digest>& endpoints) {
    std::vector<Event> events = crashes(endpoints, kRequest, Kind::kUnbegun);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      Event stream = events[i];
      stream.kind = Kind::kCrash;
      stream.request = 60 + i;
      stream.parts = {70 + i};
      events.push_back(stream);
    }
    return Join({}, events);
  };
  const std::vector<Digest> six = {1, 2, 3, 4, 5, 6};
  const Event request_sound{milliseconds(100), Kind::kSound, {kRequest}};
  const Row rows[] = {
      {"no crash", {}, false},
      {"three crashes, each beside a stream that has begun", beside_streams({1, 2, 3}), false},
      {"four crashes, each beside a stream that has begun", beside_streams({1, 2, 3, 4}), true},
      {"the neighbour waits at four crashes",
       Join(begun({1, 2, 3, 4}), crashes({1, 2, 3, 4}, kNeighbour, Kind::kUnbegun)), true},
      {"copies at many hosts at once", crashes(six, kRequest, Kind::kUnbegun, milliseconds(3)),
       true},
      {"copies at once, sound before",
       Join({request_sound}, crashes(six, kRequest, Kind::kUnbegun, milliseconds(3))), false},
      {"two crashes", begun({1, 2}), false},
      {"three crashes", begun({1, 2, 3}), true},
      {"three crashes within a moment", crashes({1, 2, 3}, kRequest, Kind::kCrash, milliseconds(5)),
       true},
      {"the same crash reported three times", begun({1, 1, 1}), false},
      {"three crashes before the response began", crashes({1, 2, 3}, kRequest, Kind::kUnbegun),
       true},
      {"endpoints lost at once", crashes({1, 2, 3}, kRequest, Kind::kUnbegun, milliseconds(5)),
       false},
      {"sound after the crashes",
       Join(begun({1, 2, 3}), {{milliseconds(1'900), Kind::kSound, {kRequest}}}), false},
      {"sound elsewhere after the crashes",
       Join(begun({1, 2, 3}), {{milliseconds(1'900), Kind::kSoundElsewhere, {kRequest}}}), false},
      {"sound between the crashes",
       Join(begun({1, 2, 3}), {{milliseconds(1'400), Kind::kSound, {kRequest}}}), false},
      {"sound before the crashes, long ago",
       Join({{milliseconds(100), Kind::kSound, {kRequest}}}, begun({1, 2, 3})), true},
      {"three crashes, long ago", begun({1, 2, 3}), false, false, false, milliseconds(660'000)},
      {"the neighbour's response had not begun",
       Join(begun({1, 2, 3}), crashes({1, 2, 3}, kNeighbour, Kind::kUnbegun)), true},
      {"the neighbour breaks with some of the crashes",
       Join(begun({1, 2, 3, 4}), crashes({1, 2, 3}, kNeighbour, Kind::kCrash)), true},
      {"the route was sound before, and a neighbour breaks too",
       Join(Join({route_sound}, begun({1, 2, 3})), crashes({1}, kNeighbour, Kind::kCrash)), true},
      {"nothing is known of the route, and a neighbour breaks too",
       Join(begun({1, 2, 3}), crashes({1}, kNeighbour, Kind::kCrash)), true},
      {"an endpoint is lost beside the crashes",
       Join(Join({route_sound}, begun({1, 2, 3})), crashes({9}, kNeighbour, Kind::kUnbegun)), true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashSuspects suspects;
    const TimePoint start{seconds(100)};
    for (const Event& event : row.events) Play(suspects, event, start + event.at);
    suspects.Judge(start + row.judged);
    CHECK(Refuses(suspects, {kRequest, kRoute, kAccount}) == row.refused);
    CHECK(Refuses(suspects, {kNeighbour, kRoute, kAccount}) == row.neighbour_refused);
    CHECK(Refuses(suspects, {kRoute, kAccount}) == row.route_refused);
    for (const CrashRefusal& refusal : suspects.refusals()) CHECK(refusal.whole_request);
  }
}

// Guards against hosts that start anew, or come back from a partition, without the judgment.
TEST_CASE("a host that is told refuses the request") {
  const TimePoint start{seconds(100)};
  CrashSuspects scheduler;
  for (const Event& event : Crashes(3, {kRoute})) {
    scheduler.OnCrash({.endpoint = event.endpoint, .request = 41, .begun = true}, start + event.at);
  }
  REQUIRE(scheduler.Judge(start + seconds(2)).size() == 1);
  CrashSuspects host;
  for (const CrashRefusal& refusal : scheduler.refusals()) {
    CHECK(host.OnRefusal(refusal, start + seconds(2)));
  }
  CHECK(Refuses(host, {41, kRoute}));
  CHECK_FALSE(Refuses(host, {42, kRoute}));
}

// Guards against a refusal that outlives the proof that its part is sound, on a host that only
// heard of it, and against one that is forgotten too early.
TEST_CASE("a refusal ends with a sound response or its retention") {
  struct Row {
    std::string name;
    milliseconds sound;  // after the last crash; zero: never
    seconds later;
    bool refused;
  };
  const Row rows[] = {
      {"still", {}, seconds(60), true},
      {"sound later", milliseconds(500), seconds(1), false},
      {"sound before", milliseconds(-500), seconds(1), true},
      {"long ago", {}, seconds(601), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashSuspects suspects;
    const TimePoint crash{seconds(100)};
    suspects.OnRefusal({.keys = {kDeadly}, .last_crash = crash}, crash);
    if (row.sound != milliseconds{}) {
      suspects.OnSound(kDeadly, {.responses = 1, .last = crash + row.sound}, kOtherHost);
    }
    suspects.Judge(crash + row.later);
    CHECK(Refuses(suspects, std::vector<Digest>{kRoute, kDeadly}) == row.refused);
  }
}

// Guards against hosts that send each other the same refusal all the time, each with an age that
// is later by the time that the message took.
TEST_CASE("the last crash of a refusal moves only with a later crash") {
  struct Row {
    std::string name;
    milliseconds later;
    bool moved;
  };
  const Row rows[] = {
      {"the same crash, a millisecond on its way", milliseconds(1), false},
      {"the same crash, between distant hosts", milliseconds(300), false},
      {"earlier", milliseconds(-5'000), false},
      {"a later crash", milliseconds(2'000), true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashSuspects suspects;
    const TimePoint crash{seconds(100)};
    suspects.OnRefusal({.keys = {kDeadly}, .last_crash = crash}, crash);
    suspects.OnRefusal({.keys = {kDeadly}, .last_crash = crash + row.later}, crash + row.later);
    REQUIRE(suspects.refusals().size() == 1);
    CHECK(suspects.refusals()[0].last_crash == (row.moved ? crash + row.later : crash));
  }
}

// Guards against a second endpoint that crashes on a request while the part is not refused yet,
// and against sound requests that lose their retry with it.
TEST_CASE("suspected requests are known before the refusal") {
  struct Row {
    std::string name;
    std::vector<Event> events;
    std::vector<Digest> parts;  // of a request that broke at endpoint 102
    bool suspected;
  };
  const std::vector<Digest> deadly = {kRoute, kDeadly};
  const Event own{milliseconds(1'500), Event::Kind::kCrash, deadly, 102, 300};
  const Row rows[] = {
      {"only its own crash", {own}, deadly, false},
      {"another crash", {Crashes(1, deadly)[0], own}, deadly, true},
      {"another crash, other parts", {Crashes(1, {kAccount})[0], own}, deadly, false},
      {"sound since",
       {Crashes(1, {kRoute})[0], {milliseconds(1'200), Event::Kind::kSound, {kRoute}}, own},
       deadly,
       false},
      {"several endpoints lost at once",
       {{milliseconds(1'490), Event::Kind::kUnbegun, deadly, 100, 200},
        {milliseconds(1'500), Event::Kind::kUnbegun, deadly, 102, 300}},
       deadly,
       false},
      {"endpoints lost one after the other, before each response began",
       {{milliseconds(1'000), Event::Kind::kUnbegun, deadly, 100, 200},
        {milliseconds(1'500), Event::Kind::kUnbegun, deadly, 102, 300}},
       deadly,
       true},
      {"long ago",
       {{milliseconds(-40'000), Event::Kind::kCrash, deadly, 100, 200}, own},
       deadly,
       false},
      {"several endpoints lost at once, sound before",
       {{milliseconds(100), Event::Kind::kSound, {kRoute}},
        {milliseconds(1'490), Event::Kind::kCrash, {kRoute}, 100, 200},
        own},
       {kRoute},
       false},
      {"the same request at endpoints lost at once, sound before",
       {{milliseconds(100), Event::Kind::kSound, {300}},
        {milliseconds(1'490), Event::Kind::kCrash, {}, 100, 300},
        own},
       {300},
       false},
      {"an endpoint lost earlier, sound before",
       {{milliseconds(100), Event::Kind::kSound, {kRoute}},
        {milliseconds(1'000), Event::Kind::kCrash, {kRoute}, 100, 200},
        own},
       {kRoute},
       true},
      {"a deadly part at the same moment, the route sound before",
       {{milliseconds(100), Event::Kind::kSound, {kRoute}},
        {milliseconds(1'490), Event::Kind::kCrash, deadly, 100, 200},
        own},
       deadly,
       true},
      {"the same request, begun",
       {{milliseconds(1'000), Event::Kind::kCrash, {}, 100, 300}, own},
       {300},
       true},
      {"the same request, one crash before its response began",
       {{milliseconds(1'000), Event::Kind::kUnbegun, {}, 100, 300}, own},
       {300},
       false},
      {"the same request, two crashes before its response began",
       {{milliseconds(1'000), Event::Kind::kUnbegun, {}, 100, 300},
        {milliseconds(1'200), Event::Kind::kUnbegun, {}, 101, 300}},
       {300},
       true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashSuspects suspects;
    const TimePoint start{seconds(100)};
    for (const Event& event : row.events) Play(suspects, event, start + event.at);
    CHECK(suspects.IsSuspected(row.parts, 102, start + milliseconds(1'500)) == row.suspected);
  }
}

// Guards against objections that never reach a scheduler, so that it refuses a sound part: the host
// saw a crash itself, or its first report was lost.
TEST_CASE("a host reports its sound responses when another one asks") {
  struct Row {
    std::string name;
    bool crash_here;
    std::vector<milliseconds> asked;  // after the sound response
    std::vector<std::size_t> reports;
  };
  const Row rows[] = {
      {"asked once", false, {milliseconds(500)}, {1}},
      {"its own request broke before", true, {milliseconds(500)}, {1}},
      {"asked twice by the same gossip", false, {milliseconds(500), milliseconds(510)}, {1, 0}},
      {"asked again: the report may be lost",
       false,
       {milliseconds(500), milliseconds(1'600)},
       {1, 1}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashSuspects suspects;
    const TimePoint start{seconds(100)};
    const std::vector<Digest> route = {kRoute};
    CHECK(suspects.OnSoundResponse(route, start).empty());  // nobody asked
    if (row.crash_here)
      suspects.OnCrash({.endpoint = 1, .parts = route}, start + milliseconds(490));
    std::vector<std::size_t> reports;
    for (const milliseconds at : row.asked) {
      reports.push_back(suspects.OnAsked(route, start + at).size());
    }
    CHECK(reports == row.reports);
  }
}

// Guards against objections that are not asked for: gossip holds only the last suspected parts, and
// requests on lost endpoints have many others that no two of them share.
TEST_CASE("the parts of most crashes are the last of the suspected ones") {
  CrashSuspects suspects;
  const TimePoint start{seconds(100)};
  suspects.OnRefusal({.keys = {kAccount}, .last_crash = start}, start);
  for (Digest i = 0; i < 50; ++i) {
    const Digest of_session = 1'000 + i;
    suspects.OnCrash({.endpoint = i, .request = i, .parts = {kRoute, of_session}}, start);
    if (i > 10) continue;
    suspects.OnCrash({.endpoint = i, .request = 100 + i, .parts = {kDeadly, 2'000 + i}}, start);
  }
  const std::vector<Digest> parts = suspects.SuspectedKeys(start);
  REQUIRE(parts.size() >= 3);
  CHECK(std::vector<Digest>(parts.end() - 3, parts.end()) ==
        std::vector<Digest>{kDeadly, kRoute, kAccount});
}

// Guards against a host that goes on refusing a sound part: it has no sound response on it, because
// it refuses all requests with it.
TEST_CASE("a host that hears that a refused part is sound ends the refusal") {
  struct Row {
    std::string name;
    milliseconds sound;  // after the crash
    bool refused;
  };
  const Row rows[] = {
      {"sound after the crash", milliseconds(500), false},
      {"sound before the crash", milliseconds(-500), true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const TimePoint crash{seconds(100)};
    const TimePoint now = crash + seconds(2);
    const CrashRefusal refusal{.keys = {kRoute}, .last_crash = crash};
    CrashSuspects scheduler;
    CrashSuspects host;
    scheduler.OnRefusal(refusal, crash);
    host.OnRefusal(refusal, crash);
    scheduler.OnSound(kRoute, {.responses = 1, .last = crash + row.sound}, kOtherHost);
    for (const RefutedKey& key : scheduler.RefutedKeys(now)) host.OnRefuted(key);
    CHECK(Refuses(host, std::vector<Digest>{kRoute}) == row.refused);
    host.OnRefusal(refusal, now);  // of a third host
    CHECK(Refuses(host, std::vector<Digest>{kRoute}) == row.refused);
    CHECK(scheduler.RefutedKeys(now + seconds(60)).empty());
  }
}

// Guards against a refusal that a host made while it was cut off, and that no other one objects to.
TEST_CASE("a host objects to a refusal that it can refute") {
  struct Row {
    std::string name;
    milliseconds sound;  // after the crash
    seconds told;        // of the refusal, after the crash
    std::size_t objections;
  };
  const Row rows[] = {
      {"sound after the crash", milliseconds(500), seconds(2), 1},
      {"sound after the crash, told long after", milliseconds(500), seconds(60), 1},
      {"sound before the crash", milliseconds(-500), seconds(2), 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const TimePoint crash{seconds(100)};
    const CrashRefusal refusal{.keys = {kRoute}, .last_crash = crash};
    CrashSuspects host;
    host.OnSound(kRoute, {.responses = 1, .last = crash + row.sound}, kOtherHost);
    host.OnRefusal(refusal, crash + row.told);
    const std::vector<RefutedKey> told = host.RefutedKeys(crash + row.told);
    REQUIRE(told.size() == row.objections);
    CrashSuspects refusing;
    refusing.OnRefusal(refusal, crash);
    for (const RefutedKey& key : told) refusing.OnRefuted(key);
    CHECK(Refuses(refusing, std::vector<Digest>{kRoute}) == (row.objections == 0));
  }
}

// Guards against memory use that grows with the number of failed connections.
TEST_CASE("the oldest crashes are evicted at capacity") {
  CrashSuspects suspects({.crashes_to_refuse = 1, .max_crashes = 3});
  const TimePoint start{seconds(100)};
  for (Digest request = 1; request <= 4; ++request) {
    suspects.OnCrash({.endpoint = request, .request = request, .begun = true},
                     start + request * seconds(1));
  }
  suspects.Judge(start + seconds(10));
  CHECK_FALSE(Refuses(suspects, {1}));
  CHECK(Refuses(suspects, {4}));
}

// Guards against memory that grows with the number of crashes or parts.
TEST_CASE("what is kept is bounded") {
  CrashSuspects suspects({.max_crashes = 4, .max_keys = 8, .refusals = {.max_refusals = 2}});
  const TimePoint start{seconds(100)};
  for (Digest i = 1; i <= 100; ++i) {
    suspects.OnCrash({.endpoint = i, .request = i, .begun = true, .parts = {i}}, start);
    suspects.OnSound(i, {.responses = 1, .last = start}, kOtherHost);
    suspects.OnRefusal({.keys = {1'000 + i}, .last_crash = start}, start);
  }
  CHECK(suspects.SuspectedKeys(start).size() == 6);
  CHECK(suspects.refusals().size() == 2);
}

}  // namespace
}  // namespace verbenaridge::dispatch
