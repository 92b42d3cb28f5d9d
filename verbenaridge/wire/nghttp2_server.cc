#include <sys/socket.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_set>
#include <utility>

#include "verbenaridge/wire/internal/server_connection.h"
#include "verbenaridge/wire/internal/system_error.h"
#include "verbenaridge/wire/nghttp2_transport.h"

namespace verbenaridge::wire {

using internal::ServerConnection;

namespace {

// After an accept failed for lack of descriptors; at once it would fail again.
constexpr Duration kAcceptRetry = std::chrono::milliseconds(100);

}  // namespace

class Nghttp2Server::Impl final : public ServerConnection::Owner,
                                  public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, ServerOptions options, PeerService& service)
      : acceptor_(context),
        retry_timer_(context),
        options_(std::move(options)),
        service_(service) {}

  Status Listen() {
    std::error_code error;
    const auto address = asio::ip::make_address(options_.listen.ip, error);
    if (error) return Errc::kInvalidArgument;
    const asio::ip::tcp::endpoint endpoint(address, options_.listen.port);
    acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    const int on = 1;
    if (!error && options_.reuse_port &&
        ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0) {
      error = std::error_code(errno, std::system_category());
    }
    if (!error) acceptor_.bind(endpoint, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error) port_ = acceptor_.local_endpoint(error).port();
    if (error) {
      std::error_code ignored;
      acceptor_.close(ignored);
      return internal::SystemError(error);
    }
    Accept();
    return Ok();
  }

  void Drain(std::function<void()> done) {
    draining_ = true;
    drained_ = std::move(done);
    StopAccepting();
    const auto connections = connections_;
    for (const auto& connection : connections) connection->Drain();
    ReportDrained();
  }

  void Shutdown() {
    drained_ = nullptr;
    StopAccepting();
    for (const auto& connection : std::exchange(connections_, {})) connection->Detach();
  }

  void OnConnectionClosed(const std::shared_ptr<ServerConnection>& connection) override {
    connections_.erase(connection);
    ReportDrained();
  }

  std::uint16_t port() const { return port_; }
  const TransportCounters& counters() const { return counters_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  void Accept() {
    acceptor_.async_accept(
        [weak = weak_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
          const auto self = weak.lock();
          if (self == nullptr || !self->acceptor_.is_open()) return;
          if (error) return self->RetryAccept();
          self->OnAccepted(std::move(socket));
          self->Accept();
        });
  }

  void RetryAccept() {
    retry_timer_.expires_after(kAcceptRetry);
    retry_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
      const auto self = weak.lock();
      if (!error && self != nullptr && self->acceptor_.is_open()) self->Accept();
    });
  }

  void OnAccepted(asio::ip::tcp::socket socket) {
    if (connections_.size() >= options_.max_connections) {
      ++counters_.connections_refused;
      return;
    }
    const auto connection =
        std::make_shared<ServerConnection>(std::move(socket), *this, service_, options_.keys,
                                           options_.self, options_.timeouts, counters_);
    connections_.insert(connection);
    connection->Start();
  }

  void StopAccepting() {
    std::error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
  }

  void ReportDrained() {
    if (!draining_ || !connections_.empty() || !drained_) return;
    asio::post(acceptor_.get_executor(), std::exchange(drained_, nullptr));
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  const ServerOptions options_;
  PeerService& service_;
  TransportCounters counters_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::function<void()> drained_;
  std::uint16_t port_ = 0;
  bool draining_ = false;
};

Nghttp2Server::Nghttp2Server(asio::io_context& context, ServerOptions options, PeerService& service)
    : impl_(std::make_shared<Impl>(context, std::move(options), service)) {}

Nghttp2Server::~Nghttp2Server() { impl_->Shutdown(); }

Status Nghttp2Server::Listen() { return impl_->Listen(); }

std::uint16_t Nghttp2Server::port() const { return impl_->port(); }

void Nghttp2Server::Drain(std::function<void()> done) { impl_->Drain(std::move(done)); }

const TransportCounters& Nghttp2Server::counters() const { return impl_->counters(); }

std::size_t Nghttp2Server::connections() const { return impl_->connections(); }

}  // namespace verbenaridge::wire
