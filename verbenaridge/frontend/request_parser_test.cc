#include "verbenaridge/frontend/request_parser.h"

#include <doctest/doctest.h>

#include <vector>

#include "verbenaridge/frontend/problem.h"
#include "verbenaridge/frontend/rendering.h"

namespace verbenaridge::frontend {
namespace {

// Guards against a body that is accepted with another meaning than OpenAI's clients give it.
TEST_CASE("completion bodies") {
  struct Row {
    const char* name;
    const char* body;
    const char* prompt;  // nullptr: refused
    TokenCount max_tokens;
    bool stream;
  };
  const Row rows[] = {
      {"plain", R"({"model":"m","prompt":"hi"})", "hi", 16, false},
      {"stream", R"({"model":"m","prompt":"hi","max_tokens":5,"stream":true})", "hi", 5, true},
      {"other fields", R"({"stop":["a"],"logit_bias":{"1":2},"temperature":0.5,"n":1,"user":"u",
        "stream_options":{"include_usage":true},"model":"m","prompt":"hi"})",
       "hi", 16, false},
      {"null default", R"({"model":"m","prompt":"hi","max_tokens":null})", "hi", 16, false},
      {"list of one", R"({"model":"m","prompt":["hi"]})", "hi", 16, false},
      {"nested prompt ignored", R"({"x":{"prompt":"no"},"model":"m","prompt":"hi"})", "hi", 16,
       false},
      {"escapes", R"({"model":"m","prompt":"\u00e4\n"})", "\xc3\xa4\n", 16, false},
      {"list of two", R"({"model":"m","prompt":["a","b"]})", nullptr, 0, false},
      {"token list", R"({"model":"m","prompt":[1,2]})", nullptr, 0, false},
      {"nested list", R"({"model":"m","prompt":[["a"]]})", nullptr, 0, false},
      {"prompt number", R"({"model":"m","prompt":3})", nullptr, 0, false},
      {"no prompt", R"({"model":"m"})", nullptr, 0, false},
      {"no model", R"({"prompt":"hi"})", nullptr, 0, false},
      {"model list", R"({"model":["m"],"prompt":"hi"})", nullptr, 0, false},
      {"n of 2", R"({"model":"m","prompt":"hi","n":2})", nullptr, 0, false},
      {"zero tokens", R"({"model":"m","prompt":"hi","max_tokens":0})", nullptr, 0, false},
      {"negative tokens", R"({"model":"m","prompt":"hi","max_tokens":-1})", nullptr, 0, false},
      {"float tokens", R"({"model":"m","prompt":"hi","max_tokens":1.5})", nullptr, 0, false},
      {"huge tokens", R"({"model":"m","prompt":"hi","max_tokens":18446744073709551615})", nullptr,
       0, false},
      {"stream text", R"({"model":"m","prompt":"hi","stream":"yes"})", nullptr, 0, false},
      {"truncated", R"({"model":"m","prompt":"h)", nullptr, 0, false},
      {"trailing", R"({"model":"m","prompt":"hi"} x)", nullptr, 0, false},
      {"array", R"(["m"])", nullptr, 0, false},
      {"scalar", "true", nullptr, 0, false},
      {"empty", "", nullptr, 0, false},
      {"invalid utf-8", "{\"model\":\"m\",\"prompt\":\"\xff\"}", nullptr, 0, false},
      {"utf-16", "\xff\xfe{\0\"", nullptr, 0, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto parsed = ParseCompletionBody(row.body);
    REQUIRE(parsed.has_value() == (row.prompt != nullptr));
    if (!parsed) {
      CHECK(parsed.error().status == 400);
      CHECK_FALSE(parsed.error().failure.detail.empty());
      continue;
    }
    CHECK(parsed.value().prompt == row.prompt);
    CHECK(parsed.value().max_tokens == row.max_tokens);
    CHECK(parsed.value().stream == row.stream);
  }
}

// Guards against paths that reach the wrong operation or a service name with a separator in it.
TEST_CASE("routes") {
  struct Row {
    const char* method;
    const char* target;
    int status;  // 200: accepted
    RouteKind kind;
    const char* service;
    const char* key;
  };
  const Row rows[] = {
      {"POST", "/v1/completions", 200, RouteKind::kCompletion, "", ""},
      {"POST", "/v1/completions?x=1", 200, RouteKind::kCompletion, "", ""},
      {"GET", "/v1/completions", 405, {}, "", ""},
      {"GET", "/v1/models", 200, RouteKind::kModels, "", ""},
      {"POST", "/v1/services/order/create", 200, RouteKind::kServiceCall, "order", ""},
      {"GET", "/v1/services/order/create", 405, {}, "", ""},
      {"GET", "/v1/services/or%64er/create/k%2F1", 200, RouteKind::kServiceLookup, "order", "k/1"},
      {"GET", "/v1/services/order/create/", 400, {}, "", ""},
      {"GET", "/v1/services/order/create/%4", 400, {}, "", ""},
      {"GET", "/v1/services/order/create/%zz", 400, {}, "", ""},
      {"GET", "/v1/services/order/create/%00", 400, {}, "", ""},
      {"POST", "/v1/services/order", 404, {}, "", ""},
      {"GET", "/v1/services/a/b/c/d", 404, {}, "", ""},
      {"GET", "", 404, {}, "", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.method);
    CAPTURE(row.target);
    const auto route = ParseRoute(row.method, row.target);
    REQUIRE(route.has_value() == (row.status == 200));
    if (!route) {
      CHECK(route.error().status == row.status);
      continue;
    }
    CHECK(route.value().kind == row.kind);
    CHECK(route.value().service == row.service);
    CHECK(route.value().key == row.key);
  }
}

// Guards against headers that are taken as something else than the caller wrote.
TEST_CASE("call headers") {
  struct Row {
    const char* name;
    std::vector<HeaderField> headers;
    int status;
  };
  const HeaderField key{"authorization", "Bearer k1"};
  const Row rows[] = {
      {"key", {key}, 200},
      {"lower-case scheme", {{"Authorization", "bearer k1"}}, 200},
      {"all", {key, {"X-Priority", "urgent"}, {"X-Deadline-Ms", "250"}}, 200},
      {"no key", {}, 401},
      {"basic", {{"Authorization", "Basic abc"}}, 401},
      {"empty key", {{"Authorization", "Bearer "}}, 401},
      {"priority", {key, {"X-Priority", "top"}}, 400},
      {"deadline zero", {key, {"X-Deadline-Ms", "0"}}, 400},
      {"deadline text", {key, {"X-Deadline-Ms", "1s"}}, 400},
      {"deadline huge", {key, {"X-Deadline-Ms", "99999999999999999999"}}, 400},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto header = ParseCallHeader({.headers = row.headers}, RequestId("r"));
    CHECK((header ? 200 : header.error().status) == row.status);
    if (header) CHECK(header.value().bearer_key == "k1");
  }
}

// Guards against expiries that are misread: a key accepted too long could run an order twice.
TEST_CASE("idempotency headers") {
  const WallTime now{std::chrono::seconds(1'796'371'200)};  // 2026-12-04T08:00:00Z
  struct Row {
    const char* key;
    const char* expires;
    bool accepted;
    std::int64_t seconds_ahead;
  };
  const Row rows[] = {
      {"k", "2026-12-04T08:05:00Z", true, 300},      {"k", "2026-12-04T08:05:00.500Z", true, 300},
      {"k", "2026-12-04T08:05:00+00:00", true, 300}, {"k", "1796371500", true, 300},
      {"k", "2026-12-04T08:10:00Z", true, 600},      {"k", "2026-12-04T08:11:00Z", false, 0},
      {"k", "2026-12-04T08:00:00Z", false, 0},       {"k", "2026-12-04T08:05:00+01:00", false, 0},
      {"k", "2026-02-30T08:05:00Z", false, 0},       {"k", "2026-12-04T08:05:00", false, 0},
      {"k", "2026-12-04T24:05:00Z", false, 0},       {"k", "soon", false, 0},
      {"k", "99999999999999999999", false, 0},       {"", "1796371500", false, 0},
      {"with space", "1796371500", false, 0},        {"k", "-5", false, 0},
      {"k", "2026-12-04T08:05:00.Z", false, 0}};
  for (const Row& row : rows) {
    CAPTURE(row.key);
    CAPTURE(row.expires);
    const std::vector<HeaderField> headers = {{"Idempotency-Key", row.key},
                                              {"Idempotency-Expires", row.expires}};
    const auto parsed = ParseIdempotency({.headers = headers}, now);
    REQUIRE(parsed.has_value() == row.accepted);
    if (!parsed) continue;
    const auto ahead = std::chrono::floor<std::chrono::seconds>(*parsed.value().expiry - now);
    CHECK(ahead.count() == row.seconds_ahead);
  }
}

// Guards against a changed status or a missing delay, by which clients decide to retry.
TEST_CASE("problem documents") {
  struct Row {
    calls::FailureKind kind;
    int status;
    std::optional<Duration> retry_after;
    const char* retry_header;  // empty: none
  };
  using calls::FailureKind;
  const Row rows[] = {
      {FailureKind::kRateLimited, 429, std::chrono::milliseconds(1200), "2"},
      {FailureKind::kOverloaded, 503, std::chrono::seconds(3), "3"},
      {FailureKind::kStopping, 503, std::nullopt, "1"},
      {FailureKind::kUnavailable, 503, std::chrono::seconds(0), "1"},
      {FailureKind::kTooLong, 413, std::nullopt, ""},
      {FailureKind::kPoison, 422, std::nullopt, ""},
      {FailureKind::kInterrupted, 502, std::nullopt, ""},
      {FailureKind::kDeadlineExceeded, 504, std::nullopt, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(calls::FailureName(row.kind));
    const Problem problem = ProblemOf({.kind = row.kind,
                                       .outcome = Outcome::kUnknown,
                                       .detail = "d\"\xff",
                                       .retry_after = row.retry_after},
                                      RequestId("r-1"));
    CHECK(problem.status == row.status);
    std::string retry;
    for (const auto& header : problem.headers)
      if (header.name == "Retry-After") retry = header.value;
    CHECK(retry == row.retry_header);
    CHECK(problem.body.find(R"("outcome":"unknown")") != std::string::npos);
    CHECK(problem.body.find(R"("request_id":"r-1")") != std::string::npos);
  }
}

// Guards against events that OpenAI's clients cannot read.
TEST_CASE("rendered completions") {
  const CompletionRenderer renderer(RequestId("r"), ModelId("m"), 7);
  CHECK(
      renderer.TokenEvent("a\n\"") ==
      "data: {\"id\":\"cmpl-r\",\"object\":\"text_completion\",\"created\":7,\"model\":\"m\","
      "\"choices\":[{\"index\":0,\"logprobs\":null,\"text\":\"a\\n\\\"\",\"finish_reason\":null}]}"
      "\n\n");
  const std::string end = renderer.EndEvents("stop", {.prompt_tokens = 3, .completion_tokens = 2});
  CHECK(end.find("\"finish_reason\":\"stop\"") != std::string::npos);
  CHECK(end.find("\"total_tokens\":5") != std::string::npos);
  CHECK(end.ends_with("\n\ndata: [DONE]\n\n"));
}

}  // namespace
}  // namespace verbenaridge::frontend
