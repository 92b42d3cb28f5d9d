// Several hosts in one process, on loopback addresses of their own: the directory and placement.
#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/directory/directory_store.h"
#include "verbenaridge/ingress/directory_service.h"
#include "verbenaridge/ingress/load_exchange.h"
#include "verbenaridge/ingress/placement_exchange.h"

namespace verbenaridge::ingress {
namespace {

using std::chrono::milliseconds;

// The store that the hosts share; a document is its version in decimal.
struct SharedStore {
  std::uint64_t version = 1;
  std::size_t padding = 0;  // spaces behind the version
  std::vector<directory::Endpoint> endpoints;
  std::size_t calls = 0;
};

class FakeStore final : public directory::DirectoryStore {
 public:
  FakeStore(asio::io_context& io_context, SharedStore& shared)
      : io_context_(io_context), shared_(shared) {}

  void ReadConfiguration(
      std::function<void(Result<directory::StoredConfiguration>)> done) override {
    Answer(std::move(done), [this]() -> Result<directory::StoredConfiguration> { return Read(); });
  }
  void PollConfiguration(
      std::uint64_t revision,
      std::function<void(Result<std::optional<directory::StoredConfiguration>>)> done) override {
    Answer(std::move(done),
           [this, revision]() -> Result<std::optional<directory::StoredConfiguration>> {
             if (shared_.version <= revision)
               return std::optional<directory::StoredConfiguration>();
             return std::optional<directory::StoredConfiguration>(Read());
           });
  }
  void ReadEndpoints(std::function<void(Result<directory::StoredEndpoints>)> done) override {
    Answer(std::move(done), [this]() -> Result<directory::StoredEndpoints> {
      return directory::StoredEndpoints{.endpoints = shared_.endpoints};
    });
  }
  Result<std::shared_ptr<const directory::Configuration>> Decode(
      std::string_view document) const override {
    return directory::Configuration::Create({.version = std::stoull(std::string(document))});
  }

  bool turned_away = false;

 private:
  directory::StoredConfiguration Read() {
    return {.revision = shared_.version,
            .configuration = directory::Configuration::Create({.version = shared_.version}),
            .document = std::to_string(shared_.version) + std::string(shared_.padding, ' ')};
  }

  template <class Done, class Value>
  void Answer(Done done, Value value) {
    ++shared_.calls;
    asio::post(io_context_, [this, done = std::move(done), value = std::move(value)] {
      if (turned_away) {
        done(Errc::kUnavailable);
      } else {
        done(value());
      }
    });
  }

  asio::io_context& io_context_;
  SharedStore& shared_;
};

wire::FleetKeys Keys() { return wire::FleetKeys::Create({"hosts-test-fleet-key"}).value(); }

std::string Ip(std::size_t host) {
  return std::string("127.0.0.").append(std::to_string(20 + host));
}

// Ports differ between the cases, since a closed socket may leave datagrams behind.
std::uint16_t NextPort() {
  static std::uint16_t port = 17'400;
  return ++port;
}

class Hosts {
 public:
  explicit Hosts(std::size_t count, const PeerListOptions& peers = {}) {
    for (std::size_t i = 0; i < count; ++i) {
      auto host = std::make_unique<Host>();
      host->store = std::make_unique<FakeStore>(io_, shared);
      Host* const raw = host.get();
      host->service = std::make_unique<DirectoryService>(
          io_,
          DirectoryOptions{.self = HostId(std::string("h").append(std::to_string(i))),
                           .ip = Ip(i),
                           .data_centre = DataCentreId(i < 3 ? "a" : "b"),
                           .capacity = static_cast<double>(count - i),
                           .port = port_,
                           .keys = Keys(),
                           .seeds = {Ip(0)},
                           .incarnation = i + 1,
                           .endpoint_heartbeat = milliseconds(1'200),
                           .peers = peers},
          *host->store, clock_, random_,
          DirectoryOutputs{.snapshot =
                               [raw](forwarding::SnapshotPtr s) {
                                 raw->snapshot = s;
                                 ++raw->snapshots;
                               },
                           .keepers = [](bool, const std::vector<std::string>&) {},
                           .peer_gone = [](Incarnation) {},
                           .peer_started = [] {}});
      REQUIRE(host->service->Open().has_value());
      hosts.push_back(std::move(host));
    }
    for (const auto& host : hosts) host->service->Start();
  }

  void Run(Duration time) { io_.run_for(time); }

  // What the host tells a peer that has `have`.
  wire::FetchDirectoryReply Fetch(std::size_t host, const wire::FetchDirectoryRequest& have) {
    struct NoContent final : DirectoryContent {
      wire::FetchDirectoryReply Content(const wire::FetchDirectoryRequest&) const override {
        return {};
      }
    } content;
    PeerDirectory peer(io_, {.self = HostId("asker"), .ip = Ip(90), .port = port_, .keys = Keys()},
                       content);
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
  };

 private:
  const std::uint16_t port_ = NextPort();
  asio::io_context io_;
  SystemClock clock_;
  SeededRandom random_{5};

 public:
  SharedStore shared;
  std::vector<std::unique_ptr<Host>> hosts;
};

// Guards against hosts that miss a version or a drain, also those that the store turns away, and
// against a rush on the store.
TEST_CASE("all hosts follow the store") {
  struct Row {
    const char* name;
    std::size_t hosts;
    std::size_t turned_away;  // so many of them, from the change on
  };
  const Row rows[] = {{"one host", 1, 0},
                      {"six hosts", 6, 0},
                      {"six hosts, three turned away", 6, 3},
                      {"six hosts, five turned away", 6, 5}};
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
    for (std::size_t i = 0; i < row.turned_away; ++i) fleet.hosts[i]->store->turned_away = true;
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

// Guards against a host that needs seconds to send a large configuration to all others of its data
// centre, over a link of 14 Mbit/s and while versions follow each other.
TEST_CASE("a large configuration travels compressed") {
  Hosts fleet(1);
  fleet.shared.padding = 400'000;
  fleet.Run(milliseconds(600));
  REQUIRE(fleet.hosts[0]->service->version() == 1);
  const wire::FetchDirectoryReply reply = fleet.Fetch(0, {});
  CHECK(reply.configuration_version == 1);
  CHECK(reply.configuration.size() > 0);
  CHECK(reply.configuration.size() < 40'000);
}

// Guards against endpoints that are sent to hosts that have them: with 3,000 endpoints and 300
// hosts versions then came 3 s late.
TEST_CASE("a host tells its peers what they do not have") {
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

// Guards against hosts that learn of a change only when the dead host that told them is missed.
TEST_CASE("listening hosts learn of a change though the near keeper has just died") {
  // The first host of each data centre keeps the board.
  Hosts fleet(6, {.keepers_per_data_centre = 1});
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

// Guards against hosts that work through all endpoints several times a second without news: with
// 3,000 endpoints and 300 hosts that took two thirds of their processor time.
TEST_CASE("without news there are few snapshots") {
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

// Guards against a version that goes back when the store answers with an older one.
TEST_CASE("a version never goes back") {
  Hosts fleet(2);
  fleet.shared.version = 5;
  fleet.Run(milliseconds(1'000));
  fleet.shared.version = 4;
  fleet.Run(milliseconds(1'200));
  for (const auto& host : fleet.hosts) CHECK(host->service->version() == 5);
}

// Two hosts with a board each; the first one asks the second.
class Pair {
 public:
  explicit Pair(bool keeper_answers) : port_(NextPort()) {
    auto snapshot = std::make_shared<forwarding::DirectorySnapshot>();
    directory::EngineTiming timing{.slots = 16,
                                   .kv_tokens = 232'000,
                                   .stride = 43,
                                   .step = FromSeconds(0.001),
                                   .prefill_tokens_per_second = 206'000,
                                   .prefill_chunk_tokens = 2'048};
    snapshot->configuration = directory::Configuration::Create(
        {.services = {{.id = ServiceId("lm"), .engine = timing}, {.id = ServiceId("plain")}}});
    for (const char* id : {"i-1", "i-2"}) {
      snapshot->endpoints.push_back(
          {.id = EndpointId(id), .service = ServiceId("lm"), .slots = 16});
    }
    snapshot->endpoints.push_back(
        {.id = EndpointId("i-3"), .service = ServiceId("plain"), .slots = 6});
    for (std::size_t i = 0; i < 2; ++i) {
      sides.push_back(std::make_unique<Side>(io_, clock_, random_, i, port_));
      if (i == 0 || keeper_answers) REQUIRE(sides[i]->exchange.Open().has_value());
      sides[i]->dispatcher.SetSnapshot(snapshot);
    }
    sides[0]->placement.SetKeepers(false, {Ip(1)});
    sides[1]->placement.SetKeepers(true, {});
  }

  void Run(Duration time) { io_.run_for(time); }

  forwarding::DispatchRequest Request(const char* service, TokenCount tokens) {
    const TimePoint now = clock_.Now();
    return {.service = ServiceId(service),
            .demand = {.prompt_tokens = tokens,
                       .output_tokens = 100,
                       .target_latency = milliseconds(250),
                       .target_gap = milliseconds(250)},
            .arrived = now,
            .deadline = now + std::chrono::seconds(5)};
  }

  struct Side final : LoadReceiver {
    Side(asio::io_context& io, const Clock& clock, RandomSource& random, std::size_t index,
         std::uint16_t port)
        : exchange(io, clock,
                   {.self = HostId(std::string("h").append(std::to_string(index))),
                    .ip = Ip(index),
                    .port = port,
                    .keys = Keys()},
                   *this),
          dispatcher(io, clock, random, exchange,
                     {.data_centre = DataCentreId("a"), .incarnation = index + 1}),
          placement(io, clock, HostId(std::string("h").append(std::to_string(index))), exchange,
                    dispatcher) {}
    void OnDatagram(const wire::Datagram& datagram, const std::string& ip) override {
      if (placement.OnDatagram(datagram, ip)) return;
      if (const auto* update = std::get_if<wire::LoadUpdate>(&datagram)) {
        for (const std::uint64_t work : update->ended) dispatcher.OnPeerEnd(work);
      }
    }
    LoadExchange exchange;
    forwarding::Dispatcher dispatcher;
    PlacementExchange placement;
  };

 private:
  const std::uint16_t port_;
  asio::io_context io_;
  SystemClock clock_;
  SeededRandom random_{5};

 public:
  std::vector<std::unique_ptr<Side>> sides;
};

// Guards against requests that wait for a silent host, work that stays on a board, and questions
// about services that need no board.
TEST_CASE("a host asks one that keeps the board") {
  struct Row {
    const char* name;
    const char* service;
    bool keeper_answers;
    std::size_t works_at_keeper;  // while the request runs
    Duration most;
  };
  const Row rows[] = {
      {"answered", "lm", true, 1, milliseconds(25)},
      {"silent: decides itself", "lm", false, 0, milliseconds(100)},
      {"a plain service: decides itself", "plain", true, 0, milliseconds(25)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Pair pair(row.keeper_answers);
    std::vector<forwarding::Assignment> assigned;
    pair.sides[0]->placement.Submit(pair.Request(row.service, 5'000),
                                    [&](forwarding::Assignment a) { assigned.push_back(a); });
    pair.Run(row.most);
    REQUIRE(assigned.size() == 1);
    CHECK(assigned[0].outcome == forwarding::Assignment::Outcome::kAssigned);
    CHECK(assigned[0].members.size() == 1);
    CHECK(assigned[0].tasks.size() == 1);
    CHECK(pair.sides[1]->dispatcher.tasks() == row.works_at_keeper);
    CHECK(pair.sides[0]->dispatcher.tasks() == 1);
    pair.sides[0]->dispatcher.OnEnd(assigned[0].tasks[0]);
    pair.Run(milliseconds(20));
    CHECK(pair.sides[0]->dispatcher.tasks() == 0);
    CHECK(pair.sides[1]->dispatcher.tasks() == 0);
  }
}

// Guards against an endpoint that is kept for a request whose client left meanwhile.
TEST_CASE("a question that is withdrawn leaves nothing behind") {
  Pair pair(true);
  bool called = false;
  const auto id = pair.sides[0]->placement.Submit(
      pair.Request("lm", 5'000), [&](const forwarding::Assignment&) { called = true; });
  pair.sides[0]->placement.Cancel(id);
  pair.Run(milliseconds(50));
  CHECK_FALSE(called);
  CHECK(pair.sides[1]->dispatcher.tasks() == 0);
}

}  // namespace
}  // namespace verbenaridge::ingress
