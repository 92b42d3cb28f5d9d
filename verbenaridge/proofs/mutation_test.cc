#include "verbenaridge/mutation/mutation.h"

#include <doctest/doctest.h>

#include "verbenaridge/proofs/fuzz.h"

namespace verbenaridge::proofs {
namespace {

// Guards against an oracle that cannot fail: each fault must be caught, under the named invariant,
// by the same worlds and sequences that the fuzz test uses.
TEST_CASE("each fault is caught") {
  struct Row {
    const char* name;
    Mutation mutation;
    RunFunction run;
    const char* invariant;
  };
  using M = Mutation;
  const Row rows[] = {
      {"attempt number", M::kIgnoreAttemptNumber, RunAttempts, "not_run only if it did not run"},
      {"token index", M::kIgnoreTokenIndex, RunAttempts, "each token once and in order"},
      {"broken is not run", M::kBrokenIsNotRun, RunAttempts, "not_run only if it did not run"},
      {"redispatch", M::kRedispatchUnrepeatable, RunAttempts, "unrepeatable is dispatched once"},
      {"deadline", M::kNoDeadline, RunAttempts, "every request ends within its time"},
      {"retry budget", M::kNoRetryBudget, RunAttempts, "retries keep to the budget"},
      {"length", M::kIgnoreLength, RunAttempts, "whole answer"},
      {"resume", M::kResumeFromStart, RunAttempts, "resume after the delivered tokens"},
      {"unclaimed", M::kDispatchUnclaimed, RunAttempts, "dispatch only after the claim"},
      {"permit", M::kKeepPermit, RunAttempts, "every permit is released"},
      {"conflict", M::kConflictIsClaimed, RunClaims, "at most once"},
      {"lost reply", M::kLostReplyIsClaimed, RunClaims, "at most once"},
      {"skew bound", M::kNoSkewBound, RunClaims, "at most once"},
      {"dispatch limit", M::kNoDispatchLimit, RunClaims, "a paused holder does not dispatch"},
      {"fingerprint", M::kIgnoreFingerprint, RunClaims, "another body is refused"},
      {"release", M::kReleaseAfterDispatch, RunClaims, "at most once"},
      {"result", M::kDropResult, RunClaims, "a repeat after a result gets it"},
      {"answer limit", M::kNoClaimAnswerLimit, RunClaims, "every claim is answered in time"},
      {"look-up", M::kStaleLookUp, RunClaims, "look-up never denies what ran"},
      {"abandoned", M::kForgetAbandoned, RunClaims, "a claim of unknown fate is released"},
      {"given up", M::kDispatchAfterGivingUp, RunClaims, "not_run only if it did not run"},
      {"exoneration", M::kExonerateForever, RunPoison, "poison bound"},
      {"third death", M::kThreeDeaths, RunPoison, "poison bound"},
      {"settling", M::kAdmitWhileSettling, RunPoison, "poison bound"},
      {"isolation", M::kNoIsolation, RunPoison, "poison bound"},
      {"no exoneration", M::kNoExoneration, RunPoison, "completing clears the known deaths"},
      {"unbounded", M::kUnboundedMerge, RunMerge, "bounded size"},
      {"last expiry", M::kLastExpiryWins, RunMerge, "merge keeps the latest"},
  };
  constexpr int kMaxSequences = 20'000;
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      active_mutation = row.mutation;
      const std::string name = row.name;
      int sequences = 0;
      const rc::detail::TestParams params{.seed = 20261204, .maxSuccess = kMaxSequences};
      const auto result = rc::detail::checkTestable(
          [&row, &sequences] {
            ++sequences;
            if (row.run(*Sequences()) == row.invariant) RC_FAIL(row.invariant);
          },
          rc::detail::TestMetadata{}, params);
      active_mutation = Mutation::kNone;
      rc::detail::FailureResult failure;
      INFO(name << " after " << sequences << " sequences");
      CHECK(result.match(failure));
      if (failure.counterExample.empty()) continue;
      MESSAGE(name << ": caught after " << failure.numSuccess << " sequences, shrunk to "
                   << failure.counterExample.front().second);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::proofs
