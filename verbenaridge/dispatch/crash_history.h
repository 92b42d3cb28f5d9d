// Counts the endpoint crashes during each request, so that a request that crashes endpoints is
// refused.
//
//   CrashHistory crashes;
//   if (crashes.ShouldRefuse(digest, now)) Refuse();
//   crashes.OnCrash(digest, endpoint, now);
//   crashes.OnCompleted(digest);
//
// Hosts announce crashes to each other, so a crash of the same request and endpoint counts once.
// Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_CRASH_HISTORY_H_
#define VERBENARIDGE_DISPATCH_CRASH_HISTORY_H_

#include <cstddef>
#include <set>
#include <unordered_map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

struct CrashHistoryOptions {
  std::size_t crashes_to_refuse = 3;
  Duration retention = std::chrono::minutes(10);
  std::size_t capacity = 4096;
};

class CrashHistory {
 public:
  explicit CrashHistory(const CrashHistoryOptions& options = {}) : options_(options) {}

  // Returns true if this crash was not yet known.
  bool OnCrash(Digest request, Digest endpoint, TimePoint now);
  void OnCompleted(Digest request) { suspects_.erase(request); }
  bool ShouldRefuse(Digest request, TimePoint now) const;

 private:
  struct Suspect {
    std::set<Digest> endpoints;
    TimePoint last_crash{};
  };

  CrashHistoryOptions options_;
  std::unordered_map<Digest, Suspect> suspects_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_CRASH_HISTORY_H_
