#include "verbenaridge/admission/account_ledger.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "verbenaridge/base/random.h"

namespace verbenaridge::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
const ClientAccountId kAccount("kilo");

HolderId Holder(std::uint64_t sequence, const char* host = "h1") {
  return {.host = HostId(host), .incarnation = 1, .sequence = sequence};
}

AdmitInput Input(std::uint64_t sequence, double cost = 0) {
  AdmitInput input;
  input.holder = Holder(sequence);
  input.account = kAccount;
  input.cost_seconds = cost;
  return input;
}

// Guards against limits that grow with the number of ingress points, and against an owner change
// or a local share that exceeds its documented error bound.
TEST_CASE("error bounds hold with 15 ingress points and skewed arrivals") {
  struct Row {
    const char* name;
    int owner_changes;
    int cut_off;  // ingress points that cannot reach the owner and decide alone
  };
  const Row rows[] = {{"stable owner", 0, 0},
                      {"one owner change", 1, 0},
                      {"three owner changes", 3, 0},
                      {"five ingress points cut off", 0, 5},
                      {"all cut off", 0, 15}};
  constexpr int kIngress = 15;
  constexpr double kRate = 20, kBurst = 30, kSpan = 30, kConcurrent = 50;
  const AccountLimits limits{.requests_per_second = kRate,
                             .request_burst = kBurst,
                             .tokens_per_second = kRate * 1000,
                             .token_burst = kBurst * 1000,
                             .concurrent_cost = kConcurrent};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      SeededRandom random(7);
      AccountLedger owner;
      owner.SetLimits(kAccount, limits, BucketStart::kFull, kStart);
      std::vector<AccountLedger> local(kIngress);
      for (auto& ledger : local) {
        ledger.SetLimits(kAccount, LocalShare(limits, kIngress), BucketStart::kFull, kStart);
      }
      double admitted = 0, by_owner = 0, tokens = 0, offered = 0;
      int changes = 0;
      for (int step = 0; step < static_cast<int>(kSpan * 200); ++step) {
        const TimePoint now = kStart + milliseconds(5) * step;
        if (step >= (changes + 1) * 1'500 && changes < row.owner_changes) {
          ++changes;
          owner = AccountLedger();
          owner.SetLimits(kAccount, limits, BucketStart::kHalf, now);
        }
        // Half of the arrivals come at the first ingress point, a quarter at the next, and so on.
        int ingress = 0;
        while (ingress + 1 < kIngress && random.Below(2) == 0) ++ingress;
        AdmitInput input = Input(static_cast<std::uint64_t>(step));
        input.tokens = static_cast<TokenCount>(random.Below(2000));
        offered += 1;
        AccountLedger& ledger = ingress < row.cut_off ? local[ingress] : owner;
        const bool ok = ledger.Admit(input, now).admitted;
        if (ok) {
          ledger.Finish(input.holder, kAccount, {}, now);
          admitted += 1;
          tokens += static_cast<double>(input.tokens);
        }
        if (ok && ingress >= row.cut_off) by_owner += 1;
      }
      const double exact = kRate * kSpan + kBurst;
      const double shared = row.cut_off == kIngress ? 0 : 1;
      const double bound = exact * (shared + static_cast<double>(row.cut_off) / kIngress) +
                           kBurst / 2 * row.owner_changes;
      CAPTURE(offered);
      CHECK(offered >= 8 * kRate * kSpan);
      CHECK(admitted <= bound + 1);
      CHECK(tokens <= bound * 1000 + 2000 * (1 + row.cut_off));
      if (row.cut_off == 0) CHECK(by_owner >= 0.85 * kRate * kSpan);
    }
  }
}

// Guards against an owner change that doubles the concurrent cost.
TEST_CASE("concurrent cost stays within the limit after an owner change") {
  struct Row {
    const char* name;
    BucketStart start;
    double presented;  // cost of admissions of the earlier owner
    Duration asked_after;
    int admitted;  // of 20 requests of cost 1
  };
  const Row rows[] = {{"stable owner", BucketStart::kFull, 0, {}, 10},
                      {"new owner before presentation", BucketStart::kHalf, 0, {}, 5},
                      {"presented admissions count", BucketStart::kHalf, 8, seconds(7), 2},
                      {"new owner after presentation", BucketStart::kHalf, 0, seconds(7), 10}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      AccountLedger ledger;
      ledger.SetLimits(kAccount, {.concurrent_cost = 10}, row.start, kStart);
      for (int i = 0; i < static_cast<int>(row.presented); ++i) {
        const PresentedAdmission presentation{
            .holder = Holder(100 + i), .account = kAccount, .cost_seconds = 1};
        ledger.Present(presentation, kStart);
        ledger.Present(presentation, kStart);  // repeated: counted once
      }
      int admitted = 0;
      for (std::uint64_t i = 0; i < 20; ++i) {
        if (ledger.Admit(Input(i, 1), kStart + row.asked_after).admitted) ++admitted;
      }
      CHECK(admitted == row.admitted);
      CHECK(ledger.concurrent_cost(kAccount) == row.presented + row.admitted);
    }
  }
}

// Guards against requests that the plan forbids.
TEST_CASE("only permitted models, services and priorities are admitted") {
  struct Row {
    const char* name;
    const char* account;
    const char* model;
    const char* service;
    Priority priority;
    AdmitReason reason;
  };
  using enum AdmitReason;
  const Row rows[] = {{"permitted model", "kilo", "m1", "", Priority::kStandard, kNone},
                      {"other model", "kilo", "m2", "", Priority::kStandard, kPlanForbids},
                      {"permitted service", "kilo", "", "stock", Priority::kStandard, kNone},
                      {"other service", "kilo", "", "orders", Priority::kStandard, kPlanForbids},
                      {"other priority", "kilo", "m1", "", Priority::kUrgent, kPlanForbids},
                      {"unknown account", "lima", "m1", "", Priority::kStandard, kUnknownAccount}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      AccountLedger ledger;
      ledger.SetLimits(kAccount,
                       {.models = {ModelId("m1")},
                        .services = {ServiceId("stock")},
                        .priorities = {Priority::kStandard, Priority::kBackground}},
                       BucketStart::kFull, kStart);
      AdmitInput input = Input(1);
      input.account = ClientAccountId(row.account);
      input.model = ModelId(row.model);
      input.service = ServiceId(row.service);
      input.priority = row.priority;
      CHECK(ledger.Admit(input, kStart).reason == row.reason);
    }
  }
}

// Guards against admissions that outlive their holder and block the account permanently.
TEST_CASE("admissions end when they expire or their host has died") {
  AccountLedger ledger({.expiry = seconds(60)});
  ledger.SetLimits(kAccount, {.concurrent_cost = 10}, BucketStart::kFull, kStart);
  for (std::uint64_t i = 0; i < 3; ++i) ledger.Admit(Input(i, 1), kStart);
  ledger.ExpireHost(HostId("h2"), 9);
  CHECK(ledger.in_flight(kAccount) == 3);
  ledger.Present({.holder = Holder(0), .account = kAccount}, kStart + seconds(50));
  ledger.Expire(kStart + seconds(61));
  CHECK(ledger.in_flight(kAccount) == 1);
  ledger.ExpireHost(HostId("h1"), 2);
  CHECK(ledger.in_flight(kAccount) == 0);
  CHECK(ledger.concurrent_cost(kAccount) == 0);
}

// Guards against a Retry-After that is too short, so that the same request is refused again.
TEST_CASE("a caller that waits for Retry-After is admitted") {
  for (const double rate : {0.5, 3.0, 100.0}) {
    CAPTURE(rate);
    AccountLedger ledger;
    ledger.SetLimits(kAccount, {.requests_per_second = rate}, BucketStart::kFull, kStart);
    TimePoint now = kStart;
    for (std::uint64_t i = 0; i < 500; ++i) {
      const AdmitDecision decision = ledger.Admit(Input(i), now);
      if (decision.admitted) continue;
      now += decision.retry_after + std::chrono::microseconds(1);
      REQUIRE(ledger.Admit(Input(i), now).admitted);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::admission
