// Requests that were running when an endpoint died, as known to every daemon.
//
//   SuspectRegistry registry;
//   registry.OnEndpointDeath("furano-03", incarnation, digests_in_flight, clock.WallNow());
//   if (registry.ActionFor(digest, clock.WallNow()) == SuspectAction::kRefuse) { ... }
//
// The registry holds two grow-only sets of the same kind of fact: deaths, and exonerated deaths.
// A digest is judged by its deaths that are not exonerated. Completing a request exonerates the
// deaths known at that moment; a later death of the same digest counts again.
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

// A death with the time after which it is forgotten.
struct DeathRecord {
  Death death;
  WallTime expiry{};

  friend auto operator<=>(const DeathRecord&, const DeathRecord&) = default;
};

// A bounded grow-only set whose merge is idempotent, commutative and associative: the union, with
// the later expiry of equal deaths, cut to the `capacity` deaths that expire last.
class DeathSet {
 public:
  explicit DeathSet(std::size_t capacity) : capacity_(capacity) {}

  void Add(const DeathRecord& dated);
  void RemoveExpired(WallTime now);

  bool Contains(const Death& death) const { return deaths_.contains(death); }
  std::size_t size() const { return deaths_.size(); }

  // Deaths of one digest, in order.
  std::vector<DeathRecord> Of(Digest digest) const;
  std::vector<DeathRecord> All() const;

  friend bool operator==(const DeathSet&, const DeathSet&) = default;

 private:
  std::size_t capacity_;
  std::map<Death, WallTime> deaths_;
  std::map<WallTime, std::map<Death, bool>> by_expiry_;
};

enum class SuspectAction : std::uint8_t {
  kAllow,    // nothing known
  kIsolate,  // run alone on an endpoint, and one at a time
  kRefuse,
};

struct SuspectRegistryOptions {
  Duration memory = std::chrono::hours(1);
  int deaths_to_refuse = 2;
  // 4,096 entries of about 150 bytes in each of two sets stay near 1.2 MB.
  std::size_t capacity = 4096;
};

// Not thread-safe; lives on the control thread.
class SuspectRegistry {
 public:
  explicit SuspectRegistry(const SuspectRegistryOptions& options = {});

  // An incarnation of an endpoint died while `in_flight` ran on it.
  void OnEndpointDeath(const EndpointId& endpoint, Incarnation incarnation,
                       std::span<const Digest> in_flight, WallTime now);

  // A request with this digest completed. Returns the exonerations added, for gossip.
  std::vector<DeathRecord> OnCompleted(Digest digest, WallTime now);

  // Takes over what a peer knows. Entries that have expired are ignored.
  void Merge(std::span<const DeathRecord> deaths, std::span<const DeathRecord> exonerations,
             WallTime now);

  SuspectAction ActionFor(Digest digest, WallTime now) const;

  // Distinct deaths of the digest that count.
  int CountDeaths(Digest digest, WallTime now) const;

  void RemoveExpired(WallTime now);

  std::vector<DeathRecord> deaths() const { return deaths_.All(); }
  std::vector<DeathRecord> exonerations() const { return exonerations_.All(); }
  std::vector<DeathRecord> DeathsOf(Digest digest) const { return deaths_.Of(digest); }

 private:
  SuspectRegistryOptions options_;
  DeathSet deaths_;
  DeathSet exonerations_;
};

}  // namespace verbenaridge::poison

#endif  // VERBENARIDGE_POISON_SUSPECT_REGISTRY_H_
