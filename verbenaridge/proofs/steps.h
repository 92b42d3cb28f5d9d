// Command sequences of the stateful fuzz tests, and how a broken invariant is reported.
//
// A world interprets a sequence of steps: `kind` selects what happens, `a` and `b` to whom. Every
// sequence is valid, so that RapidCheck can shrink it by removing steps and lowering numbers, and
// so that a shrunk sequence can be kept as a row of a table.
#ifndef VERBENARIDGE_PROOFS_STEPS_H_
#define VERBENARIDGE_PROOFS_STEPS_H_

#include <ostream>
#include <span>
#include <string>

namespace verbenaridge::proofs {

struct Step {
  int kind = 0;
  int a = 0;
  int b = 0;

  friend std::ostream& operator<<(std::ostream& out, const Step& step) {
    return out << '{' << step.kind << ", " << step.a << ", " << step.b << '}';
  }
};

// Steps have values below these.
inline constexpr int kKinds = 32;
inline constexpr int kOperands = 16;

struct Violation {
  std::string invariant;
};

inline void Require(bool holds, const char* invariant) {
  if (!holds) throw Violation{invariant};
}

// Each runs one sequence and returns the name of the first broken invariant, or nothing.
std::string RunAttempts(std::span<const Step> steps);
std::string RunClaims(std::span<const Step> steps);
std::string RunPoison(std::span<const Step> steps);
std::string RunMerge(std::span<const Step> steps);

}  // namespace verbenaridge::proofs

#endif  // VERBENARIDGE_PROOFS_STEPS_H_
