#include "verbenaridge/claims/claim_holder.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::claims {

ClaimHolder::ClaimHolder(const ClaimHolderOptions& options, const Clock& clock,
                         RandomSource& random, ClaimRequest request)
    : options_(options), clock_(clock), random_(random), request_(std::move(request)) {}

HolderActions ClaimHolder::RequestClaim() {
  HolderActions actions;
  if (state_ != State::kCreated) return actions;
  state_ = State::kRequested;
  asked_at_ = clock_.Now();
  wake_ = asked_at_ + options_.reply_timeout;
  actions.emplace_back(SendClaim{request_});
  return actions;
}

HolderActions ClaimHolder::OnReply(const Result<ClaimReply>& reply) {
  HolderActions actions;
  if (state_ != State::kRequested) return actions;
  // A failed call leaves open whether the claim was written, so it is released.
  if (reply.has_error()) {
    Refuse({.verdict = ClaimVerdict::kUnavailable, .result = {}}, true, actions);
  } else if (reply.value().verdict == ClaimVerdict::kClaimed) {
    state_ = State::kGranted;
    wake_ = asked_at_ + options_.dispatch_limit;
    actions.emplace_back(Granted{});
  } else {
    Refuse(reply.value(), false, actions);
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

HolderActions ClaimHolder::OnCancelled() {
  HolderActions actions;
  if (state_ == State::kCreated) {
    Settle(false, actions);
  } else if (state_ == State::kRequested || state_ == State::kGranted) {
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

HolderActions ClaimHolder::OnOutcomeReply(const Result<ClaimReply>& reply) {
  HolderActions actions;
  if (state_ != State::kRecording || reply.has_error()) return actions;
  const ClaimVerdict verdict = reply.value().verdict;
  if (verdict == ClaimVerdict::kRecorded || verdict == ClaimVerdict::kNotFound) {
    Settle(verdict == ClaimVerdict::kRecorded, actions);
  }
  return actions;
}

HolderActions ClaimHolder::OnTimer() {
  HolderActions actions;
  if (!wake_ || clock_.Now() < *wake_) return actions;
  if (state_ == State::kRequested || state_ == State::kGranted) {
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

void ClaimHolder::Refuse(const ClaimReply& reply, bool release, HolderActions& actions) {
  actions.emplace_back(Refused{reply});
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
  const Duration full =
      std::min(options_.max_retry_delay, options_.initial_retry_delay * (1 << doublings));
  // Half at least, so that a slow writer is not sent the same outcome many times.
  const Duration delay = full / 2 + FromSeconds(ToSeconds(full) / 2 * random_.Uniform());
  wake_ = clock_.Now() + options_.reply_timeout + delay;
  actions.emplace_back(SendOutcome{outcome_});
}

void ClaimHolder::Settle(bool recorded, HolderActions& actions) {
  state_ = State::kFinished;
  wake_.reset();
  actions.emplace_back(Finished{.recorded = recorded});
}

}  // namespace verbenaridge::claims
