// The part of Dispatcher that collects the endpoints that may take a request and decides on
// requests that none may take now.
#include <algorithm>
#include <cmath>
#include <utility>

#include "verbenaridge/dispatch/retry_delay.h"
#include "verbenaridge/forwarding/dispatcher.h"

namespace verbenaridge::forwarding {
namespace {

constexpr dispatch::RequestsPerSecond kMinRate = 0.001;
// Clients abandon a stream that has not begun after the longest of these.
constexpr Duration kMinPatience = std::chrono::seconds(2);
constexpr int kTargetLatenciesOfPatience = 4;
constexpr int kTargetGapsOfPatience = 8;

// Of requests that the limits of endpoints leave no room for. The limits may end any time.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(3);

}  // namespace

TimePoint PatienceEnd(const DispatchRequest& request) {
  if (request.demand.target_gap == Duration{}) return request.deadline;
  const Duration patience =
      std::max({kMinPatience, kTargetLatenciesOfPatience * request.demand.target_latency,
                kTargetGapsOfPatience * request.demand.target_gap});
  return std::min(request.deadline, request.arrived + patience);
}

TimePoint AbandonedAt(const DispatchRequest& request) {
  // A request that failed elsewhere may have begun there.
  const bool may_have_begun = !request.excluded.empty();
  return may_have_begun ? request.deadline : PatienceEnd(request);
}

dispatch::RequestsPerSecond Dispatcher::FullRate(const directory::Endpoint& endpoint,
                                                 const Group& group,
                                                 const dispatch::Demand& demand) {
  if (group.model == nullptr) return 0;
  const auto tokens_per_event = static_cast<double>(std::max(group.model->timing().stride, 1));
  const double events =
      std::max(1.0, std::ceil(static_cast<double>(demand.output_tokens) / tokens_per_event));
  const double seconds = events * ToSeconds(group.model->LongestPassTime());
  return static_cast<double>(endpoint.slots) / std::max(seconds, kMinRate);
}

bool Dispatcher::RefuseAtLimit(const DispatchRequest& request, const Group& group,
                               Assignment& assignment) {
  const TimePoint now = clock_.Now();
  dispatch::RequestsPerSecond rate = 0;
  for (const Member& member : group.endpoints) {
    if (!IsOpenTo(member, request) || !health_.Usable(member.key, now)) continue;
    rate +=
        rates_.Share(member.key, now).value_or(FullRate(*member.endpoint, group, request.demand));
  }
  const auto ahead = std::count_if(queue_.begin(), queue_.end(), [&](const auto& entry) {
    const DispatchRequest& other = entry.second.request;
    return other.service == request.service &&
           std::pair(other.urgency, other.arrived) < std::pair(request.urgency, request.arrived);
  });
  // Other schedulers have requests queued too. Hosts ask the nearest of the two of a data centre.
  const std::size_t queues = is_scheduler_ ? (schedulers_ + 1) / 2 : 1;
  const Duration wait = FromSeconds(static_cast<double>(ahead + 1) * static_cast<double>(queues) /
                                    std::max(rate, kMinRate));
  if (now + wait < AbandonedAt(request)) return false;
  assignment.outcome = Assignment::Outcome::kLimited;
  assignment.retry_after =
      FromSeconds(std::min(ToSeconds(wait), ToSeconds(kMaxRetryAfter)) * (0.5 + random_.Uniform()));
  return true;
}

bool Dispatcher::IsShutOut(const DispatchRequest& request) const {
  const auto group = groups_.find(request.service);
  if (!request.allowed.restricted() || group == groups_.end()) return false;
  const std::vector<Member>& members = group->second.endpoints;
  return std::none_of(members.begin(), members.end(),
                      [&](const Member& member) { return IsOpenTo(member, request); });
}

bool Dispatcher::HasLeft(const Group& group, const DispatchRequest& request, TimePoint now) const {
  bool left = false;
  for (const Member& member : group.endpoints) {
    if (member.endpoint->draining) continue;
    const bool replaced = health_.IsReplaced(member.key, now);
    if (IsOpenTo(member, request) && !replaced && notices_.MayServeAsLast(member.key, now)) {
      return false;
    }
    left = true;
  }
  return left;
}

Duration Dispatcher::RetryAfter(const DispatchRequest& request, const Group& group,
                                std::span<const dispatch::Candidate> candidates) {
  dispatch::Backlog backlog{.engines = candidates.size()};
  for (const dispatch::Candidate& candidate : candidates) {
    backlog.prefill += candidate.load.prefill_time;
  }
  for (const auto& [id, queued] : queue_) {
    if (queued.request.service != request.service) continue;
    backlog.prefill += group.model->PrefillTime(queued.request.demand.prompt_tokens, 1);
  }
  return dispatch::RetryDelay(backlog, request.urgency, random_, {});
}

Dispatcher::CandidateList Dispatcher::Candidates(const Group& group,
                                                 const DispatchRequest& request) {
  const TimePoint now = clock_.Now();
  CandidateList list;
  const auto collect = [&](bool healthy_only, bool untried_only, bool leaving) {
    for (const Member& member : group.endpoints) {
      const auto& [endpoint, key, evacuated] = member;
      if (!IsOpenTo(member, request) || notices_.IsLeaving(key) != leaving) continue;
      if (!notices_.MayServeAsLast(key, now) || health_.IsReplaced(key, now)) continue;
      if (healthy_only && !health_.Usable(key, now)) continue;
      if (healthy_only && reach_.IsUnreachable(endpoint->data_centre, now)) continue;
      if (untried_only && std::find(request.excluded.begin(), request.excluded.end(), key) !=
                              request.excluded.end()) {
        continue;
      }
      if (!rates_.MayStart(key, now)) {
        list.at_limit = true;
        continue;
      }
      list.endpoints.push_back(endpoint);
      dispatch::EndpointLoad load = load_table_.Load(key, now);
      // Requests to plain services do not wait for a slot.
      const std::size_t slots =
          group.model == nullptr ? endpoint->slots : UsableSlots(*endpoint, key, load);
      list.candidates.push_back({.key = key,
                                 .model = group.model.get(),
                                 .slots = slots,
                                 .load = std::move(load),
                                 .error_rate = health_.ErrorRate(key),
                                 .remote = IsElsewhere(*endpoint)});
    }
  };
  collect(true, true, false);
  // All remaining endpoints failed recently. One of them may have recovered, and a wrong view must
  // not refuse every request.
  if (list.at_limit) RemoveFull(list);
  if (list.candidates.empty() && !list.at_limit) collect(false, true, false);
  if (list.candidates.empty() && !list.at_limit) collect(false, true, true);
  SetCrossingCosts(group, request, list);
  return list;
}

std::size_t Dispatcher::UsableSlots(const directory::Endpoint& endpoint, Digest key,
                                    const dispatch::EndpointLoad& load) const {
  if (!options_.overload_control || load.tasks >= endpoint.slots) return endpoint.slots;
  return turns_.MayTake(key, endpoint.slots - load.tasks, load.since_end) ? endpoint.slots
                                                                          : load.tasks;
}

// What limited endpoints do not take must not crowd the others.
void Dispatcher::RemoveFull(CandidateList& list) {
  for (std::size_t i = list.candidates.size(); i-- > 0;) {
    const dispatch::Candidate& candidate = list.candidates[i];
    if (candidate.model == nullptr || candidate.load.tasks < candidate.slots) continue;
    list.candidates.erase(list.candidates.begin() + static_cast<std::ptrdiff_t>(i));
    list.endpoints.erase(list.endpoints.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

}  // namespace verbenaridge::forwarding
