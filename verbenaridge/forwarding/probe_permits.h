// Decides which requests may test a refusal.
//
//   permits.Ask(tested_keys, [run](bool granted) { granted ? run->Continue() : run->Refuse(); });
//
// A probe that is deadly after all costs an endpoint, so the hosts of a system share the few that
// are let through.
#ifndef VERBENARIDGE_FORWARDING_PROBE_PERMITS_H_
#define VERBENARIDGE_FORWARDING_PROBE_PERMITS_H_

#include <functional>
#include <span>

#include "verbenaridge/base/ids.h"

namespace verbenaridge::forwarding {

class ProbePermits {
 public:
  using Callback = std::function<void(bool granted)>;

  virtual ~ProbePermits() = default;

  // Asks for one probe of the refusals of these keys, as CrashRefusals::FindProbe returns them. The
  // callback runs once, at once or within some milliseconds.
  virtual void Ask(std::span<const Digest> keys, Callback callback) = 0;
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_PROBE_PERMITS_H_
