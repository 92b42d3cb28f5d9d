#include "verbenaridge/routing/candidate_sequence.h"

#include <algorithm>

namespace verbenaridge::routing {

CandidateSequence::CandidateSequence(std::span<const Candidate> candidates, Duration redirect_above)
    : count_(std::min(candidates.size(), RouteDecision::kMaxCandidates)),
      redirect_above_(redirect_above) {
  std::copy_n(candidates.begin(), count_, candidates_.begin());
}

std::optional<CandidateRequest> CandidateSequence::Next() {
  if (next_ < count_) {
    const Candidate& candidate = candidates_[next_++];
    // With one candidate there is nothing to compare, so its first request has no limit.
    return CandidateRequest{candidate, count_ > 1 ? redirect_above_ : Duration::zero()};
  }
  if (!best_) return std::nullopt;
  const Candidate& candidate = candidates_[*best_];
  best_.reset();
  return CandidateRequest{candidate, Duration::zero()};
}

void CandidateSequence::OnBusy(Duration wait) {
  // Another data centre refuses spilled requests whenever it is busy, so a second request to it
  // would fail too.
  if (candidates_[next_ - 1].spilled || (best_ && best_wait_ <= wait)) return;
  best_ = next_ - 1;
  best_wait_ = wait;
}

}  // namespace verbenaridge::routing
