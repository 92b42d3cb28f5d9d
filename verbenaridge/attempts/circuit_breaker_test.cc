#include "verbenaridge/attempts/circuit_breaker.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenaridge::attempts {
namespace {

// Guards against a breaker that opens too early, never recovers, or allows more than one probe.
// Inputs: f failure, s success, a abandoned, w wait 1 s, ? call of Allow. `allowed` has the result
// of each call.
TEST_CASE("the breaker opens at the failure limit and allows one probe") {
  struct Row {
    const char* name;
    const char* inputs;
    const char* allowed;
  };
  const Row rows[] = {
      {"stays closed below the limit", "ffff?", "y"},
      {"a success resets the count", "ffffsffff?", "y"},
      {"opens at the limit", "fffff?", "n"},
      {"one probe after the open time", "fffffw??", "yn"},
      {"closes when the probe succeeds", "fffffw?s??", "yyy"},
      {"opens for longer when the probe fails", "fffffw?fw?ww?", "yny"},
      {"late failures do not prolong the opening", "fffffffw?", "y"},
      {"an abandoned probe is repeated", "fffffw?a?", "yy"},
      {"a probe without a result times out after 10 s", "fffffw?wwwwwwwww?w?", "yny"},
  };
  struct MaxRandom final : RandomSource {
    std::uint64_t Next() override { return ~std::uint64_t{0}; }
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      MaxRandom random;
      CircuitBreaker breaker(random);
      TimePoint now{std::chrono::hours(1)};
      std::string allowed;
      for (const char input : std::string(row.inputs)) {
        if (input == 'f') breaker.OnFailure(now);
        if (input == 's') breaker.OnSuccess();
        if (input == 'a') breaker.OnAbandoned(now);
        if (input == 'w') now += std::chrono::seconds(1);
        if (input == '?') allowed += breaker.Allow(now) ? 'y' : 'n';
      }
      CHECK(allowed == row.allowed);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::attempts
