#include "verbenaridge/queueing/fair_queue.h"

#include <algorithm>

namespace verbenaridge::queueing {

namespace {

// Idle flows are kept for their finish tags. Above this number of flows, those are removed whose
// finish tag the virtual time has reached.
constexpr std::size_t kMaxFlows = 4'096;

// Changes a key without an allocation.
template <class Map>
void Rekey(Map& map, const typename Map::key_type& from, const typename Map::key_type& to) {
  auto node = map.extract(from);
  node.key() = to;
  map.insert(std::move(node));
}

}  // namespace

FairQueue::FairQueue(QueueOptions options) : options_(options), window_(options.share_window) {}

void FairQueue::SetBacklog(Lane& lane, Flow& flow, double backlog) {
  const Key from{flow.backlog, flow.number}, to{backlog, flow.number};
  const bool listed = flow.backlog > 0;
  lane.backlog += backlog - flow.backlog;
  flow.backlog = backlog;
  if (listed && backlog > 0) {
    Rekey(lane.backlogs, from, to);
  } else if (listed) {
    lane.backlogs.erase(from);
  } else if (backlog > 0) {
    lane.backlogs.emplace(to, &flow);
  }
}

void FairQueue::RemoveIdleFlows(Lane& lane) {
  if (lane.flows.size() <= std::max(kMaxFlows, lane.flows_after_removal * 2)) return;
  std::erase_if(lane.flows, [&](const auto& entry) {
    return entry.second.order.empty() && entry.second.finish_tag <= lane.virtual_time;
  });
  lane.flows_after_removal = lane.flows.size();
}

std::uint64_t FairQueue::NewestOfLargestBacklog(const Lane& lane) const {
  const Flow* flow = lane.backlogs.rbegin()->second;
  return flow->arrivals.rbegin()->second;
}

PushResult FairQueue::Push(QueueItem item, TimePoint now) {
  Lane& lane = lanes_[Rank(item.priority)];
  // A cost of zero would not advance the tags or the backlog.
  item.cost = std::max(item.cost, 1e-6);
  item.enqueued = now;
  RemoveIdleFlows(lane);
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
  flow.arrivals.insert({sequence, id});
  SetBacklog(lane, flow, flow.backlog + item.cost);
  ++lane.items;
  items_.emplace(id, Entry{std::move(item), sequence, key, &flow});

  if (lane.items <= options_.max_items_per_priority) return {.accepted = true, .dropped = {}};
  QueueItem dropped = Take(NewestOfLargestBacklog(lane));
  if (dropped.id == id) return {.accepted = false, .dropped = {}};
  return {.accepted = true, .dropped = std::move(dropped)};
}

// Removes an item from all indexes. Charges nothing.
QueueItem FairQueue::Take(std::uint64_t id) {
  const auto found = items_.find(id);
  Entry entry = std::move(found->second);
  items_.erase(found);
  Lane& lane = lanes_[Rank(entry.item.priority)];
  Flow& flow = *entry.flow;
  flow.order.erase({entry.key, id});
  flow.arrivals.erase({entry.sequence, id});
  --lane.items;
  // The backlog of an empty flow is exactly zero, regardless of rounding errors.
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
    flow.finish_tag = finish;
    if (flow.order.size() > 1) {
      Rekey(lane.heads, head->first, Key{finish, flow.number});
      flow.start_tag = finish;
    }
    return Take(id);
  }
  return std::nullopt;
}

std::array<Priority, kPriorityCount> FairQueue::Order(TimePoint now) {
  window_.Advance(now);
  std::array<Priority, kPriorityCount> order = kAllPriorities;
  const double total = window_.total();
  // How far each priority is below its minimum share. At or above it, only the rank decides.
  const auto deficit = [&](Priority priority) {
    const double share = options_.min_share[Rank(priority)];
    if (share <= 0 || size(priority) == 0 || total <= 0) return 0.0;
    return std::max(0.0, 1 - window_.served(priority) / (total * share));
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](Priority a, Priority b) { return deficit(a) > deficit(b); });
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
