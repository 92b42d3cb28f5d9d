#include "verbenaridge/cost/cost_model.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::cost {

double CostModel::Smooth(double old_value, double observed) const {
  const double bounded = std::clamp(observed, options_.min_correction, options_.max_correction);
  return old_value + options_.smoothing * (bounded - old_value);
}

TokenCount CostModel::EstimateTokens(const ModelId& model, std::size_t prompt_bytes) const {
  const auto found = models_.find(model);
  const double factor = found == models_.end() ? 1.0 : found->second.token_factor;
  const double tokens = static_cast<double>(prompt_bytes) / options_.bytes_per_token * factor;
  return std::max<TokenCount>(1, std::llround(tokens));
}

void CostModel::OnTokenCount(const ModelId& model, std::size_t prompt_bytes, TokenCount tokens) {
  if (prompt_bytes == 0 || tokens <= 0) return;
  ModelState& state = models_[model];
  const double uncorrected = static_cast<double>(prompt_bytes) / options_.bytes_per_token;
  state.token_factor = Smooth(state.token_factor, static_cast<double>(tokens) / uncorrected);
}

void CostModel::OnLoadReport(const EndpointId& endpoint, const EndpointRates& rates) {
  endpoints_[endpoint].rates = rates;
}

double CostModel::PrefillSeconds(const EndpointState& state, TokenCount tokens) const {
  const double rate = state.rates.prefill_tokens_per_second > 0
                          ? state.rates.prefill_tokens_per_second
                          : options_.default_prefill_rate;
  return static_cast<double>(std::max<TokenCount>(tokens, 0)) / rate;
}

double CostModel::StepSeconds(const EndpointState& state) const {
  return ToSeconds(state.rates.decode_step > Duration::zero() ? state.rates.decode_step
                                                              : options_.default_decode_step);
}

void CostModel::OnOutcome(const EndpointId& endpoint, const ModelId& model,
                          const ObservedOutcome& outcome) {
  EndpointState& state = endpoints_[endpoint];
  const double prefill = PrefillSeconds(state, outcome.prefill_tokens);
  if (prefill > 0 && outcome.prefill_time > Duration::zero()) {
    state.prefill_correction =
        Smooth(state.prefill_correction, ToSeconds(outcome.prefill_time) / prefill);
  }
  if (outcome.output_tokens > 0 && outcome.decode_time > Duration::zero()) {
    const double decode = StepSeconds(state) * static_cast<double>(outcome.output_tokens);
    state.decode_correction =
        Smooth(state.decode_correction, ToSeconds(outcome.decode_time) / decode);
  }
  if (outcome.max_output_tokens > 0) {
    ModelState& model_state = models_[model];
    const double fraction =
        static_cast<double>(outcome.output_tokens) / static_cast<double>(outcome.max_output_tokens);
    model_state.output_fraction = std::min(1.0, Smooth(model_state.output_fraction, fraction));
  }
}

Prediction CostModel::Predict(const EndpointId& endpoint, const ModelId& model,
                              const RequestSize& size) const {
  const auto found = endpoints_.find(endpoint);
  const EndpointState state = found == endpoints_.end() ? EndpointState{} : found->second;
  const auto found_model = models_.find(model);
  const double fraction = found_model == models_.end() ? 1.0 : found_model->second.output_fraction;
  const double prefill =
      state.prefill_correction * PrefillSeconds(state, size.prompt_tokens - size.cached_tokens);
  const double decode = state.decode_correction * StepSeconds(state) * fraction *
                        static_cast<double>(size.max_output_tokens);
  const ByteCount per_token = state.rates.kv_bytes_per_token > 0
                                  ? state.rates.kv_bytes_per_token
                                  : options_.default_kv_bytes_per_token;
  return {.prefill = FromSeconds(prefill),
          .decode = FromSeconds(decode),
          .kv_bytes = (size.prompt_tokens + size.max_output_tokens) * per_token,
          .cost_seconds = prefill + decode * options_.decode_share};
}

double CostModel::PrefillRate(const EndpointId& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return options_.default_prefill_rate;
  return 1.0 / (PrefillSeconds(found->second, 1) * found->second.prefill_correction);
}

}  // namespace verbenaridge::cost
