#include "verbenaridge/forwarding/endpoint_pool.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "verbenaridge/http1/message_parser.h"

namespace verbenaridge::forwarding {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;

}  // namespace

std::string_view ToText(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kNotConnected:
      return "not_connected";
    case ExchangeFailure::kNotSent:
      return "not_sent";
    case ExchangeFailure::kBroken:
      return "broken";
    case ExchangeFailure::kMalformed:
      return "malformed";
  }
  return "unknown";
}

class EndpointPool::Connection final : public Exchange,
                                       public http1::ResponseObserver,
                                       public std::enable_shared_from_this<Connection> {
 public:
  Connection(EndpointPool& pool, directory::Endpoint endpoint)
      : pool_(&pool),
        endpoint_(std::move(endpoint)),
        socket_(pool.io_context_),
        timer_(pool.io_context_),
        parser_(*this) {}

  const directory::Endpoint& endpoint() const { return endpoint_; }
  bool open() const { return open_; }

  // Connects and sends the request.
  void Connect(OutgoingRequest request, ExchangeObserver& observer) {
    SetRequest(std::move(request), observer);
    std::error_code error;
    const auto address = asio::ip::make_address(endpoint_.ip, error);
    if (error) {
      asio::post(pool_->io_context_,
                 [self = shared_from_this()] { self->Fail(ExchangeFailure::kNotConnected); });
      return;
    }
    const TimePoint started = pool_->clock_.Now();
    timer_.expires_after(pool_->options_.connect_timeout);
    timer_.async_wait([self = shared_from_this()](std::error_code code) {
      if (!code && !self->open_) self->Fail(ExchangeFailure::kNotConnected);
    });
    socket_.async_connect({address, endpoint_.port},
                          [self = shared_from_this(), started](std::error_code code) {
                            if (self->closed_) return;
                            self->timer_.cancel();
                            const Duration taken = self->pool_->clock_.Now() - started;
                            if (code) {
                              self->Fail(ExchangeFailure::kNotConnected);
                            } else if (taken > self->pool_->options_.max_connect_time) {
                              self->Fail(ExchangeFailure::kNotSent);
                            } else {
                              self->OnConnected();
                            }
                          });
  }

  // Sends the request on an idle connection.
  void Reuse(OutgoingRequest request, ExchangeObserver& observer) {
    timer_.cancel();
    reused_ = true;
    SetRequest(std::move(request), observer);
    Write();
  }

  void Cancel() override {
    observer_ = nullptr;
    Close();
  }

  void Pause() override { paused_ = true; }

  void Resume() override {
    if (!paused_) return;
    paused_ = false;
    if (open_ && !reading_) Read();
  }

  bool reused() const override { return reused_; }

  void Close() {
    if (closed_) return;
    closed_ = true;
    open_ = false;
    timer_.cancel();
    std::error_code ignored;  // the connection is closed either way
    socket_.close(ignored);
  }

  // Waits up to `limit` for the next request.
  void WaitIdle(Duration limit) {
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this()](std::error_code code) {
      if (!code && self->observer_ == nullptr) self->CloseIdle();
    });
    if (!reading_) Read();
  }

 private:
  enum class WriteState : std::uint8_t { kInProgress, kDone, kFailed };

  void SetRequest(OutgoingRequest request, ExchangeObserver& observer) {
    request_ = std::move(request);
    observer_ = &observer;
    write_state_ = WriteState::kInProgress;
    paused_ = false;
    parser_.Reset(request_.head_method);
  }

  void OnConnected() {
    open_ = true;
    std::error_code ignored;  // both options only improve latency and detection
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int limit = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                           pool_->options_.unacknowledged_timeout)
                                           .count());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    // Probes detect a dead path while nothing is sent and a response is pending.
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    const int second = 1;
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_KEEPIDLE, &second, sizeof second);
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_KEEPINTVL, &second, sizeof second);
    Write();
    Read();
  }

  void Write() {
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(request_.head),
        request_.body ? asio::buffer(*request_.body) : asio::const_buffer()};
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](std::error_code code, std::size_t /*bytes*/) {
                        if (self->closed_) return;
                        // A response may have arrived before the write failed.
                        self->write_state_ = code ? WriteState::kFailed : WriteState::kDone;
                        if (self->parser_.complete()) self->EndAtClose();
                      });
  }

  void Read() {
    reading_ = true;
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](std::error_code code, std::size_t size) {
                              self->reading_ = false;
                              if (!self->closed_) self->OnRead(code, {self->buffer_.data(), size});
                            });
  }

  void OnRead(std::error_code code, std::string_view data) {
    if (observer_ == nullptr) {  // an idle connection must not receive data
      CloseIdle();
      return;
    }
    if (code) {
      OnReadFailed(code);
      return;
    }
    const Result<std::size_t> used = parser_.Feed(data);
    if (closed_ || observer_ == nullptr) return;
    if (used.has_error()) {
      Fail(ExchangeFailure::kMalformed, parser_.fault());
      return;
    }
    if (parser_.complete()) {
      End(used.value() == data.size());
      return;
    }
    if (!paused_) Read();
  }

  void OnReadFailed(std::error_code code) {
    // Only an orderly close completes a response without a length.
    if (code == asio::error::eof && parser_.head_complete() && parser_.Finish().has_value()) {
      EndAtClose();
    } else {
      Fail(ExchangeFailure::kBroken);
    }
  }

  // Ends a response without a length at the end of file. The error of a connection is reported
  // once, and a write may have received it: the read then sees an end of file although the endpoint
  // has reset the connection. So the whole request must have been written without an error.
  void EndAtClose() {
    switch (write_state_) {
      case WriteState::kInProgress:  // its end calls this again
        return;
      case WriteState::kDone:
        End(false);
        return;
      case WriteState::kFailed:
        Fail(ExchangeFailure::kBroken, "closed_during_upload");
        return;
    }
  }

  // `clean`: no bytes followed the response.
  void End(bool clean) {
    ExchangeObserver* const observer = std::exchange(observer_, nullptr);
    const std::shared_ptr<Connection> self = shared_from_this();
    request_ = {};
    if (clean && write_state_ == WriteState::kDone && keep_alive_) {
      pool_->Keep(self);
    } else {
      Close();
    }
    observer->OnResponseEnd();
  }

  void Fail(ExchangeFailure failure, std::string_view cause = {}) {
    const std::shared_ptr<Connection> self = shared_from_this();
    Close();
    ExchangeObserver* const observer = std::exchange(observer_, nullptr);
    if (observer == nullptr) return;
    std::string detail(ToText(failure));
    if (!cause.empty()) detail.append(":").append(cause);
    observer->OnExchangeFailed(failure, detail);
  }

  void CloseIdle() {
    const std::shared_ptr<Connection> self = shared_from_this();
    Close();
    pool_->Drop(*this);
  }

  // http1::ResponseObserver
  void OnHead(http1::ResponseHead head) override {
    const ResponseMetadata metadata = pool_->adapter_.ReadResponse(head);
    keep_alive_ = head.keep_alive && !head.close_delimited && !metadata.endpoint_leaving;
    idle_limit_ = metadata.idle_timeout;
    if (metadata.endpoint_leaving) pool_->Forget(endpoint_.id);
    if (pool_->monitor_ != nullptr) pool_->monitor_->OnResponse(endpoint_, head.status, metadata);
    if (observer_ != nullptr) observer_->OnResponseHead(std::move(head));
  }
  void OnBody(std::string_view data) override {
    if (observer_ != nullptr) observer_->OnResponseBody(data);
  }

 public:
  std::optional<Duration> idle_timeout() const { return idle_limit_; }

 private:
  EndpointPool* const pool_;
  const directory::Endpoint endpoint_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  http1::ResponseParser parser_;
  OutgoingRequest request_;
  ExchangeObserver* observer_ = nullptr;
  std::array<char, kReadBytes> buffer_{};
  std::optional<Duration> idle_limit_;
  bool open_ = false;
  bool closed_ = false;
  bool reused_ = false;
  bool reading_ = false;
  bool paused_ = false;
  WriteState write_state_ = WriteState::kInProgress;  // of the request
  bool keep_alive_ = false;
};

EndpointPool::EndpointPool(asio::io_context& io_context, const Clock& clock,
                           const MessageAdapter& adapter, const PoolOptions& options,
                           ResponseMonitor* monitor)
    : io_context_(io_context),
      clock_(clock),
      adapter_(adapter),
      options_(options),
      monitor_(monitor) {}

EndpointPool::~EndpointPool() {
  for (auto& [id, connections] : idle_) {
    for (const auto& connection : connections) connection->Cancel();
  }
}

std::shared_ptr<Exchange> EndpointPool::Start(const directory::Endpoint& endpoint,
                                              OutgoingRequest request, ExchangeObserver& observer) {
  if (!request.new_connection) {
    if (std::shared_ptr<Connection> idle = TakeIdle(endpoint)) {
      idle->Reuse(std::move(request), observer);
      return idle;
    }
  }
  auto connection = std::make_shared<Connection>(*this, endpoint);
  connection->Connect(std::move(request), observer);
  return connection;
}

std::shared_ptr<EndpointPool::Connection> EndpointPool::TakeIdle(
    const directory::Endpoint& endpoint) {
  const auto found = idle_.find(endpoint.id);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  while (!connections.empty()) {
    // The most recently used connection has the longest time left.
    std::shared_ptr<Connection> connection = std::move(connections.back());
    connections.pop_back();
    const bool same = connection->endpoint().start_unix_ms == endpoint.start_unix_ms &&
                      connection->endpoint().ip == endpoint.ip &&
                      connection->endpoint().port == endpoint.port;
    if (connection->open() && same) return connection;
    connection->Cancel();
  }
  return nullptr;
}

void EndpointPool::Keep(std::shared_ptr<Connection> connection) {
  Duration limit = options_.max_idle;
  if (connection->idle_timeout()) {
    limit = std::min(limit, *connection->idle_timeout() - options_.idle_margin);
  }
  auto& connections = idle_[connection->endpoint().id];
  if (limit <= Duration{} || connections.size() >= options_.max_idle_per_endpoint) {
    connection->Cancel();
    return;
  }
  connection->WaitIdle(limit);
  connections.push_back(std::move(connection));
}

void EndpointPool::Drop(const Connection& connection) {
  const auto found = idle_.find(connection.endpoint().id);
  if (found == idle_.end()) return;
  std::erase_if(found->second, [&](const auto& idle) { return idle.get() == &connection; });
  if (found->second.empty()) idle_.erase(found);
}

void EndpointPool::Forget(const EndpointId& endpoint) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) return;
  for (const auto& connection : found->second) connection->Cancel();
  idle_.erase(found);
}

}  // namespace verbenaridge::forwarding
