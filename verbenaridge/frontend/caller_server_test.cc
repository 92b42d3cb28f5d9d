#include "verbenaridge/frontend/caller_server.h"

#include <doctest/doctest.h>

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <functional>
#include <string>
#include <vector>

#include "verbenaridge/frontend/operator_server.h"

namespace verbenaridge::frontend {
namespace {

using asio::ip::tcp;

bool RunUntil(asio::io_context& io, const std::function<bool()>& done,
              std::chrono::milliseconds limit = std::chrono::seconds(10)) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  io.restart();
  while (!done()) {
    if (io.run_one_until(deadline) == 0) return done();
  }
  return true;
}

// Answers as the script says and keeps the sinks of calls that stay open.
class ScriptedHandler final : public calls::RequestHandler {
 public:
  std::function<void(calls::CompletionSink&)> script = [](calls::CompletionSink&) {};
  std::vector<calls::CompletionCall> completions;
  std::vector<std::shared_ptr<calls::CompletionSink>> sinks;
  calls::ServiceCall service_call;
  int gone = 0;
  int drained = 0;

  void Complete(calls::CompletionCall call, std::shared_ptr<calls::CompletionSink> sink) override {
    completions.push_back(std::move(call));
    sinks.push_back(sink);
    sink->SetCallbacks([this] { ++gone; }, [this] { ++drained; });
    script(*sink);
  }

  void Call(calls::ServiceCall call, std::shared_ptr<calls::ServiceSink> sink) override {
    service_call = std::move(call);
    sink->OnAnswer({.status = 201, .content_type = "text/plain", .body = "made", .replayed = true});
  }

  void LookUp(calls::ServiceLookup lookup, std::shared_ptr<calls::ServiceSink> sink) override {
    sink->OnFailure({.kind = calls::FailureKind::kNotFound,
                     .outcome = Outcome::kUnknown,
                     .detail = lookup.idempotency_key,
                     .retry_after = std::nullopt});
  }

  std::vector<calls::ModelInfo> Models(std::string_view bearer_key) override {
    if (bearer_key != "k1") return {};
    return {{.model = ModelId("m"), .max_prompt_tokens = 1000}};
  }
};

struct Fixture {
  asio::io_context io;
  SystemClock clock;
  SeededRandom random{20261204};
  ScriptedHandler handler;
  CallerServer server;

  explicit Fixture(HttpServer::Options http = {})
      : server(io, {.http = std::move(http)}, handler, clock, random) {
    REQUIRE(server.Open().has_value());
  }
};

// A raw connection, so that a test controls every byte. Its loop must not run after its end.
struct Connection {
  tcp::socket socket;
  std::string received;
  bool closed = false;
  std::array<char, 65536> buffer{};

  Connection(Fixture& fixture, std::string_view bytes, bool read = true, std::uint16_t port = 0)
      : socket(fixture.io), io(fixture.io) {
    socket.connect({asio::ip::make_address("127.0.0.1"), port != 0 ? port : fixture.server.port()});
    Send(bytes);
    if (read) Read();
  }

  void Send(std::string_view bytes) { asio::write(socket, asio::buffer(bytes)); }

  void Read() {
    socket.async_read_some(asio::buffer(buffer), [this](std::error_code error, std::size_t count) {
      received.append(buffer.data(), count);
      closed = static_cast<bool>(error);
      if (!error) Read();
    });
  }

  bool WaitFor(std::string_view text) {
    return RunUntil(io, [&] { return received.find(text) != std::string::npos || closed; }) &&
           received.find(text) != std::string::npos;
  }

  asio::io_context& io;
};

std::string Post(std::string_view body, std::string_view headers = "",
                 std::string_view path = "/v1/completions") {
  return "POST " + std::string(path) + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k1\r\n" +
         std::string(headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

constexpr std::string_view kStreamed =
    R"({"model":"m","prompt":"hello","max_tokens":4,"stream":true})";
constexpr std::string_view kWhole = R"({"model":"m","prompt":"hello","max_tokens":4})";

// Guards against answers of the wrong shape on a real connection.
TEST_CASE("answers") {
  struct Row {
    const char* name;
    std::string request;
    std::vector<std::string> expected;
    std::string absent;
  };
  const std::string get = " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k1\r\n\r\n";
  const Row rows[] = {
      {"streamed",
       Post(kStreamed, "X-Request-Id: r-7\r\n"),
       {"200 OK", "X-Request-Id: r-7", "\"text\":\"a \"", "\"text\":\"b \"", "data: [DONE]\n\n",
        "\r\n0\r\n\r\n"},
       "Content-Length"},
      {"whole", Post(kWhole), {"200 OK", "\"text\":\"a b \"", "\"total_tokens\":5,"}, "data:"},
      {"service",
       Post("{}", "Idempotency-Key: k\r\n", "/v1/services/order/create"),
       {" 201 ", "X-Replayed: true", "made"},
       "problem"},
      {"lookup", "GET /v1/services/order/create/key-5" + get, {" 404 ", "key-5", "unknown"}, "200"},
      {"models", "GET /v1/models" + get, {"200 OK", "\"max_prompt_tokens\":1000"}, "problem"},
      {"malformed", Post("{\"model\""), {"400 Bad Request", "problem+json", "not_run"}, "200"},
      {"bad id", Post(kWhole, "X-Request-Id: a b\r\n"), {" 400 ", "X-Request-Id: "}, "a b"},
      {"encoded", Post(kWhole, "Content-Encoding: gzip\r\n"), {" 400 ", "Content-Encoding"}, "200"},
      {"charset",
       Post(kWhole, "Content-Type: application/json; charset=latin1\r\n"),
       {" 400 "},
       "200"},
      {"oversized", Post(std::string(1500, ' ')), {" 413 ", "too large"}, "200"},
      {"unknown path", Post("{}", "", "/v2/x"), {" 404 "}, "200"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture({.max_body_bytes = 1000});
    fixture.handler.script = [](calls::CompletionSink& sink) {
      sink.OnToken("a ");
      sink.OnToken("b ");
      sink.OnEnd("stop", {.prompt_tokens = 3, .cached_tokens = 0, .completion_tokens = 2});
    };
    Connection connection(fixture, row.request);
    for (const std::string& text : row.expected) {
      CAPTURE(text);
      CAPTURE(connection.received);
      CHECK(connection.WaitFor(text));
    }
    CHECK(connection.received.find(row.absent) == std::string::npos);
    CHECK_FALSE(connection.closed);
  }
}

// Guards against a broken stream that looks complete to the caller, and against a failure before
// the first token that arrives with status 200.
TEST_CASE("failures before and after the first token") {
  for (const bool streamed : {false, true}) {
    for (const bool after_token : {false, true}) {
      CAPTURE(streamed);
      CAPTURE(after_token);
      Fixture fixture;
      fixture.handler.script = [&](calls::CompletionSink& sink) {
        if (after_token) sink.OnToken("a ");
        sink.OnFailure({.kind = calls::FailureKind::kRateLimited,
                        .outcome = Outcome::kNotRun,
                        .detail = "limit",
                        .retry_after = std::chrono::milliseconds(1500)});
      };
      Connection connection(fixture, Post(streamed ? kStreamed : kWhole));
      REQUIRE(connection.WaitFor("\"retry_after_seconds\":2"));
      CHECK(connection.received.find("[DONE]") == std::string::npos);
      const bool inside_stream = streamed && after_token;
      CHECK((connection.received.find("event: error") != std::string::npos) == inside_stream);
      CHECK((connection.received.find("429 Too Many") != std::string::npos) == !inside_stream);
      CHECK((connection.received.find("Retry-After: 2\r\n") != std::string::npos) ==
            !inside_stream);
    }
  }
}

// Guards against an engine that goes on working for a caller who has left.
TEST_CASE("caller leaves") {
  struct Row {
    const char* name;
    bool token_first;
    bool reset;
  };
  const Row rows[] = {{"before the first token", false, false},
                      {"during the stream", true, false},
                      {"reset before the first token", false, true},
                      {"reset during the stream", true, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    fixture.handler.script = [&](calls::CompletionSink& sink) {
      if (row.token_first) sink.OnToken("a ");
    };
    Connection connection(fixture, Post(kStreamed), false);
    REQUIRE(RunUntil(fixture.io, [&] { return !fixture.handler.sinks.empty(); }));
    CHECK(fixture.server.open_responses() == 1);
    if (row.reset) connection.socket.set_option(asio::socket_base::linger(true, 0));
    connection.socket.close();
    REQUIRE(RunUntil(
        fixture.io, [&] { return fixture.handler.gone == 1; }, std::chrono::seconds(2)));
    CHECK(fixture.server.open_responses() == 0);
    fixture.handler.sinks[0]->OnToken("late ");
    fixture.handler.sinks[0]->OnEnd("stop", {});
    CHECK(fixture.handler.sinks[0]->unsent_bytes() == 0);
  }
}

// Guards against unbounded memory for a caller that does not read, and against a caller that holds
// its connection for ever.
TEST_CASE("slow reader") {
  Fixture fixture({.write_timeout = std::chrono::milliseconds(300),
                   .timeout_check_period = std::chrono::milliseconds(50)});
  Connection connection(fixture, Post(kStreamed), false);
  REQUIRE(RunUntil(fixture.io, [&] { return !fixture.handler.sinks.empty(); }));
  calls::CompletionSink& sink = *fixture.handler.sinks[0];
  const std::string text(64 << 10, 'x');
  // Socket buffers take a few megabytes; what follows must be counted.
  for (int i = 0; i < 256; ++i) sink.OnToken(text);
  CHECK(sink.unsent_bytes() > (std::size_t{4} << 20));
  SUBCASE("reads again") {
    connection.Read();
    CHECK(RunUntil(fixture.io, [&] { return sink.unsent_bytes() == 0; }));
    CHECK(fixture.handler.drained > 0);
    CHECK(fixture.handler.gone == 0);
  }
  SUBCASE("never reads") {
    CHECK(RunUntil(fixture.io, [&] { return fixture.handler.gone == 1; }));
    CHECK(sink.unsent_bytes() == 0);
  }
}

// Guards against half-open, truncated or endless requests that hold connections.
TEST_CASE("bad connections are closed") {
  struct Row {
    const char* name;
    std::string bytes;
  };
  const Row rows[] = {
      {"silent", ""},
      {"half a head", "POST /v1/comple"},
      {"truncated body", "POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{"},
      {"not HTTP", "\x16\x03\x01 hello\r\n\r\n"},
      {"long header", "GET /v1/models HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n"},
      {"far oversized", Post(std::string(5000, ' '))},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture({.max_body_bytes = 1000,
                     .read_timeout = std::chrono::milliseconds(200),
                     .timeout_check_period = std::chrono::milliseconds(50)});
    Connection connection(fixture, row.bytes);
    CHECK(RunUntil(
        fixture.io, [&] { return connection.closed; }, std::chrono::seconds(3)));
    CHECK(fixture.handler.completions.empty());
  }
}

// Guards against callers that use up the process's descriptors, and against a count that never
// falls.
TEST_CASE("connection limit") {
  Fixture fixture({.max_connections = 1});
  const std::string request = "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer k1\r\n\r\n";
  Connection first(fixture, request);
  REQUIRE(first.WaitFor("200 OK"));
  Connection second(fixture, "");
  CHECK(RunUntil(fixture.io, [&] { return second.closed; }));
  first.socket.shutdown(tcp::socket::shutdown_send);
  REQUIRE(RunUntil(fixture.io, [&] { return first.closed; }));
  Connection third(fixture, request);
  CHECK(third.WaitFor("200 OK"));
}

// Guards against a write to freed memory when a server ends before the connections on its loop.
TEST_CASE("server destroyed during a response") {
  asio::io_context io;
  SystemClock clock;
  SeededRandom random(20261204);
  ScriptedHandler handler;
  tcp::socket socket(io);
  {
    CallerServer server(io, {}, handler, clock, random);
    REQUIRE(server.Open().has_value());
    socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(socket, asio::buffer(Post(kStreamed)));
    REQUIRE(RunUntil(io, [&] { return !handler.sinks.empty(); }));
    handler.sinks[0]->OnToken(std::string(std::size_t{8} << 20, 'x'));
  }
  handler.sinks[0]->OnToken("late ");
  handler.sinks.clear();
  RunUntil(
      io, [] { return false; }, std::chrono::milliseconds(20));
}

// Guards against answers that cross between requests on one connection, and against a stop that
// cuts off a stream.
TEST_CASE("keep-alive, pipelining and stop") {
  Fixture fixture;
  Connection connection(
      fixture, Post(kStreamed, "X-Request-Id: r1\r\n") + Post(kStreamed, "X-Request-Id: r2\r\n"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.handler.sinks.size() == 2; }));
  fixture.handler.sinks[1]->OnToken("second");
  fixture.handler.sinks[1]->OnEnd("stop", {});
  fixture.handler.sinks[0]->OnToken("first");
  fixture.server.StopAccepting();
  fixture.handler.sinks[0]->OnEnd("stop", {});
  REQUIRE(connection.WaitFor("second"));
  CHECK(connection.received.find("first") < connection.received.find("second"));
  RunUntil(fixture.io, [&] { return fixture.server.open_responses() == 0; });
  CHECK(fixture.server.open_responses() == 0);
}

class FixedView final : public OperatorView {
 public:
  bool healthy() const override { return true; }
  std::string NotReadyReason() const override { return "stopping"; }
  std::string Metrics() const override { return "requests_total 3\n"; }
  std::string StatusJson() const override { return "{\"members\":2}"; }
  void Drain(const DrainOrder& order, std::function<void(Status)> done) override {
    if (order.operator_key != "op") return done(Errc::kPermissionDenied);
    done(order.is_endpoint && order.target == "e1" ? Ok() : Status(Errc::kNotFound));
  }
};

std::string PostDrain(std::string_view key, std::string_view body) {
  return "POST /drain HTTP/1.1\r\nHost: a\r\n" + std::string(key) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// Guards against a balancer that keeps sending callers to a daemon that is stopping, and against
// drain orders that are taken without a key or half read.
TEST_CASE("operator paths") {
  struct Row {
    std::string request;
    const char* expected;
    const char* body;
  };
  const auto get = [](const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
  };
  const std::string key = "Authorization: Bearer op\r\n";
  const Row rows[] = {
      {get("/healthz"), " 200 ", "ok\n"},
      {get("/readyz"), " 503 ", "stopping\n"},
      {get("/metrics"), " 200 ", "requests_total 3\n"},
      {get("/status"), " 200 ", "{\"members\":2}"},
      {get("/v1/models"), " 404 ", "no such path"},
      {get("/drain"), " 405 ", "method"},
      {PostDrain(key, R"({"target":"e1","kind":"endpoint"})"), " 200 ", "ok\n"},
      {PostDrain(key, R"({"target":"e1","kind":"host","undo":true})"), " 404 ", "not found"},
      {PostDrain("", R"({"target":"e1","kind":"endpoint"})"), " 401 ", "key"},
      {PostDrain("Authorization: Bearer x\r\n", R"({"target":"e1","kind":"endpoint"})"), " 403 ",
       "denied"},
      {PostDrain(key, R"({"target":"e1"})"), " 400 ", "expected"},
      {PostDrain(key, R"({"target":"e1","kind":"endpoint","undo":1})"), " 400 ", "expected"},
      {PostDrain(key, "{"), " 400 ", "expected"}};
  for (const Row& row : rows) {
    CAPTURE(row.request);
    Fixture fixture;
    FixedView view;
    OperatorServer server(fixture.io, {}, view);
    REQUIRE(server.Open().has_value());
    Connection connection(fixture, row.request, true, server.port());
    CHECK(connection.WaitFor(row.expected));
    CHECK(connection.WaitFor(row.body));
  }
}

}  // namespace
}  // namespace verbenaridge::frontend
