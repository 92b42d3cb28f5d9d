// Predicts the cost of a request at an endpoint, and corrects the prediction from outcomes.
//
// Token counts are estimated without a tokenizer: prompt bytes / 4, times a factor per model that
// follows the engines' own counts as an exponentially weighted average. Prefill and decode rates
// come from the endpoint's load reports. They are corrected, per endpoint, by the ratio of observed
// to predicted time.
//
//   CostModel costs(CostOptions{.decode_share = 1.0 / 32});
//   costs.OnLoadReport(endpoint, {.prefill_tokens_per_second = 9000});
//   Prediction p = costs.Predict(endpoint, {.prompt_tokens = 4000, .max_output_tokens = 200});
//   costs.OnOutcome(endpoint, model, {...});
#ifndef VERBENARIDGE_COST_COST_MODEL_H_
#define VERBENARIDGE_COST_COST_MODEL_H_

#include <unordered_map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::cost {

struct CostOptions {
  double smoothing = 0.1;      // weight of a new observation
  double bytes_per_token = 4;  // before the learned factor
  // Bounds of an observed ratio, so that a single outlier has a limited effect on a prediction.
  double min_correction = 0.2;
  double max_correction = 5;
  double decode_share = 1.0 / 32;       // fraction of an endpoint that one decoding stream uses
  double default_prefill_rate = 8'000;  // tokens/s, until the first load report
  Duration default_decode_step = std::chrono::milliseconds(20);
  ByteCount default_kv_bytes_per_token = ByteCount{128} * 1024;
};

// Rates reported by an endpoint. Zero means not reported.
struct EndpointRates {
  double prefill_tokens_per_second = 0;
  Duration decode_step{};
  ByteCount kv_bytes_per_token = 0;
};

struct RequestSize {
  TokenCount prompt_tokens = 0;
  TokenCount cached_tokens = 0;
  TokenCount max_output_tokens = 0;
};

struct Prediction {
  Duration prefill{};
  Duration decode{};
  ByteCount kv_bytes = 0;   // at the output limit
  double cost_seconds = 0;  // endpoint time: prefill plus the stream's share of decode steps
};

struct ObservedOutcome {
  TokenCount prefill_tokens = 0;  // uncached prompt tokens
  TokenCount output_tokens = 0;
  TokenCount max_output_tokens = 0;
  Duration prefill_time{};
  Duration decode_time{};
};

// Used by one thread.
class CostModel {
 public:
  explicit CostModel(CostOptions options = {}) : options_(options) {}

  TokenCount EstimateTokens(const ModelId& model, std::size_t prompt_bytes) const;

  // Reports that the engine counted `tokens` in a prompt of `prompt_bytes`.
  void OnTokenCount(const ModelId& model, std::size_t prompt_bytes, TokenCount tokens);

  void OnLoadReport(const EndpointId& endpoint, const EndpointRates& rates);
  void OnOutcome(const EndpointId& endpoint, const ModelId& model, const ObservedOutcome& outcome);
  void Forget(const EndpointId& endpoint) { endpoints_.erase(endpoint); }

  Prediction Predict(const EndpointId& endpoint, const ModelId& model,
                     const RequestSize& size) const;

  // Corrected number of uncached prompt tokens that the endpoint prefills per second.
  double PrefillRate(const EndpointId& endpoint) const;

 private:
  struct EndpointState {
    EndpointRates rates;
    double prefill_correction = 1;
    double decode_correction = 1;
  };
  struct ModelState {
    double token_factor = 1;
    double output_fraction = 1;  // of the output limit that responses use
  };

  double Smooth(double old_value, double observed) const;
  double PrefillSeconds(const EndpointState& state, TokenCount tokens) const;
  double StepSeconds(const EndpointState& state) const;

  CostOptions options_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  std::unordered_map<ModelId, ModelState> models_;
};

}  // namespace verbenaridge::cost

#endif  // VERBENARIDGE_COST_COST_MODEL_H_
