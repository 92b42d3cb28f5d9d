#include "verbenaridge/forwarding/dispatcher.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/dispatch/memory_shares.h"

namespace verbenaridge::forwarding {

namespace {

dispatch::ChooserOptions ChooserOptionsOf(const DispatcherOptions& options) {
  dispatch::ChooserOptions chooser = options.chooser;
  chooser.wait_for_slot = options.overload_control;
  return chooser;
}

}  // namespace

Digest EndpointKey(const directory::Endpoint& endpoint) {
  return CombineDigests(HashOf(endpoint.id.value()), endpoint.start_unix_ms);
}

Dispatcher::Dispatcher(asio::io_context& io_context, const Clock& clock, RandomSource& random,
                       LoadAnnouncements& announcements, const DispatcherOptions& options)
    : clock_(clock),
      random_(random),
      announcements_(announcements),
      options_(options),
      timer_(io_context),
      snapshot_(std::make_shared<const DirectorySnapshot>()),
      started_(clock.Now()),
      predictive_(dispatch::MakePredictiveChooser(ChooserOptionsOf(options))),
      without_peer_load_(
          dispatch::MakePredictiveChooser(dispatch::WithoutPeerLoad(ChooserOptionsOf(options)))),
      least_busy_(dispatch::MakeLeastBusyChooser()),
      rates_(random),
      next_task_(dispatch::FirstTaskId(options.incarnation)) {}

void Dispatcher::SetSnapshot(SnapshotPtr snapshot) {
  snapshot_ = std::move(snapshot);
  groups_.clear();
  const std::unordered_map<Digest, KnownEndpoint> before = std::move(known_endpoints_);
  known_endpoints_.clear();
  std::vector<Digest> listed;
  for (const directory::Endpoint& endpoint : snapshot_->endpoints) {
    Group& group = groups_[endpoint.service];
    group.endpoints.push_back({&endpoint, EndpointKey(endpoint), IsEvacuated(endpoint)});
    listed.push_back(group.endpoints.back().key);
    // Whether it takes a limited rate is not known without the configuration.
    known_endpoints_[listed.back()] = {.service = endpoint.service,
                                       .evacuated = group.endpoints.back().evacuated,
                                       .cold = endpoint.cold && snapshot_->configuration != nullptr,
                                       .local = !IsElsewhere(endpoint)};
    if (group.model != nullptr || snapshot_->configuration == nullptr) continue;
    const directory::Service* service = snapshot_->configuration->FindService(endpoint.service);
    if (service != nullptr && service->engine) {
      group.model = std::make_unique<dispatch::PassModel>(*service->engine);
    }
  }
  notices_.Retain(listed);
  UpdateShare();
  RecordStarts(before);
  TryQueued();
}

DispatchId Dispatcher::Submit(DispatchRequest request, AssignmentCallback callback) {
  const DispatchId id = next_id_++;
  const TimePoint now = clock_.Now();
  const dispatch::WaitingRequest description = Describe(id, request);
  dispatch::WaitingRequests& waiting = WaitingFor(request.service);
  waiting.OnArrival(description, now);
  Assignment assignment;
  // No slot that others wait for helps a request without an endpoint in its home regions.
  const bool may_try = waiting.MayStartNow(description, now) || IsShutOut(request);
  if (may_try && Try(request, assignment)) {
    callback(std::move(assignment));
    return id;
  }
  waiting.Add(description);
  waiting.SetWaitsForSlot(id, assignment.waits_for_slot);
  queue_.emplace(id, QueuedRequest{std::move(request), std::move(callback)});
  ArmTimer();
  return id;
}

void Dispatcher::Cancel(DispatchId id) {
  const auto found = queue_.find(id);
  if (found == queue_.end()) return;
  WaitingFor(found->second.request.service).Remove(id, /*started=*/false);
  queue_.erase(found);
}

// Returns true if the outcome is decided, whether or not an endpoint was found.
bool Dispatcher::Try(const DispatchRequest& request, Assignment& assignment) {
  const TimePoint now = clock_.Now();
  if (now >= request.deadline) {
    assignment.outcome = Assignment::Outcome::kDeadlineExceeded;
    return true;
  }
  const auto found = groups_.find(request.service);
  CandidateList list;
  if (found != groups_.end()) list = Candidates(found->second, request);
  const std::vector<dispatch::Candidate>& candidates = list.candidates;
  assignment.candidates = candidates.size();
  if (candidates.empty()) {
    if (list.at_limit) return RefuseAtLimit(request, found->second, assignment);
    assignment.outcome = Assignment::Outcome::kNoEndpoint;
    if (found != groups_.end() && HasLeft(found->second, request, now)) return true;
    return now - request.arrived >= options_.no_endpoint_wait;
  }
  dispatch::Demand demand = request.demand;
  demand.waited = now - request.arrived;
  demand.remaining = request.deadline - now;
  const bool generation = found->second.model != nullptr && demand.prompt_tokens > 0;
  const dispatch::Choice choice = ChooserFor(generation).Choose(demand, candidates, random_);
  if (list.at_limit && choice.kind != dispatch::ChoiceKind::kDispatch &&
      choice.kind != dispatch::ChoiceKind::kQueue) {
    return RefuseAtLimit(request, found->second, assignment);
  }
  switch (choice.kind) {
    case dispatch::ChoiceKind::kQueue:
      assignment.waits_for_slot = choice.waits_for_slot;
      return false;
    case dispatch::ChoiceKind::kNoCandidate:
      assignment.outcome = Assignment::Outcome::kNoEndpoint;
      return true;
    case dispatch::ChoiceKind::kTooLarge:
      assignment.outcome = Assignment::Outcome::kTooLarge;
      // Some endpoints may be ejected only for a short time.
      return now - request.arrived >= options_.no_endpoint_wait;
    case dispatch::ChoiceKind::kUnservable:
      assignment.outcome = Assignment::Outcome::kUnservable;
      assignment.predicted = choice.first_event;
      assignment.retry_after = RetryAfter(request, found->second, candidates);
      return true;
    case dispatch::ChoiceKind::kDispatch:
      Assign(request, found->second, choice, candidates, list.endpoints, assignment);
      return true;
  }
  return false;
}

dispatch::EndpointChooser& Dispatcher::ChooserFor(bool generation) {
  if (!generation) return *least_busy_;
  return clock_.Now() - started_ < options_.warm_up ? *without_peer_load_ : *predictive_;
}

void Dispatcher::Assign(const DispatchRequest& request, const Group& group,
                        const dispatch::Choice& choice,
                        std::span<const dispatch::Candidate> candidates,
                        std::span<const directory::Endpoint* const> endpoints,
                        Assignment& assignment) {
  assignment.reserve = choice.reserve;
  assignment.predicted = choice.first_event;
  assignment.cost = choice.cost;
  for (const std::size_t index : choice.members) {
    if (group.model != nullptr) {
      const auto memory = static_cast<TokenCount>(
          static_cast<double>(group.model->timing().kv_tokens) * options_.chooser.max_kv_fill);
      assignment.free_kv.push_back(memory - candidates[index].load.kv_tokens);
    }
    assignment.members.push_back(*endpoints[index]);
  }
  if (assignment.reserve) {
    assignment.kv_shares = dispatch::MemoryShares(request.demand.kv_tokens(), assignment.free_kv);
  }
  for (std::size_t i = 0; i < choice.members.size(); ++i) {
    BeginTask(request, group, candidates[choice.members[i]].key, i, choice.members.size(),
              /*chosen_here=*/true, assignment);
  }
}

void Dispatcher::BeginTask(const DispatchRequest& request, const Group& group, Digest endpoint,
                           std::size_t member, std::size_t members, bool chosen_here,
                           Assignment& assignment) {
  const TimePoint now = clock_.Now();
  const bool remote = request.first_task != 0;
  dispatch::EndpointTask task{.id = remote ? request.first_task + member : ReserveTaskIds(1),
                              .endpoint = endpoint,
                              .due = request.arrived + request.demand.target_latency - now,
                              .lifetime = std::min(std::max(request.deadline, request.end) - now,
                                                   options_.max_task_lifetime),
                              .weight = request.demand.weight(),
                              .decodes = member == 0,
                              .partial_prefill = members > 1,
                              .account = request.account,
                              .cost = member == 0 ? CostOf(request) : 0};
  if (group.model != nullptr) {
    task.prefill_time = group.model->PrefillTime(request.demand.prompt_tokens, members);
    if (member == 0) task.target_gap = request.demand.target_gap;
    if (assignment.reserve) {
      if (member < assignment.kv_shares.size()) task.kv_tokens = assignment.kv_shares[member];
    } else if (member == 0) {
      task.kv_tokens = request.demand.kv_tokens();
    }
  }
  health_.OnDispatched(endpoint, now);
  if (load_table_.Begin(task, now)) rates_.OnStart(endpoint, now);
  if (member == 0) WaitingFor(request.service).OnStart(task.account, task.cost, chosen_here, now);
  assignment.tasks.push_back(task.id);
  if (!remote) own_tasks_[task.id] = {.task = task, .begun = now};
  // The host that made the choice announces it at once, also for a remote request. Until its peers
  // receive the announcement, they may choose the same engine.
  if (chosen_here) announcements_.OnBegin(task);
}

bool Dispatcher::Adopt(const DispatchRequest& request, std::span<const EndpointId> members,
                       Assignment& assignment) {
  const auto group = groups_.find(request.service);
  if (group == groups_.end()) return false;
  for (const EndpointId& id : members) {
    for (const auto& [endpoint, key, evacuated] : group->second.endpoints) {
      if (endpoint->id == id) assignment.members.push_back(*endpoint);
    }
  }
  if (assignment.members.size() != members.size()) return false;
  // The scheduler did not know it.
  if (std::any_of(assignment.members.begin(), assignment.members.end(), [&](const auto& member) {
        return IsLeaving(member) || !MaySend(member) ||
               !request.allowed.Contains(member.data_centre);
      })) {
    return false;
  }
  if (assignment.reserve) {
    assignment.kv_shares = dispatch::MemoryShares(request.demand.kv_tokens(), assignment.free_kv);
  }
  DispatchRequest own = request;
  const dispatch::TaskId first = std::exchange(own.first_task, 0);
  const dispatch::TaskId next = std::exchange(next_task_, first);
  for (std::size_t i = 0; i < members.size(); ++i) {
    BeginTask(own, group->second, EndpointKey(assignment.members[i]), i, members.size(),
              /*chosen_here=*/false, assignment);
  }
  next_task_ = next;
  return true;
}

dispatch::TaskId Dispatcher::ReserveTaskIds(std::size_t count) {
  return std::exchange(next_task_, next_task_ + count);
}

void Dispatcher::EndRemoteTasks(dispatch::TaskId first_task, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) load_table_.End(first_task + i, clock_.Now());
}

void Dispatcher::AnnounceAll() {
  const TimePoint now = clock_.Now();
  for (const auto& [id, own] : own_tasks_) {
    dispatch::EndpointTask task = own.task;
    task.due -= now - own.begun;
    task.lifetime -= now - own.begun;
    announcements_.OnBegin(task);
    if (own.decoding) announcements_.OnFirstEvent(id);
  }
  for (const auto& [endpoint, limit] : rates_.Limits(now)) announcements_.OnLimit(endpoint, limit);
}

const dispatch::PassModel* Dispatcher::ModelOf(const ServiceId& service) const {
  const auto group = groups_.find(service);
  return group == groups_.end() ? nullptr : group->second.model.get();
}

void Dispatcher::ArmTimer() {
  if (timer_armed_ || queue_.empty()) return;
  timer_armed_ = true;
  timer_.expires_after(options_.retry_interval);
  timer_.async_wait([this](std::error_code error) {
    if (error) return;
    timer_armed_ = false;
    TryQueued();
  });
}

void Dispatcher::OnFirstEvent(dispatch::TaskId task) {
  load_table_.OnFirstEvent(task, clock_.Now());
  const auto own = own_tasks_.find(task);
  if (own != own_tasks_.end()) own->second.decoding = true;
  announcements_.OnFirstEvent(task);
}

void Dispatcher::OnEnd(dispatch::TaskId task) {
  load_table_.End(task, clock_.Now());
  if (const auto own = own_tasks_.find(task); own != own_tasks_.end()) {
    LearnWork(own->second.task.endpoint, clock_.Now() - own->second.begun);
    own_tasks_.erase(own);
  }
  announcements_.OnEnd(task);
}

void Dispatcher::OnPeerBegin(const dispatch::EndpointTask& task) {
  const TimePoint now = clock_.Now();
  if (!load_table_.Begin(task, now)) return;
  rates_.OnStart(task.endpoint, now);
  const auto endpoint = known_endpoints_.find(task.endpoint);
  if (task.cost <= 0 || endpoint == known_endpoints_.end()) return;
  WaitingFor(endpoint->second.service).OnStart(task.account, task.cost, /*here=*/false, now);
}

void Dispatcher::OnPeerFirstEvent(dispatch::TaskId task) {
  load_table_.OnFirstEvent(task, clock_.Now());
}

void Dispatcher::OnPeerEnd(dispatch::TaskId task) { load_table_.End(task, clock_.Now()); }

}  // namespace verbenaridge::forwarding
