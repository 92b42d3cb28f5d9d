// Clients that send or read too slowly, against the server on loopback sockets.
#include "verbenaridge/forwarding/client_server.h"

#include <doctest/doctest.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace verbenaridge::forwarding {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr Duration kIdleTimeout = milliseconds(150);

// Responds to each request with a body of the given size, in one piece or in parts.
class Responder final : public RequestHandler {
 public:
  Responder(std::size_t body_bytes, bool in_parts) : body_(body_bytes, 'x'), in_parts_(in_parts) {}

  std::shared_ptr<ActiveRequest> Start(IncomingRequest /*request*/,
                                       std::shared_ptr<ResponseSink> sink) override {
    ++requests;
    if (holds_responses) {
      held = std::move(sink);
    } else if (in_parts_) {
      sink->Begin({.status = 200}, std::nullopt);
      sink->Send(body_);
      sink->End();
    } else {
      sink->Respond({.status = 200}, body_);
    }
    return nullptr;
  }
  directory::ClientLimits limits() const override { return client_limits; }
  void OnRejected(int status, std::string_view /*reason*/) override { rejected = status; }
  void OnResponseNotRead(std::size_t unsent_bytes) override { not_read = unsent_bytes; }
  void OnInputDiscarded(std::size_t bytes) override { discarded = bytes; }
  void OnConnectionRefused() override { ++refused; }

  directory::ClientLimits client_limits{.head_timeout = kIdleTimeout, .idle_timeout = kIdleTimeout};
  bool holds_responses = false;
  std::shared_ptr<ResponseSink> held;  // of the last request
  std::size_t requests = 0;
  int rejected = 0;
  std::size_t not_read = 0;
  std::size_t discarded = 0;
  std::size_t refused = 0;

 private:
  const std::string body_;
  const bool in_parts_;
};

// A client that sends its request in pieces and reads at intervals.
class SlowClient {
 public:
  SlowClient(asio::io_context& io_context, std::uint16_t port)
      : socket_(io_context), timer_(io_context) {
    socket_.open(tcp::v4());
    // Without a small buffer the kernel would take the whole response.
    socket_.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
  }

  void Send(std::string_view text) { asio::write(socket_, asio::buffer(text)); }

  // Sends `piece` at each interval until the server closes the connection.
  void SendRepeatedly(std::string piece, Duration interval) {
    piece_ = std::move(piece);
    Every(interval,
          [this](std::error_code& code) { asio::write(socket_, asio::buffer(piece_), code); });
  }

  // Reads up to `bytes` at each interval.
  void ReadRepeatedly(std::size_t bytes, Duration interval) {
    buffer_.resize(bytes);
    Every(interval, [this](std::error_code& code) {
      received_ += socket_.read_some(asio::buffer(buffer_), code);
    });
  }

  std::size_t received() const { return received_; }

 private:
  void Every(Duration interval, std::function<void(std::error_code&)> action) {
    timer_.expires_after(interval);
    timer_.async_wait([this, interval, action = std::move(action)](std::error_code code) {
      if (code) return;
      action(code);
      if (!code) Every(interval, action);
    });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string piece_;
  std::vector<char> buffer_;
  std::size_t received_ = 0;
};

struct Fixture {
  explicit Fixture(std::size_t body_bytes, bool in_parts = false, std::size_t max_connections = 50)
      : responder(body_bytes, in_parts),
        server(io, {.ip = "127.0.0.1", .max_connections = max_connections}, clock, responder) {
    REQUIRE(server.Open().has_value());
  }

  asio::io_context io;
  SystemClock clock;
  Responder responder;
  ClientServer server;
};

// Guards against connections and memory that a client holds for as long as it likes, by sending a
// byte now and then or by not reading its response.
TEST_CASE("clients that make no progress lose their connection") {
  struct Row {
    const char* name;
    std::string request;
    std::string piece;           // sent every 20 ms after it; empty: none
    std::size_t read_bytes = 0;  // read every 20 ms; zero: none
    bool in_parts = false;
    int rejected = 0;  // with this status
    bool not_read = false;
    bool kept = false;
  };
  const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const Row rows[] = {
      {.name = "sends nothing", .request = ""},
      {.name = "a byte of a head now and then",
       .request = "GET / HTTP/1.1\r\nX: ",
       .piece = "x",
       .rejected = 408},
      {.name = "a byte of a body now and then",
       .request = post + "Content-Length: 1000\r\n\r\n",
       .piece = "x",
       .rejected = 408},
      {.name = "a byte of a chunk size now and then",
       .request = post + "Transfer-Encoding: chunked\r\n\r\n",
       .piece = "0",
       .rejected = 408},
      {.name = "a slow body with progress",
       .request = post + "Content-Length: 100000\r\n\r\n",
       .piece = std::string(200, 'x'),
       .kept = true},
      {.name = "does not read", .request = get, .not_read = true},
      {.name = "does not read a response in parts",
       .request = get,
       .in_parts = true,
       .not_read = true},
      {.name = "reads slowly", .request = get, .read_bytes = 8 * 1024, .kept = true},
  };
  constexpr std::size_t kBodyBytes = std::size_t{16} * 1024 * 1024;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture(kBodyBytes, row.in_parts);
    SlowClient client(fixture.io, fixture.server.port());
    client.Send(row.request);
    if (!row.piece.empty()) client.SendRepeatedly(row.piece, milliseconds(20));
    if (row.read_bytes != 0) client.ReadRepeatedly(row.read_bytes, milliseconds(20));
    fixture.io.run_for(4 * kIdleTimeout);
    CHECK(fixture.responder.rejected == row.rejected);
    CHECK((fixture.responder.not_read > 0) == row.not_read);
    // The rest of a rejected request is still discarded.
    if (row.rejected == 0) CHECK((fixture.server.connections() == 1) == row.kept);
    if (row.read_bytes != 0) CHECK(client.received() >= 10 * row.read_bytes);
  }
}

// Guards against requests that a draining server reads and drops although their client was not told
// that the connection closes.
TEST_CASE("a draining server answers what it has read on a connection that it did not close") {
  struct Row {
    const char* name;
    bool drains_before_head;  // so that the response says that the connection closes
    bool sends_another;
    std::size_t requests;
    bool discarded;
    std::size_t connections;
  };
  const Row rows[] = {
      {"the head was sent before", false, true, 2, false, 1},
      {"the head was sent before, no other request", false, false, 1, false, 0},
      {"the head says that the connection closes", true, true, 1, true, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture(2);
    Responder& responder = fixture.responder;
    responder.holds_responses = true;
    SlowClient client(fixture.io, fixture.server.port());
    client.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.io.run_for(milliseconds(20));
    if (row.drains_before_head) fixture.server.BeginDrain();
    responder.held->Begin({.status = 200}, 2);
    if (row.sends_another) client.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.io.run_for(milliseconds(20));
    fixture.server.BeginDrain();
    responder.held->Send("ok");
    responder.held->End();
    fixture.io.run_for(milliseconds(20));
    CHECK(responder.requests == row.requests);
    CHECK(fixture.server.connections() == row.connections);
    fixture.server.CloseAll();
    CHECK((responder.discarded > 0) == row.discarded);
  }
}

// Guards against requests that are dropped, or rejected as too slow, because they arrive when the
// idle timeout that was in force at the end of the last response has passed.
TEST_CASE("a request that arrives at the end of the idle time is answered") {
  struct Row {
    const char* name;
    std::string before_timer;  // is sent before the ends of the waits are handled
    std::string after_timer;   // is sent when the first of them is handled
    Duration new_idle_timeout = kIdleTimeout;
  };
  const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  const Row rows[] = {
      {"the request arrives while another handler runs", "", get},
      {"a part of the request has arrived", get.substr(0, 10), get.substr(10)},
      {"a version has extended the idle timeout", "", "", 10 * kIdleTimeout},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture(2);
    SlowClient client(fixture.io, fixture.server.port());
    fixture.io.run_for(milliseconds(20));
    REQUIRE(fixture.server.connections() == 1);
    fixture.responder.client_limits.idle_timeout = row.new_idle_timeout;
    asio::steady_timer earlier(fixture.io, Duration{});
    earlier.async_wait([&](std::error_code /*code*/) { client.Send(row.after_timer); });
    std::this_thread::sleep_for(kIdleTimeout);
    client.Send(row.before_timer);
    fixture.io.run_for(milliseconds(20));
    if (row.after_timer.empty()) client.Send(get);
    fixture.io.run_for(milliseconds(20));
    CHECK(fixture.responder.requests == 1);
    CHECK(fixture.responder.rejected == 0);
    CHECK(fixture.server.connections() == 1);
  }
}

// Guards against requests that are read in the background, of which a close of idle connections
// knows nothing.
TEST_CASE("a request on a connection that was just accepted survives the close of idle ones") {
  Fixture fixture(2);
  SlowClient client(fixture.io, fixture.server.port());
  client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  while (fixture.server.connections() == 0) fixture.io.run_one();
  fixture.server.CloseIdle();
  fixture.io.run_for(milliseconds(20));
  CHECK(fixture.responder.requests == 1);
}

// Guards against proper requests that are rejected by the limits of an older version.
TEST_CASE("requests are judged by the limits in force when they begin") {
  struct Row {
    const char* name;
    directory::ClientLimits before;
  };
  const Row rows[] = {{"a larger head is allowed", {.head_bytes = 20}},
                      {"a larger body is allowed", {.body_bytes = 1}}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture(2);
    fixture.responder.client_limits = row.before;
    SlowClient client(fixture.io, fixture.server.port());
    fixture.io.run_for(milliseconds(20));
    fixture.responder.client_limits = {};
    client.Send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nok");
    fixture.io.run_for(milliseconds(20));
    CHECK(fixture.responder.rejected == 0);
    CHECK(fixture.responder.requests == 1);
  }
}

// Guards against bodies that must arrive within the time for the head.
TEST_CASE("a body that begins with the head has the time of a body") {
  Fixture fixture(2);
  fixture.responder.client_limits = {.head_timeout = milliseconds(20)};
  SlowClient client(fixture.io, fixture.server.port());
  client.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\no");
  fixture.io.run_for(milliseconds(60));
  client.Send("k");
  fixture.io.run_for(milliseconds(20));
  CHECK(fixture.responder.requests == 1);
}

// Guards against connections over the limit that nobody notices.
TEST_CASE("connections over the limit are refused and counted") {
  Fixture fixture(10, /*in_parts=*/false, /*max_connections=*/2);
  std::vector<std::unique_ptr<SlowClient>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<SlowClient>(fixture.io, fixture.server.port()));
  }
  fixture.io.run_for(milliseconds(50));
  CHECK(fixture.server.connections() == 2);
  CHECK(fixture.responder.refused == 3);
}

}  // namespace
}  // namespace verbenaridge::forwarding
