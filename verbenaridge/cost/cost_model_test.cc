#include "verbenaridge/cost/cost_model.h"

#include <doctest/doctest.h>

namespace verbenaridge::cost {
namespace {

const EndpointId kEndpoint("furano-01");
const ModelId kModel("m");

// Guards against a token estimate that never adapts, and against one outlier that distorts it.
TEST_CASE("token estimate follows the engines' counts") {
  struct Row {
    const char* name;
    int observations;
    TokenCount counted;  // for 4,000 bytes
    double low, high;    // bounds of the next estimate
  };
  const Row rows[] = {{"nothing learned", 0, 0, 1000, 1000},
                      {"converges upwards", 60, 1500, 1480, 1500},
                      {"converges downwards", 60, 600, 600, 620},
                      {"one outlier has a bounded effect", 1, 400'000, 1000, 1400}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      CostModel costs;
      for (int i = 0; i < row.observations; ++i) costs.OnTokenCount(kModel, 4000, row.counted);
      const auto estimate = static_cast<double>(costs.EstimateTokens(kModel, 4000));
      CHECK(estimate >= row.low);
      CHECK(estimate <= row.high);
    }
  }
}

// Guards against predictions that ignore the cached prefix, the output limit or the outcomes.
TEST_CASE("predictions follow the size of the request and the observed outcomes") {
  struct Row {
    const char* name;
    RequestSize size;
    double slowdown;  // ratio of observed to predicted time in 60 outcomes
    double prefill, decode;
    ByteCount kv;
  };
  const Row rows[] = {{"plain", {10'000, 0, 100}, 1, 1.0, 2.0, 10'100 * 10},
                      {"cached prefix", {10'000, 9'000, 100}, 1, 0.1, 2.0, 10'100 * 10},
                      {"twice as slow", {10'000, 0, 100}, 2, 2.0, 4.0, 10'100 * 10},
                      {"no output", {10'000, 0, 0}, 1, 1.0, 0.0, 10'000 * 10}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      CostModel costs;
      costs.OnLoadReport(kEndpoint, {10'000, std::chrono::milliseconds(20), 10});
      for (int i = 0; i < 60; ++i) {
        costs.OnOutcome(kEndpoint, kModel,
                        {.prefill_tokens = 1000,
                         .output_tokens = 100,
                         .max_output_tokens = 100,
                         .prefill_time = FromSeconds(0.1 * row.slowdown),
                         .decode_time = FromSeconds(2.0 * row.slowdown)});
      }
      const Prediction p = costs.Predict(kEndpoint, kModel, row.size);
      CHECK(ToSeconds(p.prefill) == doctest::Approx(row.prefill).epsilon(0.01));
      CHECK(ToSeconds(p.decode) == doctest::Approx(row.decode).epsilon(0.01));
      CHECK(p.kv_bytes == row.kv);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::cost
