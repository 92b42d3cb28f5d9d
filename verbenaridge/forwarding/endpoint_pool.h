// Connections to endpoints, one request at a time on each.
//
//   EndpointPool pool(io_context, adapter, {});
//   std::shared_ptr<Exchange> exchange = pool.Start(endpoint, {.head = ..., .body = ...},
//   observer); exchange->Abandon();  // closes the connection; the observer hears nothing more
//
// A request is written to one connection, once: the pool never sends it again by itself, also not
// when a kept connection turns out to be dead. A connection is kept only after a whole answer with
// nothing behind it, to a request that was read to its end. Used by the thread of its event loop.
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
  kNotConnected,  // no byte of the request left this host
  kBroken,        // the connection ended before the answer did
  kMalformed,     // bytes that are no answer
};

std::string_view ToText(ExchangeFailure failure);

class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;

  virtual void OnAnswerHead(http1::ResponseHead head) = 0;
  virtual void OnAnswerBody(std::string_view data) = 0;
  // The answer is whole.
  virtual void OnAnswerEnd() = 0;
  virtual void OnExchangeFailed(ExchangeFailure failure) = 0;
};

struct OutgoingRequest {
  std::string head;
  std::shared_ptr<const std::string> body;  // may be null
  bool head_method = false;                 // the answer to HEAD has no body
  bool new_connection = false;              // do not use a kept one
};

class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual void Abandon() = 0;

  // Stops and restarts reading, so that a slow client holds bounded memory.
  virtual void Pause() = 0;
  virtual void Resume() = 0;

  virtual bool reused() const = 0;
};

struct PoolOptions {
  // A round trip within a region takes 2 ms, and a host with a small share of a processor some
  // tens of milliseconds more. A lost opening packet is sent again after 1 s, and another endpoint
  // is found sooner.
  Duration connect_limit = std::chrono::milliseconds(150);
  // Sent bytes that the endpoint's host does not acknowledge for so long mean a dead path.
  Duration unacknowledged_limit = std::chrono::milliseconds(900);
  // Kept connections are closed this long before the endpoint does it, so that no request crosses
  // its close.
  Duration idle_margin = std::chrono::milliseconds(700);
  Duration longest_idle = std::chrono::seconds(4);
  std::size_t max_idle_per_endpoint = 6;
};

class EndpointPool {
 public:
  EndpointPool(asio::io_context& io_context, const MessageAdapter& adapter,
               const PoolOptions& options);
  ~EndpointPool();

  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // The observer must outlive the exchange or its Abandon. It is never called from within Start.
  std::shared_ptr<Exchange> Start(const directory::Endpoint& endpoint, OutgoingRequest request,
                                  ExchangeObserver& observer);

  // Closes the kept connections of an endpoint that is gone.
  void Forget(const EndpointId& endpoint);

 private:
  class Connection;

  std::shared_ptr<Connection> TakeIdle(const directory::Endpoint& endpoint);
  void Keep(std::shared_ptr<Connection> connection);
  void Drop(const Connection& connection);

  asio::io_context& io_context_;
  const MessageAdapter& adapter_;
  PoolOptions options_;
  std::unordered_map<EndpointId, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_ENDPOINT_POOL_H_
