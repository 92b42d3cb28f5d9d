// The tasks of every endpoint, from the requests of this host and the announcements of peers.
//
//   LoadTable table;
//   table.Begin({.id = 7, .endpoint = key, .prefill_time = prefill, ...}, clock.Now());
//   table.OnFirstEvent(7, clock.Now());
//   EndpointLoad load = table.Load(key, clock.Now());
//   table.End(7, clock.Now());
//
// The table estimates the prefill progress of each engine. An engine processes entire prompts in
// the order of their arrival. A part of a prompt that a group of engines shares precedes all
// others, the newest part first. The table is a hint: an announcement may be lost or late, so each
// task has a lifetime, and two hosts may choose the same endpoint at the same time.
//
// An engine may be slower than its published timing, or have requests that no live host knows,
// after a loss of hosts. It is then behind: the first events of its prompts are overdue. Used by
// one thread.
#ifndef VERBENARIDGE_DISPATCH_LOAD_TABLE_H_
#define VERBENARIDGE_DISPATCH_LOAD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/dispatch/fair_shares.h"
#include "verbenaridge/dispatch/pass_model.h"

namespace verbenaridge::dispatch {

// Unique in the fleet. A prompt that several engines share has one task at each. The upper bits are
// those of the host's incarnation.
using TaskId = std::uint64_t;
inline constexpr int kTaskSequenceBits = 24;

// The first id of a host in this incarnation.
inline TaskId FirstTaskId(Incarnation incarnation) { return incarnation << kTaskSequenceBits; }

struct EndpointTask {
  TaskId id = 0;
  Digest endpoint = 0;
  Duration prefill_time{};       // of this endpoint's part of the prompt
  TokenCount kv_tokens = 0;      // KV cache memory used at this endpoint when decoding
  Duration due{};                // from the start until the first event is late
  Duration target_gap{};         // between two events; zero: none
  Duration lifetime{};           // removed this long after the start if no end is reported
  double weight = 1;             // cost of a late request
  bool decodes = true;           // false: prefills for another engine, or is no generation
  bool partial_prefill = false;  // the prompt is shared by several engines
  // Client account, and what the whole request costs; zero for all members of a group but the
  // first.
  Digest account = 0;
  EngineSeconds cost = 0;

  friend bool operator==(const EndpointTask&, const EndpointTask&) = default;
};

// A task whose prompt, or part of a prompt, is not completely processed yet.
struct PendingPrefill {
  Duration finish{};    // from now until the prefill is complete
  Duration due{};       // from now until the first event is late; may be negative
  Duration deadline{};  // from now until the request is lost; zero: not known
  Duration target_gap{};
  double weight = 1;
};

struct EndpointLoad {
  std::size_t tasks = 0;
  Decoding decoding;
  TokenCount kv_tokens = 0;
  Duration prefill_time{};     // sum over all pending prefills
  Duration tightest_gap{};     // of the decoding tasks; zero: none
  double decoding_weight = 0;  // of the decoding tasks with a target gap
  // How much later than predicted the engine is expected to produce a first event.
  Duration delay{};
  Duration since_end = Duration::max();  // since a task ended there
  std::vector<PendingPrefill> pending_prefills{};
};

class LoadTable {
 public:
  // Returns false if the task is known.
  bool Begin(const EndpointTask& task, TimePoint now);
  void OnFirstEvent(TaskId id, TimePoint now);
  void End(TaskId id, TimePoint now);

  // Removes the tasks of a host that is gone or has restarted. Returns their number.
  std::size_t EndAllOf(Incarnation host, TimePoint now);

  // Removes tasks whose lifetime is over. Returns their number.
  std::size_t RemoveExpired(TimePoint now);

  EndpointLoad Load(Digest endpoint, TimePoint now);
  std::size_t size() const { return endpoint_of_.size(); }

 private:
  struct Entry {
    EndpointTask task;
    TimePoint begun{};
    TimePoint expiry{};
    Duration remaining_prefill{};
    TimePoint prefilled{};  // when the prefill should be complete; set once it should be
    bool decoding = false;
  };
  struct Engine {
    std::vector<Entry> entries;  // in prefill order
    TimePoint updated{};
    // Start of the newest task that has produced its first event.
    TimePoint newest_answered{};
    TimePoint last_end{};
    Duration average_delay{};  // of first events, at `delay_updated`
    TimePoint delay_updated{};
  };

  static void Advance(Engine& engine, TimePoint now);
  // The engine has processed the entry at `answered` before others that the table has in front.
  static void CorrectOrder(Engine& engine, std::size_t answered);
  // The delay of first events that have arrived. It is forgotten over time, so that the engine is
  // tried again.
  static Duration RememberedDelay(const Engine& engine, TimePoint now);
  static Duration ExpectedDelay(const Engine& engine, TimePoint now);
  void EraseIfUnused(Digest endpoint, TimePoint now);

  std::unordered_map<Digest, Engine> engines_;
  std::unordered_map<TaskId, Digest> endpoint_of_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_LOAD_TABLE_H_
