#include "verbenaridge/replay/engine_model.h"

#include <algorithm>

namespace verbenaridge::replay {

void EngineModel::Start(const StreamSpec& spec) {
  Stream stream{.spec = spec, .order = {spec.rank, next_order_++}};
  waiting_.emplace(stream.order, spec.id);
  streams_.emplace(spec.id, stream);
  AdmitWaiting();
  ScheduleStep();
}

void EngineModel::AdmitWaiting() {
  while (!waiting_.empty() && admitted_ < spec_.max_streams) {
    Stream& stream = streams_.at(waiting_.begin()->second);
    if (memory_used_ + stream.spec.memory_tokens > spec_.memory_tokens) return;
    waiting_.erase(waiting_.begin());
    memory_used_ += stream.spec.memory_tokens;
    ++admitted_;
    stream.admitted = true;
    const bool cached = std::find(cache_.begin(), cache_.end(), stream.spec.prefix_family) !=
                        cache_.end();
    stream.prefill_left = std::max<TokenCount>(
        1, stream.spec.prompt_tokens - (cached ? stream.spec.prefix_tokens : 0));
    prefilling_.emplace(stream.order, stream.spec.id);
  }
}

double EngineModel::StepSeconds(TokenCount prefill) const {
  return spec_.step_seconds +
         spec_.step_seconds_per_stream * static_cast<double>(decoding_.size()) +
         spec_.prefill_seconds_per_token * static_cast<double>(prefill);
}

void EngineModel::ScheduleStep() {
  if (stepping_ || dead_ || (prefilling_.empty() && decoding_.empty())) return;
  stepping_ = true;
  step_prefill_.clear();
  step_decode_.clear();
  TokenCount budget = spec_.chunk_tokens;
  for (const auto& [order, id] : prefilling_) {
    if (budget == 0) break;
    const TokenCount part = std::min(budget, streams_.at(id).prefill_left);
    step_prefill_.emplace_back(id, part);
    budget -= part;
  }
  for (const auto& [id, stream] : decoding_) step_decode_.push_back(id);
  scheduler_.After(FromSeconds(StepSeconds(spec_.chunk_tokens - budget)),
                   [this, epoch = epoch_] {
                     if (epoch == epoch_) FinishStep();
                   });
}

void EngineModel::FinishStep() {
  stepping_ = false;
  // Listeners may cancel streams, so each one is looked up again.
  for (const auto& [id, part] : std::vector(step_prefill_)) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) continue;
    Stream& stream = found->second;
    stream.prefill_left -= part;
    if (stream.prefill_left > 0) continue;
    prefilling_.erase(stream.order);
    CachePrefix(stream);
    if (!stream.spec.hold_after_prefill) {
      stream.decoding = true;
      stream.output_done = 1;
      decoding_.emplace(id, &stream);
    }
    listener_.OnFirstToken(id);
  }
  for (const StreamId id : std::vector(step_decode_)) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) continue;
    if (++found->second.output_done < found->second.spec.output_tokens) continue;
    Remove(id);
    listener_.OnStreamEnd(id);
  }
  AdmitWaiting();
  ScheduleStep();
}

void EngineModel::CachePrefix(const Stream& stream) {
  if (stream.spec.prefix_tokens == 0) return;
  const std::uint32_t family = stream.spec.prefix_family;
  const auto found = std::find(cache_.begin(), cache_.end(), family);
  if (found != cache_.end()) {
    cache_.splice(cache_.begin(), cache_, found);
    return;
  }
  cache_.push_front(family);
  listener_.OnPrefixCached(index_, family, true);
  if (cache_.size() <= spec_.cached_prefixes) return;
  listener_.OnPrefixCached(index_, cache_.back(), false);
  cache_.pop_back();
}

void EngineModel::Remove(StreamId id) {
  const auto found = streams_.find(id);
  const Stream& stream = found->second;
  waiting_.erase(stream.order);
  prefilling_.erase(stream.order);
  decoding_.erase(id);
  if (stream.admitted) {
    memory_used_ -= stream.spec.memory_tokens;
    --admitted_;
  }
  streams_.erase(found);
}

TokenCount EngineModel::Cancel(StreamId id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return 0;
  const TokenCount done = found->second.output_done;
  Remove(id);
  AdmitWaiting();
  ScheduleStep();
  return done;
}

std::vector<StreamId> EngineModel::Die() {
  dead_ = true;
  ++epoch_;
  std::vector<StreamId> lost;
  for (const auto& [id, stream] : streams_) lost.push_back(id);
  std::sort(lost.begin(), lost.end());
  streams_.clear();
  waiting_.clear();
  prefilling_.clear();
  decoding_.clear();
  cache_.clear();
  memory_used_ = 0;
  admitted_ = 0;
  return lost;
}

double EngineModel::PrefillAhead(std::size_t rank) const {
  TokenCount tokens = 0;
  for (const auto& [id, stream] : streams_) {
    if (stream.spec.rank > rank || stream.decoding) continue;
    tokens += stream.admitted ? stream.prefill_left : stream.spec.prompt_tokens;
  }
  const double step = spec_.step_seconds / static_cast<double>(spec_.chunk_tokens);
  return static_cast<double>(tokens) * (spec_.prefill_seconds_per_token + step);
}

}  // namespace verbenaridge::replay
