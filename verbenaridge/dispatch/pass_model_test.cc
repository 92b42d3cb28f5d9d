#include "verbenaridge/dispatch/pass_model.h"

#include <doctest/doctest.h>

#include "verbenaridge/dispatch/testing.h"

namespace verbenaridge::dispatch {
namespace {

// Guards against predictions without the quadratic cost of token pairs in a long prompt. The
// expected times are computed by hand from the published formula.
TEST_CASE("prefill time includes the cost of token pairs") {
  struct Row {
    const char* name;
    TokenCount tokens;
    std::size_t parts;
    double milliseconds;
  };
  const Row rows[] = {
      {"short prompt", 4'960, 1, 25.8},
      {"45,000 tokens", 45'000, 1, 358.2},
      {"133,000 tokens", 133'000, 1, 1'866.2},
      {"133,000 tokens on four engines", 133'000, 4, 466.5},
      {"600,000 tokens", 600'000, 1, 27'752.6},
  };
  const PassModel model(testing::SiteTiming());
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const double predicted = ToSeconds(model.PrefillTime(row.tokens, row.parts)) * 1000;
    CHECK(predicted == doctest::Approx(row.milliseconds).epsilon(0.002));
  }
}

// Guards against a pass time that does not grow with the number and context of decoding requests.
TEST_CASE("pass time grows with the decoding requests") {
  struct Row {
    const char* name;
    Decoding decoding;
    double milliseconds;
  };
  const Row rows[] = {
      {"nothing decodes", {}, 0},
      {"one request", {.sequences = 1}, 43 * 1.02226},
      {"ten requests", {.sequences = 10, .context_tokens = 50'000}, 43 * (1.02 + 0.0226 + 0.2155)},
  };
  const PassModel model(testing::SiteTiming());
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const double predicted = ToSeconds(model.PassTime(row.decoding)) * 1000;
    CHECK(predicted == doctest::Approx(row.milliseconds).epsilon(0.002));
  }
}

}  // namespace
}  // namespace verbenaridge::dispatch
