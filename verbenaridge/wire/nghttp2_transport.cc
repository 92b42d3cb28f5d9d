#include "verbenaridge/wire/nghttp2_transport.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "verbenaridge/wire/codec.h"
#include "verbenaridge/wire/internal/client_connection.h"

namespace verbenaridge::wire {

using internal::ClientCall;
using internal::ClientConnection;

namespace {

using PeerKey = std::pair<std::string, std::uint16_t>;

PeerKey KeyOf(const PeerAddress& peer) { return {peer.ip, peer.port}; }

}  // namespace

class Nghttp2Transport::Impl final : public ClientConnection::Owner,
                                     public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, TransportOptions options)
      : executor_(context.get_executor()), options_(std::move(options)) {}

  CallId Call(const PeerAddress& peer, const Request& request, Duration deadline,
              ReplyCallback callback) {
    auto call = std::make_shared<ClientCall>(executor_, std::move(callback));
    call->id = ++last_id_;
    call->request.bytes = Encode(request);
    // Bounded, so that the sum cannot overflow.
    call->deadline = std::chrono::steady_clock::now() +
                     std::clamp(deadline, Duration::zero(), Duration(std::chrono::hours(24)));
    calls_.emplace(call->id, call);
    if (call->request.bytes.size() > kMaxMessageBytes) {
      FailLater(call, Errc::kTooLarge);
      return call->id;
    }
    StartTimer(call);
    const Status started = ConnectionTo(peer)->Start(call);
    if (!started) FailLater(call, started.error());
    return call->id;
  }

  void Cancel(CallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    const auto call = std::move(found->second);
    calls_.erase(found);
    call->done = true;
    call->callback = nullptr;
    call->timer.cancel();
    if (const auto connection = call->connection.lock()) connection->Abandon(*call);
  }

  void Shutdown() {
    for (const auto& [id, call] : calls_) {
      call->done = true;
      call->timer.cancel();
    }
    calls_.clear();
    connections_.clear();
    for (const auto& connection : std::exchange(all_connections_, {})) connection->Detach();
  }

  void OnResult(const std::shared_ptr<ClientCall>& call, Result<Reply> result) override {
    if (std::exchange(call->done, true)) return;
    call->timer.cancel();
    calls_.erase(call->id);
    const ReplyCallback callback = std::exchange(call->callback, nullptr);
    callback(std::move(result));
  }

  void OnUnusable(const std::shared_ptr<ClientConnection>& connection) override {
    const auto found = connections_.find(KeyOf(connection->peer()));
    if (found != connections_.end() && found->second == connection) connections_.erase(found);
  }

  void OnConnectionClosed(const std::shared_ptr<ClientConnection>& connection) override {
    all_connections_.erase(connection);
  }

  const TransportCounters& counters() const { return counters_; }
  std::size_t calls_in_flight() const { return calls_.size(); }

 private:
  std::shared_ptr<ClientConnection> ConnectionTo(const PeerAddress& peer) {
    const auto found = connections_.find(KeyOf(peer));
    if (found != connections_.end()) {
      std::shared_ptr<ClientConnection> existing = found->second;
      if (existing->idle()) existing->ProcessReceived();  // may remove it from connections_
      if (connections_.contains(KeyOf(peer))) return existing;
    }
    auto& connection = connections_[KeyOf(peer)];
    connection = std::make_shared<ClientConnection>(executor_, *this, peer, options_.keys,
                                                    options_.self, options_.timeouts, counters_);
    all_connections_.insert(connection);
    connection->Connect();
    return connection;
  }

  void StartTimer(const std::shared_ptr<ClientCall>& call) {
    call->timer.expires_at(call->deadline);
    call->timer.async_wait([weak = weak_from_this(), call](std::error_code error) {
      const auto self = weak.lock();
      if (error || call->done || self == nullptr) return;
      if (const auto connection = call->connection.lock()) connection->Abandon(*call);
      self->OnResult(call, Errc::kTimeout);
    });
  }

  void FailLater(const std::shared_ptr<ClientCall>& call, std::error_code error) {
    asio::post(executor_, [weak = weak_from_this(), call, error] {
      if (const auto self = weak.lock()) self->OnResult(call, error);
    });
  }

  const asio::any_io_executor executor_;
  const TransportOptions options_;
  TransportCounters counters_;
  CallId last_id_ = 0;
  std::unordered_map<CallId, std::shared_ptr<ClientCall>> calls_;
  std::map<PeerKey, std::shared_ptr<ClientConnection>> connections_;  // that take calls
  std::unordered_set<std::shared_ptr<ClientConnection>> all_connections_;
};

Nghttp2Transport::Nghttp2Transport(asio::io_context& context, TransportOptions options)
    : impl_(std::make_shared<Impl>(context, std::move(options))) {}

Nghttp2Transport::~Nghttp2Transport() { impl_->Shutdown(); }

CallId Nghttp2Transport::Call(const PeerAddress& peer, Request request, Duration deadline,
                              ReplyCallback callback) {
  return impl_->Call(peer, request, deadline, std::move(callback));
}

void Nghttp2Transport::Cancel(CallId id) { impl_->Cancel(id); }

const TransportCounters& Nghttp2Transport::counters() const { return impl_->counters(); }

std::size_t Nghttp2Transport::calls_in_flight() const { return impl_->calls_in_flight(); }

}  // namespace verbenaridge::wire
