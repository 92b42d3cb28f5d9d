// Client side of one connection: opens a stream for each call.
#ifndef VERBENARIDGE_WIRE_INTERNAL_CLIENT_CONNECTION_H_
#define VERBENARIDGE_WIRE_INTERNAL_CLIENT_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "verbenaridge/wire/handshake.h"
#include "verbenaridge/wire/internal/h2_connection.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::wire::internal {

class ClientConnection;

struct ClientCall {
  ClientCall(const asio::any_io_executor& executor, ReplyCallback on_reply)
      : timer(executor), callback(std::move(on_reply)) {}

  CallId id = 0;
  OutgoingBody request;
  std::chrono::steady_clock::time_point deadline;
  asio::steady_timer timer;
  ReplyCallback callback;
  std::weak_ptr<ClientConnection> connection;
  std::int32_t stream = 0;  // 0: not submitted yet
  bool done = false;

  std::string reply;
  std::optional<Errc> failure;  // sent by the server
};

class ClientConnection final : public H2Connection {
 public:
  // What the transport needs to know.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnResult(const std::shared_ptr<ClientCall>& call, Result<Reply> result) = 0;
    // The connection takes no further calls: it closed or is draining.
    virtual void OnUnusable(const std::shared_ptr<ClientConnection>& connection) = 0;
    virtual void OnConnectionClosed(const std::shared_ptr<ClientConnection>& connection) = 0;
  };

  ClientConnection(const asio::any_io_executor& executor, Owner& owner, PeerAddress peer,
                   const FleetKeys& keys, const HostId& self, const ConnectionTimeouts& timeouts,
                   TransportCounters& counters);

  void Connect();

  // Errors: kResourceExhausted.
  Status Start(const std::shared_ptr<ClientCall>& call);

  // Resets the stream of a call that is done for its caller.
  void Abandon(const ClientCall& call);

  // Closes without a further call to the owner.
  void Detach();

  const PeerAddress& peer() const { return peer_; }
  bool idle() const { return waiting_.empty() && streams_.empty(); }

 private:
  HandshakeStep OnHandshakeMessage(std::string_view message) override;
  void OnReady() override;
  void OnHeader(std::int32_t stream, std::string_view name, std::string_view value) override;
  void OnData(std::int32_t stream, std::string_view data) override;
  void OnStreamClosed(std::int32_t stream, std::uint32_t error_code) override;
  void OnGoAway() override;
  void OnClosed(std::error_code reason) override;
  bool HasStreams() const override { return !streams_.empty(); }
  bool Finished() const override { return draining_ && streams_.empty(); }

  void Submit(const std::shared_ptr<ClientCall>& call);
  void Finish(const std::shared_ptr<ClientCall>& call, Result<Reply> result);

  Owner* owner_;
  const PeerAddress peer_;
  ClientHandshake handshake_;
  std::deque<std::shared_ptr<ClientCall>> waiting_;  // until the handshake has finished
  std::unordered_map<std::int32_t, std::shared_ptr<ClientCall>> streams_;
  std::size_t buffered_bytes_ = 0;
  bool draining_ = false;
};

}  // namespace verbenaridge::wire::internal

#endif  // VERBENARIDGE_WIRE_INTERNAL_CLIENT_CONNECTION_H_
