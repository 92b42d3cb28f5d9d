// Requests that were at an endpoint when it died, so that the one that kills endpoints is stopped.
//
//   CrashMemory crashes;
//   if (crashes.Refused(digest, now)) Refuse();
//   crashes.OnCrash(digest, endpoint, now);
//   crashes.OnCompleted(digest);
//
// Deaths are told to other hosts, so equal ones count once. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_CRASH_MEMORY_H_
#define VERBENARIDGE_DISPATCH_CRASH_MEMORY_H_

#include <cstddef>
#include <set>
#include <unordered_map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

struct CrashMemoryOptions {
  std::size_t deaths_to_refuse = 3;
  Duration memory = std::chrono::minutes(10);
  std::size_t capacity = 4096;
};

class CrashMemory {
 public:
  explicit CrashMemory(const CrashMemoryOptions& options = {}) : options_(options) {}

  // True if this death was not known.
  bool OnCrash(Digest request, Digest endpoint, TimePoint now);
  void OnCompleted(Digest request) { suspects_.erase(request); }
  bool Refused(Digest request, TimePoint now) const;

 private:
  struct Suspect {
    std::set<Digest> endpoints;
    TimePoint last{};
  };

  CrashMemoryOptions options_;
  std::unordered_map<Digest, Suspect> suspects_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_CRASH_MEMORY_H_
