#include "verbenaridge/fakes/platform/fake_platform.h"

#include <doctest/doctest.h>

#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/store/host_list.h"
#include "verbenaridge/store/http_key_value_store.h"

namespace verbenaridge::fakes {
namespace {

using std::chrono::milliseconds;
using store::KeyVersion;
using store::StoredValue;

struct Fixture {
  asio::io_context io_context;
  FakePlatform fake{io_context, {}};
  net::CurlHttpClient client{io_context};
  store::HttpKeyValueStore store{client, fake.base_url()};

  // Runs the loop until the call answered.
  template <class T, class Start>
  Result<T> Wait(Start start) {
    std::optional<Result<T>> answer;
    start([&](Result<T> result) { answer = std::move(result); });
    REQUIRE_FALSE(answer.has_value());  // never from within the call
    while (!answer) io_context.run_one();
    return *answer;
  }
  Result<StoredValue> Read(const char* key) {
    return Wait<StoredValue>([&](auto done) { store.Read(key, done); });
  }
  Result<KeyVersion> Write(const char* key, KeyVersion expected, const std::string& value) {
    return Wait<KeyVersion>([&](auto done) { store.CompareAndSwap(key, expected, value, done); });
  }
  Result<StoredValue> Watch(const char* key, KeyVersion after, Duration wait) {
    return Wait<StoredValue>([&](auto done) { store.Watch(key, after, wait, done); });
  }
  void Pass(Duration time) {
    bool passed = false;
    asio::steady_timer timer(io_context, time);
    timer.async_wait([&](std::error_code) { passed = true; });
    while (!passed) io_context.run_one();
  }
};

// Guards against a client or a fake that misreports whether a write took effect.
TEST_CASE("writes") {
  struct Row {
    std::string name;
    std::function<void(PlatformFaults&)> fault;
    KeyVersion expected;
    std::string value;
    std::error_code error;
    std::string stored;
  };
  const Row rows[] = {
      {"new key", [](auto&) {}, 0, "two", {}, "two"},
      {"conflict", [](auto&) {}, 99, "two", Errc::kConflict, ""},
      {"lost reply", [](auto& f) { f.lose_replies = 1; }, 0, "two", Errc::kTimeout, "two"},
      {"lost request", [](auto& f) { f.lose_requests = 1; }, 0, "two", Errc::kTimeout, ""},
      {"refusing", [](auto& f) { f.outage = Outage::kRefuse; }, 0, "two", Errc::kUnavailable, ""},
      {"silent", [](auto& f) { f.outage = Outage::kSilent; }, 0, "two", Errc::kTimeout, ""},
      {"slow", [](auto& f) { f.delay = milliseconds(700); }, 0, "two", Errc::kTimeout, ""},
      {"rate limit", [](auto& f) { f.writes_per_second = 0; }, 0, "two", Errc::kResourceExhausted,
       ""},
      {"too large", [](auto&) {}, 0, std::string(1'000'001, 'x'), Errc::kTooLarge, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    row.fault(f.fake.faults());
    const auto written = f.Write("plans/with space", row.expected, row.value);
    CHECK((written.has_error() ? written.error() : std::error_code()) == row.error);
    CHECK(f.fake.Value("plans/with space") == row.stored);
    f.fake.faults() = {};
    const auto read = f.Read("plans/with space");
    REQUIRE(read.has_value());
    CHECK(read.value().value == row.stored);
    CHECK((read.value().version == 0) == row.stored.empty());
  }
}

// Guards against a watch that misses a change or ends early, and a lease that never ends.
TEST_CASE("watches and leases") {
  Fixture f;
  const KeyVersion first = f.Write("k", 0, "one").value();
  CHECK(f.Watch("k", 0, milliseconds(100)).value().value == "one");
  const auto unchanged = f.Watch("k", first, milliseconds(50));
  CHECK(unchanged.value().version == first);
  CHECK(unchanged.value().value.empty());
  std::optional<Result<StoredValue>> changed;
  f.store.Watch("k", first, std::chrono::seconds(5), [&](auto result) { changed = result; });
  f.Pass(milliseconds(50));
  CHECK_FALSE(changed.has_value());
  CHECK(f.Write("k", first, "two").has_value());
  while (!changed) f.io_context.run_one();
  CHECK(changed->value().value == "two");
  CHECK(f.Wait<KeyVersion>([&](auto done) {
           f.store.Lease("lease", "me", milliseconds(100), done);
         }).has_value());
  CHECK(f.Read("lease").value().value == "me");
  f.Pass(milliseconds(120));
  CHECK(f.Read("lease").value().version == 0);
  CHECK(f.fake.counters().at("watch") == 3);
}

// Guards against a host list that does not lag, and controls that are ignored.
TEST_CASE("host list and control") {
  Fixture f;
  store::HostListClient hosts(f.client, f.fake.base_url());
  const auto list = [&] {
    return f.Wait<std::vector<store::ListedHost>>([&](auto done) { hosts.Fetch(done); });
  };
  f.fake.faults().host_list_lag = milliseconds(60);
  f.fake.SetHosts(R"({"hosts": [{"host": "f1", "data_centre": "furano", "ip": "127.0.0.1",
                     "port": 7001, "state": "leaving"}]})");
  CHECK(list().value().empty());
  f.Pass(milliseconds(80));
  REQUIRE(list().value().size() == 1);
  CHECK(list().value()[0].leaving);

  struct Row {
    std::string body;
    int status;
  };
  const Row rows[] = {{R"({"outage": "silent", "delay_ms": 5})", 200},
                      {R"({"outage": "some"})", 400},
                      {R"({"delay": 5})", 400},
                      {"5", 400}};
  for (const Row& row : rows) {
    CAPTURE(row.body);
    net::HttpRequest request;
    request.method = "PUT";
    request.url = f.fake.base_url() + "/control";
    request.body = row.body;
    const auto answer = f.Wait<net::HttpResponse>([&](auto done) {
      net::FetchWhole(f.client, request, 1000, [done](auto result, auto) { done(result); });
    });
    CHECK(answer.value().status == row.status);
  }
  CHECK(f.fake.faults().outage == Outage::kSilent);
  CHECK(f.fake.faults().delay == milliseconds(5));
}

// Guards against malformed host lists that are taken for short ones: hosts would seem gone.
TEST_CASE("malformed host lists") {
  const char* rows[] = {"",
                        "[]",
                        "{}",
                        R"({"hosts": {}})",
                        R"({"hosts": [{}]})",
                        R"({"hosts": [{"host": "a", "data_centre": "b", "ip": "c", "port": 70000,
                            "state": "live"}]})",
                        R"({"hosts": [{"host": "a", "data_centre": "b", "ip": "c", "port": 7,
                            "state": "gone"}]})"};
  for (const std::string text : rows) {
    CAPTURE(text);
    CHECK(store::ParseHostList(text).error() == Errc::kMalformed);
  }
}

}  // namespace
}  // namespace verbenaridge::fakes
