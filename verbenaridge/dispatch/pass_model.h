// Predicts the passes of a model engine from its published timing.
//
//   PassModel model(timing);
//   Duration prefill = model.PrefillTime(4'960, 1);
//   Duration pass = model.PassTime({.sequences = 9, .context_tokens = 45'000});
//
// An engine runs in passes. A pass prefills chunks of pending prompts and produces `stride` tokens
// of each decoding request, if there is one. Prefill therefore extends the gaps between the events
// of all requests that decode on the engine.
#ifndef VERBENARIDGE_DISPATCH_PASS_MODEL_H_
#define VERBENARIDGE_DISPATCH_PASS_MODEL_H_

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/directory/configuration.h"

namespace verbenaridge::dispatch {

struct Decoding {
  std::size_t sequences = 0;
  TokenCount context_tokens = 0;  // of all sequences together
};

class PassModel {
 public:
  explicit PassModel(const directory::EngineTiming& timing) : timing_(timing) {}

  // Prefill time of one of `parts` engines that share a prompt evenly.
  Duration PrefillTime(TokenCount prompt_tokens, std::size_t parts) const;

  // Duration of a pass without prefill; zero if nothing decodes.
  Duration PassTime(const Decoding& decoding) const;

  // The same of an engine whose slots and memory are full.
  Duration LongestPassTime() const;

  // Maximum prefill time of such a prompt in one pass while others decode. A pass prefills at most
  // one chunk in each of its steps.
  Duration MaxPrefillInPass(TokenCount prompt_tokens, std::size_t parts) const;

  // The same for a prompt that fills the memory of the engine: no pass prefills for longer.
  Duration MaxPrefillInAnyPass() const { return MaxPrefillInPass(timing_.kv_tokens, 1); }

  const directory::EngineTiming& timing() const { return timing_; }

 private:
  directory::EngineTiming timing_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_PASS_MODEL_H_
