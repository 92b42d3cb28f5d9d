#include "verbenaridge/ingress/placement_exchange.h"

#include <algorithm>
#include <variant>

#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {
namespace {

using forwarding::Assignment;

// Engines that one prompt may take, as the chooser limits it.
constexpr std::size_t kMostWorks = 16;
// Longer than any repeated question of the same asker.
constexpr Duration kGivenMemory = std::chrono::seconds(2);
constexpr std::size_t kGivenBeforeCleaning = 512;

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

void PlacementExchange::SetKeepers(bool self_keeps, std::vector<std::string> keepers) {
  const bool news = std::any_of(keepers.begin(), keepers.end(), [&](const std::string& ip) {
    return std::find(keepers_.begin(), keepers_.end(), ip) == keepers_.end();
  });
  self_keeps_ = self_keeps;
  keepers_ = std::move(keepers);
  exchange_.SetPeers(keepers_);
  if (news) dispatcher_.AnnounceAll();
}

forwarding::DispatchId PlacementExchange::Submit(forwarding::DispatchRequest request,
                                                 forwarding::AssignmentCallback callback) {
  const std::uint64_t id = next_id_++;
  Question& question = questions_[id];
  question.request = std::move(request);
  question.callback = std::move(callback);
  // The choice among plain endpoints needs no board.
  if (self_keeps_ || !dispatcher_.HasModel(question.request.service)) {
    DecideHere(id);
  } else {
    question.timer = std::make_unique<asio::steady_timer>(io_context_);
    AskNext(id);
  }
  return id;
}

void PlacementExchange::DecideHere(std::uint64_t id) {
  Question& question = questions_.at(id);
  question.timer = nullptr;
  question.request.first_task = 0;
  const forwarding::DispatchId local =
      dispatcher_.Submit(question.request, [this, id](Assignment assignment) {
        const auto found = questions_.find(id);
        if (found == questions_.end()) return;
        const forwarding::AssignmentCallback callback = std::move(found->second.callback);
        questions_.erase(found);
        callback(std::move(assignment));
      });
  const auto found = questions_.find(id);
  if (found != questions_.end()) found->second.local = local;
}

std::string PlacementExchange::NextKeeper(const Question& question) const {
  const TimePoint now = clock_.Now();
  std::string last_resort;
  for (const std::string& ip : keepers_) {
    if (std::find(question.asked.begin(), question.asked.end(), ip) != question.asked.end()) {
      continue;
    }
    const auto avoided = avoided_until_.find(ip);
    if (avoided == avoided_until_.end() || avoided->second <= now) return ip;
    if (last_resort.empty()) last_resort = ip;
  }
  return question.asked.empty() ? last_resort : std::string();
}

void PlacementExchange::AskNext(std::uint64_t id) {
  Question& question = questions_.at(id);
  const std::string ip =
      question.asked.size() < options_.most_asked ? NextKeeper(question) : std::string();
  if (ip.empty()) {
    DecideHere(id);
    return;
  }
  question.asked.push_back(ip);
  question.request.first_task = dispatcher_.ReserveTaskIds(kMostWorks);
  const TimePoint now = clock_.Now();
  const forwarding::DispatchRequest& request = question.request;
  exchange_.Send(ip, wire::PlacementRequest{.sender = self_,
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
                                            .excluded = request.excluded});
  Arm(id, options_.answer_limit);
}

void PlacementExchange::Arm(std::uint64_t id, Duration limit) {
  asio::steady_timer& timer = *questions_.at(id).timer;
  timer.expires_after(limit);
  timer.async_wait([this, id](std::error_code code) {
    const auto found = questions_.find(id);
    if (code || found == questions_.end() || found->second.timer == nullptr) return;
    const std::string& silent = found->second.asked.back();
    telemetry::Log(telemetry::Level::kInfo, "placement_not_answered", {{"peer", silent}});
    avoided_until_[silent] = clock_.Now() + options_.avoid;
    exchange_.Send(silent, wire::PlacementCancel{.sender = self_, .request_id = id});
    AskNext(id);
  });
}

void PlacementExchange::Cancel(forwarding::DispatchId id) {
  const auto found = questions_.find(id);
  if (found == questions_.end()) return;
  const Question question = std::move(found->second);
  questions_.erase(found);
  if (question.local != 0) {
    dispatcher_.Cancel(question.local);
  } else if (!question.asked.empty()) {
    exchange_.Send(question.asked.back(), wire::PlacementCancel{.sender = self_, .request_id = id});
  }
}

bool PlacementExchange::OnDatagram(const wire::Datagram& datagram, const std::string& ip) {
  if (const auto* ask = std::get_if<wire::PlacementRequest>(&datagram)) {
    OnAsk(*ask, ip);
  } else if (const auto* answer = std::get_if<wire::PlacementReply>(&datagram)) {
    OnAnswer(*answer);
  } else if (const auto* held = std::get_if<wire::PlacementQueued>(&datagram)) {
    OnHeld(*held);
  } else if (const auto* cancel = std::get_if<wire::PlacementCancel>(&datagram)) {
    OnCancel(*cancel);
  } else {
    return false;
  }
  return true;
}

void PlacementExchange::OnAnswer(const wire::PlacementReply& answer) {
  const auto found = questions_.find(answer.request_id);
  // Late answers are cancelled at the host that gave them, when the next one was asked.
  if (found == questions_.end() || found->second.timer == nullptr) return;
  Assignment assignment;
  assignment.outcome = static_cast<Assignment::Outcome>(std::min<std::uint64_t>(
      answer.outcome, static_cast<std::uint64_t>(Assignment::Outcome::kDeadlineExceeded)));
  assignment.reserve = answer.reserve;
  assignment.predicted = answer.predicted;
  assignment.cost = answer.cost;
  assignment.candidates = answer.candidates;
  assignment.free_kv = answer.free_kv;
  if (assignment.outcome == Assignment::Outcome::kAssigned) {
    const bool usable = !answer.members.empty() && answer.members.size() <= kMostWorks &&
                        answer.free_kv.size() == answer.members.size() &&
                        dispatcher_.Adopt(found->second.request, answer.members, assignment);
    if (!usable) {
      exchange_.Send(found->second.asked.back(),
                     wire::PlacementCancel{.sender = self_, .request_id = answer.request_id});
      DecideHere(answer.request_id);
      return;
    }
  }
  const forwarding::AssignmentCallback callback = std::move(found->second.callback);
  questions_.erase(found);
  callback(std::move(assignment));
}

void PlacementExchange::OnHeld(const wire::PlacementQueued& held) {
  const auto found = questions_.find(held.request_id);
  if (found != questions_.end() && found->second.timer != nullptr) {
    Arm(held.request_id, options_.held_limit);
  }
}

void PlacementExchange::OnAsk(const wire::PlacementRequest& ask, const std::string& ip) {
  const TimePoint now = clock_.Now();
  const ForeignKey key{ask.sender, ask.request_id};
  if (foreign_.contains(key) || ask.first_task_id == 0) return;
  foreign_[key] = {.ip = ip};
  const forwarding::DispatchId id =
      dispatcher_.Submit({.service = ask.service,
                          .demand = {.prompt_tokens = ask.prompt_tokens,
                                     .output_tokens = ask.output_tokens,
                                     .target_latency = ask.target_latency,
                                     .target_gap = ask.target_gap},
                          .arrived = now - ask.waited,
                          .deadline = now + ask.remaining,
                          .urgency = ask.urgency,
                          .excluded = ask.excluded,
                          .first_task = ask.first_task_id},
                         [this, ask, ip, key](const Assignment& assignment) {
                           foreign_.erase(key);
                           Reply(ask, ip, assignment);
                         });
  const auto held = foreign_.find(key);
  if (held == foreign_.end()) return;
  held->second.dispatch = id;
  held->second.timer = std::make_unique<asio::steady_timer>(io_context_);
  RepeatHeld(key);
}

void PlacementExchange::RepeatHeld(const ForeignKey& key) {
  Foreign& foreign = foreign_.at(key);
  exchange_.Send(foreign.ip, wire::PlacementQueued{.sender = self_, .request_id = key.second});
  foreign.timer->expires_after(options_.held_repeat);
  foreign.timer->async_wait([this, key](std::error_code code) {
    if (!code && foreign_.contains(key)) RepeatHeld(key);
  });
}

void PlacementExchange::Reply(const wire::PlacementRequest& ask, const std::string& ip,
                              const Assignment& assignment) {
  wire::PlacementReply answer{.sender = self_,
                              .request_id = ask.request_id,
                              .outcome = static_cast<std::uint64_t>(assignment.outcome),
                              .free_kv = assignment.free_kv,
                              .reserve = assignment.reserve,
                              .predicted = assignment.predicted,
                              .cost = assignment.cost,
                              .candidates = assignment.candidates};
  for (const directory::Endpoint& member : assignment.members) answer.members.push_back(member.id);
  given_[{ask.sender, ask.request_id}] = {ask.first_task_id, answer.members.size(), clock_.Now()};
  ForgetGiven();
  exchange_.Send(ip, std::move(answer));
}

void PlacementExchange::ForgetGiven() {
  if (given_.size() < kGivenBeforeCleaning) return;
  const TimePoint now = clock_.Now();
  std::erase_if(given_, [&](const auto& entry) { return now - entry.second.when > kGivenMemory; });
}

void PlacementExchange::OnCancel(const wire::PlacementCancel& cancel) {
  const ForeignKey key{cancel.sender, cancel.request_id};
  if (const auto foreign = foreign_.find(key); foreign != foreign_.end()) {
    dispatcher_.Cancel(foreign->second.dispatch);
    foreign_.erase(foreign);
  }
  if (const auto given = given_.find(key); given != given_.end()) {
    dispatcher_.EndRemoteTasks(given->second.first_work, given->second.works);
    given_.erase(given);
  }
}

}  // namespace verbenaridge::ingress
