// Model of an engine for tests: continuous batching in scaled real time, a memory limit, a prefix
// cache. The text of token i of request r is "r:i ", so that lost, doubled and crossed tokens show.
//
//   FakeEngine engine(io_context, {.time_scale = 100});
//   engine.Start(generation, callbacks);
#ifndef VERBENARIDGE_FAKES_FAKE_ENGINE_H_
#define VERBENARIDGE_FAKES_FAKE_ENGINE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::fakes {

struct FakeEngineOptions {
  double prefill_tokens_per_second = 20000;
  TokenCount chunk_tokens = 512;  // prefilled in one step
  Duration decode_step = std::chrono::milliseconds(20);
  TokenCount max_batch = 256;
  ByteCount kv_bytes_per_token = 1000;
  ByteCount kv_capacity_bytes = 400'000'000;
  std::size_t cache_block_bytes = 1024;  // of prompt text, in one block of the prefix cache
  double time_scale = 1;                 // model seconds per second
  Duration cache_event_delay = std::chrono::milliseconds(500);
  std::uint64_t cache_event_loss_every = 0;  // every n-th event is lost; 0: none
  std::string crash_marker;                  // a prompt that contains it ends the engine
};

inline TokenCount PromptTokens(std::string_view text) {
  return (static_cast<TokenCount>(text.size()) + 3) / 4;
}

struct FakeGeneration {
  std::string request_id;
  AttemptNumber attempt = 1;
  std::string prompt;
  TokenCount max_tokens = 16;
  TokenCount resume_from = 0;
  Priority priority = Priority::kStandard;
  std::uint64_t permit = 0;
  int group_size = 1;
};

struct FakeStreamCallbacks {
  std::function<void(TokenCount index, const std::string& text)> token;
  std::function<void(TokenCount prompt_tokens, TokenCount cached_tokens, TokenCount total)> end;
  std::function<void()> cancelled;
};

struct FakeCacheEvent {
  std::uint64_t sequence = 0;
  bool added = false;
  Digest block = 0;
  TimePoint visible_at{};
};

// Used from the loop's thread alone.
class FakeEngine {
 public:
  struct Stream {
    FakeGeneration generation;
    FakeStreamCallbacks callbacks;
    ByteCount kv_bytes = 0;
    TokenCount prompt_tokens = 0;
    TokenCount cached_tokens = 0;
    TokenCount prefill_left = 0;
    TokenCount next_index = 0;
    std::uint64_t id = 0;
  };

  // `crash` runs instead of the step that processes a prompt with the crash marker.
  FakeEngine(asio::io_context& io_context, FakeEngineOptions options, std::function<void()> crash);

  // Bytes that this engine must hold for the generation.
  ByteCount NeededBytes(const FakeGeneration& generation) const;

  // Returns the stream's id, or 0 if the memory is not free even after eviction.
  std::uint64_t Start(FakeGeneration generation, FakeStreamCallbacks callbacks);

  // Returns false if no such stream runs.
  bool Cancel(std::string_view request_id, AttemptNumber attempt);
  void CancelById(std::uint64_t id);

  // Memory held for the leader of an endpoint group, at most for kReservationLife.
  bool Reserve(const std::string& key, ByteCount bytes);
  void Release(const std::string& key);

  // Drops all streams without a callback, all reservations and the cache, as a restart does.
  void Reset();

  std::vector<Digest> CachedBlocks(std::string_view prompt) const;
  void AddBlocks(const std::vector<Digest>& blocks);

  // Cache events after `sequence` that are visible by now.
  std::vector<FakeCacheEvent> EventsAfter(std::uint64_t sequence) const;

  ByteCount used_bytes() const { return stream_bytes_ + reserved_bytes_ + cache_bytes(); }
  const std::list<Stream>& streams() const { return streams_; }

  // No stream runs and no group holds memory.
  bool idle() const { return streams_.empty() && reserved_bytes_ == 0; }

  // Streams accepted since the construction.
  std::uint64_t started() const { return last_id_; }

  const FakeEngineOptions& options() const { return options_; }

 private:
  struct Reservation {
    ByteCount bytes = 0;
    TimePoint expiry{};
  };

  ByteCount block_bytes() const;
  ByteCount cache_bytes() const;
  bool MakeRoom(ByteCount bytes);
  void DropExpiredReservations();
  std::vector<Digest> BlocksOf(std::string_view prompt) const;
  void AddEvent(bool added, Digest block);

  // Chooses the work of the next step, and sets the timer for its end.
  void ScheduleStep();
  void EndStep();
  std::vector<Stream*> ByPriority();
  void Finish(std::uint64_t id);
  std::list<Stream>::iterator Find(std::uint64_t id);

  const FakeEngineOptions options_;
  const std::function<void()> crash_;
  asio::steady_timer timer_;
  std::list<Stream> streams_;
  std::unordered_map<std::string, Reservation> reservations_;
  ByteCount stream_bytes_ = 0;
  ByteCount reserved_bytes_ = 0;
  std::uint64_t last_id_ = 0;
  bool stepping_ = false;
  std::chrono::steady_clock::time_point step_end_{};
  std::map<std::uint64_t, TokenCount> chunk_;  // tokens prefilled in this step, by stream
  std::vector<std::uint64_t> batch_;           // streams that decode in this step
  std::list<Digest> cache_order_;              // oldest first
  std::unordered_map<Digest, std::list<Digest>::iterator> cache_;
  std::deque<FakeCacheEvent> events_;
  std::uint64_t last_event_ = 0;
};

}  // namespace verbenaridge::fakes

#endif  // VERBENARIDGE_FAKES_FAKE_ENGINE_H_
