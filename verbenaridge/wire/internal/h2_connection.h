// One authenticated HTTP/2 connection on an Asio socket: handshake frames first, then an nghttp2
// session. The client and the server derive from it.
//
// Used from the thread of its event loop alone. Pending operations keep the object alive; the
// session is freed with the object, because nghttp2 forbids that within its callbacks.
#ifndef VERBENARIDGE_WIRE_INTERNAL_H2_CONNECTION_H_
#define VERBENARIDGE_WIRE_INTERNAL_H2_CONNECTION_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "verbenaridge/base/result.h"
#include "verbenaridge/wire/transport_options.h"

struct nghttp2_session;

namespace verbenaridge::wire::internal {

// What to do after a handshake message.
struct HandshakeStep {
  std::string send;  // empty: nothing
  bool ready = false;
  Status status = Ok();  // an error closes the connection once `send` is written
};

// A message body on its way out.
struct OutgoingBody {
  std::string bytes;
  std::size_t sent = 0;

  // Copies the next part to `target` and returns its size.
  std::size_t Take(std::uint8_t* target, std::size_t size);
  bool finished() const { return sent == bytes.size(); }
};

class H2Connection : public std::enable_shared_from_this<H2Connection> {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  enum class Role : std::uint8_t { kClient, kServer };

  H2Connection(const H2Connection&) = delete;
  H2Connection& operator=(const H2Connection&) = delete;
  virtual ~H2Connection();

  // Closes the socket and reports OnClosed once.
  void Close(std::error_code reason);

  // Runs the task on a later turn of the event loop.
  void PostTask(std::function<void()> task);

  // Processes what the peer has already sent, so that a connection that it has closed is not used
  // for another message. To be called between turns of the event loop, without open streams.
  void ProcessReceived();

  bool closed() const { return closed_; }
  bool ready() const { return session_ != nullptr; }

 protected:
  H2Connection(asio::ip::tcp::socket socket, Role role, const ConnectionTimeouts& timeouts,
               TransportCounters& counters);

  asio::ip::tcp::socket& socket() { return socket_; }
  nghttp2_session* session() { return session_; }
  const ConnectionTimeouts& timeouts() const { return timeouts_; }

  // Limits the time until the handshake has finished; also covers connecting.
  void StartHandshakeTimer();

  // Starts to read, and sends `first` unless it is empty.
  void StartHandshake(std::string_view first);

  // Sends what the session has queued, on a later turn of the event loop.
  void ScheduleSend();

  // To be called when a stream opens: a peer that has been silent is pinged at once.
  void OnStreamOpened();

  void ResetStream(std::int32_t stream, std::uint32_t error_code);

  virtual HandshakeStep OnHandshakeMessage(std::string_view message) = 0;
  virtual void OnReady() {}
  virtual void OnBeginHeaders(std::int32_t /*stream*/) {}
  virtual void OnHeader(std::int32_t stream, std::string_view name, std::string_view value) = 0;
  virtual void OnData(std::int32_t stream, std::string_view data) = 0;
  virtual void OnRemoteEnd(std::int32_t /*stream*/) {}
  virtual void OnStreamClosed(std::int32_t stream, std::uint32_t error_code) = 0;
  virtual void OnGoAway() {}
  virtual void OnClosed(std::error_code reason) = 0;
  // About once a second while streams are open.
  virtual void OnCheck(SteadyTime /*now*/) {}
  virtual bool HasStreams() const = 0;
  // True if the connection has no further use; it is closed when all output is written.
  virtual bool Finished() const { return false; }

 private:
  friend struct SessionCallbacks;

  void OpenSession();
  void WaitReadable();
  void OnReadable();
  // Returns true if bytes were received and the connection is still open.
  bool ReadAvailable();
  void Consume(std::string_view data);
  std::size_t ConsumeHandshake(std::string_view data);
  void QueueHandshakeMessage(std::string_view message);
  void Send();
  void FillOutput();
  void OnWritten(std::error_code error, std::size_t size);

  void EnsureTimer(SteadyTime when);
  void OnTimer();
  // `delay`: how late the timer is.
  void CheckTimes(SteadyTime now, SteadyTime::duration delay);
  // Whether the peer has not done in time what it owes.
  bool LimitPassed(SteadyTime now) const;
  void CloseIfConfirmed(SteadyTime now, SteadyTime::duration delay);
  SteadyTime::duration ConfirmTime() const { return timeouts_.ping_answer / 4; }
  SteadyTime NextCheck() const;
  void SendPing(SteadyTime now);

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const Role role_;
  const ConnectionTimeouts timeouts_;
  TransportCounters& counters_;
  nghttp2_session* session_ = nullptr;

  std::string handshake_in_;
  std::string output_;   // being written
  std::string pending_;  // handshake messages not yet in output_
  Status close_after_write_ = Ok();
  bool writing_ = false;
  bool send_scheduled_ = false;
  bool closed_ = false;
  bool ping_outstanding_ = false;

  SteadyTime handshake_deadline_ = SteadyTime::max();
  SteadyTime last_received_{};
  SteadyTime last_stream_{};
  SteadyTime ping_sent_{};
  SteadyTime write_started_{};
  SteadyTime confirm_at_ = SteadyTime::max();  // when a passed limit ends the connection
  SteadyTime timer_at_ = SteadyTime::max();
};

}  // namespace verbenaridge::wire::internal

#endif  // VERBENARIDGE_WIRE_INTERNAL_H2_CONNECTION_H_
