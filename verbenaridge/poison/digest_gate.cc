#include "verbenaridge/poison/digest_gate.h"

#include "verbenaridge/mutation/mutation.h"

namespace verbenaridge::poison {

GateDecision DigestGate::Admit(Digest digest, AdmissionId id, TimePoint now, WallTime wall) {
  const SuspectAction action = registry_.ActionFor(digest, wall);
  if (action == SuspectAction::kRefuse) return GateDecision::kRefuse;
  const bool alone = action == SuspectAction::kIsolate;
  const GateDecision run = alone ? GateDecision::kRunAlone : GateDecision::kRun;
  if (running_.contains(id)) return run;
  const bool settling = now - became_owner_ < options_.settling_time;
  const int limit = alone || settling ? 1 : options_.max_identical;
  if (Running(digest) >= limit) return GateDecision::kWait;
  if (settling && !admitted_settling_.insert(digest).second &&
      !Mutated(Mutation::kAdmitWhileSettling)) {
    return GateDecision::kWait;
  }
  if (!settling) admitted_settling_.clear();
  Present(digest, id);
  return run;
}

void DigestGate::Present(Digest digest, AdmissionId id) {
  if (running_.emplace(id, digest).second) ++counts_[digest];
}

void DigestGate::Finish(AdmissionId id, Digest digest, std::span<const DeathRecord> deaths,
                        bool completed, WallTime wall) {
  registry_.Merge(deaths, {}, wall);
  if (completed) {
    registry_.OnCompleted(digest, wall);
    admitted_settling_.erase(digest);
  }
  Remove(id);
}

void DigestGate::Withdraw(AdmissionId id, Digest digest) {
  if (!running_.contains(id)) return;
  admitted_settling_.erase(digest);
  Remove(id);
}

void DigestGate::Remove(AdmissionId id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const auto count = counts_.find(found->second);
  if (--count->second == 0) counts_.erase(count);
  running_.erase(found);
}

int DigestGate::Running(Digest digest) const {
  const auto found = counts_.find(digest);
  return found == counts_.end() ? 0 : found->second;
}

}  // namespace verbenaridge::poison
