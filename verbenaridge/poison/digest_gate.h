// Decides at the account owner how many requests of one digest run at once.
//
//   DigestGate gate(registry, now);
//   if (gate.Admit(digest, ticket, clock.Now(), clock.WallNow()) == GateDecision::kRun) { ... }
//   gate.Finish(ticket, deaths_seen, completed, clock.WallNow());
//
// Before the first death at most two identical requests run at once; after it one, alone on its
// endpoint; after the second none. A request that loses its endpoint must call Finish with the
// death and Admit again before its next attempt. Together this bounds the loss to two endpoints
// while the account owner is stable. A new owner admits a digest only once, or again after it
// completed, until holders had time to present running requests and report deaths. One owner change
// thus costs at most one endpoint more.
#ifndef VERBENARIDGE_POISON_DIGEST_GATE_H_
#define VERBENARIDGE_POISON_DIGEST_GATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/poison/suspect_registry.h"

namespace verbenaridge::poison {

enum class GateDecision : std::uint8_t {
  kRun,
  kRunAlone,  // on an endpoint that runs nothing else
  kWait,      // identical requests are running
  kRefuse,
};

// Identifies one admitted request to its account owner.
using AdmissionId = std::uint64_t;

struct DigestGateOptions {
  int max_identical = 2;
  // Holders present their running requests and their deaths to a new owner within this time, which
  // is the expiry of permits.
  Duration settling = std::chrono::seconds(6);
};

// Not thread-safe. `registry` outlives the gate.
class DigestGate {
 public:
  DigestGate(SuspectRegistry& registry, TimePoint became_owner,
             const DigestGateOptions& options = {})
      : registry_(registry), became_owner_(became_owner), options_(options) {}

  // A repeated call with a ticket that runs answers as the first did.
  GateDecision Admit(Digest digest, AdmissionId ticket, TimePoint now, WallTime wall);

  // A holder tells a new owner what it runs.
  void Present(Digest digest, AdmissionId ticket);

  // The request's attempt ended. `deaths` are those the holder saw; they count before the next
  // Admit. Unknown tickets are accepted, since their owner may have changed.
  void Finish(AdmissionId ticket, Digest digest, std::span<const DeathRecord> deaths,
              bool completed, WallTime wall);

  // The request ended without having been sent to an endpoint, so it did not use up its admission.
  void Withdraw(AdmissionId ticket, Digest digest);

  int Running(Digest digest) const;

 private:
  void Remove(AdmissionId ticket);

  SuspectRegistry& registry_;
  TimePoint became_owner_;
  DigestGateOptions options_;
  std::map<AdmissionId, Digest> running_;
  std::map<Digest, int> counts_;
  std::set<Digest> admitted_settling_;  // and not completed since
};

}  // namespace verbenaridge::poison

#endif  // VERBENARIDGE_POISON_DIGEST_GATE_H_
