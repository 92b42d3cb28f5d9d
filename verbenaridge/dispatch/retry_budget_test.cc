#include "verbenaridge/dispatch/retry_budget.h"

#include <doctest/doctest.h>

#include <vector>

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RetryBudgetOptions kOptions{.ratio = 0.2, .window = seconds(10), .slack = 180};

// Guards against hosts that together exceed the service's budget in any window when the requests
// are distributed unevenly.
TEST_CASE("all hosts together stay within the budget") {
  struct Row {
    const char* name;
    std::vector<int> requests_per_second;  // of each host
  };
  const Row rows[] = {
      {"even", std::vector<int>(18, 3)},
      {"one host has all", {60, 0, 0, 0, 0, 0}},
      {"uneven", {1, 2, 4, 8, 16, 32}},
      {"no requests", {0, 0, 0}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    const std::size_t hosts = row.requests_per_second.size();
    std::vector<RetryBudget> budgets(hosts, RetryBudget(kOptions));
    std::vector<int> retries;   // in each 100 ms
    std::vector<int> requests;  // in each 100 ms
    for (int step = 0; step < 300; ++step) {
      int sent = 0;
      int arrived = 0;
      for (std::size_t host = 0; host < hosts; ++host) {
        const int now = row.requests_per_second[host] * (step % 10 == 0 ? 1 : 0);
        for (int i = 0; i < now; ++i) budgets[host].OnRequest(clock.Now());
        arrived += now;
        for (int i = 0; i < 50; ++i) sent += budgets[host].Take(hosts, clock.Now()) ? 1 : 0;
      }
      retries.push_back(sent);
      requests.push_back(arrived);
      clock.Advance(milliseconds(100));
    }
    constexpr std::size_t kWindow = 100;
    for (std::size_t end = kWindow; end <= retries.size(); ++end) {
      int sent = 0;
      int arrived = 0;
      for (std::size_t i = end - kWindow; i < end; ++i) {
        sent += retries[i];
        arrived += requests[i];
      }
      CHECK(sent <= kOptions.ratio * arrived + kOptions.slack);
    }
  }
}

// Guards against a budget that does not recover.
TEST_CASE("the budget recovers after the window") {
  ManualClock clock;
  RetryBudget budget(kOptions);
  int first = 0;
  while (budget.Take(18, clock.Now())) ++first;
  CHECK(first == 7);  // 0.7 of 180 / 18
  CHECK_FALSE(budget.Take(18, clock.Now()));
  clock.Advance(seconds(11));
  CHECK(budget.Take(18, clock.Now()));
}

}  // namespace
}  // namespace verbenaridge::dispatch
