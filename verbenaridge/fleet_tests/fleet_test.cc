#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "verbenaridge/fleet_tests/test_fleet.h"

namespace verbenaridge::fleet_tests {
namespace {

using nlohmann::json;

fakes::FakeEngineOptions FastEngine() {
  return {.prefill_tokens_per_second = 200'000, .decode_step = std::chrono::milliseconds(5)};
}

// Whether the text holds tokens 0 to count-1 of the request, each once and in order.
bool IsWhole(const HttpReply& reply, int count) {
  const json body = json::parse(reply.body, nullptr, false);
  if (!body.is_object() || !body.contains("choices")) return false;
  // The engine's id of the request ends in the caller's.
  const std::string text = body["choices"][0]["text"];
  const std::string id = text.substr(0, text.find(':'));
  if (!id.ends_with(reply.header("X-Request-Id"))) return false;
  std::string expected;
  for (int i = 0; i < count; ++i) expected += id + ":" + std::to_string(i) + " ";
  return text == expected;
}

std::string OutcomeOf(const HttpReply& reply) {
  const json body = json::parse(reply.body, nullptr, false);
  return body.is_object() ? body.value("outcome", "") : "";
}

std::string TypeOf(const HttpReply& reply) {
  const json body = json::parse(reply.body, nullptr, false);
  const std::string type = body.is_object() ? body.value("type", "") : "";
  return type.substr(type.rfind(':') + 1);
}

// Guards against answers that are cut, crossed or refused for the wrong reason, at any ingress.
TEST_CASE("completions at each ingress") {
  TestFleet fleet({.engine = FastEngine()});
  struct Row {
    const char* name;
    CompletionOptions options;
    int code;
    const char* type;  // of the problem, empty for success
  };
  const Row rows[] = {
      {"short", {.prompt = "hello"}, 200, ""},
      {"long", {.prompt = std::string(400'000, 'x')}, 200, ""},
      {"urgent", {.headers = {{"X-Priority", "urgent"}}}, 200, ""},
      {"priority not in the plan", {.headers = {{"X-Priority", "background"}}}, 403, "forbidden"},
      {"unknown key", {.key = "other"}, 401, "unauthenticated"},
      {"too short a deadline",
       {.max_tokens = 4000, .headers = {{"X-Deadline-Ms", "300"}}},
       0,
       "overloaded"},
  };
  for (const Row& row : rows) {
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
      CAPTURE(std::string(row.name));
      CAPTURE(daemon);
      const HttpReply reply = fleet.Complete(daemon, row.options);
      CAPTURE(reply.body.substr(0, 300));
      if (row.code != 0) CHECK(reply.code == row.code);
      CHECK(TypeOf(reply) == row.type);
      if (row.code == 200) CHECK(IsWhole(reply, row.options.max_tokens));
      if (row.code != 200) CHECK(OutcomeOf(reply) == "not_run");
    }
  }
}

// Guards against prompts over one engine's memory that are refused or leave memory behind.
TEST_CASE("endpoint groups") {
  struct Row {
    const char* name;
    std::size_t bytes;  // of the prompt, four for each token
    int code;
    const char* type;
  };
  // Each engine holds 20,000 tokens, and all four are in one data centre.
  const Row rows[] = {{"over one engine's memory", 100'000, 200, ""},
                      {"over twice one engine's memory", 180'000, 200, ""},
                      {"over the memory of all", 400'000, 413, "too-long"}};
  TestFleet fleet({.daemons = 2,
                   .endpoints = 4,
                   .engine = {.prefill_tokens_per_second = 200'000,
                              .decode_step = std::chrono::milliseconds(5),
                              .kv_bytes_per_token = 1000,
                              .kv_capacity_bytes = 20'000'000},
                   .endpoint_data_centres = 1});
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    const HttpReply reply = fleet.Complete(1, {.prompt = std::string(row.bytes, 'x')});
    CAPTURE(reply.body.substr(0, 300));
    CHECK(reply.code == row.code);
    CHECK(TypeOf(reply) == row.type);
    if (row.code == 200) CHECK(IsWhole(reply, 8));
  }
  CHECK(TestFleet::WaitFor(std::chrono::seconds(5), [&] {
    bool idle = true;
    fleet.OnFakes([&] {
      for (std::size_t i = 0; i < 4; ++i) idle = idle && fleet.endpoint(i).engine().idle();
    });
    return idle;
  }));
}

// Guards against a second execution of an order, and against an answer that differs from the first.
TEST_CASE("an order runs once, whoever repeats it") {
  TestFleet fleet({.engine = FastEngine()});
  const ServiceOptions order{.idempotency_key = "k1", .body = R"({"sachets": 40})"};
  const HttpReply first = fleet.CallService(0, order);
  CAPTURE(first.body);
  REQUIRE(first.code == 200);
  // The result is written within the write interval of the claim's bucket.
  REQUIRE(TestFleet::WaitFor(std::chrono::seconds(3),
                             [&] { return fleet.LookUp(0, "k1").code == 200; }));
  for (std::size_t daemon = 0; daemon < 3; ++daemon) {
    const HttpReply repeat = fleet.CallService(daemon, order);
    CHECK(repeat.code == 200);
    CHECK(repeat.body == first.body);
    CHECK(repeat.header("X-Replayed") == "true");
    ServiceOptions other = order;
    other.body = R"({"sachets": 41})";
    CHECK(TypeOf(fleet.CallService(daemon, other)) == "key-reused");
  }
  CHECK(fleet.CallService(1, {.body = "{}"}).code == 400);
  int executions = 0;
  fleet.OnFakes([&] { executions = fleet.service().executions().at("place/k1"); });
  CHECK(executions == 1);
}

// Guards against orders that run unclaimed, and against traffic that waits for the store.
TEST_CASE("the store is down") {
  TestFleet fleet({.engine = FastEngine()});
  for (const fakes::Outage outage : {fakes::Outage::kRefuse, fakes::Outage::kSilent}) {
    CAPTURE(static_cast<int>(outage));
    fleet.OnFakes([&] { fleet.platform().faults().outage = outage; });
    const auto start = std::chrono::steady_clock::now();
    const HttpReply order = fleet.CallService(0, {.idempotency_key = "down"});
    const auto took = std::chrono::steady_clock::now() - start;
    CHECK(OutcomeOf(order) == "not_run");
    CHECK(order.header("Retry-After") != "");
    CHECK(took < std::chrono::milliseconds(1500));
    CHECK(fleet.Complete(1, {}).code == 200);
  }
  std::size_t executions = 0;
  fleet.OnFakes([&] {
    executions = fleet.service().executions().size();
    fleet.platform().faults().outage = fakes::Outage::kNone;
  });
  CHECK(executions == 0);
  CHECK(TestFleet::WaitFor(std::chrono::seconds(15), [&] {
    return fleet.CallService(0, {.idempotency_key = "up"}).code == 200;
  }));
}

// Guards against tokens lost or doubled when an endpoint dies or goes silent under a stream.
TEST_CASE("streams survive their endpoint") {
  enum class Fault { kCrash, kSilent, kGone };
  struct Row {
    const char* name;
    Fault fault;
  };
  const Row rows[] = {{"crash", Fault::kCrash},
                      {"silent connection", Fault::kSilent},
                      {"process gone", Fault::kGone}};
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    TestFleet fleet({.engine = {.decode_step = std::chrono::milliseconds(10)}});
    std::vector<std::function<HttpReply()>> replies;
    for (int i = 0; i < 6; ++i) {
      replies.push_back(fleet.CompleteInBackground(
          i % 3, {.prompt = "prompt " + std::to_string(i), .max_tokens = 150}));
    }
    CHECK(TestFleet::WaitFor(std::chrono::seconds(2), [&] {
      std::size_t running = 0;
      fleet.OnFakes([&] { running = fleet.endpoint(0).engine().streams().size(); });
      return running > 0;
    }));
    fleet.OnFakes([&] {
      if (row.fault == Fault::kCrash) fleet.endpoint(0).Crash();
      if (row.fault == Fault::kSilent) fleet.endpoint(0).SetSilent(true);
      if (row.fault == Fault::kGone) fleet.RemoveEndpoint(0);
    });
    for (auto& reply : replies) {
      const HttpReply ended = reply();
      CAPTURE(ended.body.substr(0, 300));
      CHECK(ended.code == 200);
      CHECK(IsWhole(ended, 150));
    }
  }
}

// Guards against one request that kills endpoint after endpoint, however often it is sent.
TEST_CASE("a poison request is refused after two endpoint deaths") {
  TestFleet fleet(
      {.endpoints = 3,
       .engine = {.decode_step = std::chrono::milliseconds(5), .crash_marker = "POISON"}});
  std::vector<Incarnation> before;
  fleet.OnFakes([&] {
    for (std::size_t i = 0; i < 3; ++i) before.push_back(fleet.endpoint(i).incarnation());
  });
  for (int i = 0; i < 6; ++i) {
    const HttpReply reply = fleet.Complete(i % 3, {.prompt = "POISON"});
    CHECK(reply.code != 200);
  }
  CHECK(TypeOf(fleet.Complete(2, {.prompt = "POISON"})) == "poison-request");
  CHECK(fleet.Complete(1, {.prompt = "innocent"}).code == 200);
  int deaths = 0;
  fleet.OnFakes([&] {
    for (std::size_t i = 0; i < 3; ++i) {
      deaths += static_cast<int>(fleet.endpoint(i).incarnation() - before[i]);
    }
  });
  CHECK(deaths <= 2);
}

// Guards against a drain that cuts off a stream, and against new work at a leaving endpoint.
TEST_CASE("drains cut off nothing") {
  TestFleet fleet({.engine = {.decode_step = std::chrono::milliseconds(10)}});
  auto running = fleet.CompleteInBackground(1, {.max_tokens = 600});
  CHECK(fleet.Operator(0, "POST", "/drain", R"({"target": "m1", "kind": "endpoint"})").code == 200);
  CHECK(fleet.Operator(0, "POST", "/drain", R"({"target": "nope", "kind": "endpoint"})").code ==
        404);
  CHECK(TestFleet::WaitFor(std::chrono::seconds(3), [&] {
    const json status = json::parse(fleet.Operator(2, "GET", "/status").body);
    for (const auto& endpoint : status["endpoints"]) {
      if (endpoint["endpoint"] == "m1") return endpoint["leaving"] == true;
    }
    return false;
  }));
  std::uint64_t started = 0;
  fleet.OnFakes([&] { started = fleet.endpoint(0).engine().started(); });
  for (int i = 0; i < 12; ++i) CHECK(fleet.Complete(i % 3, {.max_tokens = 2}).code == 200);
  fleet.OnFakes([&] { CHECK(fleet.endpoint(0).engine().started() == started); });
  fleet.StopDaemon(1);
  const HttpReply ended = running();
  CHECK(IsWhole(ended, 600));
  CHECK(TestFleet::WaitFor(std::chrono::seconds(5),
                           [&] { return fleet.Complete(0, {}).code == 200; }));
}

// Guards against a daemon that comes back with an older plan, or whose peers do not take over.
TEST_CASE("a daemon ends and returns") {
  TestFleet fleet({.engine = FastEngine()});
  fleet.StopAtOnce(1);
  CHECK(TestFleet::WaitFor(std::chrono::seconds(6),
                           [&] { return fleet.Complete(0, {}).code == 200; }));
  fleet.ApplyPlan("second", 2);
  fleet.OnFakes([&] { fleet.platform().faults().outage = fakes::Outage::kNone; });
  fleet.StartDaemon(1);
  CHECK(TestFleet::WaitFor(std::chrono::seconds(10), [&] {
    const json status = json::parse(fleet.Operator(1, "GET", "/status").body, nullptr, false);
    return status.is_object() && status["serving"] == true && status["plan"]["version"] == 2;
  }));
}

}  // namespace
}  // namespace verbenaridge::fleet_tests
