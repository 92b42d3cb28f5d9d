// The requests and parts of prompts that are refused because endpoints crash on them.
//
//   CrashRefusals refusals;
//   if (refusals.Add({.keys = {part}, .last_crash = now})) Announce();
//   if (const CrashRefusal* refusal = refusals.Find(keys_of_request)) Refuse();
//
// Used by one thread.
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
  // A refusal that a peer reports with a crash later by less than this is the known one. Ages in
  // messages grow by their delay, so two hosts would otherwise move the crash on forever.
  Duration peer_tolerance = std::chrono::seconds(1);
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

  std::span<const CrashRefusal> all() const { return refusals_; }

 private:
  // The refusal of exactly these keys; null: none.
  CrashRefusal* FindSame(std::span<const Digest> keys);
  void Insert(CrashRefusal refusal);

  const CrashRefusalsOptions options_;
  std::vector<CrashRefusal> refusals_;
  std::vector<EndedRefusal> ended_;  // not taken yet
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_CRASH_REFUSALS_H_
