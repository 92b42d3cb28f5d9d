// How requests and answers are spelled on the wire: header names and their values.
//
//   RequestMetadata facts = adapter.ReadRequest(head);
//   http1::RequestHead forwarded = adapter.WriteRequest(head, {.remaining = left, ...});
//   ResponseMetadata answer = adapter.ReadResponse(response_head);
//
// The forwarding code works with these types only, so that another spelling needs another adapter
// and nothing else.
#ifndef VERBENARIDGE_FORWARDING_MESSAGE_ADAPTER_H_
#define VERBENARIDGE_FORWARDING_MESSAGE_ADAPTER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/http1/message.h"

namespace verbenaridge::forwarding {

// What a client says of its request.
struct RequestMetadata {
  std::string attempt_id;  // empty: none
  std::string host;
  std::string api_key;                // empty: none
  std::optional<Duration> time_left;  // how long the client waits
  TokenCount prompt_tokens = 0;       // zero: no generation
  TokenCount max_output_tokens = 0;
  bool bad_token_counts = false;
  std::optional<std::uint64_t> last_event_id;  // the client goes on after this event
};

// An engine that reads a part of the prompt, or holds a part of its memory in a ticket.
struct Helper {
  std::string ip;
  std::uint16_t port = 0;
  std::string ticket;  // empty: none
};

// What is added to a request that is passed on.
struct ForwardContext {
  Duration remaining{};
  EndpointId endpoint;
  ClientAccountId client_account;  // empty: the route needs no key
  std::optional<int> urgency;      // 0 is first
  std::span<const Helper> helpers{};
  std::optional<std::uint64_t> resume_after;  // the last event that the client has
  std::size_t body_bytes = 0;
};

// What an endpoint says of its answer.
struct ResponseMetadata {
  std::string attempt_id;  // echoed; empty: none
  bool sealed = false;     // carries the endpoint's signature
  bool not_executed = false;
  bool encoded = false;                  // a content encoding, which no client asked for
  std::optional<Duration> idle_timeout;  // of the connection
  EndpointId endpoint_at_fault;          // named by the answer; empty: none
};

// A reservation of memory at an endpoint.
struct ReservationRequest {
  std::string ticket;
  TokenCount tokens = 0;
  Duration lifetime{};
};

class MessageAdapter {
 public:
  virtual ~MessageAdapter() = default;

  virtual RequestMetadata ReadRequest(const http1::RequestHead& head) const = 0;
  virtual http1::RequestHead WriteRequest(const http1::RequestHead& head,
                                          const ForwardContext& context) const = 0;
  virtual ResponseMetadata ReadResponse(const http1::ResponseHead& head) const = 0;

  // The whole request, ready to be sent.
  virtual std::string WriteReservation(const directory::Endpoint& endpoint,
                                       const ReservationRequest& order) const = 0;
  virtual std::string WriteRelease(const directory::Endpoint& endpoint,
                                   std::string_view ticket) const = 0;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_MESSAGE_ADAPTER_H_
