// What every endpoint is working on, from this host's own requests and the announcements of peers.
//
//   LoadTable board;
//   board.Begin({.id = 7, .endpoint = key, .read_time = read, ...}, clock.Now());
//   board.OnFirstEvent(7, clock.Now());
//   EndpointLoad load = board.Load(key, clock.Now());
//   board.End(7, clock.Now());
//
// The board follows how far each engine has read. An engine reads whole prompts in the order in
// which they came; a part of a prompt that a group reads goes ahead of all others, the newest part
// first. The board is a hint: an announcement may be lost or late, so each piece of work has a
// lifetime, and two hosts may choose one endpoint at the same moment. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_LOAD_TABLE_H_
#define VERBENARIDGE_DISPATCH_LOAD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/dispatch/pass_model.h"

namespace verbenaridge::dispatch {

// Unique in the fleet. A prompt that several engines read has one work item at each. The upper bits
// are those of the host's incarnation.
using TaskId = std::uint64_t;
inline constexpr int kTaskSequenceBits = 24;

// The first id of a host in this incarnation.
inline TaskId FirstTaskId(Incarnation incarnation) { return incarnation << kTaskSequenceBits; }

struct EndpointTask {
  TaskId id = 0;
  Digest endpoint = 0;
  Duration prefill_time{};       // of this endpoint's part of the prompt
  TokenCount kv_tokens = 0;      // memory that it holds here when it decodes
  Duration due{};                // from its begin until its first event is late
  Duration target_gap{};         // zero: no pause matters
  Duration lifetime{};           // forgotten this long after its begin if nobody says that it ended
  double weight = 1;             // what it counts for when it is late
  bool decodes = true;           // false: reads a part for another engine, or is no generation
  bool partial_prefill = false;  // one of several engines that read the prompt

  friend bool operator==(const EndpointTask&, const EndpointTask&) = default;
};

// A request whose prompt, or whose part here, is not read yet.
struct Reader {
  Duration finish{};  // from now until its prompt is read
  Duration due{};     // from now until its first event is late; may be negative
  Duration target_gap{};
  double weight = 1;
};

struct EndpointLoad {
  std::size_t tasks = 0;
  Decoding decoding;
  TokenCount kv_tokens = 0;
  Duration reading{};          // read time of all readers together
  Duration tightest_gap{};     // of the requests that decode here; zero: none
  double decoders_weight = 0;  // of those with a target
  std::vector<Reader> readers{};
};

class LoadTable {
 public:
  void Begin(const EndpointTask& work, TimePoint now);
  void OnFirstEvent(TaskId id, TimePoint now);
  void End(TaskId id, TimePoint now);

  // Forgets the work of a host that is gone or has started anew. Returns how many.
  std::size_t EndAllOf(Incarnation host, TimePoint now);

  // Forgets work whose lifetime is over. Returns how many.
  std::size_t RemoveExpired(TimePoint now);

  EndpointLoad Load(Digest endpoint, TimePoint now);
  std::size_t size() const { return endpoint_of_.size(); }

 private:
  struct Item {
    EndpointTask work;
    TimePoint begun{};
    TimePoint expiry{};
    Duration remaining{};  // of the read
    bool decoding = false;
  };
  struct Engine {
    std::vector<Item> items;  // in the order in which they are read
    TimePoint updated{};
  };

  static void Advance(Engine& engine, TimePoint now);

  std::unordered_map<Digest, Engine> engines_;
  std::unordered_map<TaskId, Digest> endpoint_of_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_LOAD_TABLE_H_
