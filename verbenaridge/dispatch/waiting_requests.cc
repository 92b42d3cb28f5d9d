#include "verbenaridge/dispatch/waiting_requests.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::dispatch {
namespace {

class ArrivalOrder final : public WaitingRequests {
 public:
  void OnArrival(const WaitingRequest& /*request*/, TimePoint /*now*/) override {}
  void OnStart(Digest /*account*/, EngineSeconds /*cost*/, bool /*here*/,
               TimePoint /*now*/) override {}
  bool MayStartNow(const WaitingRequest& /*request*/, TimePoint /*now*/) override { return true; }

  void Add(const WaitingRequest& request) override {
    positions_.insert(PositionOf(request));
    requests_.emplace(request.id, request);
  }

  void Remove(std::uint64_t id, bool /*started*/) override {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    positions_.erase(PositionOf(found->second));
    requests_.erase(found);
  }

  void SetWaitsForSlot(std::uint64_t /*id*/, bool /*waits*/) override {}

  std::vector<std::uint64_t> InOrder(TimePoint now, std::size_t count) override {
    std::vector<std::uint64_t> order;
    std::vector<std::uint64_t> late;
    for (const auto& [urgency, arrived, id] : positions_) {
      (now < requests_.at(id).latest_start ? order : late).push_back(id);
    }
    order.insert(order.end(), late.begin(), late.end());
    if (order.size() > count) order.resize(count);
    return order;
  }

  std::vector<WaitingRefusal> Refusals(std::size_t /*slots*/, TimePoint /*now*/) override {
    return {};
  }
  std::size_t size() const override { return requests_.size(); }

 private:
  using Position = std::tuple<int, TimePoint, std::uint64_t>;

  static Position PositionOf(const WaitingRequest& request) {
    return {request.urgency, request.arrived, request.id};
  }

  std::map<std::uint64_t, WaitingRequest> requests_;
  std::set<Position> positions_;
};

// Late requests catch up on no more than this after a time without any.
constexpr double kMaxLateCredit = 10;

class OverloadOrder final : public WaitingRequests {
 public:
  OverloadOrder(RandomSource& random, const OverloadOptions& options)
      : random_(random), options_(options), shares_(options.shares), forecast_(options.forecast) {}

  void OnArrival(const WaitingRequest& /*request*/, TimePoint now) override {
    forecast_.OnArrival(now);
  }

  void OnStart(Digest account, EngineSeconds cost, bool here, TimePoint now) override {
    shares_.OnStart(account, cost, now);
    if (!here) return;
    forecast_.OnStart(now);
    late_credit_ = std::min(late_credit_ + options_.late_share, kMaxLateCredit);
  }

  bool MayStartNow(const WaitingRequest& request, TimePoint now) override;
  void Add(const WaitingRequest& request) override;
  void Remove(std::uint64_t id, bool started) override;
  void SetWaitsForSlot(std::uint64_t id, bool waits) override;
  std::vector<std::uint64_t> InOrder(TimePoint now, std::size_t count) override;
  std::vector<WaitingRefusal> Refusals(std::size_t slots, TimePoint now) override;
  std::size_t size() const override { return requests_.size(); }

 private:
  enum class Stage : std::uint8_t { kInProgress, kInTime, kLate };
  // Within a stage by urgency and the latest start; of late ones: by the time at which their
  // clients leave.
  using Position = std::tuple<int, TimePoint, std::uint64_t>;
  struct Entry {
    WaitingRequest request;
    Stage stage = Stage::kInTime;
    bool waits_for_slot = false;
  };

  static Position PositionOf(const Entry& entry) {
    const WaitingRequest& request = entry.request;
    return entry.stage == Stage::kLate
               ? Position{0, request.abandoned, request.id}
               : Position{request.urgency, request.latest_start, request.id};
  }
  std::set<Position>& PositionsOf(Stage stage) {
    return positions_[static_cast<std::size_t>(stage)];
  }
  // Whether a request with this digest was refused lately. Older refusals are removed only while
  // others wait.
  bool WasRefused(const WaitingRequest& request) const;
  // Moves requests that can no longer meet their target.
  void MoveLate(TimePoint now);
  void AppendInTime(TimePoint now, std::size_t count, std::vector<std::uint64_t>& order);
  WaitingRefusal RefusalOf(const WaitingRequest& request, std::size_t slots, bool over_share,
                           TimePoint now);

  RandomSource& random_;
  const OverloadOptions options_;
  FairShares shares_;
  RoomForecast forecast_;
  double late_credit_ = 0;                       // starts that late requests may have before others
  std::ptrdiff_t in_progress_without_slot_ = 0;  // responses in progress that wait for one
  std::map<std::uint64_t, Entry> requests_;
  std::set<Position> positions_[3];                                // by stage
  std::unordered_map<Digest, TimePoint> refused_;                  // by digest
  std::set<std::pair<TimePoint, std::uint64_t>> by_latest_start_;  // of those that are in time
};

bool OverloadOrder::WasRefused(const WaitingRequest& request) const {
  const auto found = refused_.find(request.digest);
  return found != refused_.end() && request.arrived - found->second <= options_.refusal_memory;
}

void OverloadOrder::MoveLate(TimePoint now) {
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
    Entry& entry = requests_.at(by_latest_start_.begin()->second);
    by_latest_start_.erase(by_latest_start_.begin());
    if (Mutated(Mutation::kKeepLateInTime)) continue;
    PositionsOf(entry.stage).erase(PositionOf(entry));
    entry.stage = Stage::kLate;
    PositionsOf(entry.stage).insert(PositionOf(entry));
  }
}

bool OverloadOrder::MayStartNow(const WaitingRequest& request, TimePoint now) {
  if (request.in_progress || requests_.empty()) return true;
  if (in_progress_without_slot_ > 0) return false;
  MoveLate(now);
  const auto& in_time = PositionsOf(Stage::kInTime);
  if (in_time.empty()) return true;
  if (WasRefused(request) || request.latest_start <= now) return false;
  const int most_urgent = std::get<0>(*in_time.begin());
  if (most_urgent != request.urgency) return request.urgency < most_urgent;
  return !shares_.IsOverShare(request.account, now);
}

void OverloadOrder::Add(const WaitingRequest& request) {
  Stage stage = request.in_progress ? Stage::kInProgress : Stage::kInTime;
  Entry entry{.request = request};
  if (WasRefused(request)) {
    if (stage == Stage::kInTime) stage = Stage::kLate;
    entry.request.refusable = false;
  }
  entry.stage = stage;
  requests_[request.id] = entry;
  PositionsOf(stage).insert(PositionOf(entry));
  if (stage == Stage::kInTime) by_latest_start_.insert({request.latest_start, request.id});
  shares_.OnWait(request.account, request.cost);
}

void OverloadOrder::Remove(std::uint64_t id, bool started) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const Entry& entry = found->second;
  SetWaitsForSlot(id, false);
  if (started && entry.stage == Stage::kLate) late_credit_ = std::max(late_credit_ - 1, 0.0);
  PositionsOf(entry.stage).erase(PositionOf(entry));
  by_latest_start_.erase({entry.request.latest_start, id});
  shares_.OnLeave(entry.request.account, entry.request.cost);
  requests_.erase(found);
}

void OverloadOrder::SetWaitsForSlot(std::uint64_t id, bool waits) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.waits_for_slot == waits) return;
  found->second.waits_for_slot = waits;
  if (found->second.stage != Stage::kInProgress) return;
  in_progress_without_slot_ += waits ? 1 : -1;
}

void OverloadOrder::AppendInTime(TimePoint now, std::size_t count,
                                 std::vector<std::uint64_t>& order) {
  std::vector<std::uint64_t> over_share;
  int urgency = 0;
  const auto append_over_share = [&] {
    if (Mutated(Mutation::kLoseOverShare)) return;
    for (const std::uint64_t id : over_share) {
      if (order.size() < count) order.push_back(id);
    }
    over_share.clear();
  };
  for (const Position& position : PositionsOf(Stage::kInTime)) {
    if (std::get<0>(position) != urgency) append_over_share();
    if (order.size() >= count) return;
    urgency = std::get<0>(position);
    const std::uint64_t id = std::get<2>(position);
    const bool over = shares_.IsOverShare(requests_.at(id).request.account, now);
    (over ? over_share : order).push_back(id);
  }
  append_over_share();
}

std::vector<std::uint64_t> OverloadOrder::InOrder(TimePoint now, std::size_t count) {
  MoveLate(now);
  std::vector<std::uint64_t> order;
  for (const Position& position : PositionsOf(Stage::kInProgress)) {
    if (order.size() < count) order.push_back(std::get<2>(position));
  }
  const auto& late = PositionsOf(Stage::kLate);
  const auto& in_time = PositionsOf(Stage::kInTime);
  std::vector<std::uint64_t> others;  // late ones that may wait
  double credit = late_credit_;
  for (const Position& position : late) {
    if (order.size() + others.size() >= count) break;
    const WaitingRequest& request = requests_.at(std::get<2>(position)).request;
    const bool yields = !in_time.empty() && std::get<0>(*in_time.begin()) < request.urgency;
    if (credit >= 1 && !yields) {
      order.push_back(request.id);
      --credit;
    } else {
      others.push_back(request.id);
    }
  }
  AppendInTime(now, count, order);
  for (const std::uint64_t id : others) {
    if (order.size() < count) order.push_back(id);
  }
  return order;
}

WaitingRefusal OverloadOrder::RefusalOf(const WaitingRequest& request, std::size_t slots,
                                        bool over_share, TimePoint now) {
  if (request.digest != 0 && refused_.size() < options_.max_remembered) {
    refused_[request.digest] = now;
  }
  return {.id = request.id,
          .reason = over_share ? RefusalReason::kOverShare : RefusalReason::kNoRoom,
          .retry_after = forecast_.RetryAfter(slots, request.urgency, random_, now),
          .used = shares_.Used(request.account, now),
          .share = shares_.Level(now)};
}

std::vector<WaitingRefusal> OverloadOrder::Refusals(std::size_t slots, TimePoint now) {
  MoveLate(now);
  std::erase_if(refused_,
                [&](const auto& entry) { return now - entry.second > options_.refusal_memory; });
  std::vector<WaitingRefusal> refusals;
  const auto refusable = [](const Entry& entry) {
    const bool may_refuse = entry.request.refusable || Mutated(Mutation::kRefuseRun);
    return may_refuse && entry.waits_for_slot;
  };
  const auto& in_time = PositionsOf(Stage::kInTime);
  std::size_t ahead = 0;
  std::size_t checked = 0;
  for (const Position& position : PositionsOf(Stage::kLate)) {
    if (++checked > options_.max_refusals) break;
    const Entry& entry = requests_.at(std::get<2>(position));
    const Duration wait = forecast_.Wait(ahead, options_.late_share, now);
    const bool in_sight = now + wait < entry.request.abandoned;
    if (!in_sight && refusable(entry)) {
      refusals.push_back(RefusalOf(entry.request, slots, /*over_share=*/false, now));
    } else {
      ++ahead;
    }
  }
  if (!forecast_.IsSaturated(now)) return refusals;
  for (const Position& position : in_time) {
    if (++checked > options_.max_refusals) break;
    const Entry& entry = requests_.at(std::get<2>(position));
    if (!refusable(entry) || !shares_.Floods(entry.request.account, now)) continue;
    refusals.push_back(RefusalOf(entry.request, slots, /*over_share=*/true, now));
  }
  return refusals;
}

}  // namespace

std::string_view ToText(RefusalReason reason) {
  return reason == RefusalReason::kOverShare ? "over_share" : "no_room";
}

std::unique_ptr<WaitingRequests> MakeArrivalOrder() { return std::make_unique<ArrivalOrder>(); }

std::unique_ptr<WaitingRequests> MakeOverloadOrder(RandomSource& random,
                                                   const OverloadOptions& options) {
  return std::make_unique<OverloadOrder>(random, options);
}

}  // namespace verbenaridge::dispatch
