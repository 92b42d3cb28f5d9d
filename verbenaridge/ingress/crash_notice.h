// What the traffic threads of hosts tell each other, by gossip, about requests and parts of prompts
// on which endpoints crash.
//
//   directory.SetCrashNotice({.suspected = suspects.SuspectedKeys(now), ...});
#ifndef VERBENARIDGE_INGRESS_CRASH_NOTICE_H_
#define VERBENARIDGE_INGRESS_CRASH_NOTICE_H_

#include <vector>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/dispatch/crash_suspects.h"

namespace verbenaridge::ingress {

struct CrashNotice {
  std::vector<Digest> suspected;  // asks for sound responses on them
  std::vector<dispatch::CrashRefusal> refusals;
  std::vector<dispatch::RefutedKey> refuted;

  bool operator==(const CrashNotice&) const = default;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_CRASH_NOTICE_H_
