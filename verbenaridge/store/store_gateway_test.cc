#include "verbenaridge/store/store_gateway.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace verbenaridge::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Holds every call until the test answers it, or answers at once.
class ScriptedStore final : public KeyValueStore {
 public:
  void Read(std::string_view key, ReadCallback callback) override {
    Take("read " + std::string(key), std::move(callback));
  }
  void CompareAndSwap(std::string_view key, KeyVersion, std::string_view,
                      WriteCallback callback) override {
    Take("write " + std::string(key), AsRead(std::move(callback)));
  }
  void Watch(std::string_view key, KeyVersion, Duration, ReadCallback callback) override {
    Take("watch " + std::string(key), std::move(callback));
  }
  void Lease(std::string_view key, std::string_view, Duration, WriteCallback callback) override {
    Take("lease " + std::string(key), AsRead(std::move(callback)));
  }

  std::vector<std::string> calls;
  std::vector<ReadCallback> held;
  bool hold = true;
  std::error_code error;  // for calls that are not held

 private:
  static ReadCallback AsRead(WriteCallback callback) {
    return [callback = std::move(callback)](Result<StoredValue> result) {
      if (result.has_error()) return callback(result.error());
      callback(result.value().version);
    };
  }
  void Take(std::string call, ReadCallback callback) {
    calls.push_back(std::move(call));
    if (hold) {
      held.push_back(std::move(callback));
    } else if (error) {
      callback(error);
    } else {
      callback(StoredValue{1, "value"});
    }
  }
};

constexpr std::array<CallBudget, kCallKindCount> kBudgets = {
    {{30, 30}, {2, 4}, {4, 4}, {2, 4}, {2, 4}}};

struct Fixture {
  ScriptedStore store;
  ManualClock clock;
  SeededRandom random{7};
  StoreGateway gateway{store, clock, random, {.budgets = kBudgets}};
  std::vector<std::error_code> answers;

  ReadCallback Record() {
    return [this](Result<StoredValue> result) {
      answers.push_back(result.has_error() ? result.error() : std::error_code());
    };
  }
  void Read(CallKind kind, const char* key) { gateway.Read(kind, key, Record()); }
  void Claim(const char* key) {
    gateway.CompareAndSwap(CallKind::kClaim, key, 1, "x", [this](Result<KeyVersion> result) {
      answers.push_back(result.has_error() ? result.error() : std::error_code());
    });
  }
  void Pass(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(20)) {
      clock.Advance(milliseconds(20));
      gateway.Tick();
    }
  }
};

// Guards against calls that overtake claims, run without budget, or wait without limit.
TEST_CASE("order, budget and time limits") {
  Fixture f;
  f.Read(CallKind::kOther, "o1");
  f.Read(CallKind::kPlanRead, "p");
  f.Read(CallKind::kPlanRead, "p");
  f.Claim("c");
  CHECK(f.store.calls.empty());
  f.gateway.Tick();
  CHECK(f.store.calls == std::vector<std::string>{"write c", "read p", "read o1"});
  CHECK(f.gateway.counters(CallKind::kPlanRead).coalesced == 1);
  f.store.held[1](StoredValue{3, "plan"});
  CHECK(f.answers.size() == 2);

  SUBCASE("a call over its budget waits") {
    for (int i = 0; i < 6; ++i) f.Read(CallKind::kOther, ("o" + std::to_string(i)).c_str());
    f.gateway.Tick();
    CHECK(f.gateway.counters(CallKind::kOther).started == 4);
  }
  SUBCASE("a call without an answer ends after 500 ms") {
    f.Pass(milliseconds(480));
    CHECK(f.answers.size() == 2);
    f.Pass(milliseconds(20));
    REQUIRE(f.answers.size() == 4);
    CHECK(f.answers[3] == Errc::kTimeout);
    f.store.held[0](StoredValue{3, "late"});
    CHECK(f.answers.size() == 4);
  }
  SUBCASE("a read after one that runs does not share its answer") {
    f.Read(CallKind::kOther, "o1");
    f.gateway.Tick();
    CHECK(f.store.calls.size() == 4);
  }
  SUBCASE("a queued call past its wait is rejected") {
    for (int i = 0; i < 9; ++i) f.Read(CallKind::kOther, ("o" + std::to_string(i)).c_str());
    f.store.hold = false;
    f.Pass(milliseconds(420));
    CHECK(f.gateway.counters(CallKind::kOther).rejected == 6);
  }
}

// Guards against a callback into an object that is gone.
TEST_CASE("a gateway that ends before its calls") {
  ScriptedStore store;
  ManualClock clock;
  SeededRandom random(1);
  {
    StoreGateway gateway(store, clock, random);
    gateway.Read(CallKind::kOther, "a", [](Result<StoredValue>) { FAIL("called back"); });
    gateway.Tick();
  }
  store.held[0](StoredValue{1, "value"});
}

// Guards against a circuit that opens on answers of a healthy store, or that stays closed in an
// outage.
TEST_CASE("what opens the circuit") {
  struct Row {
    std::string name;
    std::error_code error;
    bool opens;
  };
  const Row rows[] = {{"success", {}, false},
                      {"conflict", Errc::kConflict, false},
                      {"refused by the rate limit", Errc::kResourceExhausted, false},
                      {"time limit", Errc::kTimeout, true},
                      {"no connection", Errc::kUnavailable, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    f.store.hold = false;
    f.store.error = row.error;
    for (int i = 0; i < 4; ++i) f.Claim("c");
    f.gateway.Tick();
    CHECK(f.gateway.circuit_open() == row.opens);
  }
}

// Guards against an outage that delays orders over 1 s, that costs a call per request, or that ends
// with all daemons spending their bursts at once.
TEST_CASE("outage and return") {
  constexpr int kDaemons = 200;
  std::vector<std::unique_ptr<Fixture>> daemons;
  for (int i = 0; i < kDaemons; ++i) {
    daemons.push_back(std::make_unique<Fixture>());
    daemons.back()->random = SeededRandom(static_cast<std::uint64_t>(i));
    daemons.back()->store.hold = false;
    daemons.back()->store.error = make_error_code(Errc::kUnavailable);
  }
  const auto run = [&](Duration time) {
    std::size_t busiest = 0;  // calls of all daemons in one window of 100 ms
    std::size_t window = 0;
    int step = 0;
    for (Duration passed{}; passed < time; passed += milliseconds(20)) {
      for (auto& daemon : daemons) {
        daemon->Claim("c");
        daemon->Pass(milliseconds(20));
        window += daemon->store.calls.size();
        daemon->store.calls.clear();
      }
      if (++step % 5 == 0) busiest = std::max(busiest, std::exchange(window, 0));
    }
    return busiest;
  };
  run(seconds(30));
  const std::size_t down = run(seconds(30));
  CHECK(down <= 15);  // 200 daemons, a trial per 5 s each: 4 expected in 100 ms
  for (auto& daemon : daemons) {
    CHECK(daemon->gateway.circuit_open());
    daemon->store.error = {};
  }
  // 30 claims/s per daemon come to 600 in 100 ms, without the saved-up 6,000.
  CHECK(run(seconds(12)) <= 700);
  for (auto& daemon : daemons) CHECK_FALSE(daemon->gateway.circuit_open());
}

}  // namespace
}  // namespace verbenaridge::store
