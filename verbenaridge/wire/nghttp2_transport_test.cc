#include "verbenaridge/wire/nghttp2_transport.h"

#include <doctest/doctest.h>

#include <optional>

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

}  // namespace
}  // namespace verbenaridge::wire
