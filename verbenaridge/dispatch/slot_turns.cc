#include "verbenaridge/dispatch/slot_turns.h"

#include <algorithm>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::dispatch {

void SlotTurns::SetSchedulers(Digest self, std::span<const Digest> others) {
  self_ = self;
  others_.assign(others.begin(), others.end());
}

std::size_t SlotTurns::Rank(Digest engine) const {
  const Digest own = CombineDigests(engine, self_);
  return static_cast<std::size_t>(std::count_if(others_.begin(), others_.end(), [&](Digest other) {
    return CombineDigests(engine, other) < own;
  }));
}

bool SlotTurns::MayTake(Digest engine, std::size_t free_slots, Duration since_end) const {
  if (others_.empty() || free_slots == 0 || free_slots > options_.contended_slots) return true;
  return since_end >= options_.turn * Rank(engine);
}

}  // namespace verbenaridge::dispatch
