#include "verbenaridge/claims/claim_holder.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::claims {

ClaimHolder::ClaimHolder(const ClaimHolderOptions& options, const Clock& clock,
                         RandomSource& random, ClaimRequest request)
    : options_(options), clock_(clock), random_(random), request_(std::move(request)) {}

HolderActions ClaimHolder::Ask() {
  HolderActions actions;
  if (state_ != State::kCreated) return actions;
  state_ = State::kAsked;
  asked_at_ = clock_.Now();
  wake_ = asked_at_ + options_.ask_limit;
  actions.emplace_back(SendClaim{request_});
  return actions;
}

HolderActions ClaimHolder::OnAnswer(const Result<ClaimAnswer>& answer) {
  HolderActions actions;
  if (state_ != State::kAsked) return actions;
  // A failed call leaves open whether the claim was written, so it is released.
  if (answer.has_error()) {
    Refuse({.verdict = ClaimVerdict::kUnavailable, .result = {}}, true, actions);
  } else if (answer.value().verdict == ClaimVerdict::kClaimed) {
    state_ = State::kGranted;
    wake_ = asked_at_ + options_.dispatch_limit;
    actions.emplace_back(Granted{});
  } else {
    Refuse(answer.value(), false, actions);
  }
  return actions;
}

bool ClaimHolder::TryDispatch(HolderActions& actions) {
  const bool given_up = state_ != State::kGranted &&
                        !(state_ == State::kRecording && Mutated(Mutation::kDispatchAfterGivingUp));
  if (given_up) return false;
  const bool in_time =
      clock_.Now() - asked_at_ <= options_.dispatch_limit || Mutated(Mutation::kNoDispatchLimit);
  // The record is removed one skew bound after the expiry; no order starts after that.
  if (!in_time || clock_.WallNow() > request_.expiry) {
    Refuse({.verdict = ClaimVerdict::kUnavailable, .result = {}}, true, actions);
    return false;
  }
  state_ = State::kDispatched;
  wake_.reset();
  return true;
}

HolderActions ClaimHolder::OnGivenUp() {
  HolderActions actions;
  if (state_ == State::kCreated) {
    Settle(false, actions);
  } else if (state_ == State::kAsked || state_ == State::kGranted) {
    StartRecording(Outcome::kNotRun, {}, actions);
  }
  return actions;
}

HolderActions ClaimHolder::OnEnd(Outcome outcome, const ClaimResult& result) {
  HolderActions actions;
  if (state_ != State::kDispatched) return actions;
  if (Mutated(Mutation::kReleaseAfterDispatch) && outcome == Outcome::kUnknown) {
    outcome = Outcome::kNotRun;
  }
  StartRecording(outcome, result, actions);
  return actions;
}

HolderActions ClaimHolder::OnOutcomeAnswer(const Result<ClaimAnswer>& answer) {
  HolderActions actions;
  if (state_ != State::kRecording || answer.has_error()) return actions;
  const ClaimVerdict verdict = answer.value().verdict;
  if (verdict == ClaimVerdict::kRecorded || verdict == ClaimVerdict::kNotFound) {
    Settle(verdict == ClaimVerdict::kRecorded, actions);
  }
  return actions;
}

HolderActions ClaimHolder::OnTime() {
  HolderActions actions;
  if (!wake_ || clock_.Now() < *wake_) return actions;
  if (state_ == State::kAsked || state_ == State::kGranted) {
    Refuse({.verdict = ClaimVerdict::kUnavailable, .result = {}}, true, actions);
  } else if (state_ == State::kRecording) {
    // After its removal time there is no record to change.
    if (clock_.WallNow() > request_.expiry + kClockSkewBound) {
      Settle(false, actions);
    } else {
      StartRecording(outcome_.outcome, outcome_.result, actions);
    }
  }
  return actions;
}

void ClaimHolder::Refuse(const ClaimAnswer& answer, bool release, HolderActions& actions) {
  actions.emplace_back(Refused{answer});
  if (release) {
    StartRecording(Outcome::kNotRun, {}, actions);
  } else {
    Settle(false, actions);
  }
}

void ClaimHolder::StartRecording(Outcome outcome, const ClaimResult& result,
                                 HolderActions& actions) {
  state_ = State::kRecording;
  outcome_ = {.key = request_.key,
              .holder = request_.holder,
              .outcome = outcome,
              .expiry = request_.expiry,
              .result = result};
  const int doublings = std::min(sent_++, 8);
  const Duration full = std::min(options_.longest_retry, options_.first_retry * (1 << doublings));
  // Half at least, so that a slow writer is not sent the same outcome many times.
  const Duration delay = full / 2 + FromSeconds(ToSeconds(full) / 2 * random_.Uniform());
  wake_ = clock_.Now() + options_.ask_limit + delay;
  actions.emplace_back(SendOutcome{outcome_});
}

void ClaimHolder::Settle(bool recorded, HolderActions& actions) {
  state_ = State::kSettled;
  wake_.reset();
  actions.emplace_back(Settled{.recorded = recorded});
}

}  // namespace verbenaridge::claims
