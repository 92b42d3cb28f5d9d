// The part of Dispatcher that keeps the requests that wait for an endpoint.
#include <algorithm>
#include <utility>
#include <vector>

#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {
namespace {

// Queued requests of a service that are tried at a time. Each try examines every endpoint of the
// service, and a host has a small share of a processor.
constexpr std::size_t kMaxTries = 24;
// Passes of a full engine until the first event of a prompt that has just got a slot: the rest of
// the running one, and the one that produces the event.
constexpr double kPassesToFirstEvent = 1.5;
// Part of the target that is left for what the prediction does not know.
constexpr double kTargetMargin = 0.1;
// What a request to a plain service takes, in parts of one slot.
constexpr dispatch::EngineSeconds kPlainCost = 1;

}  // namespace

dispatch::WaitingRequests& Dispatcher::WaitingFor(const ServiceId& service) {
  std::unique_ptr<dispatch::WaitingRequests>& waiting = waiting_[service];
  if (waiting == nullptr) {
    waiting = options_.overload_control ? dispatch::MakeOverloadOrder(random_, {})
                                        : dispatch::MakeArrivalOrder();
  }
  return *waiting;
}

dispatch::EngineSeconds Dispatcher::CostOf(const DispatchRequest& request) const {
  const dispatch::PassModel* const model = ModelOf(request.service);
  if (model == nullptr) return kPlainCost;
  const double slots = static_cast<double>(std::max<std::size_t>(model->timing().slots, 1));
  return ToSeconds(model->PrefillTime(request.demand.prompt_tokens, 1)) +
         static_cast<double>(request.demand.output_tokens) * ToSeconds(model->timing().step) /
             slots;
}

dispatch::WaitingRequest Dispatcher::Describe(DispatchId id, const DispatchRequest& request) const {
  dispatch::WaitingRequest description{
      .id = id,
      .digest = request.digest,
      .urgency = request.urgency,
      .account = request.account,
      .cost = CostOf(request),
      .arrived = request.arrived,
      .latest_start = request.arrived + request.demand.target_latency,
      .abandoned = request.in_progress ? request.deadline : PatienceEnd(request),
      .in_progress = request.in_progress,
      .refusable = request.refusable};
  const dispatch::PassModel* const model = ModelOf(request.service);
  if (!options_.overload_control || model == nullptr) return description;
  const std::size_t slots = model->timing().slots;
  const Duration pass = model->PassTime(
      {.sequences = slots,
       .context_tokens = request.demand.kv_tokens() * static_cast<TokenCount>(slots)});
  const Duration first_event = model->PrefillTime(request.demand.prompt_tokens, 1) +
                               FromSeconds(kPassesToFirstEvent * ToSeconds(pass));
  description.latest_start -=
      first_event + FromSeconds(kTargetMargin * ToSeconds(request.demand.target_latency));
  // A request that starts later produces its first event for a client that has left.
  description.abandoned -= first_event;
  return description;
}

void Dispatcher::TryQueued() {
  std::vector<ServiceId> services;
  for (const auto& [service, waiting] : waiting_) {
    if (waiting->size() > 0) services.push_back(service);
  }
  for (const ServiceId& service : services) {
    TryQueued(service);
    RefuseWaiting(service);
  }
  ArmTimer();
}

void Dispatcher::TryQueued(const ServiceId& service) {
  dispatch::WaitingRequests& waiting = WaitingFor(service);
  const TimePoint now = clock_.Now();
  bool slots_taken = false;
  for (const DispatchId id : waiting.InOrder(now, kMaxTries)) {
    const auto found = queue_.find(id);
    if (found == queue_.end()) continue;  // a callback cancelled it
    const DispatchRequest& request = found->second.request;
    // A prompt of that size, which could go to any endpoint, has just found no free slot.
    if (slots_taken && IsShort(request) && now < request.deadline) {
      waiting.SetWaitsForSlot(id, true);
      continue;
    }
    Assignment assignment;
    if (Try(request, assignment)) {
      Decide(id, std::move(assignment));
      continue;
    }
    waiting.SetWaitsForSlot(id, assignment.waits_for_slot);
    // One that avoids endpoints, or must stay in its home regions, tells nothing about other slots.
    slots_taken = slots_taken || (assignment.waits_for_slot && request.excluded.empty() &&
                                  !request.allowed.restricted());
  }
}

bool Dispatcher::IsShort(const DispatchRequest& request) const {
  const dispatch::PassModel* const model = ModelOf(request.service);
  return model != nullptr &&
         model->PrefillTime(request.demand.prompt_tokens, 1) < options_.chooser.short_prefill;
}

void Dispatcher::Decide(DispatchId id, Assignment assignment) {
  const auto found = queue_.find(id);
  if (found == queue_.end()) return;
  const AssignmentCallback callback = std::move(found->second.callback);
  WaitingFor(found->second.request.service)
      .Remove(id, assignment.outcome == Assignment::Outcome::kAssigned);
  queue_.erase(found);
  callback(std::move(assignment));
}

void Dispatcher::RefuseWaiting(const ServiceId& service) {
  const auto group = groups_.find(service);
  if (group == groups_.end()) return;
  std::size_t slots = 0;
  for (const Member& member : group->second.endpoints) {
    if (!member.endpoint->draining && !member.evacuated) slots += member.endpoint->slots;
  }
  dispatch::WaitingRequests& waiting = WaitingFor(service);
  for (const dispatch::WaitingRefusal& refusal : waiting.Refusals(slots, clock_.Now())) {
    const auto found = queue_.find(refusal.id);
    if (found == queue_.end()) continue;
    const bool over_share = refusal.reason == dispatch::RefusalReason::kOverShare;
    telemetry::Log(telemetry::Level::kInfo, "waiting_refused",
                   {{"reason", dispatch::ToText(refusal.reason)},
                    {"service", service.value()},
                    {"account", found->second.request.account},
                    {"used_engine_s", refusal.used},
                    {"share_engine_s", refusal.share},
                    {"waiting", waiting.size()},
                    {"retry_after_ms", ToSeconds(refusal.retry_after) * 1000}});
    Decide(refusal.id,
           {.outcome = over_share ? Assignment::Outcome::kOverShare : Assignment::Outcome::kNoRoom,
            .retry_after = refusal.retry_after});
  }
}

}  // namespace verbenaridge::forwarding
