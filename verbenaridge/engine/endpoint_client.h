// Client of one model engine or plain service.
//
//   client.Generate({.base_url = "http://127.0.0.1:8100"}, generation, observer);
#ifndef VERBENARIDGE_ENGINE_ENDPOINT_CLIENT_H_
#define VERBENARIDGE_ENGINE_ENDPOINT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::engine {

// How an attempt at an endpoint ended, and what may be said of its execution.
enum class AttemptEnd : std::uint8_t {
  kCompleted,  // final answer received
  kNotSent,    // no byte of the request left this process
  kRefused,    // the endpoint refused before execution
  kBroken,     // connection lost or answer invalid after bytes were sent
  kStalled,    // no progress within the stall limit
};

struct Generation {
  RequestId request_id;
  AttemptNumber attempt = 1;
  ModelId model;
  std::shared_ptr<const std::string> prompt;
  TokenCount max_tokens = 0;
  TokenCount resume_from = 0;  // tokens already delivered; the engine continues after them
  std::string resume_text;     // text of those tokens
  Priority priority = Priority::kStandard;
  std::uint64_t permit = 0;
  Incarnation owner_incarnation = 0;
  Duration remaining{};  // until the request's deadline
  Duration first_token_limit{};
  Duration token_gap_limit{};
  std::vector<std::string> group_urls;  // the other members of an endpoint group
  std::string traceparent;
};

struct GenerationEnd {
  AttemptEnd end = AttemptEnd::kBroken;
  std::string finish_reason;
  TokenCount prompt_tokens = 0;  // as counted by the engine
  TokenCount cached_tokens = 0;
  int status = 0;
  std::string detail;
};

// Receives one generation. Tokens arrive in order, numbered from resume_from; duplicates are
// dropped before they get here.
class GenerationObserver {
 public:
  virtual ~GenerationObserver() = default;

  virtual void OnToken(TokenCount index, std::string_view text) = 0;
  virtual void OnEnd(const GenerationEnd& end) = 0;
};

struct RunningStream {
  RequestId request_id;
  AttemptNumber attempt = 0;
  std::uint64_t permit = 0;
  ByteCount kv_bytes = 0;
};

// What an engine reports, with a lag.
struct LoadReport {
  Incarnation incarnation = 0;
  ByteCount kv_capacity_bytes = 0;
  ByteCount kv_used_bytes = 0;
  ByteCount kv_bytes_per_token = 0;
  double prefill_tokens_per_second = 0;
  Duration decode_step{};
  std::vector<std::string> models;
  std::string role;
  bool leaving = false;
  std::vector<RunningStream> streams;
};

struct CacheEvent {
  std::uint64_t sequence = 0;  // gaps mean lost events
  bool added = false;          // false: evicted
  Digest block = 0;
};

struct ServiceRequest {
  RequestId request_id;
  AttemptNumber attempt = 1;
  std::string operation;
  std::string idempotency_key;
  std::string body;
  Duration timeout{};
  std::string traceparent;
};

struct ServiceEnd {
  AttemptEnd end = AttemptEnd::kBroken;
  int status = 0;
  std::string content_type;
  std::string body;
};

// An order that changes what an endpoint serves.
struct EndpointOrder {
  std::string kind;  // "load_model", "load_adapter", "load_version", "set_role"
  std::string argument;
  std::uint64_t fencing_token = 0;
};

using GenerationId = std::uint64_t;

// Used from the thread of its event loop alone; callbacks run there, never from within a call.
class EndpointClient {
 public:
  virtual ~EndpointClient() = default;

  virtual GenerationId Generate(std::string_view base_url, Generation generation,
                                std::shared_ptr<GenerationObserver> observer) = 0;

  // Ends the stream and tells the engine to free its memory, repeating the cancel order until the
  // engine has acknowledged it or a limit is reached. The observer hears nothing more.
  virtual void Cancel(GenerationId id) = 0;

  // Back-pressure of a slow caller.
  virtual void Pause(GenerationId id) = 0;
  virtual void Resume(GenerationId id) = 0;

  virtual void CallService(std::string_view base_url, ServiceRequest request,
                           std::function<void(ServiceEnd)> done) = 0;

  virtual void FetchLoad(std::string_view base_url, Duration timeout,
                         std::function<void(Result<LoadReport>)> done) = 0;

  // Events after `after_sequence`.
  virtual void FetchCacheEvents(std::string_view base_url, std::uint64_t after_sequence,
                                Duration timeout,
                                std::function<void(Result<std::vector<CacheEvent>>)> done) = 0;

  // Ends one stream at the engine by request and attempt, as reconciliation does.
  virtual void CancelStream(std::string_view base_url, const RequestId& request,
                            AttemptNumber attempt, std::function<void(Status)> done) = 0;

  virtual void Order(std::string_view base_url, const EndpointOrder& order,
                     std::function<void(Status)> done) = 0;
};

}  // namespace verbenaridge::engine

#endif  // VERBENARIDGE_ENGINE_ENDPOINT_CLIENT_H_
