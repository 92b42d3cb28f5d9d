#include "verbenaridge/ingress/placement_exchange.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {
namespace {

using forwarding::Assignment;

// Maximum number of engines for one prompt, as limited by the endpoint chooser.
constexpr std::size_t kMaxTasks = 16;
// Keeps the placement request within one datagram. A scheduler that chooses an endpoint beyond this
// number is overruled.
constexpr std::size_t kMaxExcluded = 64;
// Longer than a host keeps repeating one placement request.
constexpr Duration kSentReplyRetention = std::chrono::seconds(2);
constexpr std::size_t kSentRepliesBeforeCleanup = 512;

}  // namespace

PlacementExchange::PlacementExchange(asio::io_context& io_context, const Clock& clock, HostId self,
                                     LoadExchange& exchange, forwarding::Dispatcher& dispatcher,
                                     const PlacementOptions& options)
    : io_context_(io_context),
      clock_(clock),
      self_(std::move(self)),
      exchange_(exchange),
      dispatcher_(dispatcher),
      options_(options) {}

void PlacementExchange::SetSchedulers(bool is_scheduler, std::vector<std::string> schedulers) {
  const bool has_new =
      std::any_of(schedulers.begin(), schedulers.end(), [&](const std::string& ip) {
        return std::find(schedulers_.begin(), schedulers_.end(), ip) == schedulers_.end();
      });
  is_scheduler_ = is_scheduler;
  schedulers_ = std::move(schedulers);
  exchange_.SetSchedulers(schedulers_);
  std::vector<Digest> others;
  for (const std::string& scheduler : schedulers_) others.push_back(HashOf(scheduler));
  dispatcher_.SetScheduling(is_scheduler_, HashOf(exchange_.ip()), others);
  if (has_new) dispatcher_.AnnounceAll();
}

forwarding::DispatchId PlacementExchange::Submit(forwarding::DispatchRequest request,
                                                 forwarding::AssignmentCallback callback) {
  const std::uint64_t id = next_id_++;
  PendingRequest& pending = pending_requests_[id];
  pending.request = std::move(request);
  pending.callback = std::move(callback);
  // Choosing among endpoints without an engine model needs no load table, but schedulers alone know
  // of the requests that count towards a limit, and of the loads of other data centres.
  const ServiceId& service = pending.request.service;
  const bool needs_scheduler = dispatcher_.ModelOf(service) != nullptr ||
                               dispatcher_.HasLimit(service) ||
                               dispatcher_.AdaptsCrossings(service);
  if (is_scheduler_ || !needs_scheduler || dispatcher_.AvoidsAllEndpoints(pending.request)) {
    DecideLocally(id);
  } else {
    pending.timer = std::make_unique<asio::steady_timer>(io_context_);
    SendToNext(id);
  }
  return id;
}

void PlacementExchange::DecideLocally(std::uint64_t id) {
  PendingRequest& pending = pending_requests_.at(id);
  pending.timer = nullptr;
  pending.request.first_task = 0;
  const forwarding::DispatchId local =
      dispatcher_.Submit(pending.request, [this, id](Assignment assignment) {
        const auto found = pending_requests_.find(id);
        if (found == pending_requests_.end()) return;
        const forwarding::AssignmentCallback callback = std::move(found->second.callback);
        pending_requests_.erase(found);
        callback(std::move(assignment));
      });
  const auto found = pending_requests_.find(id);
  if (found != pending_requests_.end()) found->second.local = local;
}

std::string PlacementExchange::NextScheduler(const PendingRequest& pending) const {
  const TimePoint now = clock_.Now();
  std::string last_resort;
  for (const std::string& ip : schedulers_) {
    if (std::find(pending.asked.begin(), pending.asked.end(), ip) != pending.asked.end()) {
      continue;
    }
    const auto avoided = avoided_until_.find(ip);
    if (avoided == avoided_until_.end() || avoided->second <= now) return ip;
    if (last_resort.empty()) last_resort = ip;
  }
  return pending.asked.empty() ? last_resort : std::string();
}

void PlacementExchange::SendToNext(std::uint64_t id) {
  PendingRequest& pending = pending_requests_.at(id);
  const std::string ip =
      pending.asked.size() < options_.max_asked ? NextScheduler(pending) : std::string();
  if (ip.empty()) {
    DecideLocally(id);
    return;
  }
  pending.asked.push_back(ip);
  pending.request.first_task = dispatcher_.ReserveTaskIds(kMaxTasks);
  const TimePoint now = clock_.Now();
  const forwarding::DispatchRequest& request = pending.request;
  std::vector<Digest> excluded = request.excluded;
  for (const Digest key : dispatcher_.AvoidedEndpoints(request.service)) {
    if (excluded.size() < kMaxExcluded) excluded.push_back(key);
  }
  exchange_.Send(
      ip, wire::PlacementRequest{.sender = self_,
                                 .request_id = id,
                                 .first_task_id = request.first_task,
                                 .service = request.service,
                                 .prompt_tokens = request.demand.prompt_tokens,
                                 .output_tokens = request.demand.output_tokens,
                                 .target_latency = request.demand.target_latency,
                                 .target_gap = request.demand.target_gap,
                                 .waited = now - request.arrived,
                                 .remaining = request.deadline - now,
                                 .urgency = request.urgency,
                                 .excluded = std::move(excluded),
                                 .account = request.account,
                                 .in_progress = request.in_progress,
                                 .refusable = request.refusable,
                                 .digest = request.digest,
                                 .allowed = request.allowed.names(),
                                 .remaining_to_end = std::max(request.end - now, Duration{})});
  Arm(id, options_.reply_timeout);
}

void PlacementExchange::Arm(std::uint64_t id, Duration limit) {
  asio::steady_timer& timer = *pending_requests_.at(id).timer;
  timer.expires_after(limit);
  timer.async_wait([this, id](std::error_code code) {
    const auto found = pending_requests_.find(id);
    if (code || found == pending_requests_.end() || found->second.timer == nullptr) return;
    const std::string& scheduler = found->second.asked.back();
    telemetry::Log(telemetry::Level::kInfo, "placement_not_answered", {{"peer", scheduler}});
    avoided_until_[scheduler] = clock_.Now() + options_.avoid_time;
    exchange_.Send(scheduler, wire::PlacementCancel{.sender = self_, .request_id = id});
    SendToNext(id);
  });
}

void PlacementExchange::Cancel(forwarding::DispatchId id) {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end()) return;
  const PendingRequest pending = std::move(found->second);
  pending_requests_.erase(found);
  if (pending.local != 0) {
    dispatcher_.Cancel(pending.local);
  } else if (!pending.asked.empty()) {
    exchange_.Send(pending.asked.back(), wire::PlacementCancel{.sender = self_, .request_id = id});
  }
}

bool PlacementExchange::OnDatagram(const wire::Datagram& datagram, const std::string& ip) {
  if (const auto* request = std::get_if<wire::PlacementRequest>(&datagram)) {
    OnRequest(*request, ip);
  } else if (const auto* reply = std::get_if<wire::PlacementReply>(&datagram)) {
    OnReply(*reply);
  } else if (const auto* queued = std::get_if<wire::PlacementQueued>(&datagram)) {
    OnQueued(*queued);
  } else if (const auto* cancel = std::get_if<wire::PlacementCancel>(&datagram)) {
    OnCancel(*cancel);
  } else {
    return false;
  }
  return true;
}

void PlacementExchange::OnReply(const wire::PlacementReply& reply) {
  const auto found = pending_requests_.find(reply.request_id);
  // A late reply needs no action: its request was cancelled when the next scheduler was asked.
  if (found == pending_requests_.end() || found->second.timer == nullptr) return;
  Assignment assignment;
  assignment.outcome = static_cast<Assignment::Outcome>(std::min<std::uint64_t>(
      reply.outcome, static_cast<std::uint64_t>(Assignment::Outcome::kOverShare)));
  assignment.reserve = reply.reserve;
  assignment.predicted = reply.predicted;
  assignment.cost = reply.cost;
  assignment.candidates = reply.candidates;
  assignment.free_kv = reply.free_kv;
  assignment.retry_after = reply.retry_after;
  if (assignment.outcome == Assignment::Outcome::kAssigned) {
    // Endpoints of a plain service have no memory to name.
    const bool names_memory =
        reply.free_kv.size() == reply.members.size() || (reply.free_kv.empty() && !reply.reserve);
    const bool usable = !reply.members.empty() && reply.members.size() <= kMaxTasks &&
                        names_memory &&
                        dispatcher_.Adopt(found->second.request, reply.members, assignment);
    if (!usable) {
      exchange_.Send(found->second.asked.back(),
                     wire::PlacementCancel{.sender = self_, .request_id = reply.request_id});
      DecideLocally(reply.request_id);
      return;
    }
  }
  const forwarding::AssignmentCallback callback = std::move(found->second.callback);
  pending_requests_.erase(found);
  callback(std::move(assignment));
}

void PlacementExchange::OnQueued(const wire::PlacementQueued& queued) {
  const auto found = pending_requests_.find(queued.request_id);
  if (found != pending_requests_.end() && found->second.timer != nullptr) {
    Arm(queued.request_id, options_.queued_timeout);
  }
}

void PlacementExchange::OnRequest(const wire::PlacementRequest& request, const std::string& ip) {
  const TimePoint now = clock_.Now();
  const RemoteKey key{request.sender, request.request_id};
  if (remote_requests_.contains(key) || request.first_task_id == 0) return;
  // A host that has just started may be a scheduler before it knows the endpoints. Without a reply
  // the sender asks the next scheduler.
  if (!dispatcher_.knows_endpoints()) return;
  remote_requests_[key] = {.ip = ip};
  const forwarding::DispatchId id = dispatcher_.Submit(
      {.service = request.service,
       .demand = {.prompt_tokens = request.prompt_tokens,
                  .output_tokens = request.output_tokens,
                  .target_latency = request.target_latency,
                  .target_gap = request.target_gap},
       .arrived = now - request.waited,
       .deadline = now + request.remaining,
       .end = now + request.remaining_to_end,
       .urgency = request.urgency,
       .excluded = request.excluded,
       .digest = request.digest,
       .account = request.account,
       .in_progress = request.in_progress,
       .refusable = request.refusable,
       .allowed = request.allowed.empty() ? directory::AllowedDataCentres{}
                                          : directory::AllowedDataCentres::Only(request.allowed),
       .first_task = request.first_task_id},
      [this, request, ip, key](const Assignment& assignment) {
        remote_requests_.erase(key);
        Reply(request, ip, assignment);
      });
  const auto queued = remote_requests_.find(key);
  if (queued == remote_requests_.end()) return;
  queued->second.dispatch = id;
  queued->second.timer = std::make_unique<asio::steady_timer>(io_context_);
  SendQueued(key);
}

void PlacementExchange::SendQueued(const RemoteKey& key) {
  RemoteRequest& remote = remote_requests_.at(key);
  exchange_.Send(remote.ip, wire::PlacementQueued{.sender = self_, .request_id = key.second});
  remote.timer->expires_after(options_.queued_interval);
  remote.timer->async_wait([this, key](std::error_code code) {
    if (!code && remote_requests_.contains(key)) SendQueued(key);
  });
}

void PlacementExchange::Reply(const wire::PlacementRequest& request, const std::string& ip,
                              const Assignment& assignment) {
  wire::PlacementReply reply{.sender = self_,
                             .request_id = request.request_id,
                             .outcome = static_cast<std::uint64_t>(assignment.outcome),
                             .free_kv = assignment.free_kv,
                             .reserve = assignment.reserve,
                             .predicted = assignment.predicted,
                             .cost = assignment.cost,
                             .candidates = assignment.candidates,
                             .retry_after = assignment.retry_after};
  for (const directory::Endpoint& member : assignment.members) reply.members.push_back(member.id);
  sent_replies_[{request.sender, request.request_id}] = {request.first_task_id,
                                                         reply.members.size(), clock_.Now()};
  RemoveOldReplies();
  exchange_.Send(ip, std::move(reply));
}

void PlacementExchange::RemoveOldReplies() {
  if (sent_replies_.size() < kSentRepliesBeforeCleanup) return;
  const TimePoint now = clock_.Now();
  std::erase_if(sent_replies_, [&](const auto& entry) {
    return now - entry.second.sent_at > kSentReplyRetention;
  });
}

void PlacementExchange::OnCancel(const wire::PlacementCancel& cancel) {
  const RemoteKey key{cancel.sender, cancel.request_id};
  if (const auto remote = remote_requests_.find(key); remote != remote_requests_.end()) {
    dispatcher_.Cancel(remote->second.dispatch);
    remote_requests_.erase(remote);
  }
  if (const auto sent_reply = sent_replies_.find(key); sent_reply != sent_replies_.end()) {
    dispatcher_.EndRemoteTasks(sent_reply->second.first_task, sent_reply->second.tasks);
    sent_replies_.erase(sent_reply);
  }
}

}  // namespace verbenaridge::ingress
