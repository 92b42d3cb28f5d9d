// Tests the directory with several hosts in one process, each on its own loopback address.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/directory/directory_store.h"
#include "verbenaridge/ingress/directory_service.h"
#include "verbenaridge/ingress/testing.h"

namespace verbenaridge::ingress {
namespace {

using std::chrono::milliseconds;
using testing::Ip;
using testing::Keys;
using testing::kServedHostFleet;
using testing::kServedHostRows;
using testing::NextPort;
using testing::ServedHostRow;
using testing::TestSeed;
using testing::VersionLag;

// The store that all hosts share. A document is its version in decimal.
struct SharedStore {
  std::uint64_t version = 1;
  std::size_t padding = 0;  // spaces after the version
  std::vector<directory::Endpoint> endpoints;
  std::vector<DataCentreId> evacuated;
  std::size_t calls = 0;
};

class FakeStore final : public directory::DirectoryStore {
 public:
  FakeStore(asio::io_context& io_context, SharedStore& shared)
      : io_context_(io_context), shared_(shared) {}

  void ReadConfiguration(
      std::function<void(Result<directory::StoredConfiguration>)> done) override {
    Reply(std::move(done), [this]() -> Result<directory::StoredConfiguration> {
      if (malformed) return Errc::kMalformed;
      return Read();
    });
  }
  void PollConfiguration(const directory::StorePosition& position,
                         std::function<void(Result<directory::ConfigurationNews>)> done) override {
    Reply(std::move(done), [this, position]() -> Result<directory::ConfigurationNews> {
      directory::ConfigurationNews news{.position = {.revision = shared_.version}};
      if (news.position > position) news.newest = Read();
      return news;
    });
  }
  void ReadEvacuations(std::function<void(Result<directory::EvacuationView>)> done) override {
    Reply(std::move(done), [this]() -> Result<directory::EvacuationView> {
      return directory::EvacuationView{.position = {.revision = shared_.version},
                                       .data_centres = shared_.evacuated};
    });
  }
  void ReadEndpoints(std::function<void(Result<directory::StoredEndpoints>)> done) override {
    Reply(std::move(done), [this]() -> Result<directory::StoredEndpoints> {
      return directory::StoredEndpoints{.endpoints = shared_.endpoints};
    });
  }
  Result<std::shared_ptr<const directory::Configuration>> Decode(
      std::string_view document) const override {
    return directory::Configuration::Create({.version = std::stoull(std::string(document))});
  }

  bool rejects = false;
  bool silent = false;     // rejected calls get no reply
  bool malformed = false;  // the configuration, when it is read itself

 private:
  // As the client of the platform's store.
  static constexpr Duration kCallTimeout = milliseconds(700);

  directory::StoredConfiguration Read() {
    return {.position = {.revision = shared_.version},
            .configuration = directory::Configuration::Create({.version = shared_.version}),
            .document = std::to_string(shared_.version) + std::string(shared_.padding, ' ')};
  }

  template <class Done, class Value>
  void Reply(Done done, Value value) {
    ++shared_.calls;
    if (rejects && silent) {
      auto timer = std::make_shared<asio::steady_timer>(io_context_, kCallTimeout);
      timer->async_wait(
          [timer, done = std::move(done)](std::error_code) { done(Errc::kUnavailable); });
      return;
    }
    asio::post(io_context_, [this, done = std::move(done), value = std::move(value)] {
      if (rejects) {
        done(Errc::kUnavailable);
      } else {
        done(value());
      }
    });
  }

  asio::io_context& io_context_;
  SharedStore& shared_;
};

class Hosts {
 public:
  // The first three hosts are in one data centre, the others are spread evenly over the rest.
  explicit Hosts(std::size_t count, const PeerListOptions& peers = {}, std::size_t data_centres = 2,
                 std::uint64_t seed = 5, bool evacuation = false)
      : random_(seed), peers_(peers), data_centres_(data_centres), evacuation_(evacuation) {
    for (std::size_t i = 0; i < count; ++i) {
      hosts.push_back(std::make_unique<Host>());
      hosts[i]->store = std::make_unique<FakeStore>(io_, shared);
    }
    for (std::size_t i = 0; i < count; ++i) Open(i);
    for (const auto& host : hosts) host->service->Start();
  }

  // Replaces the host's process. It knows its settings only.
  void Restart(std::size_t i) {
    hosts[i]->service.reset();
    hosts[i]->snapshot.reset();
    Open(i);
    hosts[i]->service->Start();
  }

  void Run(Duration time) { io_.run_for(time); }

  // Returns the reply of the host to a peer that has `have`.
  wire::FetchDirectoryReply Fetch(std::size_t host, const wire::FetchDirectoryRequest& have) {
    struct NoContent final : DirectoryContent {
      wire::FetchDirectoryReply Content(const wire::FetchDirectoryRequest&) const override {
        return {};
      }
    } content;
    PeerDirectory peer(
        io_, {.self = HostId("requester"), .ip = Ip(90), .port = port_, .keys = Keys()}, content);
    std::optional<Result<wire::FetchDirectoryReply>> reply;
    peer.Fetch(Ip(host), have, [&](Result<wire::FetchDirectoryReply> r) { reply = std::move(r); });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!reply && std::chrono::steady_clock::now() < end) io_.run_one_for(milliseconds(50));
    REQUIRE(reply.has_value());
    REQUIRE(reply->has_value());
    return reply->value();
  }

  struct Host {
    std::unique_ptr<FakeStore> store;
    std::unique_ptr<DirectoryService> service;
    forwarding::SnapshotPtr snapshot;
    std::size_t snapshots = 0;
    CrashNotice crash_notice;  // the last one of a peer
  };

 private:
  void Open(std::size_t i) {
    Host* const host = hosts[i].get();
    const std::size_t data_centre = i < 3 ? 0 : 1 + i % (data_centres_ - 1);
    host->service = std::make_unique<DirectoryService>(
        io_,
        DirectoryOptions{
            .self = HostId(std::string("h").append(std::to_string(i))),
            .ip = Ip(i),
            .data_centre = DataCentreId(std::string(1, static_cast<char>('a' + data_centre))),
            .capacity = static_cast<double>(hosts.size() - i),
            .port = port_,
            .keys = Keys(),
            .seeds = {Ip(0)},
            .incarnation = ++last_incarnation_,
            .endpoint_heartbeat = milliseconds(1'200),
            .evacuation = evacuation_,
            .peers = peers_},
        *host->store, clock_, random_,
        DirectoryOutputs{
            .snapshot =
                [host](forwarding::SnapshotPtr s) {
                  host->snapshot = s;
                  ++host->snapshots;
                },
            .schedulers = [](bool, const std::vector<std::string>&) {},
            .peer_gone = [](Incarnation) {},
            .peer_started = [] {},
            .crash_notice =
                [host](CrashNotice notice) { host->crash_notice = std::move(notice); }});
    REQUIRE(host->service->Open().has_value());
  }

  const std::uint16_t port_ = NextPort();
  asio::io_context io_;
  SystemClock clock_;
  SeededRandom random_;
  const PeerListOptions peers_;
  const std::size_t data_centres_;
  const bool evacuation_;
  Incarnation last_incarnation_ = 0;

 public:
  SharedStore shared;
  std::vector<std::unique_ptr<Host>> hosts;
};

// Guards against hosts, including those that the store rejects, that miss a version or a drain, and
// against too many calls of the store.
TEST_CASE("all hosts adopt changes in the store") {
  struct Row {
    const char* name;
    std::size_t hosts;
    std::size_t rejected;  // hosts that the store rejects after the change
  };
  const Row rows[] = {{"one host", 1, 0},
                      {"six hosts", 6, 0},
                      {"six hosts, three rejected", 6, 3},
                      {"six hosts, five rejected", 6, 5}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Hosts fleet(row.hosts);
    fleet.shared.endpoints = {{.id = EndpointId("i-1"), .service = ServiceId("s")}};
    fleet.Run(milliseconds(1'500));
    for (const auto& host : fleet.hosts) {
      CHECK(host->service->ready());
      CHECK(host->service->version() == 1);
      CHECK(host->service->hosts() == row.hosts);
    }
    const std::size_t before = fleet.shared.calls;
    for (std::size_t i = 0; i < row.rejected; ++i) fleet.hosts[i]->store->rejects = true;
    fleet.shared.version = 9;
    fleet.shared.endpoints[0].draining = true;
    fleet.Run(milliseconds(2'000));
    for (const auto& host : fleet.hosts) {
      CHECK(host->service->version() == 9);
      REQUIRE(host->snapshot != nullptr);
      REQUIRE(host->snapshot->endpoints.size() == 1);
      CHECK(host->snapshot->endpoints[0].draining);
    }
    CHECK(fleet.shared.calls - before <= 40);
  }
}

// Guards against a host that never reads the endpoints again because the store, when it serves the
// host, holds a configuration that cannot be read.
TEST_CASE("endpoints are read although the configuration is malformed") {
  Hosts fleet(2);
  fleet.shared.endpoints = {{.id = EndpointId("i-1"), .service = ServiceId("s")}};
  fleet.hosts[1]->store->rejects = true;  // it learns the values by gossip
  fleet.Run(milliseconds(1'500));
  REQUIRE(fleet.hosts[1]->service->ready());
  fleet.hosts[0]->service.reset();
  fleet.hosts[1]->store->malformed = true;
  fleet.Run(milliseconds(1'500));
  fleet.hosts[1]->store->rejects = false;
  fleet.shared.endpoints[0].draining = true;
  fleet.Run(milliseconds(4'000));
  REQUIRE(fleet.hosts[1]->snapshot != nullptr);
  REQUIRE(fleet.hosts[1]->snapshot->endpoints.size() == 1);
  CHECK(fleet.hosts[1]->snapshot->endpoints[0].draining);
  CHECK(fleet.hosts[1]->service->store_works());
}

// Guards against hosts that lose each other because the names of evacuated data centres leave no
// room in the datagrams of their gossip.
TEST_CASE("many long keys of evacuations do not end the gossip") {
  struct Row {
    const char* name;
    std::size_t keys;
    std::size_t bytes;  // of each
  };
  const Row rows[] = {{"one", 1, 200}, {"some", 8, 60}, {"many", 40, 60}, {"very many", 500, 10}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    constexpr std::size_t kHosts = 6;
    Hosts fleet(kHosts, {}, /*data_centres=*/2, /*seed=*/5, /*evacuation=*/true);
    fleet.shared.evacuated = {DataCentreId("b")};
    for (std::size_t i = 0; i < row.keys; ++i) {
      std::string name = std::to_string(i);
      fleet.shared.evacuated.emplace_back(name.insert(0, row.bytes - name.size(), '0'));
    }
    fleet.hosts.back()->store->rejects = true;  // it learns the view by gossip
    fleet.Run(milliseconds(1'500));
    for (const auto& host : fleet.hosts) {
      CHECK(host->service->ready());
      CHECK(host->service->hosts() == kHosts);
      const auto known = host->service->evacuated();
      CHECK(std::find(known.begin(), known.end(), DataCentreId("b")) != known.end());
    }
  }
}

// Guards against versions that are in force too late while the store serves a single host because
// sockets or processing are slow. version_lag_test has the bounds of the takeover, in virtual time.
TEST_CASE("versions reach every host in time while the store serves one host") {
  // A busy machine delays single versions. Slow sockets delay all of them, and slow processing
  // shows in the processor time of a step, which other processes do not change.
  constexpr Duration kBound = std::chrono::seconds(2);
  constexpr Duration kTypicalBound = kBound / 4;
  constexpr Duration kStepBound = kBound / 8;
  constexpr Duration kTakeover = std::chrono::seconds(2);
  constexpr Duration kVersionInterval = milliseconds(60);
  constexpr Duration kStep = milliseconds(5);
  const SystemClock clock;
  for (const ServedHostRow& row : kServedHostRows) {
    CAPTURE(row.name);
    Hosts fleet(kServedHostFleet, {}, /*data_centres=*/3, TestSeed());
    fleet.Run(milliseconds(1'500));
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
      fleet.hosts[i]->store->rejects = i != row.served;
      fleet.hosts[i]->store->silent = row.silent;
    }
    VersionLag lag;
    std::vector<Duration> lags;  // after the takeover
    Duration longest{};
    Duration longest_step{};  // processor time
    const TimePoint start = clock.Now();
    TimePoint next_version = start;
    while (clock.Now() - start < std::chrono::seconds(6)) {
      if (clock.Now() >= next_version) {
        lag.OnVersion(++fleet.shared.version, clock.Now());
        next_version += kVersionInterval;
      }
      const std::clock_t before = std::clock();
      fleet.Run(kStep);
      const double used = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
      longest_step = std::max(longest_step, FromSeconds(used));
      Duration furthest{};
      for (const auto& host : fleet.hosts) {
        furthest = std::max(furthest, lag.Of(host->service->version(), clock.Now()));
      }
      longest = std::max(longest, furthest);
      if (clock.Now() - start >= kTakeover) lags.push_back(furthest);
    }
    REQUIRE(!lags.empty());
    std::nth_element(lags.begin(), lags.begin() + lags.size() / 2, lags.end());
    const Duration typical = lags[lags.size() / 2];
    MESSAGE(row.name << ": longest " << ToSeconds(longest) << " s, typical after the takeover "
                     << ToSeconds(typical) << " s, processor time of a step up to "
                     << ToSeconds(longest_step) << " s");
    CHECK(longest < kBound);
    CHECK(typical < kTypicalBound);
    CHECK(longest_step < kStepBound);
  }
}

// Guards against a host that needs seconds to send a large configuration to all others of its data
// centre over a link of 14 Mbit/s while new versions follow each other.
TEST_CASE("a large configuration is sent compressed") {
  Hosts fleet(1);
  fleet.shared.padding = 400'000;
  fleet.Run(milliseconds(600));
  REQUIRE(fleet.hosts[0]->service->version() == 1);
  const wire::FetchDirectoryReply reply = fleet.Fetch(0, {});
  CHECK(reply.configuration_version == 1);
  CHECK(reply.configuration.size() > 0);
  CHECK(reply.configuration.size() < 40'000);
}

// Guards against endpoints that are sent to hosts that already have them: with 3,000 endpoints and
// 300 hosts this delayed versions by 3 s.
TEST_CASE("a host sends its peers only what they do not have") {
  struct Row {
    const char* name;
    bool has_version;
    bool has_endpoints;
  };
  const Row rows[] = {{"nothing", false, false},
                      {"the version", true, false},
                      {"the endpoints", false, true},
                      {"both", true, true}};
  Hosts fleet(1);
  fleet.shared.endpoints = {{.id = EndpointId("i-1"), .service = ServiceId("s")}};
  fleet.Run(milliseconds(600));
  const Digest digest = fleet.hosts[0]->service->endpoints_digest();
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const wire::FetchDirectoryReply reply =
        fleet.Fetch(0, {.have_version = row.has_version ? 1U : 0U,
                        .have_endpoints_digest = row.has_endpoints ? digest : 0});
    CHECK(reply.configuration.empty() == row.has_version);
    CHECK(reply.has_endpoints != row.has_endpoints);
    CHECK(reply.endpoints.empty() == row.has_endpoints);
  }
}

// Guards against a change of one endpoint that costs all endpoints at each host: with 3,000
// endpoints and 300 hosts the busiest host sent 9.7 MB/s.
TEST_CASE("a host sends only the changed endpoints") {
  struct Row {
    const char* name;
    bool accepts_difference;
    bool known_base;
    std::size_t sent;
  };
  const Row rows[] = {{"difference", true, true, 1},
                      {"a host of the last release", false, true, 200},
                      {"entries that the host does not know", true, false, 200}};
  Hosts fleet(1);
  for (int i = 0; i < 200; ++i) {
    fleet.shared.endpoints.push_back(
        {.id = EndpointId("i-" + std::to_string(i)), .service = ServiceId("s")});
  }
  fleet.Run(milliseconds(600));
  const Digest before = fleet.hosts[0]->service->endpoints_digest();
  fleet.shared.endpoints[7].draining = true;
  fleet.Run(milliseconds(1'000));
  REQUIRE(fleet.hosts[0]->service->endpoints_digest() != before);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const wire::FetchDirectoryReply reply =
        fleet.Fetch(0, {.have_endpoints_digest = row.known_base ? before : 4711,
                        .accepts_difference = row.accepts_difference});
    CHECK(reply.has_endpoints);
    CHECK(reply.endpoints.size() == row.sent);
    CHECK(reply.base_endpoints_digest == (row.sent == 1 ? before : 0));
    CHECK(reply.endpoints_digest == fleet.hosts[0]->service->endpoints_digest());
  }
}

// Guards against hosts that apply differences to wrong entries, and against endpoints that stay or
// are missed when many of them come and go.
TEST_CASE("all hosts have the endpoints of the store after many changes") {
  Hosts fleet(6);
  SeededRandom random(20261204);
  struct Process {
    std::uint64_t start_unix_ms = 1;
    bool draining = false;
  };
  std::array<Process, 30> processes;
  for (int change = 0; change < 25; ++change) {
    fleet.shared.endpoints.clear();
    for (std::size_t i = 0; i < processes.size(); ++i) {
      // A process that drains ends; the next one has a later start.
      Process& process = processes[i];
      const bool drains = random.Below(5) == 0;
      if (random.Below(2) == 0 || (process.draining && !drains)) ++process.start_unix_ms;
      process.draining = drains;
      if (random.Below(4) == 0) continue;
      fleet.shared.endpoints.push_back({.id = EndpointId("i-" + std::to_string(i)),
                                        .service = ServiceId("s"),
                                        .start_unix_ms = process.start_unix_ms,
                                        .draining = process.draining});
    }
    fleet.Run(milliseconds(40 + random.Below(200)));
  }
  fleet.Run(milliseconds(1'500));
  directory::SortById(fleet.shared.endpoints);
  for (const auto& host : fleet.hosts) {
    REQUIRE(host->snapshot != nullptr);
    CHECK(host->snapshot->endpoints == fleet.shared.endpoints);
  }
}

// Guards against hosts that learn of a change only after their dead local scheduler has timed out.
TEST_CASE("other hosts learn of a change although the local scheduler has just died") {
  // The first host of each data centre is its scheduler.
  Hosts fleet(6, {.schedulers_per_data_centre = 1});
  fleet.shared.endpoints = {{.id = EndpointId("i-1"), .service = ServiceId("s")}};
  fleet.Run(milliseconds(3'000));
  fleet.hosts[0] = nullptr;
  fleet.shared.version = 9;
  fleet.shared.endpoints[0].draining = true;
  fleet.Run(milliseconds(2'000));
  for (std::size_t i = 1; i < fleet.hosts.size(); ++i) {
    CAPTURE(i);
    CHECK(fleet.hosts[i]->service->version() == 9);
    CHECK(fleet.hosts[i]->snapshot->endpoints[0].draining);
  }
}

// Guards against hosts that process all endpoints several times a second without changes: with
// 3,000 endpoints and 300 hosts this took two thirds of their processor time.
TEST_CASE("few snapshots are published without changes") {
  Hosts fleet(4);
  fleet.shared.endpoints = {{.id = EndpointId("i-1"), .service = ServiceId("s")}};
  fleet.Run(milliseconds(1'500));
  std::vector<std::size_t> before;
  for (const auto& host : fleet.hosts) before.push_back(host->snapshots);
  fleet.Run(milliseconds(3'000));
  for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
    CAPTURE(i);
    CHECK(fleet.hosts[i]->snapshots - before[i] <= 3);
    CHECK(fleet.hosts[i]->snapshots > before[i]);
  }
}

// Guards against keys and endpoints that were withdrawn and are in use again at a host that
// restarts, because the peer that it reaches has not followed the store.
TEST_CASE("a host that restarts serves nothing from a stale peer") {
  struct Row {
    const char* name;
    bool store_rejects;  // the restarted host
    bool current_peer;   // a peer that follows the store runs
    bool ready;
  };
  const Row rows[] = {{"the store serves it", false, false, true},
                      {"a current peer runs", true, true, true},
                      {"only the stale peer runs", true, false, false}};
  // Longer than a peer's values are accepted.
  constexpr Duration kStale = milliseconds(5'500);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Hosts fleet(3);
    fleet.shared.endpoints = {{.id = EndpointId("i-1"), .service = ServiceId("s")}};
    fleet.Run(milliseconds(1'000));
    for (const auto& host : fleet.hosts) REQUIRE(host->service->version() == 1);
    // Cut off from the store and from the other hosts, which stop.
    fleet.hosts[0]->store->rejects = true;
    for (std::size_t i = 1; i < 3; ++i) fleet.hosts[i]->service.reset();
    fleet.shared.version = 2;
    fleet.shared.endpoints[0].draining = true;
    fleet.Run(kStale);
    if (row.current_peer) fleet.Restart(2);
    fleet.hosts[1]->store->rejects = row.store_rejects;
    fleet.Restart(1);
    fleet.Run(milliseconds(1'500));
    CHECK(fleet.hosts[1]->service->ready() == row.ready);
    if (!row.ready) {
      // Nothing is served before both values are known.
      CHECK((fleet.hosts[1]->snapshot == nullptr || fleet.hosts[1]->snapshot->endpoints.empty()));
      fleet.hosts[1]->store->rejects = false;
      fleet.Run(milliseconds(1'500));
    }
    REQUIRE(fleet.hosts[1]->service->ready());
    CHECK(fleet.hosts[1]->service->version() == 2);
    REQUIRE(fleet.hosts[1]->snapshot->endpoints.size() == 1);
    CHECK(fleet.hosts[1]->snapshot->endpoints[0].draining);
  }
}

// Guards against expired timers and replies of the store that still call a service after its
// destruction. Valgrind reported invalid reads; without it, one of several runs crashed.
TEST_CASE("nothing calls a service after its destruction") {
  struct Row {
    const char* name;
    bool silent;  // the reply is a time-out, long after the destruction
    bool evacuation;
  };
  const Row rows[] = {
      {"reply", false, false}, {"time-out", true, false}, {"reply, with evacuations", false, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Hosts fleet(2, {}, /*data_centres=*/2, /*seed=*/5, row.evacuation);
    for (const auto& host : fleet.hosts) {
      host->store->rejects = row.silent;
      host->store->silent = row.silent;
    }
    fleet.Run(milliseconds(60));
    const std::size_t calls = fleet.shared.calls;
    REQUIRE(calls > 0);
    for (const auto& host : fleet.hosts) host->service.reset();
    fleet.Run(milliseconds(1'000));
    CHECK(fleet.shared.calls == calls);
  }
}

// Guards against a version that decreases when the store returns an older one.
TEST_CASE("the version never decreases") {
  Hosts fleet(2);
  fleet.shared.version = 5;
  fleet.Run(milliseconds(1'000));
  fleet.shared.version = 4;
  fleet.Run(milliseconds(1'200));
  for (const auto& host : fleet.hosts) CHECK(host->service->version() == 5);
}

// Guards against hosts that send requests with a refused part to endpoints, because they never hear
// of the refusal or forget it when they restart.
TEST_CASE("all hosts hear which parts of prompts are refused") {
  Hosts fleet(6);
  fleet.Run(milliseconds(1'500));
  const auto scheduler = std::find_if(fleet.hosts.begin(), fleet.hosts.end(), [](const auto& host) {
    return host->service->is_scheduler();
  });
  REQUIRE(scheduler != fleet.hosts.end());
  (*scheduler)
      ->service->SetCrashNotice(
          {.suspected = {7}, .refusals = {{.keys = {7, 9}, .last_crash = {}}}});
  const auto all_know = [&] {
    return std::all_of(fleet.hosts.begin(), fleet.hosts.end(), [&](const auto& host) {
      return host == *scheduler || (host->crash_notice.refusals.size() == 1 &&
                                    host->crash_notice.suspected == std::vector<Digest>{7});
    });
  };
  fleet.Run(milliseconds(200));
  CHECK(all_know());
  const std::size_t other = *scheduler == fleet.hosts.back() ? 0 : fleet.hosts.size() - 1;
  fleet.Restart(other);
  fleet.hosts[other]->crash_notice = {};
  fleet.Run(milliseconds(1'500));
  CHECK(all_know());
}

}  // namespace
}  // namespace verbenaridge::ingress
