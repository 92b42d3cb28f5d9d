// Turns the parts of an HTTP request into typed calls. No server here, so that it can be tested and
// fuzzed alone.
//
//   Parsed<Route> route = ParseRoute("POST", "/v1/completions");
//   Parsed<CompletionBody> body = ParseCompletionBody(bytes);
#ifndef VERBENARIDGE_FRONTEND_REQUEST_PARSER_H_
#define VERBENARIDGE_FRONTEND_REQUEST_PARSER_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/calls/calls.h"
#include "verbenaridge/frontend/http_server.h"

namespace verbenaridge::frontend {

// Why a request was refused before it became a call.
struct Rejection {
  int status = 400;
  calls::Failure failure;
};

template <class T>
using Parsed = boost::outcome_v2::basic_result<T, Rejection, boost::outcome_v2::policy::all_narrow>;

Rejection BadRequest(std::string detail, int status = 400);

enum class RouteKind : std::uint8_t { kCompletion, kModels, kServiceCall, kServiceLookup };

struct Route {
  RouteKind kind = RouteKind::kCompletion;
  std::string service;
  std::string operation;
  std::string key;
};

// Unknown paths give 404 and known paths with another method 405.
Parsed<Route> ParseRoute(std::string_view method, std::string_view target);

// The caller's X-Request-Id: up to 128 characters of [A-Za-z0-9._:-]. Absent gives an empty id.
Parsed<RequestId> ParseRequestId(const HttpCall& call);

// Bearer key, priority, deadline and trace context.
Parsed<calls::CallHeader> ParseCallHeader(const HttpCall& call, RequestId request_id);

struct CompletionBody {
  std::string model;
  std::string prompt;
  TokenCount max_tokens = 16;  // OpenAI's default
  bool stream = false;
};

// Reads the JSON once and moves the prompt out of the parser. Unknown fields are ignored.
Parsed<CompletionBody> ParseCompletionBody(std::string_view body);

struct Idempotency {
  std::string key;  // empty: none
  std::optional<WallTime> expiry;
};

// Reads Idempotency-Key and Idempotency-Expires.
Parsed<Idempotency> ParseIdempotency(const HttpCall& call, WallTime now);

// RFC 3339 in UTC ("2026-12-04T08:00:00Z", optional fraction) or whole unix seconds.
std::optional<WallTime> ParseWallTime(std::string_view text);

// Refuses encodings and content types that are not JSON text in UTF-8.
std::optional<Rejection> CheckJsonContent(const HttpCall& call);

}  // namespace verbenaridge::frontend

#endif  // VERBENARIDGE_FRONTEND_REQUEST_PARSER_H_
