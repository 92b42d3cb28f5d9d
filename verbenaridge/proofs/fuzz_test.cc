#include "verbenaridge/proofs/fuzz.h"

#include <doctest/doctest.h>

namespace verbenaridge::proofs {
namespace {

// Guards against every failure that the worlds' oracles name, in random sequences of faults. CTest
// sets the seed and the number of sequences in RC_PARAMS.
TEST_CASE("random sequences break no invariant") {
  struct Row {
    const char* name;
    RunFunction run;
  };
  const Row rows[] = {
      {"attempts", RunAttempts}, {"claims", RunClaims}, {"poison", RunPoison}, {"merge", RunMerge}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      CHECK(rc::check(row.name, [&row] {
        const std::string violated = row.run(*Sequences());
        if (!violated.empty()) RC_FAIL(violated);
      }));
    }
  }
}

}  // namespace
}  // namespace verbenaridge::proofs
