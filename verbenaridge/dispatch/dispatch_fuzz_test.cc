// Random histories of the load board, the retry budget and the endpoint table against oracles that
// keep everything and compute anew. Longer runs: RC_PARAMS="max_success=20000" dispatch_fuzz_test
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

struct BoardOracle {
  struct Item {
    EndpointTask work;
    TimePoint begun{};
    bool decoding = false;
  };
  std::map<TaskId, Item> items;

  void Check(LoadTable& board, TimePoint now) {
    RC_ASSERT(board.size() == items.size());
    for (Digest endpoint = 1; endpoint <= 3; ++endpoint) {
      std::size_t tasks = 0;
      std::size_t decoding = 0;
      TokenCount kv = 0;
      Duration most{};
      for (const auto& [id, item] : items) {
        if (item.work.endpoint != endpoint) continue;
        ++tasks;
        kv += item.work.kv_tokens;
        decoding += item.decoding ? 1 : 0;
        if (!item.decoding) most += std::max<Duration>(item.work.prefill_time, milliseconds(10));
      }
      const EndpointLoad load = board.Load(endpoint, now);
      RC_ASSERT(load.tasks == tasks);
      RC_ASSERT(load.decoding.sequences == decoding);
      RC_ASSERT(load.kv_tokens == kv);
      RC_ASSERT(load.reading >= Duration{});
      RC_ASSERT(load.reading <= most);
      RC_ASSERT(std::is_sorted(load.readers.begin(), load.readers.end(),
                               [](const auto& a, const auto& b) { return a.finish < b.finish; }));
    }
  }
};

// Guards against work that is lost, counted twice or kept after its end, in any order of messages.
bool LoadBoardHolds() {
  return rc::check("load board", [] {
    ManualClock clock;
    LoadTable board;
    BoardOracle oracle;
    const int steps = Draw(60);
    for (int step = 0; step < steps; ++step) {
      const Incarnation host = static_cast<Incarnation>(1 + Draw(3));
      const TaskId id = FirstTaskId(host) + static_cast<TaskId>(Draw(6));
      switch (Draw(6)) {
        case 0:
        case 1: {
          const EndpointTask work{.id = id,
                                  .endpoint = static_cast<Digest>(1 + Draw(3)),
                                  .prefill_time = milliseconds(1 + Draw(500)),
                                  .kv_tokens = Draw(1000),
                                  .lifetime = milliseconds(1 + Draw(2000)),
                                  .partial_prefill = Draw(2) == 0};
          board.Begin(work, clock.Now());
          oracle.items.try_emplace(id, BoardOracle::Item{work, clock.Now()});
          break;
        }
        case 2:
          board.OnFirstEvent(id, clock.Now());
          if (oracle.items.contains(id)) oracle.items[id].decoding = true;
          break;
        case 3:
          board.End(id, clock.Now());
          oracle.items.erase(id);
          break;
        case 4:
          board.EndAllOf(host, clock.Now());
          std::erase_if(oracle.items, [&](const auto& entry) {
            return entry.first >> kTaskSequenceBits == host;
          });
          break;
        default:
          clock.Advance(milliseconds(Draw(300)));
          board.RemoveExpired(clock.Now());
          std::erase_if(oracle.items, [&](const auto& entry) {
            return entry.second.begun + entry.second.work.lifetime <= clock.Now();
          });
      }
      oracle.Check(board, clock.Now());
    }
  });
}

// Guards against hosts that together send more than the budget in any window.
bool RetryBudgetsHold() {
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
      // The requests of the window before pay for retries of this one.
      const auto paying = std::count_if(requests.begin(), requests.end(), [&](TimePoint time) {
        return clock.Now() - time <= 2 * options.window;
      });
      RC_ASSERT(static_cast<double>(in_window(retries)) <=
                options.ratio * static_cast<double>(paying) + options.slack);
    }
  });
}

// Guards against endpoints that are lost or kept wrongly over outages of the store.
bool EndpointTableHolds() {
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

// Guards against oracles that cannot fail.
TEST_CASE("the fuzz tests catch each fault") {
  struct Row {
    std::string_view name;
    Mutation mutation;
    bool (*holds)();
  };
  const Row rows[] = {
      {"a repeated begin counts", Mutation::kCountWorkTwice, LoadBoardHolds},
      {"ended work stays", Mutation::kKeepEndedWork, LoadBoardHolds},
      {"expired work stays", Mutation::kKeepExpiredWork, LoadBoardHolds},
      {"the work of a dead host stays", Mutation::kForgetNoHost, LoadBoardHolds},
      {"the slack is spent by each host", Mutation::kSlackForEach, RetryBudgetsHold},
      {"old requests pay for retries", Mutation::kOldRequestsPay, RetryBudgetsHold},
      {"lapsed entries are gone at once", Mutation::kForgetInOutage, EndpointTableHolds},
      {"removed entries stay", Mutation::kKeepRemoved, EndpointTableHolds},
      {"endpoints do not leave", Mutation::kIgnoreLeaving, EndpointTableHolds},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    active_mutation = row.mutation;
    CHECK_FALSE(row.holds());
    active_mutation = Mutation::kNone;
  }
}

#else

TEST_CASE("load board against an oracle") { CHECK(LoadBoardHolds()); }
TEST_CASE("retry budgets against an oracle") { CHECK(RetryBudgetsHold()); }
TEST_CASE("endpoint table against an oracle") { CHECK(EndpointTableHolds()); }

#endif

}  // namespace
}  // namespace verbenaridge::dispatch
