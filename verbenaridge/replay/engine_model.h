// A fake engine in virtual time: continuous batching, chunked prefill, KV memory, priorities and a
// prefix cache.
#ifndef VERBENARIDGE_REPLAY_ENGINE_MODEL_H_
#define VERBENARIDGE_REPLAY_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "verbenaridge/base/units.h"
#include "verbenaridge/replay/scheduler.h"
#include "verbenaridge/replay/trace.h"

namespace verbenaridge::replay {

using StreamId = std::uint64_t;

struct StreamSpec {
  StreamId id = 0;
  std::size_t rank = 0;  // engine priority; equal ranks run in order of arrival
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  TokenCount memory_tokens = 0;
  std::uint32_t prefix_family = 0;
  TokenCount prefix_tokens = 0;
  bool hold_after_prefill = false;  // group member that only keeps its part of the KV cache
};

class EngineListener {
 public:
  virtual ~EngineListener() = default;

  virtual void OnFirstToken(StreamId stream) = 0;
  virtual void OnStreamEnd(StreamId stream) = 0;
  virtual void OnPrefixCached(std::size_t engine, std::uint32_t family, bool added) = 0;
};

class EngineModel {
 public:
  EngineModel(std::size_t index, const EngineSpec& spec, Scheduler& scheduler,
              EngineListener& listener)
      : index_(index), spec_(spec), scheduler_(scheduler), listener_(listener) {}

  void Start(const StreamSpec& stream);

  // Returns the output tokens delivered; zero if the stream is unknown.
  TokenCount Cancel(StreamId stream);

  // Ends all streams without a word.
  std::vector<StreamId> Die();

  bool dead() const { return dead_; }
  TokenCount memory_used() const { return memory_used_; }
  std::size_t outstanding() const { return streams_.size(); }

  // Prefill seconds that a newcomer of this rank waits for.
  double PrefillAhead(std::size_t rank) const;

 private:
  using Order = std::pair<std::size_t, std::uint64_t>;
  struct Stream {
    StreamSpec spec;
    Order order;
    TokenCount prefill_left = 0;
    TokenCount output_done = 0;
    bool admitted = false;
    bool decoding = false;
  };

  void AdmitWaiting();
  void ScheduleStep();
  void FinishStep();
  void Remove(StreamId stream);
  void CachePrefix(const Stream& stream);
  double StepSeconds(TokenCount prefill) const;

  std::size_t index_;
  EngineSpec spec_;
  Scheduler& scheduler_;
  EngineListener& listener_;
  std::unordered_map<StreamId, Stream> streams_;
  std::map<Order, StreamId> waiting_;
  std::map<Order, StreamId> prefilling_;
  std::map<StreamId, Stream*> decoding_;
  std::vector<std::pair<StreamId, TokenCount>> step_prefill_;
  std::vector<StreamId> step_decode_;
  std::list<std::uint32_t> cache_;  // newest first
  TokenCount memory_used_ = 0;
  std::size_t admitted_ = 0;
  std::uint64_t next_order_ = 0;
  std::uint64_t epoch_ = 0;  // grows with each death
  bool stepping_ = false;
  bool dead_ = false;
};

}  // namespace verbenaridge::replay

#endif  // VERBENARIDGE_REPLAY_ENGINE_MODEL_H_
