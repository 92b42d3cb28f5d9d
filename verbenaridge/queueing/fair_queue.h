// Queue of one endpoint: fair by cost between client accounts, strict between priorities with
// minimum shares.
//
// Within a priority, the queue uses start-time fair queueing: a client account's next request gets
// the start tag max(virtual time, the account's last finish tag), and the smallest start tag is
// served first. Within a client account, requests are ordered by arrival time plus
// `short_first_factor` times their cost. A short request thus overtakes a longer one, which is only
// overtaken by requests that arrive within factor x cost after it. Between priorities the order is
// strict, with one exception: a priority with queued requests whose fraction of the cost served in
// the sliding window is below its minimum share goes first. Push, Pop and Remove are O(log n).
//
//   FairQueue queue(QueueOptions{.max_items_per_priority = 1000});
//   queue.Push({.id = 7, .account = account, .priority = Priority::kUrgent, .cost = 0.3}, now);
//   std::optional<QueueItem> next = queue.Pop(now, [&](const QueueItem& i) { return Fits(i); });
#ifndef VERBENARIDGE_QUEUEING_FAIR_QUEUE_H_
#define VERBENARIDGE_QUEUEING_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/queueing/served_window.h"

namespace verbenaridge::queueing {

struct QueueOptions {
  std::size_t max_items_per_priority = 2'000;
  std::array<double, kPriorityCount> min_share = {0, 0.10, 0.05};
  Duration share_window = std::chrono::seconds(30);
  double short_first_factor = 4;  // seconds of arrival time per second of cost
  // Number of client accounts whose first request one Pop tries. A large request that does not fit
  // must not block small ones, and the limit bounds the cost of Pop.
  std::size_t max_heads_tried = 8;
};

struct QueueItem {
  std::uint64_t id = 0;
  ClientAccountId account;
  Priority priority = Priority::kStandard;
  double cost = 0;    // seconds of endpoint time
  double weight = 1;  // of the client account
  TimePoint enqueued{};
};

struct PushResult {
  bool accepted = false;
  std::optional<QueueItem> dropped;  // removed to make room for the accepted item
};

// Used by one thread.
class FairQueue {
 public:
  using Fits = std::function<bool(const QueueItem&)>;

  explicit FairQueue(QueueOptions options = {});

  // Adds a request. If the priority is full, drops the newest request of the client account with
  // the largest backlog. If that is the pushed request, it is not accepted. `item.id` must be
  // unused.
  PushResult Push(QueueItem item, TimePoint now);

  // Removes and returns the next request that fits, or nothing. Charges its cost to its client
  // account and priority.
  std::optional<QueueItem> Pop(TimePoint now, const Fits& fits);

  // Removes a request without charging its cost. Returns false if it is not queued.
  bool Remove(std::uint64_t id);

  // Returns the priorities in the order in which Pop would try them now.
  std::array<Priority, kPriorityCount> Order(TimePoint now);

  // Estimates the cost that is served before a new request of the account: roughly the account's
  // own backlog, times the weights of all accounts with queued requests over its own weight, and at
  // most the priority's backlog.
  double CostAhead(Priority priority, const ClientAccountId& account, double weight) const;

  // Estimates the same for an account of average weight that has no queued request.
  double NewcomerCostAhead(Priority priority) const;

  // Whether the priority had more than its minimum share of the cost served in the window.
  bool AboveShare(Priority priority, TimePoint now);

  // Charges requests that bypassed the queue, such as permits presented after an owner change.
  void ChargePriority(Priority priority, double cost, TimePoint now);

  std::size_t size() const { return items_.size(); }
  std::size_t size(Priority priority) const { return lanes_[Rank(priority)].items; }
  double backlog_cost(Priority priority) const { return lanes_[Rank(priority)].backlog; }

 private:
  // A tag or backlog, and the flow's number, which makes the order of ties deterministic.
  using Key = std::pair<double, std::uint64_t>;

  struct Flow {
    std::uint64_t number = 0;
    double finish_tag = 0;
    double start_tag = 0;  // of the first request, while the flow has any
    double backlog = 0;
    double weight = 1;                                           // of the newest request
    std::set<std::pair<TimePoint, std::uint64_t>> order;         // service key, id
    std::set<std::pair<std::uint64_t, std::uint64_t>> arrivals;  // sequence, id; oldest first
  };
  struct Lane {
    std::unordered_map<ClientAccountId, Flow> flows;
    std::map<Key, Flow*> heads;     // by start tag
    std::map<Key, Flow*> backlogs;  // largest last
    std::uint64_t next_flow = 0;
    std::size_t flows_after_removal = 0;
    double virtual_time = 0;
    double backlog = 0;
    double active_weight = 0;  // sum over flows with queued requests
    std::size_t items = 0;
  };
  struct Entry {
    QueueItem item;
    std::uint64_t sequence = 0;
    TimePoint key{};
    Flow* flow = nullptr;
  };

  void SetBacklog(Lane& lane, Flow& flow, double backlog);
  QueueItem Take(std::uint64_t id);
  std::optional<QueueItem> PopFrom(Lane& lane, const Fits& fits);
  std::uint64_t NewestOfLargestBacklog(const Lane& lane) const;
  void RemoveIdleFlows(Lane& lane);

  QueueOptions options_;
  std::array<Lane, kPriorityCount> lanes_;
  std::unordered_map<std::uint64_t, Entry> items_;
  std::uint64_t next_sequence_ = 1;
  ServedWindow window_;
};

}  // namespace verbenaridge::queueing

#endif  // VERBENARIDGE_QUEUEING_FAIR_QUEUE_H_
