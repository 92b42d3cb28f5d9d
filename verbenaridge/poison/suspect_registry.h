// Registry of the requests that were running when an endpoint died, replicated at every daemon.
//
//   SuspectRegistry registry;
//   registry.OnEndpointDeath("furano-03", incarnation, digests_in_flight, clock.WallNow());
//   if (registry.ActionFor(digest, clock.WallNow()) == SuspectAction::kRefuse) { ... }
//
// The registry has two grow-only sets: deaths and exonerated deaths. Only deaths that are not
// exonerated count against a digest. Completing a request exonerates the deaths known at that
// moment. A later death of the same digest counts again. A digest that is refused may run alone
// again after a pause, so that one that is sound completes.
#ifndef VERBENARIDGE_POISON_SUSPECT_REGISTRY_H_
#define VERBENARIDGE_POISON_SUSPECT_REGISTRY_H_

#include <compare>
#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::poison {

// One request digest was in flight when one incarnation of an endpoint died.
struct Death {
  Digest digest = 0;
  EndpointId endpoint;
  Incarnation incarnation = 0;

  friend auto operator<=>(const Death&, const Death&) = default;
};

// A death with the time at which it expires.
struct DeathRecord {
  Death death;
  WallTime expiry{};

  friend auto operator<=>(const DeathRecord&, const DeathRecord&) = default;
};

// A bounded grow-only set whose merge is idempotent, commutative and associative. The merge is the
// union with the later expiry of equal deaths, limited to the `capacity` deaths that expire last.
class DeathSet {
 public:
  explicit DeathSet(std::size_t capacity) : capacity_(capacity) {}

  void Add(const DeathRecord& record);
  void RemoveExpired(WallTime now);

  bool Contains(const Death& death) const { return deaths_.contains(death); }
  std::size_t size() const { return deaths_.size(); }

  // Deaths of one digest, in ascending order.
  std::vector<DeathRecord> Of(Digest digest) const;
  std::vector<DeathRecord> All() const;

  friend bool operator==(const DeathSet&, const DeathSet&) = default;

 private:
  std::size_t capacity_;
  std::map<Death, WallTime> deaths_;
  std::map<WallTime, std::map<Death, bool>> by_expiry_;
};

enum class SuspectAction : std::uint8_t {
  kAllow,    // no deaths that count
  kIsolate,  // run one at a time, alone on an endpoint
  kRefuse,
};

// How long a digest is refused after the last of its deaths.
struct RefusalPause {
  Duration first = std::chrono::minutes(10);
  int factor = 5;  // for each death beyond those that suffice to refuse
};

struct SuspectRegistryOptions {
  Duration retention = std::chrono::hours(1);
  int deaths_to_refuse = 2;
  // Endpoints that are lost for another reason may leave two deaths to a sound request. While it is
  // refused it cannot complete, so it is isolated again after a pause.
  RefusalPause refusal_pause{};
  // 4,096 entries of about 150 bytes in each of two sets stay near 1.2 MB.
  std::size_t capacity = 4096;
};

// Not thread-safe; lives on the control thread.
class SuspectRegistry {
 public:
  explicit SuspectRegistry(const SuspectRegistryOptions& options = {});

  // Records that an incarnation of an endpoint died while `in_flight` were running on it.
  void OnEndpointDeath(const EndpointId& endpoint, Incarnation incarnation,
                       std::span<const Digest> in_flight, WallTime now);

  // Exonerates the deaths of a digest whose request completed. Returns the new exonerations, for
  // gossip.
  std::vector<DeathRecord> OnCompleted(Digest digest, WallTime now);

  // Merges the sets of a peer. Expired entries are ignored.
  void Merge(std::span<const DeathRecord> deaths, std::span<const DeathRecord> exonerations,
             WallTime now);

  SuspectAction ActionFor(Digest digest, WallTime now) const;

  // Number of distinct deaths that count against the digest.
  int CountDeaths(Digest digest, WallTime now) const;

  void RemoveExpired(WallTime now);

  std::vector<DeathRecord> deaths() const { return deaths_.All(); }
  std::vector<DeathRecord> exonerations() const { return exonerations_.All(); }
  std::vector<DeathRecord> DeathsOf(Digest digest) const { return deaths_.Of(digest); }

 private:
  // Of the deaths that count against the digest; none: the earliest time.
  WallTime LastDeath(Digest digest, WallTime now) const;
  Duration PauseAfter(int deaths) const;

  SuspectRegistryOptions options_;
  DeathSet deaths_;
  DeathSet exonerations_;
};

}  // namespace verbenaridge::poison

#endif  // VERBENARIDGE_POISON_SUSPECT_REGISTRY_H_
