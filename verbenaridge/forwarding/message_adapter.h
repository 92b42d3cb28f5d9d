// Conversion of requests and responses to and from HTTP headers.
//
//   RequestMetadata request = adapter.ReadRequest(head);
//   http1::RequestHead forwarded = adapter.WriteRequest(head, {.remaining = left, ...});
//   ResponseMetadata response = adapter.ReadResponse(response_head);
//
// The forwarding code uses these types only, so that other header names and formats need only
// another adapter.
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
#include "verbenaridge/dispatch/endpoint_rates.h"
#include "verbenaridge/http1/message.h"

namespace verbenaridge::forwarding {

// A part of a prompt that other prompts may share.
struct PromptPart {
  std::string id;
  Digest key = 0;  // the same for the same id
  TokenCount tokens = 0;
};

// Decoded headers of a client's request.
struct RequestMetadata {
  std::string attempt_id;  // empty: none
  std::string host;
  std::string api_key;                // empty: none
  std::optional<Duration> time_left;  // until the client stops waiting
  TokenCount prompt_tokens = 0;       // zero: no generation
  TokenCount max_output_tokens = 0;
  bool bad_token_counts = false;
  // In the order of the prompt. The last part belongs to this request or its session alone. Empty
  // if the request does not list its parts.
  std::vector<PromptPart> prompt_parts;
  std::optional<std::uint64_t> last_event_id;  // the client resumes after this event
};

// An engine that prefills a part of the prompt, or reserves a part of the memory for it.
struct Helper {
  std::string ip;
  std::uint16_t port = 0;
  std::string ticket;  // empty: none
};

// Headers added to a forwarded request.
struct ForwardContext {
  Duration remaining{};
  EndpointId endpoint;
  ClientAccountId client_account;  // empty: the route needs no key
  std::optional<int> urgency;      // 0 is the most urgent
  std::span<const Helper> helpers{};
  std::optional<std::uint64_t> resume_after;  // the last event that the client received
  std::size_t body_bytes = 0;
};

// Decoded headers of an endpoint's response.
struct ResponseMetadata {
  std::string attempt_id;  // echoed; empty: none
  bool sealed = false;     // carries the endpoint's signature
  bool not_executed = false;
  bool encoded = false;                  // has a content encoding, which is never requested
  std::optional<Duration> idle_timeout;  // of the connection
  EndpointId endpoint_at_fault;          // named by the response; empty: none
  bool endpoint_leaving = false;         // the endpoint stops serving soon
  // Requests a second that the endpoint takes from all hosts together.
  std::optional<dispatch::RequestsPerSecond> request_limit;
  std::optional<Duration> pause;           // it wants no request for so long
  std::optional<Duration> cold_remaining;  // until it has warmed up
  bool malformed_notice = false;           // what the endpoint tells about itself is not understood
};

// Request to reserve memory at an endpoint.
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

  // The serialized request with head and body.
  virtual std::string WriteReservation(const directory::Endpoint& endpoint,
                                       const ReservationRequest& request) const = 0;
  virtual std::string WriteRelease(const directory::Endpoint& endpoint,
                                   std::string_view ticket) const = 0;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_MESSAGE_ADAPTER_H_
