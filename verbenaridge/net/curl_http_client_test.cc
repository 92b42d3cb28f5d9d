#include <doctest/doctest.h>
#include <unistd.h>

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

#include "verbenaridge/net/http_client.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::net {
namespace {

using asio::ip::tcp;

// Answers each connection's first request with the given bytes, and then closes if asked to.
class ScriptedServer {
 public:
  ScriptedServer(asio::io_context& io, std::string answer, bool close)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}),
        socket_(io),
        answer_(std::move(answer)),
        close_(close) {
    acceptor_.async_accept(socket_, [this](std::error_code error) {
      if (!error) Read();
    });
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/x";
  }
  const std::string& request() const { return request_; }
  bool peer_left() const { return peer_left_; }

 private:
  void Read() {
    asio::async_read_until(socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
                           [this](std::error_code error, std::size_t) {
                             if (!error) Answer();
                           });
  }

  void Answer() {
    asio::async_write(socket_, asio::buffer(answer_), [this](std::error_code error, std::size_t) {
      if (error) return;
      if (close_) {
        socket_.close();
      } else {
        socket_.async_read_some(asio::buffer(&byte_, 1),
                                [this](std::error_code closed, std::size_t) {
                                  peer_left_ = static_cast<bool>(closed);
                                });
      }
    });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  const std::string answer_;
  const bool close_;
  std::string request_;
  char byte_ = 0;
  bool peer_left_ = false;
};

struct Recorder final : HttpObserver {
  int status = 0;
  std::string body;
  std::optional<Status> done;
  RequestProgress progress = RequestProgress::kPossiblySent;
  std::function<void()> on_head;
  std::function<void()> on_body;

  void OnHead(const HttpResponseHead& head) override {
    status = head.status;
    if (on_head) on_head();
  }
  void OnBody(std::string_view data) override {
    body.append(data);
    if (on_body) on_body();
  }
  void OnDone(const Status& value, RequestProgress sent) override {
    CHECK_FALSE(done.has_value());
    done = value;
    progress = sent;
  }
};

bool RunUntil(asio::io_context& io, const std::function<bool()>& done,
              std::chrono::milliseconds limit = std::chrono::seconds(10)) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (io.run_one_until(deadline) == 0) return done();
  }
  return true;
}

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

constexpr const char* kUntilClose = "HTTP/1.1 200 OK\r\n\r\npart";

// Guards against a broken answer that is taken as whole, and against a wrong claim that nothing was
// sent.
TEST_CASE("ends of calls") {
  struct Row {
    const char* name;
    std::string answer;
    bool close;
    std::optional<Errc> error;
    const char* body;
  };
  const Row rows[] = {
      {"whole", std::string(kHead) + "hello", false, std::nullopt, "hello"},
      {"chunked",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
       false, std::nullopt, "hello"},
      {"until the close", "HTTP/1.1 200 OK\r\n\r\nhello", true, std::nullopt, "hello"},
      {"no body", "HTTP/1.1 204 No Content\r\n\r\n", false, std::nullopt, ""},
      {"closed in the body", std::string(kHead) + "he", true, Errc::kUnavailable, "he"},
      {"closed in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe", true,
       Errc::kUnavailable, "he"},
      {"closed before the head", "", true, Errc::kUnavailable, ""},
      {"silent", "", false, Errc::kTimeout, ""},
      {"silent in the body", std::string(kHead) + "he", false, Errc::kTimeout, "he"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    asio::io_context io;
    ScriptedServer server(io, row.answer, row.close);
    CurlHttpClient client(io);
    auto recorder = std::make_shared<Recorder>();
    client.Start({.method = "POST",
                  .url = server.url(),
                  .headers = {{"X-A", "b"}},
                  .body = "{}",
                  .connect_timeout = std::chrono::seconds(1),
                  .timeout = std::chrono::milliseconds(300)},
                 recorder);
    REQUIRE(RunUntil(io, [&] { return recorder->done.has_value(); }));
    CHECK(recorder->body == row.body);
    CHECK(recorder->progress == RequestProgress::kPossiblySent);
    REQUIRE(recorder->done->has_error() == row.error.has_value());
    if (row.error) CHECK(recorder->done->error() == *row.error);
    CHECK(server.request().find("X-A: b\r\n") != std::string::npos);
  }
}

// Guards against the bytes of a server in trouble that are taken for its answer.
TEST_CASE("malformed answers are errors") {
  const std::string end = "\r\nContent-Length: 5\r\n\r\nhello";
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string rows[] = {
      "HTTP/1.1 000 X" + end,
      "HTTP/1.1 0 X" + end,
      "HTTP/1.1 099 X" + end,
      "HTTP/1.1 20 X" + end,
      "HTTP/1.1 600 X" + end,
      "HTTP/1.1 999 X" + end,
      "HTTP/1.1 2000 X" + end,
      "HTTP/1.1 0200 X" + end,
      "HTTP/9.9 200 X" + end,
      "HTTP/1.1 200 X\r\nX Y: 1" + end,
      "HTTP/1.1 200 X\r\nX : 1" + end,
      "HTTP/1.1 200 X\r\n A: 1" + end,
      "HTTP/1.1 200 X\r\nX: 1\r\n folded" + end,
      "HTTP/1.1 200 X\r\nX\1: 1" + end,
      "HTTP/1.1 200 X\r\nX: \1" + end,
      "HTTP/1.1 200 X\r\nno field" + end,
      "HTTP/1.1 200 X\r\nHTTP/1.1 200 Y" + end,
      "HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\nfour",
      "HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
      "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\nhello",
      "HTTP/1.1 200 X\r\nTransfer-Encoding: xchunked\r\n\r\nhello",
      "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 X" + end,
      "hello\r\n\r\n",
      chunked + "2\r\nabXY0\r\n\r\n",
      chunked + "0\r\nX Y: 1\r\n\r\n",
      chunked + "2;\nx\r\nab\r\n0\r\n\r\n",
  };
  for (const std::string& answer : rows) {
    CAPTURE(answer);
    asio::io_context io;
    ScriptedServer server(io, answer, true);
    CurlHttpClient client(io);
    auto recorder = std::make_shared<Recorder>();
    client.Start({.method = "POST",
                  .url = server.url(),
                  .headers = {},
                  .body = "{}",
                  .timeout = std::chrono::milliseconds(300)},
                 recorder);
    REQUIRE(RunUntil(io, [&] { return recorder->done.has_value(); }));
    CHECK(recorder->done->has_error());
    CHECK(recorder->progress == RequestProgress::kPossiblySent);
  }
}

// Guards against a broken answer of the store that operators see only as "unavailable".
TEST_CASE("a malformed answer is logged") {
  const std::filesystem::path file = std::filesystem::temp_directory_path() /
                                     ("verbenaridge_curl_log_" + std::to_string(getpid()));
  std::filesystem::remove(file);
  REQUIRE(telemetry::StartLog({.file = file}).has_value());
  asio::io_context io;
  ScriptedServer server(io, "HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n", true);
  CurlHttpClient client(io);
  auto recorder = std::make_shared<Recorder>();
  client.Start({.url = server.url(), .headers = {}, .body = {}}, recorder);
  REQUIRE(RunUntil(io, [&] { return recorder->done.has_value(); }));
  telemetry::StopLog();
  std::ifstream stream(file);
  std::string line;
  std::getline(stream, line);
  CHECK(line.find("\"event\":\"http_response_broken\"") != std::string::npos);
  CHECK(line.find("\"detail\":\"field_name\"") != std::string::npos);
  CHECK(line.find(server.url()) != std::string::npos);
  std::filesystem::remove(file);
}

// Guards against the part of an answer that is taken as whole, because the server reset the
// connection while the request was written and the write took the error off the socket.
TEST_CASE("an answer until the close during an upload") {
  struct Row {
    const char* name;
    bool ends_sending_side;  // before the reset
  };
  const Row rows[] = {{"reset", false}, {"sending side ended, then reset", true}};
  for (const Row& row : rows) {
    for (const int delay_ms : {0, 5, 60, 300}) {
      CAPTURE(std::string(row.name));
      CAPTURE(delay_ms);
      asio::io_context io;
      tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
      tcp::socket socket(io);
      asio::steady_timer timer(io);
      std::string request;
      acceptor.async_accept(socket, [&](std::error_code) {
        asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                               [&](std::error_code, std::size_t) {
                                 asio::write(socket, asio::buffer(std::string(kUntilClose)));
                                 if (row.ends_sending_side)
                                   socket.shutdown(tcp::socket::shutdown_send);
                                 timer.expires_after(std::chrono::milliseconds(delay_ms));
                                 timer.async_wait([&](std::error_code) {
                                   socket.set_option(asio::socket_base::linger(true, 0));
                                   socket.close();
                                 });
                               });
      });
      CurlHttpClient client(io);
      auto recorder = std::make_shared<Recorder>();
      client.Start({.method = "POST",
                    .url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                    .headers = {},
                    .body = std::string(std::size_t{24} << 20, 'u'),
                    .timeout = std::chrono::seconds(2)},
                   recorder);
      REQUIRE(RunUntil(io, [&] { return recorder->done.has_value(); }));
      REQUIRE(recorder->done->has_error());
      CHECK(recorder->done->error() == Errc::kUnavailable);
    }
  }
}

// Guards against an answer without a length that is taken for cut off although the server has read
// the whole request.
TEST_CASE("an answer until the close after an upload") {
  for (const std::size_t upload : {std::size_t{0}, std::size_t{300'000}, std::size_t{8} << 20}) {
    CAPTURE(upload);
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket socket(io);
    std::string request;
    acceptor.async_accept(socket, [&](std::error_code) {
      asio::async_read_until(
          socket, asio::dynamic_buffer(request), "\r\n\r\n",
          [&](std::error_code, std::size_t head) {
            const std::size_t missing = head + upload - request.size();
            asio::async_read(socket, asio::dynamic_buffer(request), asio::transfer_exactly(missing),
                             [&](std::error_code, std::size_t) {
                               asio::write(socket, asio::buffer(std::string(kUntilClose)));
                               socket.close();
                             });
          });
    });
    CurlHttpClient client(io);
    auto recorder = std::make_shared<Recorder>();
    client.Start({.method = "POST",
                  .url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                  .headers = {},
                  .body = std::string(upload, 'u'),
                  .timeout = std::chrono::seconds(5)},
                 recorder);
    REQUIRE(RunUntil(io, [&] { return recorder->done.has_value(); }));
    CHECK(recorder->done->has_value());
    CHECK(recorder->body == "part");
  }
}

// Guards against "possibly sent" for a host that refuses connections: its work could be moved.
TEST_CASE("refused connection") {
  asio::io_context io;
  CurlHttpClient client(io);
  auto recorder = std::make_shared<Recorder>();
  client.Start({.url = "http://127.0.0.1:1/", .headers = {}, .body = {}}, recorder);
  REQUIRE(RunUntil(io, [&] { return recorder->done.has_value(); }));
  CHECK(recorder->done->has_error());
  CHECK(recorder->progress == RequestProgress::kNothingSent);
}

// Guards against calls to an observer after Cancel, and against a connection that stays open.
TEST_CASE("cancel") {
  struct Row {
    const char* name;
    bool at_once;
    bool in_head;
    bool in_body;
  };
  const Row rows[] = {{"at once", true, false, false},
                      {"in OnHead", false, true, false},
                      {"in OnBody", false, false, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    asio::io_context io;
    ScriptedServer server(io, std::string(kHead) + "he", false);
    CurlHttpClient client(io);
    auto recorder = std::make_shared<Recorder>();
    const HttpCallId id = client.Start({.url = server.url(), .headers = {}, .body = {}}, recorder);
    bool cancelled = false;
    const auto cancel = [&] {
      client.Cancel(id);
      cancelled = true;
    };
    if (row.at_once) cancel();
    if (row.in_head) recorder->on_head = cancel;
    if (row.in_body) recorder->on_body = cancel;
    REQUIRE(RunUntil(io, [&] { return cancelled && (row.at_once || server.peer_left()); }));
    RunUntil(
        io, [] { return false; }, std::chrono::milliseconds(20));
    CHECK_FALSE(recorder->done.has_value());
    CHECK(recorder->body == (row.in_body ? "he" : ""));
    client.Cancel(id);
  }
}

// Guards against memory that grows while the caller is slow, and against a stream that never goes
// on after a pause.
TEST_CASE("pause and resume") {
  constexpr std::size_t kBodyBytes = std::size_t{64} << 20;
  asio::io_context io;
  ScriptedServer server(io,
                        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
                            "\r\n\r\n" + std::string(kBodyBytes, 'x'),
                        false);
  CurlHttpClient client(io);
  auto recorder = std::make_shared<Recorder>();
  const HttpCallId id = client.Start({.url = server.url(), .headers = {}, .body = {}}, recorder);
  bool paused = false;
  recorder->on_body = [&] {
    if (!std::exchange(paused, true)) client.Pause(id);
  };
  REQUIRE(RunUntil(io, [&] { return paused; }));
  RunUntil(
      io, [] { return false; }, std::chrono::milliseconds(100));
  CHECK(recorder->body.size() < kBodyBytes / 4);
  CHECK_FALSE(recorder->done.has_value());
  client.Resume(id);
  REQUIRE(RunUntil(io, [&] { return recorder->done.has_value(); }));
  CHECK(recorder->done->has_value());
  CHECK(recorder->body.size() == kBodyBytes);
}

// Guards against callbacks into freed memory.
TEST_CASE("client destroyed with calls in flight") {
  asio::io_context io;
  ScriptedServer server(io, std::string(kHead) + "he", false);
  auto recorder = std::make_shared<Recorder>();
  {
    CurlHttpClient client(io);
    client.Start({.url = server.url(), .headers = {}, .body = {}}, recorder);
    REQUIRE(RunUntil(io, [&] { return !recorder->body.empty(); }));
  }
  RunUntil(
      io, [] { return false; }, std::chrono::milliseconds(20));
  CHECK_FALSE(recorder->done.has_value());
}

}  // namespace
}  // namespace verbenaridge::net
