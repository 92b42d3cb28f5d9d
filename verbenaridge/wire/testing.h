// Helpers of the socket tests: a bounded event loop, a scripted service and a TCP relay.
#ifndef VERBENARIDGE_WIRE_TESTING_H_
#define VERBENARIDGE_WIRE_TESTING_H_

#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "verbenaridge/wire/nghttp2_transport.h"

namespace verbenaridge::wire::testing {

// Runs the event loop until the condition holds. Returns false after `limit`.
inline bool RunUntil(asio::io_context& context, const std::function<bool()>& condition,
                     Duration limit = std::chrono::seconds(10)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    if (context.stopped()) context.restart();
    context.run_one_until(end);
  }
  return true;
}

inline FleetKeys Keys(std::vector<std::string> keys = {"a fleet key of the tests"}) {
  return FleetKeys::Create(std::move(keys)).value();
}

// Answers by the kind of the request; admissions stay open.
class ScriptedService final : public PeerService {
 public:
  void Serve(Request request, std::shared_ptr<ServerCall> call) override {
    ++served;
    if (std::holds_alternative<StatusRequest>(request)) return call->Answer(StatusReply{"{}"});
    if (const auto* push = std::get_if<PushPlanDeltaRequest>(&request)) {
      FetchPlanReply reply;
      reply.version = push->to_version;
      reply.document = push->delta;
      return call->Answer(std::move(reply));
    }
    if (std::holds_alternative<LookUpClaimRequest>(request)) return call->Fail(Errc::kNotFound);
    if (std::holds_alternative<DrainRequest>(request)) return;  // drops the call
    if (std::holds_alternative<FetchPlanRequest>(request)) {
      return call->Answer(StatusReply{std::string(5UL * 1024 * 1024, 'x')});  // above the limit
    }
    call->OnCancelled([this] { ++cancelled; });
    held.push_back(std::move(call));
  }

  int served = 0;
  int cancelled = 0;
  std::vector<std::shared_ptr<ServerCall>> held;
};

// Forwards bytes between one client and a server, or disturbs the path.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  enum class Mode {
    kForward,
    kSilent,          // reads from both sides and forwards nothing, as if all packets were lost
    kTrickleRequest,  // forwards one byte of the client's each 10 ms
    kStallReply,      // no longer reads from the server
  };

  Relay(asio::io_context& context, std::uint16_t target)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
        timer_(context),
        client_(context),
        server_(context),
        target_(asio::ip::make_address("127.0.0.1"), target) {}

  void Start() {
    acceptor_.async_accept(client_, [self = shared_from_this()](std::error_code error) {
      if (error) return;
      self->acceptor_.close();
      self->server_.async_connect(self->target_, [self](std::error_code connect_error) {
        if (connect_error) return;
        self->Forward(self->client_, self->server_, self->from_client_);
        self->Forward(self->server_, self->client_, self->from_server_);
      });
    });
  }

  void Stop() {
    acceptor_.close();
    timer_.cancel();
    client_.close();
    server_.close();
  }

  std::uint16_t port() const { return port_; }
  Mode mode = Mode::kForward;

 private:
  using Buffer = std::array<char, 4096>;

  void Forward(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, Buffer& buffer) {
    if (mode == Mode::kStallReply && &from == &server_) return;
    const bool trickle = mode == Mode::kTrickleRequest && &from == &client_;
    const std::size_t limit = trickle ? 1 : buffer.size();
    from.async_read_some(asio::buffer(buffer, limit),
                         [&, self = shared_from_this()](std::error_code error, std::size_t size) {
                           if (error) return;
                           if (mode == Mode::kSilent) return Forward(from, to, buffer);
                           asio::async_write(to, asio::buffer(buffer, size),
                                             [&, self](std::error_code write_error, std::size_t) {
                                               if (!write_error) Continue(from, to, buffer);
                                             });
                         });
  }

  void Continue(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, Buffer& buffer) {
    if (mode != Mode::kTrickleRequest || &from != &client_) return Forward(from, to, buffer);
    timer_.expires_after(std::chrono::milliseconds(10));
    timer_.async_wait([&, self = shared_from_this()](std::error_code error) {
      if (!error) Forward(from, to, buffer);
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  asio::ip::tcp::socket client_;
  asio::ip::tcp::socket server_;
  asio::ip::tcp::endpoint target_;
  std::uint16_t port_ = acceptor_.local_endpoint().port();
  Buffer from_client_{};
  Buffer from_server_{};
};

// A connection that sends prepared bytes, one chunk each 20 ms, and reads until it is closed.
class RawPeer : public std::enable_shared_from_this<RawPeer> {
 public:
  RawPeer(asio::io_context& context, std::vector<std::string> chunks)
      : socket_(context), timer_(context), chunks_(std::move(chunks)) {}

  void Connect(std::uint16_t port) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
    Run();
  }

  void Accept(asio::ip::tcp::acceptor& acceptor) {
    acceptor.async_accept(socket_, [self = shared_from_this()](std::error_code error) {
      if (!error) self->Run();
    });
  }

  void Stop() {
    timer_.cancel();
    socket_.close();
  }

  bool closed = false;
  bool close_at_end = false;
  // Called with all received bytes; may return further bytes to send.
  std::function<std::string(std::string_view)> on_received;

 private:
  void Run() {
    SendNext();
    Read();
  }

  void SendNext() {
    if (next_ == chunks_.size()) {
      if (close_at_end) socket_.close();
      return;
    }
    std::error_code ignored;
    asio::write(socket_, asio::buffer(chunks_[next_++]), ignored);
    timer_.expires_after(std::chrono::milliseconds(20));
    timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error) self->SendNext();
    });
  }

  void Read() {
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](
                                                       std::error_code error, std::size_t size) {
      if (error) {
        self->closed = true;
        return;
      }
      self->received_.append(self->buffer_.data(), size);
      if (self->on_received) {
        std::error_code ignored;
        asio::write(self->socket_, asio::buffer(self->on_received(self->received_)), ignored);
      }
      self->Read();
    });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const std::vector<std::string> chunks_;
  std::size_t next_ = 0;
  std::string received_;
  std::array<char, 4096> buffer_{};
};

// A handshake message with its length.
inline std::string Framed(std::string_view message) {
  std::string frame = {static_cast<char>(message.size() >> 8), static_cast<char>(message.size())};
  return frame.append(message);
}

}  // namespace verbenaridge::wire::testing

#endif  // VERBENARIDGE_WIRE_TESTING_H_
