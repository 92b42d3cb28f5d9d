// Server side of one connection: turns each stream into a call of the service.
#ifndef VERBENARIDGE_WIRE_INTERNAL_SERVER_CONNECTION_H_
#define VERBENARIDGE_WIRE_INTERNAL_SERVER_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "verbenaridge/wire/handshake.h"
#include "verbenaridge/wire/internal/h2_connection.h"
#include "verbenaridge/wire/peer_transport.h"

namespace verbenaridge::wire::internal {

class ServerConnection;

class StreamCall final : public ServerCall, public std::enable_shared_from_this<StreamCall> {
 public:
  StreamCall(std::weak_ptr<ServerConnection> connection, std::int32_t stream,
             H2Connection::SteadyTime deadline);
  // Resets the stream of a call that nobody can answer any more.
  ~StreamCall() override;

  void Answer(Reply reply) override;
  void Fail(Errc error) override;
  void OnCancelled(std::function<void()> callback) override;
  Duration remaining() const override;

  // Called by the connection when the stream closed.
  void NotifyClosed();

 private:
  std::weak_ptr<ServerConnection> connection_;
  const std::int32_t stream_;
  const H2Connection::SteadyTime deadline_;
  std::function<void()> on_cancelled_;
  bool ended_ = false;  // answered, failed or cancelled
  bool cancelled_ = false;
};

class ServerConnection final : public H2Connection {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnConnectionClosed(const std::shared_ptr<ServerConnection>& connection) = 0;
  };

  ServerConnection(asio::ip::tcp::socket socket, Owner& owner, PeerService& service,
                   const FleetKeys& keys, const HostId& self, const ConnectionTimeouts& timeouts,
                   TransportCounters& counters);

  void Start();

  // Lets open streams finish, then closes.
  void Drain();

  // Closes without a further call to the owner or the service.
  void Detach();

  // For StreamCall.
  void Respond(std::int32_t stream, std::string body, std::optional<Errc> error);
  void Abandon(std::int32_t stream);

 private:
  struct Stream {
    std::string request;
    OutgoingBody reply;
    SteadyTime begun;
    std::optional<SteadyTime> deadline;
    std::weak_ptr<StreamCall> call;
    bool received = false;
    bool answered = false;
  };

  HandshakeStep OnHandshakeMessage(std::string_view message) override;
  void OnBeginHeaders(std::int32_t stream) override;
  void OnHeader(std::int32_t stream, std::string_view name, std::string_view value) override;
  void OnData(std::int32_t stream, std::string_view data) override;
  void OnRemoteEnd(std::int32_t stream) override;
  void OnStreamClosed(std::int32_t stream, std::uint32_t error_code) override;
  void OnClosed(std::error_code reason) override;
  void OnCheck(SteadyTime now) override;
  bool HasStreams() const override { return !streams_.empty(); }
  bool Finished() const override { return drained_ && streams_.empty(); }

  Stream* Find(std::int32_t stream);

  Owner* owner_;
  PeerService& service_;
  ServerHandshake handshake_;
  asio::steady_timer drain_timer_;
  // Nodes keep their address: nghttp2 points to the reply in them.
  std::unordered_map<std::int32_t, Stream> streams_;
  std::size_t request_bytes_ = 0;
  std::size_t reply_bytes_ = 0;
  bool drained_ = false;
};

}  // namespace verbenaridge::wire::internal

#endif  // VERBENARIDGE_WIRE_INTERNAL_SERVER_CONNECTION_H_
