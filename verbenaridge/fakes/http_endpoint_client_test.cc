#include "verbenaridge/engine/http_endpoint_client.h"

#include <doctest/doctest.h>

#include <asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/fakes/fake_endpoint.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::engine {
namespace {

using fakes::FakeEndpoint;
using fakes::FakeEndpointOptions;

struct Recorder final : GenerationObserver {
  std::vector<std::string> tokens;
  std::optional<GenerationEnd> end;
  std::function<void()> on_token;

  void OnToken(TokenCount, std::string_view text) override {
    tokens.emplace_back(text);
    if (on_token) on_token();
  }
  void OnEnd(const GenerationEnd& value) override {
    CHECK_FALSE(end.has_value());
    end = value;
  }
};

struct Fixture {
  asio::io_context io;
  net::CurlHttpClient http{io};
  HttpEndpointClient client{io, http, {}};
  FakeEndpoint endpoint;

  explicit Fixture(FakeEndpointOptions options = {}) : endpoint(io, Scaled(std::move(options))) {
    REQUIRE(endpoint.Open().has_value());
  }

  static FakeEndpointOptions Scaled(FakeEndpointOptions options) {
    options.engine.time_scale = 20;
    options.engine.cache_event_delay = std::chrono::milliseconds(5);
    return options;
  }

  bool RunUntil(const std::function<bool()>& done) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!done()) {
      if (io.run_one_until(deadline) == 0) return done();
    }
    return true;
  }
};

Generation MakeGeneration(std::string prompt, TokenCount max_tokens) {
  Generation generation;
  generation.request_id = RequestId("r");
  generation.model = ModelId("m");
  generation.prompt = std::make_shared<const std::string>(std::move(prompt));
  generation.max_tokens = max_tokens;
  generation.first_token_limit = std::chrono::seconds(5);
  generation.token_gap_limit = std::chrono::seconds(5);
  return generation;
}

// Guards against outcomes that claim more, or less, than is known of the execution.
TEST_CASE("ends of generations") {
  struct Row {
    const char* name;
    std::function<void(FakeEndpointOptions&, Generation&)> change;
    AttemptEnd end;
    std::vector<std::string> tokens;
  };
  const Row rows[] = {
      {"completed", [](auto&, auto&) {}, AttemptEnd::kCompleted, {"r:0 ", "r:1 ", "r:2 "}},
      {"resumed",
       [](auto&, Generation& g) {
         g.resume_from = 1;
         g.resume_text = "r:0 ";
       },
       AttemptEnd::kCompleted,
       {"r:1 ", "r:2 "}},
      {"memory full",
       [](FakeEndpointOptions& o, auto&) { o.engine.kv_capacity_bytes = 1000; },
       AttemptEnd::kRefused,
       {}},
      {"unknown model",
       [](auto&, Generation& g) { g.model = ModelId("other"); },
       AttemptEnd::kRefused,
       {}},
      {"crash",
       [](FakeEndpointOptions& o, auto&) { o.engine.crash_marker = "hello"; },
       AttemptEnd::kBroken,
       {}},
      {"slow prefill",
       [](FakeEndpointOptions& o, Generation& g) {
         o.engine.prefill_tokens_per_second = 0.01;
         g.first_token_limit = std::chrono::milliseconds(50);
       },
       AttemptEnd::kStalled,
       {}},
      {"slow decode",
       [](FakeEndpointOptions& o, Generation& g) {
         o.engine.decode_step = std::chrono::seconds(6);
         g.token_gap_limit = std::chrono::milliseconds(20);
       },
       AttemptEnd::kStalled,
       {"r:0 "}},
      {"group member absent",
       [](auto&, Generation& g) { g.group_urls = {"http://127.0.0.1:1"}; },
       AttemptEnd::kRefused,
       {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FakeEndpointOptions options;
    Generation generation = MakeGeneration("hello world", 3);
    row.change(options, generation);
    Fixture fixture(options);
    auto recorder = std::make_shared<Recorder>();
    fixture.client.Generate(fixture.endpoint.url(), generation, recorder);
    REQUIRE(fixture.RunUntil([&] { return recorder->end.has_value(); }));
    CHECK(recorder->end->end == row.end);
    CHECK(recorder->tokens == row.tokens);
    // A stalled or broken stream must not keep memory at the engine.
    CHECK(fixture.RunUntil([&] { return fixture.endpoint.engine().streams().empty(); }));
  }
}

// Guards against a dead endpoint that is reported as if the request might have run.
TEST_CASE("refused connections are not sent") {
  Fixture fixture;
  auto recorder = std::make_shared<Recorder>();
  fixture.client.Generate("http://127.0.0.1:1", MakeGeneration("hello", 3), recorder);
  std::optional<ServiceEnd> service;
  fixture.client.CallService("http://127.0.0.1:1",
                             {.request_id = RequestId("r"),
                              .operation = "order",
                              .idempotency_key = {},
                              .body = {},
                              .traceparent = {}},
                             [&](const ServiceEnd& end) { service = end; });
  REQUIRE(fixture.RunUntil([&] { return recorder->end.has_value() && service.has_value(); }));
  CHECK(recorder->end->end == AttemptEnd::kNotSent);
  CHECK(service->end == AttemptEnd::kNotSent);
}

// Guards against an engine that dies in the middle, and against memory left behind after a cancel.
TEST_CASE("events during a stream") {
  struct Row {
    const char* name;
    std::function<void(Fixture&, GenerationId)> at_second_token;
    std::optional<AttemptEnd> end;
  };
  const Row rows[] = {
      {"crash", [](Fixture& f, GenerationId) { f.endpoint.Crash(); }, AttemptEnd::kBroken},
      {"cancel", [](Fixture& f, GenerationId id) { f.client.Cancel(id); }, std::nullopt},
      {"silence", [](Fixture& f, GenerationId) { f.endpoint.SetSilent(true); },
       AttemptEnd::kStalled},
      {"pause and resume",
       [](Fixture& f, GenerationId id) {
         f.client.Pause(id);
         auto timer = std::make_shared<asio::steady_timer>(f.io, std::chrono::milliseconds(300));
         timer->async_wait([&f, id, timer](std::error_code) { f.client.Resume(id); });
       },
       AttemptEnd::kCompleted},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    Generation generation = MakeGeneration("hello world", 40);
    generation.token_gap_limit = std::chrono::milliseconds(200);
    auto recorder = std::make_shared<Recorder>();
    const GenerationId id = fixture.client.Generate(fixture.endpoint.url(), generation, recorder);
    recorder->on_token = [&] {
      if (recorder->tokens.size() == 2) row.at_second_token(fixture, id);
    };
    const auto finished = [&] {
      return row.end ? recorder->end.has_value() : fixture.endpoint.engine().streams().empty();
    };
    REQUIRE(fixture.RunUntil([&] { return recorder->tokens.size() >= 2 && finished(); }));
    REQUIRE(recorder->end.has_value() == row.end.has_value());
    if (row.end) CHECK(recorder->end->end == *row.end);
    if (row.end == AttemptEnd::kCompleted) CHECK(recorder->tokens.size() == 40);
  }
}

// Guards against orders of a former owner, lost executions, and reports that do not match.
TEST_CASE("orders, services, load, cache events and single cancels") {
  Fixture fixture;
  const std::string url = fixture.endpoint.url();
  std::vector<std::string> answers;
  const auto note = [&](const std::string& name) {
    return [&answers, name](const Status& status) {
      answers.push_back(name + (status.has_value() ? " ok" : " " + status.error().message()));
    };
  };
  const auto wait = [&](std::size_t count) {
    REQUIRE(fixture.RunUntil([&] { return answers.size() == count; }));
  };
  fixture.client.Order(url, {.kind = "load_model", .argument = "n", .fencing_token = 5},
                       note("new"));
  wait(1);
  fixture.client.Order(url, {.kind = "set_role", .argument = "x", .fencing_token = 4}, note("old"));
  wait(2);
  fixture.client.CancelStream(url, RequestId("none"), 1, note("cancel"));
  wait(3);
  CHECK(answers == std::vector<std::string>{"new ok", "old conflict", "cancel ok"});

  std::optional<ServiceEnd> service;
  fixture.client.CallService(url,
                             {.request_id = RequestId("r"),
                              .operation = "order",
                              .idempotency_key = "k",
                              .body = "{}",
                              .timeout = std::chrono::seconds(5),
                              .traceparent = {}},
                             [&](const ServiceEnd& end) { service = end; });
  REQUIRE(fixture.RunUntil([&] { return service.has_value(); }));
  CHECK(service->end == AttemptEnd::kCompleted);
  CHECK(fixture.endpoint.executions().at("order/k") == 1);

  auto recorder = std::make_shared<Recorder>();
  fixture.client.Generate(url, MakeGeneration(std::string(4096, 'x'), 30), recorder);
  REQUIRE(fixture.RunUntil([&] { return recorder->tokens.size() == 1; }));
  std::optional<Result<LoadReport>> load;
  fixture.client.FetchLoad(url, std::chrono::seconds(2), [&](auto result) { load = result; });
  REQUIRE(fixture.RunUntil([&] { return load.has_value(); }));
  REQUIRE(load->has_value());
  CHECK(load->value().models == std::vector<std::string>{"m", "n"});
  REQUIRE(load->value().streams.size() == 1);
  CHECK(load->value().streams[0].kv_bytes == (1024 + 30) * 1000);

  std::vector<CacheEvent> events;
  const std::function<void()> fetch = [&] {
    fixture.client.FetchCacheEvents(url, 0, std::chrono::seconds(2), [&](auto result) {
      REQUIRE(result.has_value());
      events = result.value();
      // Events become visible one after the other.
      if (events.size() < 4) fetch();
    });
  };
  fetch();
  REQUIRE(fixture.RunUntil([&] { return events.size() >= 4; }));
  CHECK(events.size() == 4);
  CHECK(events[0].added);
}

// Guards against callbacks to observers whose owner has been destroyed with the client.
TEST_CASE("client destroyed with a stream in flight") {
  Fixture fixture;
  auto recorder = std::make_shared<Recorder>();
  {
    HttpEndpointClient client(fixture.io, fixture.http, {});
    client.Generate(fixture.endpoint.url(), MakeGeneration("hello", 1000), recorder);
    REQUIRE(fixture.RunUntil([&] { return !recorder->tokens.empty(); }));
  }
  const std::size_t tokens = recorder->tokens.size();
  // The engine notices that the connection has closed.
  CHECK(fixture.RunUntil([&] { return fixture.endpoint.engine().streams().empty(); }));
  CHECK(recorder->tokens.size() == tokens);
  CHECK_FALSE(recorder->end.has_value());
}

// Guards against a group that holds memory at some members after a refusal or at its end.
TEST_CASE("endpoint groups reserve all or nothing") {
  for (const bool fits : {true, false}) {
    CAPTURE(fits);
    Fixture leader;
    FakeEndpoint roomy(leader.io, Fixture::Scaled({}));
    FakeEndpointOptions small;
    if (!fits) small.engine.kv_capacity_bytes = 10;
    FakeEndpoint last(leader.io, Fixture::Scaled(small));
    REQUIRE(roomy.Open().has_value());
    REQUIRE(last.Open().has_value());
    Generation generation = MakeGeneration(std::string(1200, 'y'), 3);
    generation.group_urls = {roomy.url(), last.url()};
    auto recorder = std::make_shared<Recorder>();
    recorder->on_token = [&] { CHECK(roomy.engine().used_bytes() == 101'000); };
    leader.client.Generate(leader.endpoint.url(), generation, recorder);
    REQUIRE(leader.RunUntil([&] { return recorder->end.has_value(); }));
    CHECK(recorder->end->end == (fits ? AttemptEnd::kCompleted : AttemptEnd::kRefused));
    CHECK(leader.RunUntil(
        [&] { return roomy.engine().used_bytes() == 0 && last.engine().used_bytes() == 0; }));
  }
}

}  // namespace
}  // namespace verbenaridge::engine
