// JSON of the endpoints' protocol, docs/endpoint_protocol.md. No HTTP here.
#ifndef VERBENARIDGE_ENGINE_ENGINE_JSON_H_
#define VERBENARIDGE_ENGINE_ENGINE_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/result.h"
#include "verbenaridge/engine/endpoint_client.h"

namespace verbenaridge::engine {

std::string EncodeGeneration(const Generation& generation);
std::string EncodeCancel(const RequestId& request, AttemptNumber attempt);
std::string EncodeOrder(const EndpointOrder& order);

// One event of a completion stream.
struct StreamEvent {
  std::string request_id;
  AttemptNumber attempt = 0;
  bool last = false;
  TokenCount index = 0;  // of a token; of the last event: number of tokens in all, -1 if unknown
  std::string text;
  std::string finish_reason;
  TokenCount prompt_tokens = 0;
  TokenCount cached_tokens = 0;
};

// All parsers give Errc::kMalformed for bytes of another form.
Result<StreamEvent> ParseStreamEvent(std::string_view data);
Result<LoadReport> ParseLoadReport(std::string_view body);
Result<std::vector<CacheEvent>> ParseCacheEvents(std::string_view body);

}  // namespace verbenaridge::engine

#endif  // VERBENARIDGE_ENGINE_ENGINE_JSON_H_
