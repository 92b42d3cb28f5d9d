#include "verbenaridge/dispatch/pass_model.h"

#include <algorithm>

namespace verbenaridge::dispatch {

Duration PassModel::PrefillTime(TokenCount prompt_tokens, std::size_t parts) const {
  const double tokens = static_cast<double>(prompt_tokens);
  const double pairs = tokens * (tokens + 1) / 2;
  const double rate = std::max(timing_.prefill_tokens_per_second, 1.0);
  const double seconds = tokens / rate + pairs * timing_.attention_seconds_per_pair;
  return FromSeconds(seconds / static_cast<double>(std::max<std::size_t>(parts, 1)));
}

Duration PassModel::PassTime(const Decoding& decoding) const {
  if (decoding.sequences == 0) return {};
  const double step =
      ToSeconds(timing_.step) +
      ToSeconds(timing_.step_per_sequence) * static_cast<double>(decoding.sequences) +
      timing_.context_seconds_per_token * static_cast<double>(decoding.context_tokens);
  return FromSeconds(step * timing_.stride);
}

Duration PassModel::LongestPassTime() const {
  return PassTime({.sequences = timing_.slots, .context_tokens = timing_.kv_tokens});
}

Duration PassModel::MaxPrefillInPass(TokenCount prompt_tokens, std::size_t parts) const {
  const Duration total = PrefillTime(prompt_tokens, parts);
  const double max_tokens = static_cast<double>(timing_.prefill_chunk_tokens) * timing_.stride;
  const double tokens = static_cast<double>(prompt_tokens);
  const double part = tokens / static_cast<double>(std::max<std::size_t>(parts, 1));
  if (max_tokens <= 0 || part <= max_tokens) return total;
  // The last tokens of a prompt attend to the most tokens, so they cost the most.
  const double pairs = max_tokens * (tokens - max_tokens / 2);
  const double rate = std::max(timing_.prefill_tokens_per_second, 1.0);
  return std::min(total,
                  FromSeconds(max_tokens / rate + pairs * timing_.attention_seconds_per_pair));
}

}  // namespace verbenaridge::dispatch
