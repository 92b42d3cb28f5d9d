// What every endpoint is working on, from this host's own requests and the announcements of peers.
//
//   LoadBoard board;
//   board.Begin({.id = 7, .endpoint = key, .read_time = read, ...}, clock.Now());
//   board.OnFirstEvent(7, clock.Now());
//   EndpointLoad load = board.Load(key, clock.Now());
//   board.End(7);
//
// The board is a hint: an announcement may be lost or late, so each piece of work has an expiry,
// and two hosts may choose one endpoint at the same moment. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_LOAD_BOARD_H_
#define VERBENARIDGE_DISPATCH_LOAD_BOARD_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/dispatch/pass_model.h"

namespace verbenaridge::dispatch {

// Unique in the fleet. A prompt that several engines read has one work item at each.
using WorkId = std::uint64_t;

struct Work {
  WorkId id = 0;
  Digest endpoint = 0;
  Duration read_time{};        // of this endpoint's part of the prompt
  TokenCount kv_tokens = 0;    // memory that it holds here when it decodes
  Duration target_gap{};       // zero: no pause matters
  Duration lifetime{};         // forgotten this long after Begin if nobody says that it ended
  bool decodes = true;         // false: reads a part for another engine, or is no generation
};

struct EndpointLoad {
  std::size_t works = 0;
  Decoding decoding;
  TokenCount kv_tokens = 0;
  Duration reading{};          // read time that is ahead of a newcomer
  Duration tightest_gap{};     // of the requests that decode here; zero: none
  std::size_t decoders_with_gap = 0;
  std::size_t readers = 0;
  Duration tightest_reader_gap{};  // of the requests that still read here
};

class LoadBoard {
 public:
  void Begin(const Work& work, TimePoint now);
  void OnFirstEvent(WorkId id, TimePoint now);
  void End(WorkId id);
  void EndAllOf(Digest endpoint);

  // Forgets work whose lifetime is over. Returns how many.
  std::size_t RemoveExpired(TimePoint now);

  EndpointLoad Load(Digest endpoint, TimePoint now) const;
  std::size_t size() const { return endpoint_of_.size(); }

 private:
  struct Item {
    Work work;
    TimePoint begun{};
    TimePoint expiry{};
    bool decoding = false;
  };
  using Items = std::vector<Item>;  // in the order of Begin

  Item* Find(WorkId id);

  std::unordered_map<Digest, Items> items_;
  std::unordered_map<WorkId, Digest> endpoint_of_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_LOAD_BOARD_H_
