// Limits at the account owner how many requests with the same digest run at the same time.
//
//   DigestGate gate(registry, now);
//   if (gate.Admit(digest, id, clock.Now(), clock.WallNow()) == GateDecision::kRun) { ... }
//   gate.Finish(id, digest, deaths_seen, completed, clock.WallNow());
//
// Before the first death of an endpoint, at most two identical requests run at the same time. After
// the first death at most one runs, alone on its endpoint. After the second death none runs until
// the pause of the registry has passed. A request that loses its endpoint must call Finish with the
// death, and Admit again before its next attempt. Together these rules limit the loss until that
// pause to two endpoints while the account owner is stable. A new owner admits a digest only once,
// or again after it completed, until holders have had time to present running requests and report
// deaths. An owner change thus costs at most one more endpoint.
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
  // Holders present their running requests and the deaths they saw to a new owner within this time,
  // which equals the expiry of permits.
  Duration settling_time = std::chrono::seconds(6);
};

// Not thread-safe. `registry` outlives the gate.
class DigestGate {
 public:
  DigestGate(SuspectRegistry& registry, TimePoint became_owner,
             const DigestGateOptions& options = {})
      : registry_(registry), became_owner_(became_owner), options_(options) {}

  // Decides whether a request may run. A repeated call with the id of a running request is allowed
  // again.
  GateDecision Admit(Digest digest, AdmissionId id, TimePoint now, WallTime wall);

  // Adds a running request that its holder presents to a new owner.
  void Present(Digest digest, AdmissionId id);

  // Ends an attempt of the request. `deaths` are those that the holder saw. They count before the
  // next Admit. Unknown ids are accepted, because the owner may have changed.
  void Finish(AdmissionId id, Digest digest, std::span<const DeathRecord> deaths, bool completed,
              WallTime wall);

  // Ends a request that was never sent to an endpoint, so its admission does not count.
  void Withdraw(AdmissionId id, Digest digest);

  int Running(Digest digest) const;

 private:
  void Remove(AdmissionId id);

  SuspectRegistry& registry_;
  TimePoint became_owner_;
  DigestGateOptions options_;
  std::map<AdmissionId, Digest> running_;
  std::map<Digest, int> counts_;
  std::set<Digest> admitted_settling_;  // admitted while settling and not completed since
};

}  // namespace verbenaridge::poison

#endif  // VERBENARIDGE_POISON_DIGEST_GATE_H_
