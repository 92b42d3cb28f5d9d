// The requests and parts of prompts that are refused because endpoints crash on them.
//
//   CrashRefusals refusals;
//   if (refusals.Add({.keys = {part}, .last_crash = now})) Announce();
//   if (const CrashRefusal* refusal = refusals.Find(keys_of_request)) Refuse();
//   if (refusals.TakeProbe(refusals.FindProbe(keys_of_request, now), now)) SendAnyway();
//
// A refusal may be wrong, and while it lasts no response can show that. So single requests are let
// through as probes, each after a pause that grows with each probe that crashes its endpoint. The
// end of a probe is not awaited. One host of the system hands out the probes of a refusal. Used by
// one thread.
#ifndef VERBENARIDGE_DISPATCH_CRASH_REFUSALS_H_
#define VERBENARIDGE_DISPATCH_CRASH_REFUSALS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

// Requests with all of these keys are refused.
struct CrashRefusal {
  std::vector<Digest> keys;  // sorted
  TimePoint last_crash{};
  bool whole_request = false;  // the only key is the digest of a request
  // The crashes may have another cause: they came at one moment, or a response on a key was sound
  // before them.
  bool doubtful = false;
  std::uint32_t failed_probes = 0;  // that crashed their endpoint
  TimePoint last_probe{};           // zero: none

  bool operator==(const CrashRefusal&) const = default;
};

// A refusal that has ended.
struct EndedRefusal {
  enum class Cause : std::uint8_t { kSoundResponse, kExpired };
  CrashRefusal refusal;
  Cause cause = Cause::kSoundResponse;
};

// The keys as hexadecimal numbers.
std::string ToText(const CrashRefusal& refusal);

struct CrashRefusalsOptions {
  std::size_t max_refusals = 64;
  // A refusal that a peer reports with a crash or a probe later by less than this is the known one.
  // Ages in messages grow by their delay, so two hosts would otherwise move the time on forever.
  Duration peer_tolerance = std::chrono::seconds(1);
  // From the last crash or probe to the next probe. Each failed probe multiplies it. A wrong
  // refusal turns away sound requests meanwhile, a probe of a right one crashes an endpoint.
  struct ProbePause {
    Duration first{};
    int factor = 1;  // for each failed probe
  };
  ProbePause doubtful_pause{.first = std::chrono::seconds(2), .factor = 2};
  ProbePause certain_pause{.first = std::chrono::seconds(30), .factor = 5};
};

class CrashRefusals {
 public:
  explicit CrashRefusals(const CrashRefusalsOptions& options = {}) : options_(options) {}

  // A judgment of this host. Returns true if its keys were not refused before.
  bool Add(CrashRefusal refusal);
  // A judgment of another host, with sorted keys. Returns as above.
  bool AddFromPeer(CrashRefusal refusal);

  // Ends the refusals for which the predicate holds.
  void End(EndedRefusal::Cause cause, const std::function<bool(const CrashRefusal&)>& predicate);
  // The refusals that have ended since the last call.
  std::vector<EndedRefusal> TakeEnded() { return std::exchange(ended_, {}); }

  // The refusal of requests with these keys; null: none. Valid until the next call that changes
  // anything.
  const CrashRefusal* Find(std::span<const Digest> keys) const;
  bool Contains(Digest key) const;

  // The refused keys that a request with these keys could test now; none if a refusal that applies
  // to it is not due. Another one may make it deadly for that reason.
  std::vector<Digest> FindProbe(std::span<const Digest> keys, TimePoint now) const;
  // Lets one request through to test the refusals that apply to these keys. Returns false if there
  // is none here, or one is not due.
  bool TakeProbe(std::span<const Digest> keys, TimePoint now);
  // An endpoint crashed during a request with these keys. After a failed probe, a refusal is
  // doubtful only if a response on one of its keys was ever sound.
  void OnCrash(std::span<const Digest> keys, const std::function<bool(Digest)>& was_ever_sound,
               TimePoint now);

  std::span<const CrashRefusal> all() const { return refusals_; }

 private:
  // The refusal of exactly these keys; null: none.
  CrashRefusal* FindSame(std::span<const Digest> keys);
  void Insert(CrashRefusal refusal);
  bool IsProbeDue(const CrashRefusal& refusal, TimePoint now) const;

  const CrashRefusalsOptions options_;
  std::vector<CrashRefusal> refusals_;
  std::vector<EndedRefusal> ended_;  // not taken yet
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_CRASH_REFUSALS_H_
