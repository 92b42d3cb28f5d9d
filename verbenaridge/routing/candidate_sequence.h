// The order in which an ingress asks the owners of its candidates.
//
// Summaries lag, owners know: each candidate is asked with a limit on its predicted wait. One that
// refuses as busy tells its wait, and when all have refused, the one with the shortest wait is
// asked again without a limit. A refusal costs one round trip, far less than a wrong queue.
//
//   CandidateSequence sequence(decision.candidates(), options.redirect_above[Rank(priority)]);
//   while (std::optional<CandidateRequest> ask = sequence.Next()) {
//     ... a refusal as busy: sequence.OnBusy(wait); another refusal: go on
//   }
#ifndef VERBENARIDGE_ROUTING_CANDIDATE_SEQUENCE_H_
#define VERBENARIDGE_ROUTING_CANDIDATE_SEQUENCE_H_

#include <array>
#include <optional>
#include <span>

#include "verbenaridge/routing/routing_policy.h"

namespace verbenaridge::routing {

struct CandidateRequest {
  Candidate candidate;
  Duration redirect_above{};  // zero: accept any wait
};

class CandidateSequence {
 public:
  CandidateSequence() = default;
  CandidateSequence(std::span<const Candidate> candidates, Duration redirect_above);

  // The next owner to ask; nothing when the request must be routed anew or refused.
  std::optional<CandidateRequest> Next();

  // The owner asked last refused as busy with this predicted wait.
  void OnBusy(Duration wait);

 private:
  std::array<Candidate, RouteDecision::kMaxCandidates> candidates_{};
  std::size_t count_ = 0;
  std::size_t next_ = 0;
  Duration redirect_above_{};
  std::optional<std::size_t> best_;  // of those that refused as busy
  Duration best_wait_{};
};

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_CANDIDATE_SEQUENCE_H_
