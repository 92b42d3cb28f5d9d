// Deliberate faults in decision packages, by which the fuzz tests show that their oracles can fail.
//
// In the product `Mutated` is constant false and the faulty branches are compiled out. The mutation
// tests compile the same sources with VERBENARIDGE_MUTABLE and choose one fault at run time:
//
//   if (!Mutated(Mutation::kIgnoreAttemptNumber) && attempt != attempt_) return {};
#ifndef VERBENARIDGE_MUTATION_MUTATION_H_
#define VERBENARIDGE_MUTATION_MUTATION_H_

#include <cstdint>

namespace verbenaridge {

enum class Mutation : std::uint8_t {
  kNone,
  // attempts
  kIgnoreAttemptNumber,     // answers of earlier attempts are accepted
  kIgnoreTokenIndex,        // doubled tokens are delivered again, gaps are passed over
  kBrokenIsNotRun,          // a broken attempt is reported as not run
  kRedispatchUnrepeatable,  // a broken call that may not be repeated is retried
  kNoDeadline,              // the deadline is not checked
  kNoRetryBudget,           // retries are not counted
  kIgnoreLength,            // an answer that ends early counts as whole
  kResumeFromStart,         // a retry starts again with the first token
  kDispatchUnclaimed,       // a call is dispatched without its claim
  kKeepPermit,              // permits are not released
  // claims
  kConflictIsClaimed,      // a refused compare-and-swap counts as written
  kLostReplyIsClaimed,     // a write of unknown fate counts as written
  kNoSkewBound,            // records are removed at their expiry
  kNoDispatchLimit,        // a paused holder dispatches
  kIgnoreFingerprint,      // a repeat with another body is answered from the record
  kReleaseAfterDispatch,   // a claim of unknown fate is freed
  kDropResult,             // the result of a call is not stored
  kNoClaimAnswerLimit,     // a claim waits for the store without a limit
  kStaleLookUp,            // look-ups are answered from the cache
  kForgetAbandoned,        // claims of unknown fate stay when their asker was refused
  kDispatchAfterGivingUp,  // a holder dispatches although the caller heard "not_run"
  // poison
  kExonerateForever,    // an exoneration also covers later deaths
  kThreeDeaths,         // refusal only after a third death
  kLastExpiryWins,      // merge overwrites the expiry
  kNoExoneration,       // completing a request clears nothing
  kUnboundedMerge,      // merged sets grow without limit
  kAdmitWhileSettling,  // a new owner admits a digest again before deaths are reported to it
  kNoIsolation,         // suspects run beside other requests
  // plans
  kPlanGoesBack,      // an older document replaces a newer one
  kStartUnconfirmed,  // a starting daemon ignores the confirmed version
  kIgnorePlanPause,   // a pause does not end serving
  kIgnoreHostList,    // confirmation asks only for hosts that probing finds live
  // ctl
  kLostReplyIsConflict,  // a write of unknown fate is reported as not written
  // membership
  kNoDeadProbes,  // dead members are never asked again
  kNoRefutation,  // a member does not contradict its own death
  kOldestWins,    // merging keeps the state of the older incarnation
  kLeavingOwns,   // a leaving host still owns endpoints in its own view
  // dispatch
  kCountWorkTwice,   // a repeated begin is counted again
  kKeepEndedWork,    // work stays on the board after its end
  kKeepExpiredWork,  // work whose end was never told stays for ever
  kForgetNoHost,     // the work of a dead host stays
  kSlackForEach,     // each host spends the whole slack of the system
  kOldRequestsPay,   // requests pay for retries long after the window
  // directory
  kForgetInOutage,  // entries that lapsed during an outage are gone at once
  kKeepRemoved,     // removed entries stay
  kIgnoreLeaving,   // an endpoint that leaves keeps its old state
  kLoseOverShare,   // waiting requests over their share are left out
  kKeepLateInTime,  // late requests keep their place among those in time
  kRefuseRun,       // waiting requests that may have run are refused
};

#ifdef VERBENARIDGE_MUTABLE
inline Mutation active_mutation = Mutation::kNone;
inline bool Mutated(Mutation mutation) { return mutation == active_mutation; }
#else
constexpr bool Mutated(Mutation /*mutation*/) { return false; }
#endif

}  // namespace verbenaridge

#endif  // VERBENARIDGE_MUTATION_MUTATION_H_
