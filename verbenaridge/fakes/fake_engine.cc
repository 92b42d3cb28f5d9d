#include "verbenaridge/fakes/fake_engine.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::fakes {
namespace {

// Older events are dropped, as an engine's bounded event buffer does.
constexpr std::size_t kMaxEvents = 20000;

// A leader that died releases nothing, so members free its memory after this long.
constexpr auto kReservationLife = std::chrono::seconds(30);

}  // namespace

FakeEngine::FakeEngine(asio::io_context& io_context, FakeEngineOptions options,
                       std::function<void()> crash)
    : options_(std::move(options)), crash_(std::move(crash)), timer_(io_context) {}

ByteCount FakeEngine::NeededBytes(const FakeGeneration& generation) const {
  const TokenCount tokens = PromptTokens(generation.prompt) + generation.max_tokens;
  return tokens * options_.kv_bytes_per_token / generation.group_size;
}

std::uint64_t FakeEngine::Start(FakeGeneration generation, FakeStreamCallbacks callbacks) {
  const std::vector<Digest> cached = CachedBlocks(generation.prompt);
  const ByteCount bytes = NeededBytes(generation);
  if (!MakeRoom(bytes)) return 0;
  stream_bytes_ += bytes;
  Stream& stream = streams_.emplace_back();
  stream.id = ++last_id_;
  stream.kv_bytes = bytes;
  stream.callbacks = std::move(callbacks);
  stream.prompt_tokens = PromptTokens(generation.prompt);
  stream.cached_tokens =
      std::min<TokenCount>(stream.prompt_tokens - 1,
                           static_cast<TokenCount>(cached.size() * options_.cache_block_bytes / 4));
  stream.prefill_left = stream.prompt_tokens + generation.resume_from - stream.cached_tokens;
  stream.next_index = generation.resume_from;
  stream.generation = std::move(generation);
  const std::uint64_t id = stream.id;
  ScheduleStep();
  return id;
}

bool FakeEngine::Cancel(std::string_view request_id, AttemptNumber attempt) {
  const auto it = std::find_if(streams_.begin(), streams_.end(), [&](const Stream& stream) {
    return stream.generation.request_id == request_id && stream.generation.attempt == attempt;
  });
  if (it == streams_.end()) return false;
  CancelById(it->id);
  return true;
}

void FakeEngine::CancelById(std::uint64_t id) {
  const auto it = Find(id);
  if (it == streams_.end()) return;
  const auto cancelled = std::move(it->callbacks.cancelled);
  stream_bytes_ -= it->kv_bytes;
  streams_.erase(it);
  if (cancelled) cancelled();
}

bool FakeEngine::Reserve(const std::string& key, ByteCount bytes) {
  if (reservations_.contains(key)) return true;
  if (!MakeRoom(bytes)) return false;
  reservations_.emplace(
      key,
      Reservation{.bytes = bytes, .expiry = std::chrono::steady_clock::now() + kReservationLife});
  reserved_bytes_ += bytes;
  return true;
}

void FakeEngine::Release(const std::string& key) {
  const auto node = reservations_.extract(key);
  if (!node.empty()) reserved_bytes_ -= node.mapped().bytes;
}

void FakeEngine::Reset() {
  streams_.clear();
  reservations_.clear();
  cache_.clear();
  cache_order_.clear();
  stream_bytes_ = reserved_bytes_ = 0;
}

ByteCount FakeEngine::block_bytes() const {
  return static_cast<ByteCount>(options_.cache_block_bytes / 4) * options_.kv_bytes_per_token;
}

ByteCount FakeEngine::cache_bytes() const {
  return static_cast<ByteCount>(cache_.size()) * block_bytes();
}

void FakeEngine::DropExpiredReservations() {
  const auto now = std::chrono::steady_clock::now();
  for (auto it = reservations_.begin(); it != reservations_.end();) {
    const bool expired = it->second.expiry <= now;
    if (expired) reserved_bytes_ -= it->second.bytes;
    it = expired ? reservations_.erase(it) : std::next(it);
  }
}

bool FakeEngine::MakeRoom(ByteCount bytes) {
  DropExpiredReservations();
  if (stream_bytes_ + reserved_bytes_ + bytes > options_.kv_capacity_bytes) return false;
  while (used_bytes() + bytes > options_.kv_capacity_bytes && !cache_order_.empty()) {
    AddEvent(false, cache_order_.front());
    cache_.erase(cache_order_.front());
    cache_order_.pop_front();
  }
  return true;
}

std::vector<Digest> FakeEngine::BlocksOf(std::string_view prompt) const {
  std::vector<Digest> blocks;
  Digest chain = 0;
  for (std::size_t at = 0; at + options_.cache_block_bytes <= prompt.size();
       at += options_.cache_block_bytes) {
    chain = CombineDigests(chain, HashOf(prompt.substr(at, options_.cache_block_bytes)));
    blocks.push_back(chain);
  }
  return blocks;
}

std::vector<Digest> FakeEngine::CachedBlocks(std::string_view prompt) const {
  std::vector<Digest> blocks = BlocksOf(prompt);
  const auto miss = std::find_if(blocks.begin(), blocks.end(),
                                 [&](Digest block) { return !cache_.contains(block); });
  blocks.erase(miss, blocks.end());
  return blocks;
}

void FakeEngine::AddBlocks(const std::vector<Digest>& blocks) {
  for (const Digest block : blocks) {
    if (const auto it = cache_.find(block); it != cache_.end()) {
      cache_order_.splice(cache_order_.end(), cache_order_, it->second);
      continue;
    }
    if (!MakeRoom(block_bytes())) return;
    cache_.emplace(block, cache_order_.insert(cache_order_.end(), block));
    AddEvent(true, block);
  }
}

void FakeEngine::AddEvent(bool added, Digest block) {
  ++last_event_;
  if (options_.cache_event_loss_every != 0 && last_event_ % options_.cache_event_loss_every == 0) {
    return;
  }
  events_.push_back({.sequence = last_event_,
                     .added = added,
                     .block = block,
                     .visible_at = std::chrono::steady_clock::now() + options_.cache_event_delay});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

std::vector<FakeCacheEvent> FakeEngine::EventsAfter(std::uint64_t sequence) const {
  const auto now = std::chrono::steady_clock::now();
  std::vector<FakeCacheEvent> events;
  for (const FakeCacheEvent& event : events_) {
    if (event.sequence > sequence && event.visible_at <= now) events.push_back(event);
  }
  return events;
}

std::vector<FakeEngine::Stream*> FakeEngine::ByPriority() {
  std::vector<Stream*> order;
  for (Stream& stream : streams_) order.push_back(&stream);
  std::stable_sort(order.begin(), order.end(), [](const Stream* a, const Stream* b) {
    return a->generation.priority < b->generation.priority;
  });
  return order;
}

void FakeEngine::ScheduleStep() {
  if (stepping_ || streams_.empty()) return;
  chunk_.clear();
  batch_.clear();
  TokenCount budget = options_.chunk_tokens;
  for (Stream* stream : ByPriority()) {
    if (stream->prefill_left > 0) {
      const TokenCount part = std::min(budget, stream->prefill_left);
      if (part > 0) chunk_[stream->id] = part;
      budget -= part;
    } else if (static_cast<TokenCount>(batch_.size()) < options_.max_batch) {
      batch_.push_back(stream->id);
    }
  }
  double seconds = batch_.empty() ? 0 : ToSeconds(options_.decode_step);
  seconds +=
      static_cast<double>(options_.chunk_tokens - budget) / options_.prefill_tokens_per_second;
  const auto now = std::chrono::steady_clock::now();
  // Timer delays do not add up: a step starts at the planned end of the one before.
  const bool behind_by_little = now - step_end_ < std::chrono::milliseconds(5);
  step_end_ = (behind_by_little ? step_end_ : now) + FromSeconds(seconds / options_.time_scale);
  stepping_ = true;
  timer_.expires_at(step_end_);
  timer_.async_wait([this](std::error_code error) {
    if (!error) EndStep();
  });
}

void FakeEngine::EndStep() {
  stepping_ = false;
  for (const auto& [id, part] : chunk_) {
    const auto it = Find(id);
    if (it == streams_.end()) continue;
    if (!options_.crash_marker.empty() &&
        it->generation.prompt.find(options_.crash_marker) != std::string::npos) {
      crash_();
      return;
    }
    it->prefill_left -= part;
    if (it->prefill_left == 0) AddBlocks(BlocksOf(it->generation.prompt));
  }
  for (const std::uint64_t id : batch_) {
    const auto it = Find(id);
    if (it == streams_.end()) continue;
    if (it->next_index < it->generation.max_tokens) {
      const TokenCount index = it->next_index++;
      it->callbacks.token(index, it->generation.request_id + ":" + std::to_string(index) + " ");
    }
    Finish(id);
  }
  ScheduleStep();
}

// Ends the stream if it has produced all its tokens. Looks it up again, because a callback may have
// cancelled it.
void FakeEngine::Finish(std::uint64_t id) {
  const auto it = Find(id);
  if (it == streams_.end() || it->next_index < it->generation.max_tokens) return;
  const Stream ended = std::move(*it);
  stream_bytes_ -= ended.kv_bytes;
  streams_.erase(it);
  ended.callbacks.end(ended.prompt_tokens, ended.cached_tokens, ended.next_index);
}

std::list<FakeEngine::Stream>::iterator FakeEngine::Find(std::uint64_t id) {
  return std::find_if(streams_.begin(), streams_.end(),
                      [id](const Stream& stream) { return stream.id == id; });
}

}  // namespace verbenaridge::fakes
