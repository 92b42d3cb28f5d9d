// The order in which an ingress requests permits from the owners of its candidates.
//
// Summaries lag behind, while owners have current state. The first request to each owner therefore
// limits the predicted wait. An owner that refuses as busy returns its predicted wait. When all
// owners have refused, the one with the shortest wait gets a second request without a limit. A
// refusal costs one round trip, which is far less than waiting in the wrong queue.
//
//   CandidateSequence sequence(decision.candidates(), options.redirect_above[Rank(priority)]);
//   while (std::optional<CandidateRequest> request = sequence.Next()) {
//     ... on a refusal as busy: sequence.OnBusy(wait); on any other refusal: continue
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

  // The next candidate whose owner to ask, or nothing when the request must be routed again or
  // refused.
  std::optional<CandidateRequest> Next();

  // Records that the owner of the last candidate refused as busy with this predicted wait.
  void OnBusy(Duration wait);

 private:
  std::array<Candidate, RouteDecision::kMaxCandidates> candidates_{};
  std::size_t count_ = 0;
  std::size_t next_ = 0;
  Duration redirect_above_{};
  std::optional<std::size_t> best_;  // candidate with the shortest wait that refused as busy
  Duration best_wait_{};
};

}  // namespace verbenaridge::routing

#endif  // VERBENARIDGE_ROUTING_CANDIDATE_SEQUENCE_H_
