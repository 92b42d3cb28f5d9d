#include "verbenaridge/forwarding/client_server.h"

#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <unordered_set>
#include <utility>

#include "verbenaridge/http1/message_parser.h"

namespace verbenaridge::forwarding {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// Bytes that a client may send before the response to its request. More are left in the kernel.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;
// Unread bytes of a rejected request are discarded for this long. Closing a connection with unread
// bytes resets it, and the client might lose the response.
constexpr Duration kLingerLimit = std::chrono::seconds(1);
// A body may arrive this slowly. A client that sends a byte now and then is not idle, but would
// hold its connection forever.
constexpr double kMinBodyBytesPerSecond = 1'024;
// Accepting fails while the process has no free file descriptor.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

class ClientServer::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io_context, const ServerOptions& options, const Clock& clock,
       RequestHandler& handler)
      : io_context_(io_context),
        options_(options),
        clock_(clock),
        handler_(handler),
        acceptor_(io_context),
        accept_timer_(io_context) {}

  Status Open();
  void Accept();
  void Close();
  void CloseIdle(bool also_new);
  void TellStopping();

  asio::io_context& io_context_;
  const ServerOptions options_;
  const Clock& clock_;
  RequestHandler& handler_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  bool draining_ = false;
  bool closed_ = false;
};

class ClientServer::Connection final : public ResponseSink,
                                       public http1::RequestObserver,
                                       public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> server, asio::ip::tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(server_->io_context_),
        limits_(server_->handler_.limits()),
        parser_({.max_head_bytes = limits_.head_bytes}, *this) {}

  void Start() {
    std::error_code error;
    socket_.set_option(asio::ip::tcp::no_delay(true), error);  // only improves latency
    socket_.non_blocking(true, error);
    if (error) {
      Close();
      return;
    }
    ExpectRequest();
    Read();
  }

  // Whether a request was received whose response is not completely written.
  bool busy() const { return awaiting_response_ || response_queued_; }
  bool unfinished() const { return busy() || parser_.started(); }

  // Closes the connection if no request is in progress or has arrived. `also_new`: even if it has
  // not carried a request yet; its client may have sent the first one already.
  void CloseIfIdle(bool also_new) {
    if (unfinished() || (!also_new && !has_served_) || HasUnreadInput()) return;
    Close();
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    timer_.cancel();
    std::error_code ignored;  // the connection is closed either way
    socket_.close(ignored);
    server_->connections_.erase(shared_from_this());
    if (discarded_bytes_ > 0) server_->handler_.OnInputDiscarded(discarded_bytes_);
    if (const auto active = std::exchange(active_, nullptr)) active->OnClientGone();
  }

  void OnStopping() {
    if (const std::shared_ptr<ActiveRequest> active = active_) active->OnStopping();
  }

  // Returns whether a response was not completely written.
  bool CloseForStop() {
    const bool cut = busy();
    if (const auto active = std::exchange(active_, nullptr)) active->OnServerStopped();
    Close();
    return cut;
  }

  // ResponseSink
  void Respond(http1::ResponseHead head, std::string_view body) override {
    if (closed_ || !awaiting_response_) return;
    AddConnectionHeader(head);
    head.headers.push_back({"Content-Length", std::to_string(body.size())});
    std::string bytes = http1::Serialize(head);
    if (!head_request_) bytes.append(body);
    Write(bytes);
    FinishResponse();
  }

  void Begin(http1::ResponseHead head, std::optional<std::uint64_t> length) override {
    if (closed_ || !awaiting_response_) return;
    AddConnectionHeader(head);
    chunked_ = !length;
    if (chunked_) {
      head.headers.push_back({"Transfer-Encoding", "chunked"});
    } else {
      head.headers.push_back({"Content-Length", std::to_string(*length)});
    }
    Write(http1::Serialize(head));
  }

  void Send(std::string_view data) override {
    if (closed_ || !awaiting_response_ || head_request_) return;
    if (chunked_) {
      Write(http1::SerializeChunk(data));
    } else {
      Write(data);
    }
  }

  void End() override {
    if (closed_ || !awaiting_response_) return;
    if (chunked_ && !head_request_) Write(http1::kLastChunk);
    FinishResponse();
  }

  void Abort() override {
    active_ = nullptr;
    Close();
  }

  std::size_t unsent_bytes() const override {
    return queued_.size() + writing_.size() - written_bytes_;
  }

  // http1::RequestObserver
  void OnHead(http1::RequestHead head) override {
    head_ = std::move(head);
    head_received_ = server_->clock_.Now();
    if (http1::EqualsIgnoringCase(head_.header("Expect"), "100-continue")) {
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  void OnBody(std::string_view data) override {
    if (body_.size() + data.size() > limits_.body_bytes) {
      body_too_large_ = true;
    } else {
      body_.append(data);
    }
  }

 private:
  void AddConnectionHeader(http1::ResponseHead& head) {
    close_after_ = close_after_ || !head_.keep_alive || server_->draining_;
    if (close_after_) head.headers.push_back({"Connection", "close"});
  }

  void ExpectRequest() {
    ApplyLimits();
    head_ = {};
    body_.clear();
    body_too_large_ = false;
    idle_since_ = server_->clock_.Now();
    SetTimer(limits_.idle_timeout);
  }

  // The newest version may allow more than the one in force when the last response ended.
  void ApplyLimits() {
    limits_ = server_->handler_.limits();
    parser_.Reset({.max_head_bytes = limits_.head_bytes});
  }

  void SetTimer(Duration limit) {
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this()](std::error_code code) {
      if (code || self->closed_ || self->busy()) return;
      // The wait had ended already when the timer was set anew.
      if (self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      if (self->parser_.started()) {
        self->Reject(408, "too_slow");
      } else {
        self->OnIdle();
      }
    });
  }

  // Clients reuse connections for as long as the newest configuration allows, which may be longer
  // than the one in force when this connection became idle.
  void OnIdle() {
    const Duration limit = server_->handler_.limits().idle_timeout;
    const Duration idle = server_->clock_.Now() - idle_since_;
    if (idle < limit) {
      SetTimer(limit - idle);
    } else if (!HasUnreadInput()) {  // otherwise the pending read handles the input
      Close();
    }
  }

  bool HasUnreadInput() {
    std::error_code error;  // the next read reports it
    const std::size_t unread = socket_.available(error);
    return !error && unread > 0;
  }

  void Read() {
    if (reading_ || closed_) return;
    reading_ = true;
    // Input is read only when it is handled. A read in the background may have taken a request that
    // HasUnreadInput does not see.
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](std::error_code code) {
                         self->reading_ = false;
                         if (!self->closed_) self->ReadSome(code);
                       });
  }

  void ReadSome(std::error_code code) {
    const std::size_t size = code ? 0 : socket_.read_some(asio::buffer(buffer_), code);
    if (code == asio::error::would_block) {
      Read();
    } else if (code) {
      Close();
    } else {
      OnRead({buffer_.data(), size});
    }
  }

  void OnRead(std::string_view data) {
    if (lingering_) {
      if (!rejected_) discarded_bytes_ += data.size();
      Read();
      return;
    }
    if (busy()) {
      pipelined_.append(data);
      // Reading continues, because only a read detects that the client disconnected.
      if (pipelined_.size() < kMaxPipelinedBytes) Read();
      return;
    }
    Parse(data);
  }

  void Parse(std::string_view data) {
    const bool started = parser_.started();
    if (!started) ApplyLimits();
    const Result<std::size_t> used = parser_.Feed(data);
    if (closed_) return;
    if (used.has_error()) {
      if (used.error() == Errc::kTooLarge) {
        Reject(431, "head_too_large");
      } else {
        Reject(400, parser_.fault());
      }
      return;
    }
    if (body_too_large_) {
      Reject(413, "body_too_large");
      return;
    }
    if (parser_.complete()) {
      pipelined_.assign(data.substr(used.value()));
      Handle();
    } else if (parser_.head_complete()) {
      SetTimer(std::min(limits_.idle_timeout, BodyTimeLeft()));
    } else if (!started && parser_.started()) {
      SetTimer(limits_.head_timeout);
    }
    Read();
  }

  // Until the body that has arrived so far is too slow.
  Duration BodyTimeLeft() const {
    const Duration allowed = limits_.idle_timeout + FromSeconds(static_cast<double>(body_.size()) /
                                                                kMinBodyBytesPerSecond);
    return std::max(allowed - (server_->clock_.Now() - head_received_), Duration{});
  }

  void Handle() {
    timer_.cancel();
    has_served_ = true;
    awaiting_response_ = true;
    head_request_ = head_.method == "HEAD";
    const std::shared_ptr<Connection> self = shared_from_this();
    http1::RequestHead head = head_;
    std::shared_ptr<ActiveRequest> active = server_->handler_.Start(
        {.head = std::move(head),
         .body = std::make_shared<const std::string>(std::exchange(body_, {})),
         .arrived = server_->clock_.Now()},
        self);
    if (awaiting_response_ && !closed_) active_ = std::move(active);
  }

  // Responds to a request that cannot be parsed and closes the connection.
  void Reject(int status, std::string_view reason) {
    server_->handler_.OnRejected(status, reason);
    rejected_ = true;
    awaiting_response_ = true;
    close_after_ = true;
    Respond({.status = status}, {});
  }

  void FinishResponse() {
    awaiting_response_ = false;
    active_ = nullptr;
    response_queued_ = true;
    if (write_in_progress_) {
      SetWriteTimer();
    } else {
      OnWritten();
    }
  }

  // Closes the connection if the client reads nothing of a complete response for as long as it may
  // be idle. Before the response is complete, the deadline of the request limits the time.
  void SetWriteTimer() {
    unread_bytes_ = UnreadBytes();
    timer_.expires_after(limits_.idle_timeout);
    timer_.async_wait([self = shared_from_this()](std::error_code code) {
      if (code || self->closed_ || !self->response_queued_) return;
      // The wait had ended already when the timer was set for the next response.
      if (self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      if (self->UnreadBytes() < self->unread_bytes_) {
        self->SetWriteTimer();
        return;
      }
      self->server_->handler_.OnResponseNotRead(self->unread_bytes_);
      self->Close();
    });
  }

  // Including what the kernel holds, which accepts more only in large steps.
  std::size_t UnreadBytes() {
    int in_kernel = 0;
    if (::ioctl(socket_.native_handle(), TIOCOUTQ, &in_kernel) != 0) in_kernel = 0;
    return unsent_bytes() + static_cast<std::size_t>(in_kernel);
  }

  void Write(std::string_view bytes) {
    queued_.append(bytes);
    if (!write_in_progress_) Flush();
  }

  void Flush() {
    write_in_progress_ = true;
    writing_ = std::exchange(queued_, {});
    written_bytes_ = 0;
    WriteSome();
  }

  void WriteSome() {
    socket_.async_write_some(asio::buffer(writing_) + written_bytes_,
                             [self = shared_from_this()](std::error_code code, std::size_t size) {
                               self->written_bytes_ += size;
                               if (self->closed_) return;
                               if (code) {
                                 self->Close();
                               } else {
                                 self->OnProgress();
                               }
                             });
  }

  void OnProgress() {
    if (written_bytes_ < writing_.size()) {
      WriteSome();
      return;
    }
    write_in_progress_ = false;
    writing_.clear();
    written_bytes_ = 0;
    if (queued_.empty()) {
      OnWritten();
    } else {
      Flush();
    }
  }

  void OnWritten() {
    if (!response_queued_) {
      if (active_ != nullptr) active_->OnClientDrained();
      return;
    }
    response_queued_ = false;
    if (close_after_) {
      Linger();
      return;
    }
    ExpectRequest();
    const std::string pipelined = std::exchange(pipelined_, {});
    if (!pipelined.empty()) {
      Parse(pipelined);
      return;
    }
    // The drain began after the head of the response had been sent.
    if (server_->draining_) CloseIfIdle(/*also_new=*/true);
    Read();
  }

  // Shuts down the sending side and discards further input.
  void Linger() {
    lingering_ = true;
    if (!rejected_) discarded_bytes_ = pipelined_.size();
    std::error_code ignored;  // the connection may be closed by the client already
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kLingerLimit);
    timer_.async_wait([self = shared_from_this()](std::error_code code) {
      if (!code) self->Close();
    });
    Read();
  }

  const std::shared_ptr<Impl> server_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  directory::ClientLimits limits_;
  http1::RequestParser parser_;
  http1::RequestHead head_;
  std::string body_;
  std::string pipelined_;
  std::array<char, kReadBytes> buffer_{};
  std::string queued_;
  std::string writing_;
  std::size_t written_bytes_ = 0;  // of `writing_`
  std::size_t unread_bytes_ = 0;   // of a complete response, when the write timer was set
  TimePoint head_received_{};      // of the request whose body arrives
  TimePoint idle_since_{};
  std::shared_ptr<ActiveRequest> active_;
  bool chunked_ = false;  // the response in parts is sent in chunks
  bool head_request_ = false;
  bool body_too_large_ = false;
  bool reading_ = false;
  bool write_in_progress_ = false;
  bool has_served_ = false;         // a complete request was received
  bool awaiting_response_ = false;  // a request waits for its response
  bool response_queued_ = false;    // the response is complete, but not yet written
  bool close_after_ = false;
  bool rejected_ = false;  // the rest of what its client sends is not read
  bool lingering_ = false;
  std::size_t discarded_bytes_ = 0;  // after the last request
  bool closed_ = false;
};

Status ClientServer::Impl::Open() {
  std::error_code error;
  const auto address = asio::ip::make_address(options_.ip, error);
  if (error) return Errc::kInvalidArgument;
  const asio::ip::tcp::endpoint endpoint(address, options_.port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) return error;
  Accept();
  return Ok();
}

void ClientServer::Impl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        if (self->closed_ || error == asio::error::operation_aborted) return;
        if (error) {
          self->accept_timer_.expires_after(kAcceptRetryDelay);
          self->accept_timer_.async_wait([self](std::error_code code) {
            if (!code && !self->closed_) self->Accept();
          });
          return;
        }
        if (self->connections_.size() < self->options_.max_connections) {
          const auto connection = std::make_shared<Connection>(self, std::move(socket));
          self->connections_.insert(connection);
          connection->Start();
        } else {
          self->handler_.OnConnectionRefused();
        }
        self->Accept();
      });
}

void ClientServer::Impl::CloseIdle(bool also_new) {
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) connection->CloseIfIdle(also_new);
}

void ClientServer::Impl::TellStopping() {
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) connection->OnStopping();
}

void ClientServer::Impl::Close() {
  closed_ = true;
  std::error_code ignored;  // the acceptor is closed either way
  acceptor_.close(ignored);
  accept_timer_.cancel();
}

ClientServer::ClientServer(asio::io_context& io_context, const ServerOptions& options,
                           const Clock& clock, RequestHandler& handler)
    : impl_(std::make_shared<Impl>(io_context, options, clock, handler)) {}

ClientServer::~ClientServer() {
  impl_->Close();
  const std::vector<std::shared_ptr<Connection>> all(impl_->connections_.begin(),
                                                     impl_->connections_.end());
  for (const auto& connection : all) connection->Close();
}

Status ClientServer::Open() { return impl_->Open(); }

std::uint16_t ClientServer::port() const {
  std::error_code ignored;  // zero if not open
  return impl_->acceptor_.local_endpoint(ignored).port();
}

void ClientServer::BeginDrain() {
  impl_->draining_ = true;
  impl_->CloseIdle(/*also_new=*/false);
  impl_->TellStopping();
}

void ClientServer::EndRequests() { impl_->TellStopping(); }

void ClientServer::CloseIdle() { impl_->CloseIdle(/*also_new=*/true); }

void ClientServer::StopAccepting() { impl_->Close(); }

std::size_t ClientServer::CloseAll() {
  const std::vector<std::shared_ptr<Connection>> all(impl_->connections_.begin(),
                                                     impl_->connections_.end());
  std::size_t cut = 0;
  for (const auto& connection : all) cut += connection->CloseForStop() ? 1 : 0;
  return cut;
}

std::size_t ClientServer::connections() const { return impl_->connections_.size(); }

std::size_t ClientServer::busy() const {
  std::size_t count = 0;
  for (const auto& connection : impl_->connections_) count += connection->busy() ? 1 : 0;
  return count;
}

}  // namespace verbenaridge::forwarding
