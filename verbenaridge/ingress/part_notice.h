// What the traffic threads of hosts tell each other, by gossip, about parts of prompts on which
// endpoints crash.
//
//   directory.SetPartNotice({.suspected = suspects.SuspectedParts(now), ...});
#ifndef VERBENARIDGE_INGRESS_PART_NOTICE_H_
#define VERBENARIDGE_INGRESS_PART_NOTICE_H_

#include <vector>

#include "verbenaridge/base/ids.h"
#include "verbenaridge/dispatch/part_suspects.h"

namespace verbenaridge::ingress {

struct PartNotice {
  std::vector<Digest> suspected;  // asks for sound responses on them
  std::vector<dispatch::PartRefusal> refusals;
  std::vector<dispatch::RefutedPart> refuted;

  bool operator==(const PartNotice&) const = default;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_PART_NOTICE_H_
