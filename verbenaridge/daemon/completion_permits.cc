#include <algorithm>
#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/daemon/completion_run.h"

// How a completion gets permits of endpoints and gives them back; the streaming part is in
// completion_run.cc.

namespace verbenaridge::daemon {
namespace {

constexpr Duration kNoEndpointRetry = std::chrono::milliseconds(250);
constexpr Duration kReleaseDeadline = std::chrono::seconds(2);
constexpr Duration kProbeDeadline = std::chrono::milliseconds(500);

EndpointId AnyEndpointOf(const Snapshot& snapshot, const ModelId& model) {
  for (const EndpointView& view : snapshot.endpoints) {
    const auto& models = view.settings.models;
    if (std::find(models.begin(), models.end(), model) != models.end()) return view.settings.id;
  }
  return {};
}

}  // namespace

std::vector<Digest> CompletionRun::OpenBreakers() const {
  std::vector<Digest> excluded;
  for (const auto& [endpoint, breaker] : context_.breakers) {
    if (!breaker.WouldAllow(now())) excluded.push_back(HashOf(endpoint.value()));
  }
  return excluded;
}

routing::RouteRequest CompletionRun::RouteRequestFor(const Snapshot& snapshot,
                                                     std::span<const Digest> excluded) const {
  return {.model = HashOf(input_.model.value()),
          .data_centre = snapshot.own_data_centre,
          .priority = identity_.priority,
          .prompt_tokens = input_.prompt_tokens,
          .max_output_tokens = input_.max_tokens,
          .prefix_blocks = input_.prefix_blocks,
          .excluded = excluded,
          .now = now()};
}

// Endpoints that failed this request are asked again only if no other is left.
routing::RouteDecision CompletionRun::ChooseRoute(const Snapshot& snapshot) {
  std::vector<Digest> excluded = OpenBreakers();
  const std::size_t open = excluded.size();
  excluded.insert(excluded.end(), failed_endpoints_.begin(), failed_endpoints_.end());
  routing::RouteDecision route = context_.routing.Choose(RouteRequestFor(snapshot, excluded),
                                                         snapshot.routes, context_.random);
  if (!route.candidates().empty() || failed_endpoints_.empty()) return route;
  failed_endpoints_.clear();
  excluded.resize(open);
  return context_.routing.Choose(RouteRequestFor(snapshot, excluded), snapshot.routes,
                                 context_.random);
}

void CompletionRun::RequestPermit(const attempts::RequestPermit& ask) {
  const SnapshotPtr snapshot = context_.snapshot;
  const routing::RouteDecision route = ChooseRoute(*snapshot);
  if (route.failure == routing::RouteFailure::kTooLong) {
    AskGroup(ask, snapshot);
    return;
  }
  if (route.candidates().empty()) {
    RefuseRoute(route.failure, ask.attempt);
    return;
  }
  const admission::RejectionCheck check = CheckFinish(*snapshot, route.candidates().front());
  if (!check.admit) {
    Refused({.attempt = ask.attempt, .retryable = false, .retry_after = check.retry_after},
            wire::RefusalReason::kDeadline);
    return;
  }
  permit_ask_ = PermitAsk{
      .ask = ask,
      .snapshot = snapshot,
      .candidates = routing::CandidateSequence(
          route.candidates(), context_.routing_options.redirect_above[Rank(identity_.priority)])};
  if (!context_.routing.uses_permits()) {
    AcceptPermit(route.candidates().front(), {.permit = holder_.sequence}, true);
    return;
  }
  AskNextCandidate();
}

// Whether the best candidate can finish in time, as far as can be predicted.
admission::RejectionCheck CompletionRun::CheckFinish(const Snapshot& snapshot,
                                                     const routing::Candidate& best) const {
  const cost::Prediction prediction =
      context_.costs.Predict(snapshot.endpoints[best.index].settings.id, input_.model,
                             {.prompt_tokens = input_.prompt_tokens,
                              .cached_tokens = best.cached_tokens,
                              .max_output_tokens = input_.max_tokens - machine_.delivered()});
  return admission::CheckDeadline({.queue_delay = best.queue_delay,
                                   .prefill = prediction.prefill,
                                   .decode = prediction.decode,
                                   .remaining = remaining()},
                                  admission::RejectionOptions{});
}

void CompletionRun::RefuseRoute(routing::RouteFailure failure, AttemptNumber attempt) {
  const bool never =
      failure == routing::RouteFailure::kNoModel || failure == routing::RouteFailure::kTooLong;
  const wire::RefusalReason reason = failure == routing::RouteFailure::kTooLong
                                         ? wire::RefusalReason::kTooLarge
                                         : wire::RefusalReason::kNone;
  Refused({.attempt = attempt, .retryable = !never, .retry_after = kNoEndpointRetry}, reason);
}

wire::PermitRequest CompletionRun::BasePermitMessage(AttemptNumber attempt) const {
  wire::PermitRequest request;
  request.holder = holder_;
  request.attempt = attempt;
  request.client_account = identity_.client_account;
  request.priority = identity_.priority;
  request.weight = identity_.weight;
  request.prompt_tokens = input_.prompt_tokens + machine_.delivered();
  request.max_output_tokens = input_.max_tokens - machine_.delivered();
  request.model = input_.model;
  request.digest = charge().digest;
  request.prefix_blocks = input_.prefix_blocks;
  request.isolate = isolate_;
  return request;
}

wire::PermitRequest CompletionRun::PermitMessage(const routing::CandidateRequest& candidate_ask,
                                                 const EndpointView& endpoint) const {
  const routing::Candidate& candidate = candidate_ask.candidate;
  const cost::Prediction prediction =
      context_.costs.Predict(endpoint.settings.id, input_.model,
                             {.prompt_tokens = input_.prompt_tokens,
                              .cached_tokens = candidate.cached_tokens,
                              .max_output_tokens = input_.max_tokens - machine_.delivered()});
  wire::PermitRequest request = BasePermitMessage(permit_ask_->ask.attempt);
  request.endpoint = endpoint.settings.id;
  request.cached_tokens = candidate.cached_tokens;
  request.preemptible = identity_.priority != Priority::kUrgent;
  request.max_wait = std::max<Duration>(remaining() - prediction.prefill - prediction.decode,
                                        std::chrono::milliseconds(1));
  request.lent = candidate.lent;
  request.spilled = candidate.spilled;
  request.redirect_above = candidate_ask.redirect_above;
  return request;
}

void CompletionRun::AskGroup(const attempts::RequestPermit& ask, const SnapshotPtr& snapshot) {
  const cost::Prediction prediction = context_.costs.Predict(
      AnyEndpointOf(*snapshot, input_.model), input_.model,
      {.prompt_tokens = input_.prompt_tokens, .max_output_tokens = input_.max_tokens});
  const groups::GroupPlan plan = ChooseGroup(*snapshot, input_.model, prediction.kv_bytes);
  if (plan.refusal != groups::GroupRefusal::kNone) {
    RefuseRoute(plan.refusal == groups::GroupRefusal::kTooLarge ? routing::RouteFailure::kTooLong
                                                                : routing::RouteFailure::kNoneReady,
                ask.attempt);
    return;
  }
  const std::weak_ptr<RequestRun> weak = weak_from_this();
  group_ = std::make_shared<GroupPermits>(
      context_, snapshot, BasePermitMessage(ask.attempt), plan,
      GroupPermits::Events{.ready =
                               [weak, ask, snapshot] {
                                 auto self = std::static_pointer_cast<CompletionRun>(weak.lock());
                                 if (self) self->OnGroupReady(ask, snapshot);
                               },
                           .failed =
                               [weak, attempt = ask.attempt] {
                                 auto self = std::static_pointer_cast<CompletionRun>(weak.lock());
                                 if (self) self->OnGroupFailed(attempt);
                               }});
  group_->Start();
}

void CompletionRun::OnGroupReady(const attempts::RequestPermit& ask, const SnapshotPtr& snapshot) {
  const std::vector<GroupMember> members = group_->members();
  const GroupMember& leader = members.front();
  attempt_ = Attempt{.number = ask.attempt,
                     .endpoint = leader.endpoint,
                     .url = leader.url,
                     .route_index = snapshot->endpoint_index.at(leader.endpoint),
                     .snapshot = snapshot,
                     .permit = leader.permit};
  for (std::size_t i = 1; i < members.size(); ++i) {
    attempt_.group_urls.push_back(members[i].url);
  }
  Granted({.attempt = ask.attempt, .permit = leader.permit, .endpoint = leader.endpoint});
}

// Before the dispatch this refuses the ask; afterwards the members' memory is gone, so the attempt
// ends and the request asks for a new group.
void CompletionRun::OnGroupFailed(AttemptNumber attempt) {
  const bool held = attempt_.number == attempt && attempt_.permit != 0;
  group_.reset();
  if (held) {
    Execute(machine_.OnPermitRevoked(attempt_.permit, now()));
  } else {
    Refused({.attempt = attempt, .retry_after = kNoEndpointRetry}, wire::RefusalReason::kBusy);
  }
}

void CompletionRun::AskNextCandidate() {
  const std::optional<routing::CandidateRequest> next = permit_ask_->candidates.Next();
  if (!next) {
    const PermitAsk refused = *std::exchange(permit_ask_, std::nullopt);
    const bool retryable = refused.refusal != wire::RefusalReason::kTooLarge &&
                           refused.refusal != wire::RefusalReason::kDeadline;
    Refused({.attempt = refused.ask.attempt,
             .retryable = retryable,
             .retry_after = refused.retry_after},
            refused.refusal);
    return;
  }
  const routing::Candidate candidate = next->candidate;
  const EndpointView& endpoint = permit_ask_->snapshot->endpoints[candidate.index];
  permit_ask_->call = context_.router.Call(
      endpoint.owner, PermitMessage(*next, endpoint), remaining(),
      [self = std::static_pointer_cast<CompletionRun>(shared_from_this()),
       attempt = permit_ask_->ask.attempt, candidate](Result<wire::Reply> reply) {
        self->OnPermitReply(attempt, candidate, std::move(reply));
      });
}

void CompletionRun::OnPermitReply(AttemptNumber attempt, const routing::Candidate& candidate,
                                  Result<wire::Reply> reply) {
  if (!permit_ask_ || permit_ask_->ask.attempt != attempt) return;
  permit_ask_->call = 0;
  const auto* answer = reply.has_value() ? std::get_if<wire::PermitReply>(&reply.value()) : nullptr;
  if (answer != nullptr && answer->verdict == wire::Verdict::kGranted) {
    AcceptPermit(candidate, *answer, false);
    return;
  }
  if (answer != nullptr) {
    permit_ask_->refusal = answer->reason;
    permit_ask_->retry_after = std::max(permit_ask_->retry_after, answer->retry_after);
    if (answer->reason == wire::RefusalReason::kBusy) {
      permit_ask_->candidates.OnBusy(answer->retry_after);
    }
  }
  AskNextCandidate();
}

void CompletionRun::AcceptPermit(const routing::Candidate& candidate,
                                 const wire::PermitReply& reply, bool local) {
  const PermitAsk ask = *std::exchange(permit_ask_, std::nullopt);
  const EndpointView& endpoint = ask.snapshot->endpoints[candidate.index];
  attempt_ = Attempt{.number = ask.ask.attempt,
                     .endpoint = endpoint.settings.id,
                     .url = endpoint.settings.url,
                     .route_index = candidate.index,
                     .snapshot = ask.snapshot,
                     .permit = reply.permit,
                     .local_permit = local,
                     .owner_incarnation = reply.owner_incarnation,
                     .endpoint_incarnation = reply.endpoint_incarnation,
                     .cached_tokens = std::max(reply.cached_tokens, candidate.cached_tokens)};
  HoldPermit();
  Granted({.attempt = attempt_.number, .permit = reply.permit, .endpoint = attempt_.endpoint});
}

void CompletionRun::HoldPermit() {
  if (attempt_.local_permit) return;
  const cost::Prediction prediction = context_.costs.Predict(
      attempt_.endpoint, input_.model,
      {.prompt_tokens = input_.prompt_tokens, .max_output_tokens = input_.max_tokens});
  context_.held_permits.Add({.permit = attempt_.permit,
                             .holder = holder_,
                             .attempt = attempt_.number,
                             .endpoint = attempt_.endpoint,
                             .client_account = identity_.client_account,
                             .priority = identity_.priority,
                             .kv_bytes = prediction.kv_bytes,
                             .remaining_cost_seconds = prediction.cost_seconds,
                             .digest = charge().digest,
                             .isolate = isolate_,
                             .preemptible = identity_.priority != Priority::kUrgent},
                            [weak = weak_from_this(), permit = attempt_.permit] {
                              auto self = std::static_pointer_cast<CompletionRun>(weak.lock());
                              if (!self) return;
                              self->Execute(self->machine_.OnPermitRevoked(permit, self->now()));
                            });
}

wire::ReleasePermitRequest CompletionRun::ReleaseMessage(
    const Attempt& attempt, const attempts::ReleasePermit& release) const {
  const bool started = attempt.tokens > 0;
  return {.permit = release.permit,
          .holder = holder_,
          .endpoint = attempt.endpoint,
          .outcome = release.outcome,
          .broken = attempt.broken,
          .prefill_tokens = input_.prompt_tokens - attempt.cached_tokens,
          .output_tokens = attempt.tokens,
          .prefill_time = started ? attempt.first_token - attempt.dispatched : Duration{},
          .decode_time = started ? last_token_ - attempt.first_token : Duration{},
          .completed = attempt.completed};
}

void CompletionRun::ReleasePermit(const attempts::ReleasePermit& release,
                                  std::function<void()> done) {
  if (release.permit != attempt_.permit || attempt_.local_permit) {
    // A permit that arrived too late is given back to the owner that granted it by expiry.
    context_.loop.Post(std::move(done));
    return;
  }
  const Attempt attempt = attempt_;
  if (!attempt.group_urls.empty()) {
    ReleaseGroup(attempt, std::move(done));
    return;
  }
  context_.routing.OnFinished(attempt.snapshot->routes[attempt.route_index]);
  context_.held_permits.Remove(attempt.endpoint, release.permit);
  const EndpointView* endpoint = context_.snapshot->FindEndpoint(attempt.endpoint);
  const HostId owner = endpoint ? endpoint->owner : HostId();
  context_.router.Call(
      owner, ReleaseMessage(attempt, release), kReleaseDeadline,
      [self = std::static_pointer_cast<CompletionRun>(shared_from_this()), attempt,
       done = std::move(done)](Result<wire::Reply> reply) {
        const auto* answer =
            reply.has_value() ? std::get_if<wire::ReleasePermitReply>(&reply.value()) : nullptr;
        if (answer == nullptr && attempt.broken) {
          self->ProbeEndpoint(attempt, done);
          return;
        }
        if (answer != nullptr && answer->endpoint_died) {
          self->NoteDeath(attempt.endpoint, answer->endpoint_incarnation);
        }
        done();
      });
}

void CompletionRun::ReleaseGroup(const Attempt& attempt, std::function<void()> done) {
  if (auto group = std::exchange(group_, nullptr)) group->Finish();
  attempt_.permit = 0;
  if (attempt.broken) {
    ProbeEndpoint(attempt, std::move(done));
  } else {
    context_.loop.Post(std::move(done));
  }
}

// Finds out whether the endpoint died when its owner cannot be asked. Silence is not death: it may
// be the network.
void CompletionRun::ProbeEndpoint(const Attempt& attempt, std::function<void()> done) {
  context_.endpoints.FetchLoad(
      attempt.url, kProbeDeadline,
      [self = std::static_pointer_cast<CompletionRun>(shared_from_this()), attempt,
       done = std::move(done)](Result<engine::LoadReport> report) {
        const bool refused = report.has_error() && report.error() == Errc::kUnavailable;
        const bool restarted =
            report.has_value() && report.value().incarnation != attempt.endpoint_incarnation;
        if (refused || restarted) {
          self->NoteDeath(attempt.endpoint, attempt.endpoint_incarnation);
        }
        done();
      });
}

void CompletionRun::WithdrawPermitRequest() {
  if (auto group = std::exchange(group_, nullptr)) group->Finish();
  if (!permit_ask_) return;
  const wire::CallId call = permit_ask_->call;
  permit_ask_.reset();
  if (call != 0) context_.router.Cancel(call);
}

}  // namespace verbenaridge::daemon
