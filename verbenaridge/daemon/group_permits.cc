#include "verbenaridge/daemon/group_permits.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::daemon {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(500);
constexpr Duration kReleaseDeadline = std::chrono::seconds(2);

groups::GroupPlan PlanIn(const Snapshot& snapshot, Digest data_centre, Digest model,
                         ByteCount kv_bytes) {
  std::vector<groups::MemberCandidate> options;
  for (const routing::EndpointView& view : snapshot.routes) {
    if (view.data_centre != data_centre) continue;
    if (std::find(view.models.begin(), view.models.end(), model) == view.models.end()) continue;
    options.push_back({.endpoint = view.id,
                       .kv_capacity_bytes = view.kv_capacity_bytes,
                       .free_kv_bytes = view.free_kv_bytes,
                       .queue_delay = view.queue_delay[Rank(Priority::kStandard)],
                       .ready = view.available && !view.leaving});
  }
  return groups::PlanGroup(kv_bytes, options, groups::PolicyOptions{});
}

}  // namespace

groups::GroupPlan ChooseGroup(const Snapshot& snapshot, const ModelId& model, ByteCount kv_bytes) {
  const Digest model_digest = HashOf(model.value());
  groups::GroupPlan best = PlanIn(snapshot, snapshot.own_data_centre, model_digest, kv_bytes);
  std::vector<Digest> seen = {snapshot.own_data_centre};
  for (const routing::EndpointView& view : snapshot.routes) {
    if (best.refusal == groups::GroupRefusal::kNone) break;
    if (std::find(seen.begin(), seen.end(), view.data_centre) != seen.end()) continue;
    seen.push_back(view.data_centre);
    groups::GroupPlan plan = PlanIn(snapshot, view.data_centre, model_digest, kv_bytes);
    if (plan.refusal != groups::GroupRefusal::kTooLarge) best = std::move(plan);
  }
  return best;
}

GroupPermits::GroupPermits(RunContext& context, const SnapshotPtr& snapshot,
                           wire::PermitRequest request, const groups::GroupPlan& plan,
                           Events events)
    : context_(context),
      request_(std::move(request)),
      events_(std::move(events)),
      reservation_(plan.members, context.clock.Now(), groups::PolicyOptions{}),
      timer_(context.loop.io_context()) {
  for (const groups::MemberShare& share : plan.members) {
    const EndpointView* view = snapshot->FindEndpoint(share.endpoint);
    members_[share.endpoint] = {.member = {.endpoint = share.endpoint, .url = view->settings.url},
                                .owner = view->owner};
  }
}

void GroupPermits::Start() {
  Perform(reservation_.Start());
  ArmTimer();
}

void GroupPermits::Finish() {
  events_ = {};
  timer_.cancel();
  Perform(reservation_.Finish());
}

std::vector<GroupMember> GroupPermits::members() const {
  std::vector<GroupMember> members;
  members.reserve(members_.size());
  for (const auto& [endpoint, member] : members_) members.push_back(member.member);
  return members;
}

void GroupPermits::Perform(const groups::GroupActions& actions) {
  for (const groups::GroupAction& action : actions) {
    if (const auto* ask = std::get_if<groups::RequestMember>(&action)) {
      Ask(*ask);
    } else if (const auto* withdraw = std::get_if<groups::CancelMember>(&action)) {
      Withdraw(withdraw->endpoint);
    } else if (const auto* release = std::get_if<groups::ReleaseMember>(&action)) {
      Release(release->endpoint, release->permit);
    } else if (std::holds_alternative<groups::GroupReady>(action)) {
      if (events_.ready) events_.ready();
    } else if (auto failed = std::exchange(events_.failed, nullptr)) {
      failed();
    }
  }
}

void GroupPermits::Ask(const groups::RequestMember& ask) {
  Member& member = members_.at(ask.endpoint);
  wire::PermitRequest request = request_;
  request.endpoint = ask.endpoint;
  request.kv_bytes = ask.kv_bytes;
  request.max_wait = groups::PolicyOptions{}.reserve_timeout;
  member.call = context_.router.Call(
      member.owner, std::move(request), groups::PolicyOptions{}.reserve_timeout,
      [self = shared_from_this(), endpoint = ask.endpoint](const Result<wire::Reply>& reply) {
        self->OnReply(endpoint, reply);
      });
}

void GroupPermits::OnReply(const EndpointId& endpoint, const Result<wire::Reply>& reply) {
  Member& member = members_.at(endpoint);
  member.call = 0;
  const auto* answer = reply.has_value() ? std::get_if<wire::PermitReply>(&reply.value()) : nullptr;
  const TimePoint now = context_.clock.Now();
  if (answer == nullptr || answer->verdict != wire::Verdict::kGranted) {
    Perform(reservation_.OnRefused(endpoint, now));
    return;
  }
  member.member.permit = answer->permit;
  Hold(member);
  Perform(reservation_.OnGranted(endpoint, answer->permit, now));
}

void GroupPermits::Hold(const Member& member) {
  context_.held_permits.Add(
      {.permit = member.member.permit,
       .holder = request_.holder,
       .attempt = request_.attempt,
       .endpoint = member.member.endpoint,
       .client_account = request_.client_account,
       .priority = request_.priority,
       .kv_bytes = request_.kv_bytes,
       .digest = request_.digest,
       .isolate = request_.isolate},
      [weak = weak_from_this(), endpoint = member.member.endpoint] {
        auto self = weak.lock();
        if (self) self->Perform(self->reservation_.OnLost(endpoint, self->context_.clock.Now()));
      });
}

void GroupPermits::Withdraw(const EndpointId& endpoint) {
  Member& member = members_.at(endpoint);
  if (member.call != 0) context_.router.Cancel(std::exchange(member.call, 0));
}

void GroupPermits::Release(const EndpointId& endpoint, std::uint64_t permit) {
  Member& member = members_.at(endpoint);
  member.member.permit = 0;
  context_.held_permits.Remove(endpoint, permit);
  context_.router.Call(member.owner,
                       wire::ReleasePermitRequest{.permit = permit,
                                                  .holder = request_.holder,
                                                  .endpoint = endpoint,
                                                  .outcome = Outcome::kUnknown},
                       kReleaseDeadline, [](const Result<wire::Reply>&) {});
}

void GroupPermits::ArmTimer() {
  timer_.expires_after(kTick);
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    auto self = weak.lock();
    if (error || !self || self->reservation_.ended()) return;
    self->Perform(self->reservation_.OnTick(self->context_.clock.Now()));
    self->ArmTimer();
  });
}

}  // namespace verbenaridge::daemon
