// Predicts the passes of a model engine from its published timing.
//
//   PassModel model(timing);
//   Duration read = model.ReadTime(4'960, 1);
//   Duration pass = model.PassTime({.sequences = 9, .context_tokens = 45'000});
//
// An engine works in passes. A pass reads pieces of waiting prompts and, if any request is
// decoding, produces `stride` tokens of each. So reading stretches the pauses between the events of
// all who decode there.
#ifndef VERBENARIDGE_DISPATCH_PASS_MODEL_H_
#define VERBENARIDGE_DISPATCH_PASS_MODEL_H_

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/directory/configuration.h"

namespace verbenaridge::dispatch {

struct Decoding {
  std::size_t sequences = 0;
  TokenCount context_tokens = 0;  // of all of them
};

class PassModel {
 public:
  explicit PassModel(const directory::EngineTiming& timing) : timing_(timing) {}

  // Time that one of `parts` engines spends on its even part of a prompt.
  Duration ReadTime(TokenCount prompt_tokens, std::size_t parts) const;

  // A pass that reads nothing; zero if nothing decodes.
  Duration PassTime(const Decoding& decoding) const;

  // The longest time that one pass spends on such a prompt while others decode: a pass reads at
  // most one chunk in each of its steps.
  Duration LongestReadInPass(TokenCount prompt_tokens, std::size_t parts) const;

  const directory::EngineTiming& timing() const { return timing_; }

 private:
  directory::EngineTiming timing_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_PASS_MODEL_H_
