// Runs one world under RapidCheck.
#ifndef VERBENARIDGE_PROOFS_FUZZ_H_
#define VERBENARIDGE_PROOFS_FUZZ_H_

#include <rapidcheck.h>

#include <vector>

#include "verbenaridge/proofs/steps.h"

namespace verbenaridge::proofs {

using RunFunction = std::string (*)(std::span<const Step>);

// Up to 300 steps: short sequences rarely reach a second attempt or a second writer. The operands
// use their whole range at every size.
inline rc::Gen<std::vector<Step>> Sequences() {
  const auto step = rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, kKinds)),
                                         rc::gen::set(&Step::a, rc::gen::inRange(0, kOperands)),
                                         rc::gen::set(&Step::b, rc::gen::inRange(0, kOperands)));
  return rc::gen::scale(
      3.0, rc::gen::container<std::vector<Step>>(rc::gen::resize(rc::kNominalSize, step)));
}

}  // namespace verbenaridge::proofs

#endif  // VERBENARIDGE_PROOFS_FUZZ_H_
