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
  requested_at_ = clock_.Now();
  wake_at_ = requested_at_ + options_.reply_timeout;
  actions.emplace_back(SendClaim{request_});
  return actions;
}

HolderActions ClaimHolder::OnReply(const Result<ClaimReply>& reply) {
  HolderActions actions;
  if (state_ != State::kRequested) return actions;
  // After a failed call the claim may have been written, so it is released.
  if (reply.has_error()) {
    Refuse({.verdict = ClaimVerdict::kUnavailable, .result = {}}, true, actions);
  } else if (reply.value().verdict == ClaimVerdict::kClaimed) {
    state_ = State::kGranted;
    wake_at_ = requested_at_ + options_.dispatch_limit;
    actions.emplace_back(Granted{});
  } else {
    Refuse(reply.value(), false, actions);
  }
  return actions;
}

bool ClaimHolder::TryDispatch(HolderActions& actions) {
  const bool not_granted =
      state_ != State::kGranted &&
      !(state_ == State::kRecording && Mutated(Mutation::kDispatchAfterGivingUp));
  if (not_granted) return false;
  const bool in_time = clock_.Now() - requested_at_ <= options_.dispatch_limit ||
                       Mutated(Mutation::kNoDispatchLimit);
  // The record is removed one kClockSkewBound after its expiry. No call may be dispatched after
  // that.
  if (!in_time || clock_.WallNow() > request_.expiry) {
    Refuse({.verdict = ClaimVerdict::kUnavailable, .result = {}}, true, actions);
    return false;
  }
  state_ = State::kDispatched;
  wake_at_.reset();
  return true;
}

HolderActions ClaimHolder::OnCancelled() {
  HolderActions actions;
  if (state_ == State::kCreated) {
    Finish(false, actions);
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
    Finish(verdict == ClaimVerdict::kRecorded, actions);
  }
  return actions;
}

HolderActions ClaimHolder::OnTimer() {
  HolderActions actions;
  if (!wake_at_ || clock_.Now() < *wake_at_) return actions;
  if (state_ == State::kRequested || state_ == State::kGranted) {
    Refuse({.verdict = ClaimVerdict::kUnavailable, .result = {}}, true, actions);
  } else if (state_ == State::kRecording) {
    // The record has been removed by now.
    if (clock_.WallNow() > request_.expiry + kClockSkewBound) {
      Finish(false, actions);
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
    Finish(false, actions);
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
  const int doublings = std::min(outcome_sends_++, 8);
  const Duration full =
      std::min(options_.max_retry_delay, options_.initial_retry_delay * (1 << doublings));
  // At least half of the delay, so that a slow writer does not get the same outcome many times.
  const Duration delay = full / 2 + FromSeconds(ToSeconds(full) / 2 * random_.Uniform());
  wake_at_ = clock_.Now() + options_.reply_timeout + delay;
  actions.emplace_back(SendOutcome{outcome_});
}

void ClaimHolder::Finish(bool recorded, HolderActions& actions) {
  state_ = State::kFinished;
  wake_at_.reset();
  actions.emplace_back(Finished{.recorded = recorded});
}

}  // namespace verbenaridge::claims
