// Which scheduler may use the last free slots of an engine first.
//
//   SlotTurns turns;
//   turns.SetSchedulers(own, others);
//   if (!turns.MayTake(engine, /*free_slots=*/1, /*since_end=*/milliseconds(4))) Skip(engine);
//
// Answers loads at which all engines are nearly full and requests wait at every scheduler: each
// slot that becomes free would be given away once by each of them within the time that their
// messages take, and all but one of these requests would wait in the queue of that engine. Each
// engine has an order of schedulers, by rendezvous hashing; the next one's turn comes when those
// before it would have used the slot. Schedulers that disagree on who is one cost a collision. Used
// by one thread.
#ifndef VERBENARIDGE_DISPATCH_SLOT_TURNS_H_
#define VERBENARIDGE_DISPATCH_SLOT_TURNS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

struct SlotTurnsOptions {
  // Engines with more free slots are used by all schedulers at once.
  std::size_t contended_slots = 2;
  // A try of the waiting requests, and the message that tells the others of it.
  Duration turn = std::chrono::milliseconds(20);
};

class SlotTurns {
 public:
  explicit SlotTurns(const SlotTurnsOptions& options = {}) : options_(options) {}

  void SetSchedulers(Digest self, std::span<const Digest> others);

  // `since_end`: since the last request is known to have ended at the engine.
  bool MayTake(Digest engine, std::size_t free_slots, Duration since_end) const;

 private:
  // Schedulers whose turn at the engine comes before the one of this host.
  std::size_t Rank(Digest engine) const;

  const SlotTurnsOptions options_;
  Digest self_ = 0;
  std::vector<Digest> others_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_SLOT_TURNS_H_
