#include "verbenaridge/wire/nghttp2_transport.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <thread>

#include "verbenaridge/wire/testing.h"

namespace verbenaridge::wire {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Keys;
using testing::RunUntil;

constexpr ConnectionTimeouts kShort = {.handshake = milliseconds(200),
                                       .silence = milliseconds(100),
                                       .ping_answer = milliseconds(200),
                                       .write = milliseconds(300),
                                       .idle = milliseconds(200),
                                       .request_body = milliseconds(200),
                                       .drain_notice = milliseconds(20)};

struct Fixture {
  explicit Fixture(ConnectionTimeouts timeouts = {}, std::size_t max_connections = 16)
      : server(context,
               {.listen = {"127.0.0.1", 0},
                .self = HostId("server"),
                .keys = Keys(),
                .max_connections = max_connections,
                .timeouts = timeouts},
               service),
        transport(context, {.self = HostId("client"), .keys = Keys(), .timeouts = timeouts}) {
    REQUIRE(server.Listen().has_value());
  }

  PeerAddress address() const { return {"127.0.0.1", server.port()}; }

  CallId Start(Request request, Duration deadline = seconds(5)) {
    return transport.Call(address(), std::move(request), deadline, Record());
  }

  ReplyCallback Record() {
    return [this](Result<Reply> reply) { replies.push_back(std::move(reply)); };
  }

  bool RunUntilReplies(std::size_t count) {
    return RunUntil(context, [this, count] { return replies.size() >= count; });
  }

  asio::io_context context;
  testing::ScriptedService service;
  Nghttp2Server server;
  Nghttp2Transport transport;
  std::vector<Result<Reply>> replies;
};

// Guards against calls that answer with another outcome than the service gave.
TEST_CASE("outcomes of calls") {
  struct Row {
    const char* name;
    Request request;
    Duration deadline;
    std::optional<Errc> error;
    std::size_t reply_bytes;
  };
  const std::string large(3 * 1024 * 1024, 'd');
  const std::string oversized(5 * 1024 * 1024, 'd');
  const Row rows[] = {
      {"answer", StatusRequest{}, seconds(5), std::nullopt, 2},
      {"large message", PushPlanDeltaRequest{.delta = large}, seconds(5), std::nullopt,
       large.size()},
      {"request above the limit", PushPlanDeltaRequest{.delta = oversized}, seconds(5),
       Errc::kTooLarge, 0},
      {"reply above the limit", FetchPlanRequest{}, seconds(5), Errc::kTooLarge, 0},
      {"service fails", LookUpClaimRequest{}, seconds(5), Errc::kNotFound, 0},
      {"service drops the call", DrainRequest{}, seconds(5), Errc::kUnavailable, 0},
      {"deadline", AdmitRequest{}, milliseconds(50), Errc::kTimeout, 0},
      {"deadline of zero", AdmitRequest{}, seconds(0), Errc::kTimeout, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.Start(row.request, row.deadline);
    CHECK(fixture.replies.empty());  // not from within Call
    REQUIRE(fixture.RunUntilReplies(1));
    const Result<Reply>& reply = fixture.replies[0];
    CHECK(reply.has_error() == row.error.has_value());
    if (reply.has_error()) {
      CHECK(reply.error() == *row.error);
    } else if (const auto* plan = std::get_if<FetchPlanReply>(&reply.value())) {
      CHECK(plan->document.size() == row.reply_bytes);
    } else {
      CHECK(std::get<StatusReply>(reply.value()).json.size() == row.reply_bytes);
    }
    CHECK(fixture.transport.calls_in_flight() == 0);
  }
}

// Guards against calls that hang, or servers that keep work whose caller is gone, when the caller
// or the path fails while a call is open.
TEST_CASE("open calls end when something fails") {
  enum class Failure {
    kCancel,
    kDeadline,
    kSilentPath,
    kClosedPath,
    kServerGone,
    kTrickle,
    kStall
  };
  struct Row {
    const char* name;
    Failure failure;
    std::optional<Errc> error;  // none: no callback
    bool cancelled_at_server;
  };
  const Row rows[] = {
      {"caller cancels", Failure::kCancel, std::nullopt, true},
      {"deadline passes", Failure::kDeadline, Errc::kTimeout, true},
      {"path goes silent", Failure::kSilentPath, Errc::kUnavailable, true},
      {"connection closes", Failure::kClosedPath, Errc::kUnavailable, true},
      {"server is destroyed", Failure::kServerGone, Errc::kUnavailable, false},
      {"request trickles", Failure::kTrickle, Errc::kUnavailable, false},
      {"peer stops reading", Failure::kStall, Errc::kUnavailable, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture(kShort);
    auto server = std::make_unique<Nghttp2Server>(fixture.context,
                                                  ServerOptions{.listen = {"127.0.0.1", 0},
                                                                .self = HostId("server"),
                                                                .keys = Keys(),
                                                                .timeouts = kShort},
                                                  fixture.service);
    REQUIRE(server->Listen().has_value());
    const auto relay = std::make_shared<testing::Relay>(fixture.context, server->port());
    relay->Start();
    const PeerAddress address{"127.0.0.1", relay->port()};
    // One answered call opens the connection.
    fixture.transport.Call(address, StatusRequest{}, seconds(5), fixture.Record());
    REQUIRE(fixture.RunUntilReplies(1));

    const bool held = row.failure != Failure::kTrickle && row.failure != Failure::kStall;
    if (row.failure == Failure::kTrickle) relay->mode = testing::Relay::Mode::kTrickleRequest;
    if (row.failure == Failure::kStall) relay->mode = testing::Relay::Mode::kStallReply;
    const Duration deadline = row.failure == Failure::kDeadline ? milliseconds(100) : seconds(20);
    Request request = AdmitRequest{};
    if (!held) request = PushPlanDeltaRequest{.delta = std::string(3UL * 1024 * 1024, 'd')};
    const CallId id = fixture.transport.Call(address, request, deadline, fixture.Record());
    if (held) {
      REQUIRE(RunUntil(fixture.context, [&] { return fixture.service.held.size() == 1; }));
      CHECK(fixture.service.held[0]->remaining() > seconds(0));
    }
    if (row.failure == Failure::kCancel) fixture.transport.Cancel(id);
    if (row.failure == Failure::kSilentPath) relay->mode = testing::Relay::Mode::kSilent;
    if (row.failure == Failure::kClosedPath) relay->Stop();
    if (row.failure == Failure::kServerGone) server.reset();

    CHECK(RunUntil(fixture.context, [&] {
      return (!row.error || fixture.replies.size() == 2) &&
             fixture.service.cancelled == (row.cancelled_at_server ? 1 : 0);
    }));
    if (row.error) CHECK(fixture.replies.at(1).error() == *row.error);
    CHECK(fixture.transport.calls_in_flight() == 0);
    for (const auto& call : fixture.service.held) call->Answer(Acknowledged{});  // has no effect
    relay->Stop();

    // A new connection works.
    fixture.Start(StatusRequest{});
    const std::size_t replies = fixture.replies.size();
    REQUIRE(fixture.RunUntilReplies(replies + 1));
    CHECK(fixture.replies.back().has_value());
  }
}

// Guards against idle connections that are closed while a call is open, or never.
TEST_CASE("a held call outlives the timeouts and an idle connection does not") {
  Fixture fixture(kShort);
  fixture.Start(AdmitRequest{});
  CHECK(!RunUntil(
      fixture.context, [&] { return !fixture.replies.empty(); }, milliseconds(900)));
  REQUIRE(fixture.service.held.size() == 1);
  CHECK(fixture.server.counters().silent_closes == 0);
  fixture.service.held[0]->Answer(AdmitReply{});
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].has_value());
  CHECK(RunUntil(fixture.context, [&] { return fixture.server.connections() == 0; }));
  fixture.Start(StatusRequest{});
  REQUIRE(fixture.RunUntilReplies(2));
  CHECK(fixture.server.counters().connections_opened == 2);
}

// Guards against a call that fails because the peer closed the idle connection before, when this
// process has not yet processed the end of that connection.
TEST_CASE("a call after the peer closed its connection uses a new one") {
  Fixture fixture;
  const auto serve = [&fixture](std::uint16_t port) {
    auto server = std::make_unique<Nghttp2Server>(
        fixture.context,
        ServerOptions{.listen = {"127.0.0.1", port}, .self = HostId("peer"), .keys = Keys()},
        fixture.service);
    REQUIRE(server->Listen().has_value());
    return server;
  };
  auto server = serve(0);
  const PeerAddress address{"127.0.0.1", server->port()};
  const auto call = [&] {
    fixture.transport.Call(address, StatusRequest{}, seconds(5), fixture.Record());
    REQUIRE(fixture.RunUntilReplies(fixture.replies.size() + 1));
    CHECK(fixture.replies.back().has_value());
  };
  call();
  server.reset();
  server = serve(address.port);
  call();
  CHECK(server->counters().connections_opened == 1);
}

// Guards against a process that has been paused and takes the pings that it sent before for
// unanswered ones, so that it closes sound connections with open calls.
TEST_CASE("a pause of this process is not a silence of its peers") {
  // The pause follows this many steps of the event loop after the peers have become silent, so that
  // it comes at each step of a ping of one side or the other.
  constexpr int kSteps = 10;
  for (int steps = 0; steps < kSteps; ++steps) {
    CAPTURE(steps);
    Fixture fixture(kShort);
    fixture.Start(AdmitRequest{});
    REQUIRE(RunUntil(fixture.context, [&] { return fixture.service.held.size() == 1; }));
    CHECK(!RunUntil(
        fixture.context, [&] { return !fixture.replies.empty(); }, kShort.silence * 9 / 10));
    for (int step = 0; step < steps; ++step) fixture.context.run_one_for(kShort.silence);
    std::this_thread::sleep_for(2 * kShort.ping_answer);
    CHECK(!RunUntil(
        fixture.context, [&] { return !fixture.replies.empty(); }, kShort.silence));
    fixture.service.held[0]->Answer(AdmitReply{});
    REQUIRE(fixture.RunUntilReplies(1));
    CHECK(fixture.replies[0].has_value());
    CHECK(fixture.server.counters().silent_closes == 0);
    CHECK(fixture.transport.counters().silent_closes == 0);
  }
}

// Guards against a server that serves strangers or lets them hold connections.
TEST_CASE("peers that do not speak the protocol") {
  struct Row {
    const char* name;
    std::vector<std::string> chunks;
    bool authenticate;
  };
  ClientHandshake client(Keys(), HostId("raw"));
  ClientHandshake stranger(Keys({"some other fleet key"}), HostId("raw"));
  const std::string hello = testing::Framed(client.Hello());
  std::vector<std::string> bytes;
  for (const char byte : hello) bytes.emplace_back(1, byte);
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  const Row rows[] = {
      {"silent", {}, false},
      {"slow writer", bytes, false},
      {"HTTP/1.1", {"GET / HTTP/1.1\r\n\r\n"}, false},
      {"HTTP/2 without handshake", {preface}, false},
      {"empty message", {std::string(2, '\0')}, false},
      {"too long message", {"\x7f\xff"}, false},
      {"wrong key", {testing::Framed(stranger.Hello())}, false},
      {"wrong proof", {hello, testing::Framed(std::string(32, 'p'))}, false},
      {"garbage after the handshake", {hello}, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture(kShort);
    const auto peer = std::make_shared<testing::RawPeer>(fixture.context, row.chunks);
    bool answered = false;
    if (row.authenticate) {
      peer->on_received = [&](std::string_view received) -> std::string {
        if (std::exchange(answered, true)) return {};
        const auto proof = client.OnServerHello(received.substr(2));
        return testing::Framed(proof.value()) + std::string(100, 'g');
      };
    }
    peer->Connect(fixture.server.port());
    CHECK(RunUntil(
        fixture.context, [&] { return peer->closed; }, seconds(2)));
    CHECK(fixture.service.served == 0);
    CHECK(answered == row.authenticate);
    CHECK(fixture.server.counters().handshake_failures == (row.authenticate ? 0 : 1));
    peer->Stop();
  }
}

// Guards against a client that trusts or waits for a server that does not prove the key.
TEST_CASE("servers that do not speak the protocol") {
  struct Row {
    const char* name;
    std::vector<std::string> chunks;
    bool close_at_end;
    Errc error;
  };
  const Row rows[] = {
      {"silent", {}, false, Errc::kUnavailable},
      {"closes at once", {}, true, Errc::kUnavailable},
      {"garbage", {std::string(1000, 'g')}, false, Errc::kUnavailable},
      {"malformed reply", {testing::Framed("VRS1")}, false, Errc::kUnavailable},
      {"refuses the key", {testing::Framed("VRN1")}, false, Errc::kPermissionDenied},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture(kShort);
    asio::ip::tcp::acceptor acceptor(fixture.context, {asio::ip::make_address("127.0.0.1"), 0});
    const auto peer = std::make_shared<testing::RawPeer>(fixture.context, row.chunks);
    peer->close_at_end = row.close_at_end;
    peer->Accept(acceptor);
    fixture.transport.Call({"127.0.0.1", acceptor.local_endpoint().port()}, StatusRequest{},
                           seconds(5), fixture.Record());
    REQUIRE(fixture.RunUntilReplies(1));
    CHECK(fixture.replies[0].error() == row.error);
    peer->Stop();
  }
  Fixture fixture(kShort);
  fixture.transport.Call({"127.0.0.1", 1}, StatusRequest{}, seconds(5), fixture.Record());
  fixture.transport.Call({"no address", 1}, StatusRequest{}, seconds(5), fixture.Record());
  REQUIRE(fixture.RunUntilReplies(2));
  for (const auto& reply : fixture.replies) CHECK(reply.error() == Errc::kUnavailable);
}

// Guards against a client of another fleet that is served, and against more connections than the
// limit.
TEST_CASE("wrong key and connection limit") {
  Fixture fixture(kShort, 1);
  Nghttp2Transport stranger(
      fixture.context,
      {.self = HostId("stranger"), .keys = Keys({"some other fleet key"}), .timeouts = kShort});
  stranger.Call(fixture.address(), StatusRequest{}, seconds(5), fixture.Record());
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].error() == Errc::kPermissionDenied);
  CHECK(fixture.service.served == 0);
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.server.connections() == 0; }));

  fixture.Start(AdmitRequest{});
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.service.held.size() == 1; }));
  Nghttp2Transport second(fixture.context,
                          {.self = HostId("second"), .keys = Keys(), .timeouts = kShort});
  second.Call(fixture.address(), StatusRequest{}, seconds(5), fixture.Record());
  REQUIRE(fixture.RunUntilReplies(2));
  CHECK(fixture.replies[1].error() == Errc::kUnavailable);
  CHECK(fixture.server.counters().connections_refused == 1);
}

// Guards against a drain that cuts off an open call, takes new ones, or does not end.
TEST_CASE("drain") {
  Fixture fixture(kShort);
  for (int i = 0; i < 3; ++i) fixture.Start(AdmitRequest{});
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.service.held.size() == 3; }));
  bool drained = false;
  fixture.server.Drain([&] { drained = true; });
  // Longer than the notice: later calls go to a new connection, which is refused.
  CHECK(!RunUntil(
      fixture.context, [&] { return drained; }, milliseconds(300)));
  fixture.Start(StatusRequest{});
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].error() == Errc::kUnavailable);
  for (const auto& call : fixture.service.held) call->Answer(AdmitReply{});
  REQUIRE(fixture.RunUntilReplies(4));
  for (std::size_t i = 1; i < 4; ++i) CHECK(fixture.replies[i].has_value());
  CHECK(RunUntil(fixture.context, [&] { return drained; }));
  CHECK(fixture.server.connections() == 0);
}

// Guards against answers that reach the wrong call, and against limits that count ended calls.
TEST_CASE("many concurrent streams") {
  Fixture fixture;
  constexpr int kCalls = 5000;  // above the limit of one connection
  int right = 0;
  int refused = 0;
  int cancelled = 0;
  for (int i = 0; i < kCalls; ++i) {
    const auto version = static_cast<PlanVersion>(i);
    const CallId id = fixture.transport.Call(
        fixture.address(), PushPlanDeltaRequest{.to_version = version, .delta = "d"}, seconds(20),
        [&, version](Result<Reply> reply) {
          if (reply) right += std::get<FetchPlanReply>(reply.value()).version == version ? 1 : 0;
          if (!reply) refused += reply.error() == Errc::kResourceExhausted ? 1 : 0;
        });
    if (i % 10 != 0) continue;
    fixture.transport.Cancel(id);
    ++cancelled;
  }
  REQUIRE(RunUntil(fixture.context, [&] { return right + refused + cancelled == kCalls; }));
  CHECK(right == static_cast<int>(kMaxConcurrentStreams));
  CHECK(fixture.server.counters().connections_opened == 1);
  fixture.Start(StatusRequest{});
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].has_value());
}

}  // namespace
}  // namespace verbenaridge::wire
