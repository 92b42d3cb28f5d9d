#include "verbenaridge/queueing/fair_queue.h"

#include <algorithm>

namespace verbenaridge::queueing {

namespace {
// Idle flows are kept for their finish tags; beyond this many the settled ones are dropped.
constexpr std::size_t kMaxFlows = 4'096;
}  // namespace

FairQueue::FairQueue(QueueOptions options) : options_(options), window_(options.share_window) {}

void FairQueue::SetBacklog(Lane& lane, Flow& flow, double backlog) {
  if (flow.backlog > 0) lane.backlogs.erase({flow.backlog, flow.number});
  lane.backlog += backlog - flow.backlog;
  flow.backlog = backlog;
  if (flow.backlog > 0) lane.backlogs.emplace(Key{flow.backlog, flow.number}, &flow);
}

void FairQueue::ForgetIdleFlows(Lane& lane) {
  if (lane.flows.size() <= kMaxFlows) return;
  std::erase_if(lane.flows, [&](const auto& entry) {
    return entry.second.order.empty() && entry.second.finish_tag <= lane.virtual_time;
  });
}

std::uint64_t FairQueue::NewestOfLargest(const Lane& lane) const {
  const Flow* flow = lane.backlogs.rbegin()->second;
  return id_by_sequence_.at(*flow->arrivals.rbegin());
}

PushResult FairQueue::Push(QueueItem item, TimePoint now) {
  Lane& lane = lanes_[Rank(item.priority)];
  // A cost of zero would leave the backlog order and the tags without progress.
  item.cost = std::max(item.cost, 1e-6);
  item.enqueued = now;
  ForgetIdleFlows(lane);
  auto [found, added] = lane.flows.try_emplace(item.account);
  Flow& flow = found->second;
  if (added) flow.number = lane.next_flow++;

  const std::uint64_t id = item.id;
  const TimePoint key = now + FromSeconds(options_.short_first_factor * item.cost);
  const std::uint64_t sequence = next_sequence_++;
  item.weight = std::max(item.weight, 1e-3);
  if (flow.order.empty()) {
    flow.weight = item.weight;
    lane.active_weight += flow.weight;
    flow.start_tag = std::max(lane.virtual_time, flow.finish_tag);
    lane.heads.emplace(Key{flow.start_tag, flow.number}, &flow);
  }
  flow.order.insert({key, id});
  flow.arrivals.insert(sequence);
  SetBacklog(lane, flow, flow.backlog + item.cost);
  ++lane.items;
  id_by_sequence_[sequence] = id;
  items_.emplace(id, Entry{std::move(item), sequence, key, &flow});

  if (lane.items <= options_.max_items_per_priority) return {.accepted = true, .dropped = {}};
  QueueItem dropped = Take(NewestOfLargest(lane));
  if (dropped.id == id) return {.accepted = false, .dropped = {}};
  return {.accepted = true, .dropped = std::move(dropped)};
}

// Removes an item from all indexes. Charges nothing.
QueueItem FairQueue::Take(std::uint64_t id) {
  const auto found = items_.find(id);
  Entry entry = std::move(found->second);
  items_.erase(found);
  id_by_sequence_.erase(entry.sequence);
  Lane& lane = lanes_[Rank(entry.item.priority)];
  Flow& flow = *entry.flow;
  flow.order.erase({entry.key, id});
  flow.arrivals.erase(entry.sequence);
  --lane.items;
  // An empty flow has exactly no backlog, whatever the rounding.
  SetBacklog(lane, flow, flow.order.empty() ? 0 : std::max(flow.backlog - entry.item.cost, 1e-9));
  if (lane.items == 0) lane.backlog = 0;
  if (flow.order.empty()) {
    lane.heads.erase({flow.start_tag, flow.number});
    lane.active_weight = lane.items == 0 ? 0 : lane.active_weight - flow.weight;
  }
  return std::move(entry.item);
}

bool FairQueue::Remove(std::uint64_t id) {
  if (!items_.contains(id)) return false;
  Take(id);
  return true;
}

std::optional<QueueItem> FairQueue::PopFrom(Lane& lane, const Fits& fits) {
  std::size_t tried = 0;
  for (auto head = lane.heads.begin(); head != lane.heads.end() && tried < options_.max_heads_tried;
       ++head, ++tried) {
    Flow& flow = *head->second;
    const QueueItem& first = items_.at(flow.order.begin()->second).item;
    if (!fits(first)) continue;
    const std::uint64_t id = first.id;
    const double finish = flow.start_tag + first.cost / first.weight;
    lane.virtual_time = std::max(lane.virtual_time, flow.start_tag);
    lane.heads.erase(head);
    QueueItem item = Take(id);
    flow.finish_tag = finish;
    if (!flow.order.empty()) {
      flow.start_tag = finish;
      lane.heads.emplace(Key{finish, flow.number}, &flow);
    }
    return item;
  }
  return std::nullopt;
}

std::array<Priority, kPriorityCount> FairQueue::Order(TimePoint now) {
  window_.Advance(now);
  std::array<Priority, kPriorityCount> order = kAllPriorities;
  const double total = window_.total();
  // How far each priority is below its share; at or above it, the rank alone decides.
  const auto lack = [&](Priority priority) {
    const double share = options_.min_share[Rank(priority)];
    if (share <= 0 || size(priority) == 0 || total <= 0) return 0.0;
    return std::max(0.0, 1 - window_.served(priority) / (total * share));
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](Priority a, Priority b) { return lack(a) > lack(b); });
  return order;
}

std::optional<QueueItem> FairQueue::Pop(TimePoint now, const Fits& fits) {
  for (const Priority priority : Order(now)) {
    std::optional<QueueItem> item = PopFrom(lanes_[Rank(priority)], fits);
    if (!item) continue;
    window_.Add(priority, item->cost, now);
    return item;
  }
  return std::nullopt;
}

double FairQueue::CostAhead(Priority priority, const ClientAccountId& account,
                            double weight) const {
  const Lane& lane = lanes_[Rank(priority)];
  if (lane.items == 0) return 0;
  const auto found = lane.flows.find(account);
  const bool active = found != lane.flows.end() && !found->second.order.empty();
  const double own = active ? found->second.backlog : 0;
  const double others = lane.active_weight - (active ? found->second.weight : 0);
  const double mean = lane.backlog / static_cast<double>(lane.items);
  const double served = own + (own + mean) * others / std::max(weight, 1e-3);
  return std::min(lane.backlog, served);
}

double FairQueue::NewcomerCostAhead(Priority priority) const {
  const Lane& lane = lanes_[Rank(priority)];
  if (lane.items == 0) return 0;
  const double mean = lane.backlog / static_cast<double>(lane.items);
  return std::min(lane.backlog, mean * static_cast<double>(lane.heads.size()));
}

bool FairQueue::AboveShare(Priority priority, TimePoint now) {
  window_.Advance(now);
  return window_.served(priority) > window_.total() * options_.min_share[Rank(priority)];
}

void FairQueue::ChargePriority(Priority priority, double cost, TimePoint now) {
  window_.Add(priority, cost, now);
}

}  // namespace verbenaridge::queueing
