#include <doctest/doctest.h>

#include <sstream>
#include <vector>

#include "verbenaridge/proofs/steps.h"

namespace verbenaridge::proofs {
namespace {

std::vector<Step> Parse(const char* text) {
  std::vector<Step> steps;
  std::istringstream in(text);
  Step step;
  for (char comma = 0; in >> step.kind >> comma >> step.a >> comma >> step.b;) {
    steps.push_back(step);
  }
  return steps;
}

// Guards against the return of failures that fuzzing found in the product or that a mutation made.
// Each row is a shrunk sequence with the seed of its run; the product must break no invariant.
TEST_CASE("recorded traces") {
  struct Row {
    const char* name;
    std::string (*run)(std::span<const Step>);
    const char* steps;  // kind,a,b of each
  };
  const Row rows[] = {
      // Product, seed 1: a new owner admitted the digest again before deaths were reported to it.
      {"owner change with unreported deaths, 4 endpoints lost", RunPoison,
       "0,2,0 0,11,0 0,12,10 10,0,0 16,8,0 10,0,0 30,0,0 0,0,0 0,0,11 10,0,0 0,1,10 16,7,0 0,0,0 "
       "10,0,0"},
      {"owner change with unreported deaths, seed 3", RunPoison,
       "0,0,0 0,2,0 0,0,10 30,0,0 0,0,10 10,0,0 10,0,0 0,4,0 10,0,0 16,4,0 0,0,0 10,0,0"},
      // Mutations, seed 20261204.
      {"two writers claim one key", RunClaims, "13,0,0 13,0,10"},
      {"failed write of the second of two writers", RunClaims, "13,0,10 13,0,0 0,2,0 27,0,4 0,3,0"},
      {"expiry with skewed clocks", RunClaims,
       "13,0,0 0,9,0 20,7,0 27,0,4 20,9,0 30,0,0 13,0,0 13,0,11 0,9,0"},
      {"holder paused before its dispatch", RunClaims, "13,2,0 25,11,0 20,8,0"},
      {"look-up at a writer with an old copy", RunClaims, "18,8,0 13,0,0 0,10,0 18,2,0"},
      {"late end of an earlier attempt", RunAttempts,
       "11,1,0 11,1,0 14,0,3 14,3,3 20,0,0 20,3,13 0,0,0 8,0,0 27,1,0 14,0,4 0,0,0"},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) { CHECK(row.run(Parse(row.steps)) == ""); }
  }
}

}  // namespace
}  // namespace verbenaridge::proofs
