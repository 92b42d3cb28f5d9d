// Connections to endpoints, one request at a time on each.
//
//   EndpointPool pool(io_context, clock, adapter, {});
//   std::shared_ptr<Exchange> exchange =
//       pool.Start(endpoint, {.head = ..., .body = ...}, observer);
//   exchange->Cancel();  // closes the connection without another call of the observer
//
// A request is written once, to one connection. The pool never retries it, not even when an idle
// connection turns out to be closed. A connection is reused only if the request was written
// completely and the response was complete without further bytes after it. Used by the thread of
// its event loop.
#ifndef VERBENARIDGE_FORWARDING_ENDPOINT_POOL_H_
#define VERBENARIDGE_FORWARDING_ENDPOINT_POOL_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/forwarding/message_adapter.h"
#include "verbenaridge/http1/message.h"

namespace verbenaridge::forwarding {

enum class ExchangeFailure : std::uint8_t {
  kNotConnected,  // no byte of the request was sent
  kNotSent,       // the same, because this process was paused and the request is outdated
  kBroken,        // the connection was closed before the end of the response
  kMalformed,     // the bytes received are not an HTTP response
};

std::string_view ToText(ExchangeFailure failure);

class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;

  virtual void OnResponseHead(http1::ResponseHead head) = 0;
  virtual void OnResponseBody(std::string_view data) = 0;
  // The response is complete.
  virtual void OnResponseEnd() = 0;
  // `detail` says for logs how it failed.
  virtual void OnExchangeFailed(ExchangeFailure failure, std::string_view detail) = 0;
};

struct OutgoingRequest {
  std::string head;
  std::shared_ptr<const std::string> body;  // may be null
  bool head_method = false;                 // the response to HEAD has no body
  bool new_connection = false;              // do not use an idle one
};

class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual void Cancel() = 0;

  // Stops and restarts reading, so that a slow client uses bounded memory.
  virtual void Pause() = 0;
  virtual void Resume() = 0;

  virtual bool reused() const = 0;
};

// Learns from the head of each response which endpoint it came from.
class ResponseMonitor {
 public:
  virtual ~ResponseMonitor() = default;

  virtual void OnResponse(const directory::Endpoint& endpoint, int status,
                          const ResponseMetadata& metadata) = 0;
};

struct PoolOptions {
  // A round trip within a region takes 2 ms, and a host with a small share of a processor adds some
  // tens of milliseconds. A lost SYN packet is retransmitted only after 1 s, so trying another
  // endpoint is faster.
  Duration connect_timeout = std::chrono::milliseconds(150);
  // A connection that took longer is not used although it is established: this process was paused,
  // so the time left that the request states has passed, and the client may be gone.
  Duration max_connect_time = std::chrono::milliseconds(600);
  // The connection fails if sent bytes are not acknowledged for this long.
  Duration unacknowledged_timeout = std::chrono::milliseconds(900);
  // Idle connections are closed this long before the endpoint closes them, so that no request is
  // sent on a connection that is being closed.
  Duration idle_margin = std::chrono::milliseconds(700);
  Duration max_idle = std::chrono::seconds(4);
  std::size_t max_idle_per_endpoint = 6;
};

class EndpointPool {
 public:
  EndpointPool(asio::io_context& io_context, const Clock& clock, const MessageAdapter& adapter,
               const PoolOptions& options, ResponseMonitor* monitor = nullptr);
  ~EndpointPool();

  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // The observer must outlive the exchange or its Cancel. It is never called from within Start.
  std::shared_ptr<Exchange> Start(const directory::Endpoint& endpoint, OutgoingRequest request,
                                  ExchangeObserver& observer);

  // Closes the idle connections of an endpoint that is gone.
  void Forget(const EndpointId& endpoint);

 private:
  class Connection;

  std::shared_ptr<Connection> TakeIdle(const directory::Endpoint& endpoint);
  void Keep(std::shared_ptr<Connection> connection);
  void Drop(const Connection& connection);

  asio::io_context& io_context_;
  const Clock& clock_;
  const MessageAdapter& adapter_;
  PoolOptions options_;
  ResponseMonitor* const monitor_;
  std::unordered_map<EndpointId, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_ENDPOINT_POOL_H_
