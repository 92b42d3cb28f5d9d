// Compares random histories of the load table, the retry budget and the endpoint table with oracles
// that store everything and recompute each result. Longer runs: RC_PARAMS="max_success=20000"
// dispatch_fuzz_test
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/dispatch/load_table.h"
#include "verbenaridge/dispatch/retry_budget.h"
#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::dispatch {
namespace {

using std::chrono::milliseconds;

int Draw(int bound) { return *rc::gen::inRange(0, bound); }

struct TableOracle {
  struct Entry {
    EndpointTask task;
    TimePoint begun{};
    bool decoding = false;
  };
  std::map<TaskId, Entry> entries;

  void Check(LoadTable& table, TimePoint now) {
    RC_ASSERT(table.size() == entries.size());
    for (Digest endpoint = 1; endpoint <= 3; ++endpoint) {
      std::size_t tasks = 0;
      std::size_t decoding = 0;
      TokenCount kv = 0;
      Duration max_prefill{};
      for (const auto& [id, entry] : entries) {
        if (entry.task.endpoint != endpoint) continue;
        ++tasks;
        kv += entry.task.kv_tokens;
        decoding += entry.decoding ? 1 : 0;
        if (!entry.decoding)
          max_prefill += std::max<Duration>(entry.task.prefill_time, milliseconds(10));
      }
      const EndpointLoad load = table.Load(endpoint, now);
      RC_ASSERT(load.tasks == tasks);
      RC_ASSERT(load.decoding.sequences == decoding);
      RC_ASSERT(load.kv_tokens == kv);
      RC_ASSERT(load.prefill_time >= Duration{});
      RC_ASSERT(load.prefill_time <= max_prefill);
      RC_ASSERT(std::is_sorted(load.pending_prefills.begin(), load.pending_prefills.end(),
                               [](const auto& a, const auto& b) { return a.finish < b.finish; }));
    }
  }
};

// Guards against tasks that are lost, counted twice or kept after their end, in any order of
// messages.
bool LoadTableMatchesOracle() {
  return rc::check("load table", [] {
    ManualClock clock;
    LoadTable table;
    TableOracle oracle;
    const int steps = Draw(60);
    for (int step = 0; step < steps; ++step) {
      const Incarnation host = static_cast<Incarnation>(1 + Draw(3));
      const TaskId id = FirstTaskId(host) + static_cast<TaskId>(Draw(6));
      switch (Draw(6)) {
        case 0:
        case 1: {
          const EndpointTask task{.id = id,
                                  .endpoint = static_cast<Digest>(1 + Draw(3)),
                                  .prefill_time = milliseconds(1 + Draw(500)),
                                  .kv_tokens = Draw(1000),
                                  .lifetime = milliseconds(1 + Draw(2000)),
                                  .partial_prefill = Draw(2) == 0};
          table.Begin(task, clock.Now());
          oracle.entries.try_emplace(id, TableOracle::Entry{task, clock.Now()});
          break;
        }
        case 2:
          table.OnFirstEvent(id, clock.Now());
          if (oracle.entries.contains(id)) oracle.entries[id].decoding = true;
          break;
        case 3:
          table.End(id, clock.Now());
          oracle.entries.erase(id);
          break;
        case 4:
          table.EndAllOf(host, clock.Now());
          std::erase_if(oracle.entries, [&](const auto& entry) {
            return entry.first >> kTaskSequenceBits == host;
          });
          break;
        default:
          clock.Advance(milliseconds(Draw(300)));
          table.RemoveExpired(clock.Now());
          std::erase_if(oracle.entries, [&](const auto& entry) {
            return entry.second.begun + entry.second.task.lifetime <= clock.Now();
          });
      }
      oracle.Check(table, clock.Now());
    }
  });
}

// Guards against hosts that together send more retries than the budget in any window.
bool RetryBudgetsStayWithinBound() {
  return rc::check("retry budgets of several hosts", [] {
    const RetryBudgetOptions options{.ratio = 0.2, .window = milliseconds(10'000), .slack = 6};
    ManualClock clock;
    const auto hosts = static_cast<std::size_t>(1 + Draw(6));
    std::vector<RetryBudget> budgets(hosts, RetryBudget(options));
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    const int steps = Draw(300);
    for (int step = 0; step < steps; ++step) {
      RetryBudget& budget = budgets[static_cast<std::size_t>(Draw(static_cast<int>(hosts)))];
      const int action = Draw(4);
      if (action == 0) {
        clock.Advance(milliseconds(Draw(4000)));
      } else if (action == 1) {
        budget.OnRequest(clock.Now());
        requests.push_back(clock.Now());
      } else if (budget.Take(hosts, clock.Now())) {
        retries.push_back(clock.Now());
      }
      const auto in_window = [&](const std::vector<TimePoint>& times) {
        return std::count_if(times.begin(), times.end(),
                             [&](TimePoint time) { return clock.Now() - time <= options.window; });
      };
      // The requests of the previous window also count towards the retries of this one.
      const auto paying = std::count_if(requests.begin(), requests.end(), [&](TimePoint time) {
        return clock.Now() - time <= 2 * options.window;
      });
      RC_ASSERT(static_cast<double>(in_window(retries)) <=
                options.ratio * static_cast<double>(paying) + options.slack);
    }
  });
}

// Guards against endpoints that are lost or kept by mistake during outages of the store.
bool EndpointTableMatchesOracle() {
  return rc::check("endpoint table", [] {
    ManualClock clock;
    const directory::EndpointTableOptions options{};
    directory::EndpointTable table(options);
    std::map<EndpointId, bool> known;  // draining
    TimePoint last{};
    TimePoint keep_until{};
    bool read = false;
    bool failed = false;
    const int steps = Draw(40);
    for (int step = 0; step < steps; ++step) {
      clock.Advance(milliseconds(Draw(1500)));
      if (Draw(3) == 0) {
        table.OnReadFailed(clock.Now());
        failed = true;
        continue;
      }
      std::vector<directory::Endpoint> entries;
      std::map<EndpointId, bool> next;
      for (int i = 0; i < 4; ++i) {
        if (Draw(2) == 0) continue;
        const EndpointId id(std::string("i").append(std::to_string(i)));
        const bool draining = Draw(4) == 0;
        entries.push_back({.id = id, .draining = draining});
        next[id] = draining;
      }
      if (read && failed && clock.Now() - last > options.outage_threshold) {
        keep_until = clock.Now() + options.lapsed_entry_grace;
      }
      if (clock.Now() < keep_until) next.insert(known.begin(), known.end());
      known = next;
      last = clock.Now();
      read = true;
      failed = false;
      table.OnEntriesRead(std::move(entries), clock.Now());
      RC_ASSERT(table.endpoints().size() == known.size());
      for (const directory::Endpoint& endpoint : table.endpoints()) {
        RC_ASSERT(known.contains(endpoint.id));
        RC_ASSERT(known[endpoint.id] == endpoint.draining);
      }
    }
  });
}

#ifdef VERBENARIDGE_MUTABLE

// Guards against oracles that detect nothing.
TEST_CASE("the fuzz tests detect each injected fault") {
  struct Row {
    std::string_view name;
    Mutation mutation;
    bool (*matches)();
  };
  const Row rows[] = {
      {"a repeated begin counts", Mutation::kCountWorkTwice, LoadTableMatchesOracle},
      {"ended tasks stay", Mutation::kKeepEndedWork, LoadTableMatchesOracle},
      {"expired tasks stay", Mutation::kKeepExpiredWork, LoadTableMatchesOracle},
      {"the tasks of a failed host stay", Mutation::kForgetNoHost, LoadTableMatchesOracle},
      {"the slack is spent by each host", Mutation::kSlackForEach, RetryBudgetsStayWithinBound},
      {"old requests pay for retries", Mutation::kOldRequestsPay, RetryBudgetsStayWithinBound},
      {"expired entries are removed at once", Mutation::kForgetInOutage,
       EndpointTableMatchesOracle},
      {"removed entries stay", Mutation::kKeepRemoved, EndpointTableMatchesOracle},
      {"endpoints do not leave", Mutation::kIgnoreLeaving, EndpointTableMatchesOracle},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    active_mutation = row.mutation;
    CHECK_FALSE(row.matches());
    active_mutation = Mutation::kNone;
  }
}

#else

TEST_CASE("the load table matches its oracle") { CHECK(LoadTableMatchesOracle()); }
TEST_CASE("retry budgets stay within the bound of all hosts") {
  CHECK(RetryBudgetsStayWithinBound());
}
TEST_CASE("the endpoint table matches its oracle") { CHECK(EndpointTableMatchesOracle()); }

#endif

}  // namespace
}  // namespace verbenaridge::dispatch
