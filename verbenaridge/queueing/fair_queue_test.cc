#include "verbenaridge/queueing/fair_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "verbenaridge/base/random.h"

namespace verbenaridge::queueing {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
const FairQueue::Fits kAnyItem = [](const QueueItem&) { return true; };

QueueItem Item(std::uint64_t id, const char* account, double cost,
               Priority priority = Priority::kStandard, double weight = 1) {
  return {.id = id,
          .account = ClientAccountId(account),
          .priority = priority,
          .cost = cost,
          .weight = weight,
          .enqueued = {}};
}

// Guards against a large client account that gets more than its weight while others wait.
TEST_CASE("served cost follows the weights, not the demand") {
  struct Row {
    const char* name;
    int small_items;
    double small_cost, large_cost, small_weight, large_weight;
    double low, high;  // small account's fraction of the served cost
  };
  const Row rows[] = {{"equal weights, large asks more", 300, 1, 1, 1, 1, 0.49, 0.51},
                      {"equal weights, large sends longer prompts", 300, 1, 10, 1, 1, 0.45, 0.55},
                      {"triple weight", 900, 1, 1, 3, 1, 0.74, 0.76},
                      {"small asks little", 20, 1, 1, 1, 1, 0.03, 0.04}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      FairQueue queue({.max_items_per_priority = 10'000});
      std::uint64_t id = 0;
      for (int i = 0; i < 2'000; ++i) {
        queue.Push(Item(++id, "large", row.large_cost, Priority::kStandard, row.large_weight),
                   kStart);
      }
      for (int i = 0; i < row.small_items; ++i) {
        queue.Push(Item(++id, "small", row.small_cost, Priority::kStandard, row.small_weight),
                   kStart);
      }
      std::map<std::string, double> served;
      while (served["large"] + served["small"] < 550) {
        const QueueItem item = *queue.Pop(kStart, kAnyItem);
        served[item.account.value()] += item.cost;
      }
      const double part = served["small"] / (served["small"] + served["large"]);
      CHECK(part >= row.low);
      CHECK(part <= row.high);
    }
  }
}

// Guards against starvation of lower priorities, and against minimum shares that take more from
// urgent requests than is configured.
TEST_CASE("each priority gets its minimum share and no more") {
  struct Row {
    const char* name;
    bool urgent, standard, background;  // priorities with a flood
    std::array<double, kPriorityCount> share;
  };
  const Row rows[] = {{"all flood", true, true, true, {0.85, 0.10, 0.05}},
                      {"no background", true, true, false, {0.90, 0.10, 0}},
                      {"urgent and background", true, false, true, {0.95, 0, 0.05}},
                      {"no urgent", false, true, true, {0, 0.95, 0.05}}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      FairQueue queue;
      const std::array<bool, kPriorityCount> floods = {row.urgent, row.standard, row.background};
      std::array<double, kPriorityCount> served{};
      std::uint64_t id = 0;
      TimePoint now = kStart;
      for (int step = 0; step < 4'000; ++step) {
        now += std::chrono::milliseconds(50);
        for (const Priority priority : kAllPriorities) {
          if (floods[Rank(priority)] && queue.size(priority) < 10) {
            queue.Push(Item(++id, "a", 0.05, priority), now);
          }
        }
        const QueueItem item = *queue.Pop(now, kAnyItem);
        served[Rank(item.priority)] += item.cost / 200;
      }
      for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
        CAPTURE(rank);
        CHECK(served[rank] == doctest::Approx(row.share[rank]).epsilon(0.1));
      }
    }
  }
}

// Guards against an unbounded queue, and against dropping the request of a small client account.
TEST_CASE("a full queue drops the newest request of the largest backlog") {
  struct Row {
    const char* name;
    const char* newcomer;
    double cost;
    bool accepted;
    std::uint64_t dropped;  // 0: none
  };
  const Row rows[] = {{"small account", "small", 1, true, 3},
                      {"large account", "large", 1, false, 0},
                      {"one huge request", "huge", 10, false, 0}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      FairQueue queue({.max_items_per_priority = 4});
      queue.Push(Item(1, "large", 1), kStart);
      queue.Push(Item(2, "large", 1), kStart);
      queue.Push(Item(3, "large", 1), kStart);
      queue.Push(Item(4, "small", 1), kStart);
      const PushResult result = queue.Push(Item(5, row.newcomer, row.cost), kStart);
      CHECK(result.accepted == row.accepted);
      CHECK((result.dropped ? result.dropped->id : 0) == row.dropped);
      CHECK(queue.size() == 4);
    }
  }
}

// Guards against short requests stuck behind long ones of the same account, and against starvation
// of the long ones.
TEST_CASE("a short request overtakes a long one of its account for a limited time") {
  struct Row {
    const char* name;
    Duration short_arrives_after;
    std::uint64_t first;
  };
  const Row rows[] = {{"short overtakes", std::chrono::seconds(5), 2},
                      {"long has waited its limit", std::chrono::seconds(41), 1}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      FairQueue queue({.short_first_factor = 4});
      queue.Push(Item(1, "a", 10), kStart);
      queue.Push(Item(2, "a", 0.1), kStart + row.short_arrives_after);
      CHECK(queue.Pop(kStart + row.short_arrives_after, kAnyItem)->id == row.first);
    }
  }
}

// Guards against inconsistent indexes after random pushes, removals and pops, which lose or
// duplicate a request or serve one that was removed.
TEST_CASE("random operations keep every request exactly once") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    FairQueue queue({.max_items_per_priority = 20});
    std::map<std::uint64_t, bool> waiting;
    TimePoint now = kStart;
    for (std::uint64_t id = 1; id <= 2'000; ++id) {
      now += std::chrono::milliseconds(random.Below(100));
      const std::string account = "a" + std::to_string(random.Below(5));
      const auto priority = static_cast<Priority>(random.Below(3));
      const PushResult pushed =
          queue.Push(Item(id, account.c_str(), random.Uniform(), priority), now);
      if (pushed.accepted) waiting[id] = true;
      if (pushed.dropped) REQUIRE(waiting.erase(pushed.dropped->id) == 1);
      if (random.Below(3) == 0) {
        const std::uint64_t left = 1 + random.Below(id);
        REQUIRE(queue.Remove(left) == (waiting.erase(left) == 1));
      }
      if (random.Below(2) == 0) {
        const auto fits = [&](const QueueItem& item) { return item.cost < 0.7; };
        if (const auto item = queue.Pop(now, fits)) REQUIRE(waiting.erase(item->id) == 1);
      }
      REQUIRE(queue.size() == waiting.size());
    }
    while (const auto item = queue.Pop(now, kAnyItem)) REQUIRE(waiting.erase(item->id) == 1);
    CHECK(waiting.empty());
    for (const Priority priority : kAllPriorities) CHECK(queue.backlog_cost(priority) == 0);
  }
}

}  // namespace
}  // namespace verbenaridge::queueing
