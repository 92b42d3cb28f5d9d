// Requests, endpoint owners and endpoints that answer late, doubled, crossed or not at all, around
// RequestMachine. The oracle knows what really ran and what the caller got; it does not look at the
// machine's state except to see that a request ended.
#include <algorithm>
#include <deque>
#include <memory>
#include <variant>
#include <vector>

#include "verbenaridge/attempts/request_machine.h"
#include "verbenaridge/proofs/steps.h"

namespace verbenaridge::proofs {
namespace {

using namespace attempts;  // NOLINT(google-build-using-namespace): the world speaks its terms

constexpr TokenCount kAnswerLength = 3;
constexpr int kRequests = 6;

struct Run {  // one dispatch, as the endpoint sees it
  int request = 0;
  AttemptNumber attempt = 0;
  TokenCount next = 0;
  bool ended = false;
  bool certainly_not_run = false;
};

struct Message {  // from an endpoint to the ingress
  int request = 0;
  AttemptNumber attempt = 0;
  std::variant<TokenCount, AttemptResult> content;
};

struct Request {
  std::unique_ptr<RequestMachine> machine;
  bool repeatable = true;
  bool needs_claim = false;
  TimePoint deadline{};
  std::vector<AttemptNumber> asks;
  std::vector<PermitGrant> grants;
  std::vector<std::uint64_t> released;
  TokenCount delivered = 0;
  int dispatches = 0;
  int preempted = 0;
  bool claimed = false;
  bool caller_gone = false;
  bool told = false;  // finished or failed
};

class World {
 public:
  void Apply(const Step& step);
  void CheckEnd();

 private:
  void Start(const Step& step);
  void Advance(Duration step);
  void Execute(int index, const Actions& actions);
  void ExecuteOne(int index, const Action& action);
  void CheckFailure(const Request& request, int index, const Fail& fail);
  void Endpoint(const Step& step);
  void Deliver(std::size_t position, bool keep);
  void Permit(const Step& step);

  TimePoint now_{std::chrono::hours(1)};
  SeededRandom random_{1};
  RetryBudgets budgets_{RetryBudgetOptions{}};
  std::vector<Request> requests_;
  std::vector<Run> runs_;
  std::deque<Message> messages_;
  std::uint64_t next_permit_ = 1;
  int retries_ = 0;
  int first_dispatches_ = 0;
};

void World::Start(const Step& step) {
  if (requests_.size() >= kRequests) return;
  Request request;
  request.repeatable = step.a % 4 != 0;
  request.needs_claim = step.a % 8 == 0;
  request.deadline = now_ + std::chrono::seconds(1 + step.b);
  request.machine =
      std::make_unique<RequestMachine>(RequestOptions{.client_account = ClientAccountId("account"),
                                                      .repeatable = request.repeatable,
                                                      .needs_claim = request.needs_claim,
                                                      .deadline = request.deadline,
                                                      .back_off = {}},
                                       budgets_, random_);
  requests_.push_back(std::move(request));
  const int index = static_cast<int>(requests_.size()) - 1;
  Execute(index, requests_.back().machine->Start(now_));
}

void World::Execute(int index, const Actions& actions) {
  for (const Action& action : actions) ExecuteOne(index, action);
}

void World::ExecuteOne(int index, const Action& action) {
  Request& request = requests_[index];
  if (const auto* release = std::get_if<ReleasePermit>(&action)) {
    request.released.push_back(release->permit);
    return;
  }
  if (std::holds_alternative<WaitUntil>(action)) return;
  if (std::holds_alternative<CancelAttempt>(action)) return;
  Require(!request.told, "nothing follows the end of a request");
  if (const auto* ask = std::get_if<RequestPermit>(&action)) {
    request.asks.push_back(ask->attempt);
  } else if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
    ++request.dispatches;
    if (request.dispatches == 1) ++first_dispatches_;
    Require(request.repeatable || request.dispatches == 1, "unrepeatable is dispatched once");
    Require(!request.needs_claim || request.claimed, "dispatch only after the claim");
    Require(dispatch->resume_from == request.delivered, "resume after the delivered tokens");
    runs_.push_back(
        {.request = index, .attempt = dispatch->attempt, .next = dispatch->resume_from});
  } else if (const auto* token = std::get_if<DeliverToken>(&action)) {
    Require(token->index == request.delivered, "each token once and in order");
    ++request.delivered;
  } else if (std::holds_alternative<Finish>(action)) {
    Require(request.delivered == kAnswerLength, "whole answer");
    request.told = true;
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    CheckFailure(request, index, *fail);
    request.told = true;
  }
}

void World::CheckFailure(const Request& request, int index, const Fail& fail) {
  Require(fail.outcome != Outcome::kRan, "a failure is not called a run");
  const bool ran = std::any_of(runs_.begin(), runs_.end(), [&](const Run& run) {
    return run.request == index && !run.certainly_not_run;
  });
  Require(fail.outcome != Outcome::kNotRun || !ran, "not_run only if it did not run");
  Require(fail.outcome != Outcome::kNotRun || request.delivered == 0,
          "not_run only without output");
}

void World::Advance(Duration step) {
  const TimePoint target = now_ + step;
  const auto check_deadlines = [this] {
    for (const Request& request : requests_) {
      Require(request.deadline > now_ || request.told || request.caller_gone,
              "every request ends within its time");
    }
  };
  for (int turns = 0;; ++turns) {
    TimePoint next = target;
    for (const Request& request : requests_) {
      next = std::min(next, request.machine->next_wake().value_or(target));
    }
    now_ = std::max(now_, next);
    bool fired = false;
    for (int i = 0; i < static_cast<int>(requests_.size()); ++i) {
      const auto wake = requests_[i].machine->next_wake();
      if (!wake || *wake > now_) continue;
      fired = true;
      Execute(i, requests_[i].machine->OnTime(now_));
    }
    check_deadlines();
    if (now_ >= target && !fired) break;
    Require(turns < 1000, "timers advance");
  }
}

// An endpoint emits a token or ends a run; the ingress hears of it by a message.
void World::Endpoint(const Step& step) {
  if (runs_.empty()) return;
  Run& run = runs_[runs_.size() - 1 - step.a % std::min<std::size_t>(runs_.size(), 4)];
  if (run.ended) return;
  const Message message{.request = run.request, .attempt = run.attempt, .content = {}};
  messages_.push_back(message);
  if (step.b < 8 && run.next < kAnswerLength) {
    messages_.back().content = run.next++;
    return;
  }
  AttemptResult ended{.attempt = run.attempt, .end = AttemptEnd::kBroken, .total_tokens = {}};
  const bool started = run.next > requests_[run.request].delivered || step.b % 2 == 0;
  if (run.next == kAnswerLength) {
    ended.end = AttemptEnd::kCompleted;
    ended.total_tokens = kAnswerLength;
  } else if (step.b == 15) {
    ended.end = AttemptEnd::kStalled;
  } else if (!started && run.next == 0) {
    ended.end = step.b == 9 ? AttemptEnd::kNotSent : AttemptEnd::kRefused;
    run.certainly_not_run = true;
  }
  run.ended = true;
  messages_.back().content = ended;
}

void World::Deliver(std::size_t position, bool keep) {
  if (messages_.empty()) return;
  position %= messages_.size();
  const Message message = messages_[position];
  if (!keep) messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(position));
  Request& request = requests_[message.request];
  if (const auto* token = std::get_if<TokenCount>(&message.content)) {
    Execute(message.request, request.machine->OnToken(message.attempt, *token, now_));
    return;
  }
  const int asks = static_cast<int>(request.asks.size());
  const auto& ended = std::get<AttemptResult>(message.content);
  Execute(message.request, request.machine->OnAttemptEnd(ended, now_));
  const bool retries = !request.told && request.machine->next_wake() < request.deadline;
  if (retries && asks == static_cast<int>(request.asks.size()) && !request.machine->ended() &&
      request.machine->state() == State::kCreated &&
      message.attempt == request.machine->attempt()) {
    ++retries_;
  }
}

void World::Permit(const Step& step) {
  if (requests_.empty()) return;
  const int index = step.a % static_cast<int>(requests_.size());
  Request& request = requests_[index];
  RequestMachine& machine = *request.machine;
  switch (step.b % 8) {
    case 0:  // refused, perhaps late
      Execute(index, machine.OnPermitRefused({.attempt = request.asks[step.b % request.asks.size()],
                                              .retryable = step.b != 8,
                                              .retry_after = {}},
                                             now_));
      return;
    case 1:  // revoked, perhaps late
      if (request.grants.empty()) return;
      Execute(index, machine.OnPermitRevoked(request.grants.back().permit, now_));
      return;
    case 2:  // doubled reply
      if (request.grants.empty()) return;
      Execute(index, machine.OnPermitGranted(request.grants[step.a % request.grants.size()], now_));
      return;
    case 3:  // late grant of an earlier attempt
      request.grants.push_back({request.asks.front(), next_permit_++, EndpointId("endpoint")});
      break;
    default:
      request.grants.push_back({request.asks.back(), next_permit_++, EndpointId("endpoint")});
  }
  Execute(index, machine.OnPermitGranted(request.grants.back(), now_));
}

void World::Apply(const Step& step) {
  const int index = requests_.empty() ? 0 : step.a % static_cast<int>(requests_.size());
  if (step.kind < 8) {
    Deliver(0, false);
  } else if (step.kind < 10) {
    Deliver(static_cast<std::size_t>(step.a), step.b % 2 == 0);  // crossed, doubled
  } else if (step.kind < 11) {
    if (!messages_.empty()) messages_.pop_front();  // lost
  } else if (step.kind < 14) {
    Start(step);
  } else if (step.kind < 20) {
    Permit(step);
  } else if (step.kind < 27) {
    Endpoint(step);
  } else if (step.kind < 29) {
    Advance(std::chrono::milliseconds(20 << (step.a % 8)));
  } else if (!requests_.empty() && step.kind == 29 && step.b == 0) {
    requests_[index].caller_gone = true;
    Execute(index, requests_[index].machine->OnCallerGone(now_));
  } else if (!requests_.empty() && step.kind >= 30 && requests_[index].needs_claim) {
    requests_[index].claimed = step.b != 0;
    RequestMachine& machine = *requests_[index].machine;
    Execute(index, step.b != 0 ? machine.OnClaimGranted(now_) : machine.OnClaimRefused(now_));
  }
}

void World::CheckEnd() {
  Advance(std::chrono::seconds(30));
  for (const Request& request : requests_) {
    for (const PermitGrant& grant : request.grants) {
      Require(std::count(request.released.begin(), request.released.end(), grant.permit) > 0,
              "every permit is released");
    }
  }
  const double seconds = ToSeconds(now_ - TimePoint(std::chrono::hours(1)));
  Require(retries_ <= 3 + 0.2 * first_dispatches_ + 0.2 * seconds, "retries keep to the budget");
}

}  // namespace

std::string RunAttempts(std::span<const Step> steps) {
  try {
    World world;
    for (const Step& step : steps) world.Apply(step);
    world.CheckEnd();
  } catch (const Violation& violation) {
    return violation.invariant;
  }
  return {};
}

}  // namespace verbenaridge::proofs
