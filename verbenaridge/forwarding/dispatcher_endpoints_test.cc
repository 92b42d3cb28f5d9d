// Tests what the dispatcher concludes from snapshots and outcomes about its endpoints.
#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/forwarding/dispatcher.h"

namespace verbenaridge::forwarding {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct NoAnnouncements final : LoadAnnouncements {
  void OnBegin(const dispatch::EndpointTask&) override {}
  void OnFirstEvent(dispatch::TaskId) override {}
  void OnEnd(dispatch::TaskId) override {}
  void OnUnreachable(Digest) override {}
  void OnLimit(Digest, std::optional<dispatch::RequestsPerSecond>) override {}
  void OnCrash(const dispatch::EndpointCrash&) override {}
  void OnSoundKey(Digest, const dispatch::SoundRecord&) override {}
};

// A host in data centre "a" that knows three endpoints in "b".
struct Host {
  Host() {
    snapshot.configuration = directory::Configuration::Create(
        {.services = {{.id = ServiceId("s"),
                       .cold_start = directory::ColdStart{.duration = seconds(3),
                                                          .requests_per_second = 17}}}});
    for (const char* id : {"i-0", "i-1", "i-2"}) {
      snapshot.endpoints.push_back({.id = EndpointId(id),
                                    .service = ServiceId("s"),
                                    .data_centre = DataCentreId("b"),
                                    .slots = 6});
    }
  }

  void Publish() { dispatcher.SetSnapshot(std::make_shared<const DirectorySnapshot>(snapshot)); }
  void PublishWithoutConfiguration() {
    auto copy = std::make_shared<DirectorySnapshot>(snapshot);
    copy->configuration = nullptr;
    dispatcher.SetSnapshot(copy);
  }
  std::size_t cold() const { return dispatcher.ColdEndpoints().size(); }

  asio::io_context io;
  ManualClock clock;
  SeededRandom random{3};
  NoAnnouncements announcements;
  DirectorySnapshot snapshot;
  Dispatcher dispatcher{io,
                        clock,
                        random,
                        announcements,
                        {.data_centre = DataCentreId("a"), .longest_pause = seconds(30)}};
};

struct ColdRow {
  const char* name;
  std::function<void(Host&)> run;
  std::size_t cold;  // endpoints that count as cold afterwards
};

void CheckRows(std::span<const ColdRow> rows) {
  for (const ColdRow& row : rows) {
    CAPTURE(row.name);
    Host host;
    row.run(host);
    CHECK(host.cold() == row.cold);
  }
}

// Guards against endpoints that look free because a response that must start early, on a host that
// stops, is forgotten while it runs.
TEST_CASE("a task counts until its response must have ended") {
  struct Row {
    const char* name;
    milliseconds deadline;
    milliseconds end;
    std::size_t tasks;  // a second later
  };
  const Row rows[] = {
      {"must start soon, may run on", milliseconds(500), milliseconds(5'000), 1},
      {"the end is not known", milliseconds(500), milliseconds(0), 0},
      {"both have passed", milliseconds(300), milliseconds(500), 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Host host;
    host.Publish();
    const TimePoint now = host.clock.Now();
    host.dispatcher.Submit({.service = ServiceId("s"),
                            .arrived = now,
                            .deadline = now + row.deadline,
                            .end = now + row.end},
                           [](const Assignment&) {});
    REQUIRE(host.dispatcher.tasks() == 1);
    host.clock.Advance(seconds(1));
    host.dispatcher.RemoveExpired();
    CHECK(host.dispatcher.tasks() == row.tasks);
  }
}

// Guards against a host that starts and sends a cold endpoint all of its requests, because it read
// the endpoints before it knew the configuration.
TEST_CASE("entries that were read before the configuration count") {
  const ColdRow rows[] = {
      {"the configuration is known",
       [](Host& host) {
         host.snapshot.endpoints[1].cold = true;
         host.Publish();
       },
       1},
      {"the configuration follows",
       [](Host& host) {
         host.snapshot.endpoints[1].cold = true;
         host.PublishWithoutConfiguration();
         host.Publish();
       },
       1},
      {"no entry says so",
       [](Host& host) {
         host.PublishWithoutConfiguration();
         host.Publish();
       },
       0},
  };
  CheckRows(rows);
}

// Guards against an endpoint that becomes cold again while it is, and gets all requests when the
// time of the first cold start is over.
TEST_CASE("an endpoint is cold for as long as its entry says so") {
  const auto pass = [](Host& host, int steps) {
    for (int i = 0; i < steps; ++i) {
      host.clock.Advance(milliseconds(500));
      host.Publish();
    }
  };
  const ColdRow rows[] = {
      {"after the time of one cold start",
       [&](Host& host) {
         host.snapshot.endpoints[0].cold = true;
         host.Publish();
         pass(host, 8);
       },
       1},
      {"until it says that it is not, and the entry's delay",
       [&](Host& host) {
         host.snapshot.endpoints[0].cold = true;
         host.Publish();
         pass(host, 8);
         host.snapshot.endpoints[0].cold = false;
         pass(host, 8);
       },
       0},
  };
  CheckRows(rows);
}

// Guards against a response that limits an endpoint for a day.
TEST_CASE("a response shows an endpoint as cold for no longer than a cold start takes") {
  const auto notice = [](Duration remaining, Duration later) {
    return [=](Host& host) {
      host.Publish();
      host.dispatcher.OnColdNotice(host.snapshot.endpoints[0], remaining);
      host.clock.Advance(later);
    };
  };
  const ColdRow rows[] = {
      {"while time is left", notice(milliseconds(1'500), milliseconds(1'400)), 1},
      {"after it", notice(milliseconds(1'500), milliseconds(3'200)), 0},
      {"none left", notice({}, {}), 0},
      {"a day, within a cold start", notice(std::chrono::hours(24), milliseconds(2'900)), 1},
      {"a day, after it", notice(std::chrono::hours(24), milliseconds(3'100)), 0},
  };
  CheckRows(rows);
}

// Guards against a data centre that returns and gets all requests at once at the endpoints that
// nobody tried meanwhile.
TEST_CASE("all endpoints of a data centre that returns count as cold") {
  const auto lose = [](Host& host) {
    host.Publish();
    for (const std::size_t i : {0, 1}) {
      host.dispatcher.OnFailure(host.snapshot.endpoints[i], dispatch::FailureKind::kUnreachable);
    }
  };
  const ColdRow rows[] = {
      {"one endpoint fails",
       [](Host& host) {
         host.Publish();
         host.dispatcher.OnFailure(host.snapshot.endpoints[0], dispatch::FailureKind::kUnreachable);
       },
       1},
      {"the data centre is left out", lose, 3},
      {"it returns much later",
       [&](Host& host) {
         lose(host);
         host.clock.Advance(seconds(30));
         host.dispatcher.OnSuccess(host.snapshot.endpoints[0]);
       },
       3},
      {"it has returned and is warm",
       [&](Host& host) {
         lose(host);
         host.clock.Advance(seconds(30));
         host.dispatcher.OnSuccess(host.snapshot.endpoints[0]);
         host.clock.Advance(seconds(4));
         host.dispatcher.OnSuccess(host.snapshot.endpoints[0]);
       },
       0},
  };
  CheckRows(rows);
}

// Guards against clients that wait for a scheduler that may choose no endpoint at all.
TEST_CASE("a host asks no scheduler if it avoids all endpoints of a service") {
  struct Row {
    const char* name;
    std::vector<std::size_t> paused;
    bool evacuated;
    bool avoids_all;
  };
  const Row rows[] = {{"none is avoided", {}, false, false},
                      {"some are paused", {0, 1}, false, false},
                      {"all are paused", {0, 1, 2}, false, true},
                      {"all are evacuated", {}, true, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Host host;
    if (row.evacuated) host.snapshot.evacuated = {DataCentreId("b")};
    host.Publish();
    for (const std::size_t i : row.paused) {
      host.dispatcher.OnPause(host.snapshot.endpoints[i], seconds(2));
    }
    CHECK(host.dispatcher.AvoidsAllEndpoints({.service = ServiceId("s")}) == row.avoids_all);
  }
}

}  // namespace
}  // namespace verbenaridge::forwarding
