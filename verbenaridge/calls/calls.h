// Typed calls of callers, and where their answers go. Front ends build these from bytes; the
// request pipeline serves them without knowing how they arrived.
//
//   class JsonFrontEnd { ... handler.Complete(std::move(call), std::make_shared<SseSink>(...)); };
#ifndef VERBENARIDGE_CALLS_CALLS_H_
#define VERBENARIDGE_CALLS_CALLS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::calls {

// Why a call failed. The names are stable: callers see them in the problem document.
enum class FailureKind : std::uint8_t {
  kBadRequest,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kKeyReused,    // same idempotency key, different request
  kRateLimited,  // the client account's plan limit
  kOverloaded,   // rejected early: the predicted finish misses the deadline
  kTooLong,      // no endpoint or group can ever hold the prompt
  kPoison,       // the request crashed endpoints before
  kUnavailable,  // no endpoint, no plan, or no store
  kDeadlineExceeded,
  kInterrupted,  // the attempt broke and may not be repeated
  kStopping,
};

// Stable identifier such as "rate-limited".
std::string_view FailureName(FailureKind kind);

struct Failure {
  FailureKind kind = FailureKind::kUnavailable;
  Outcome outcome = Outcome::kNotRun;
  std::string detail;
  std::optional<Duration> retry_after;
};

struct Usage {
  TokenCount prompt_tokens = 0;
  TokenCount cached_tokens = 0;
  TokenCount completion_tokens = 0;
};

// Fields common to all calls.
struct CallHeader {
  RequestId request_id;
  std::string bearer_key;
  std::string traceparent;
  std::optional<Priority> priority;  // absent: the plan's default
  std::optional<Duration> deadline;  // remaining time; absent: the plan's default
};

struct CompletionCall {
  CallHeader header;
  ModelId model;
  std::string prompt;
  TokenCount max_tokens = 16;
};

struct ServiceCall {
  CallHeader header;
  ServiceId service;
  std::string operation;
  std::string idempotency_key;
  std::optional<WallTime> key_expiry;
  std::string body;
};

// Asks what is known of a call that carried an idempotency key.
struct ServiceLookup {
  CallHeader header;
  ServiceId service;
  std::string operation;
  std::string idempotency_key;
};

struct ServiceAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  bool replayed = false;  // answered from the claim record
};

// Receives one completion. Calls come from the traffic thread that serves the request, in the order
// OnToken* (OnEnd | OnFailure), exactly one of the last two.
class CompletionSink {
 public:
  virtual ~CompletionSink() = default;

  virtual void OnToken(std::string_view text) = 0;
  virtual void OnEnd(std::string_view finish_reason, const Usage& usage) = 0;
  virtual void OnFailure(const Failure& failure) = 0;

  // Bytes accepted but not yet taken by the caller; the pipeline pauses the endpoint above a limit.
  virtual std::size_t unsent_bytes() const = 0;

  // The pipeline's callbacks; set before the first token. `gone` runs once when the caller left,
  // `drained` each time unsent bytes were taken.
  virtual void SetCallbacks(std::function<void()> gone, std::function<void()> drained) = 0;
};

class ServiceSink {
 public:
  virtual ~ServiceSink() = default;

  virtual void OnAnswer(const ServiceAnswer& answer) = 0;
  virtual void OnFailure(const Failure& failure) = 0;
};

struct ModelInfo {
  ModelId model;
  TokenCount max_prompt_tokens = 0;
};

// Serves calls. Called on a traffic thread; answers arrive on the same thread.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  virtual void Complete(CompletionCall call, std::shared_ptr<CompletionSink> sink) = 0;
  virtual void Call(ServiceCall call, std::shared_ptr<ServiceSink> sink) = 0;
  virtual void LookUp(ServiceLookup lookup, std::shared_ptr<ServiceSink> sink) = 0;

  // Models that the key's plan permits; empty for an unknown key.
  virtual std::vector<ModelInfo> Models(std::string_view bearer_key) = 0;
};

}  // namespace verbenaridge::calls

#endif  // VERBENARIDGE_CALLS_CALLS_H_
