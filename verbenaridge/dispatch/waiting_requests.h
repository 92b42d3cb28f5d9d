// The requests of one service that wait for an endpoint, and the order in which they are tried.
//
//   std::unique_ptr<WaitingRequests> waiting = MakeOverloadOrder(random, {});
//   waiting->OnArrival(request, now);
//   if (!waiting->MayStartNow(request, now) || !TryToPlace(request)) waiting->Add(request);
//   for (const std::uint64_t id : waiting->InOrder(now, 24)) {
//     if (TryToPlace(id)) waiting->Remove(id, /*started=*/true);
//   }
//   for (const auto& refusal : waiting->Refusals(slots, now)) Refuse(refusal);
//
// Answers loads beyond the slots of all endpoints: bursts of short prompts, single accounts with
// many times their usual rate, and a mix that changes within seconds. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_WAITING_REQUESTS_H_
#define VERBENARIDGE_DISPATCH_WAITING_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/dispatch/fair_shares.h"
#include "verbenaridge/dispatch/room_forecast.h"

namespace verbenaridge::dispatch {

struct WaitingRequest {
  std::uint64_t id = 0;
  Digest digest = 0;  // equal if its client sends it again
  int urgency = 0;    // the lowest value goes first
  Digest account = 0;
  EngineSeconds cost = 0;
  TimePoint arrived{};
  TimePoint latest_start{};  // to meet its target
  TimePoint abandoned{};     // from when on its client leaves before the first event
  bool in_progress = false;  // the client has a part of the response
  bool refusable = false;    // it has not run, so its client may be told to return
};

enum class RefusalReason : std::uint8_t {
  kNoRoom,     // it can only be late, and others that are in time take the room
  kOverShare,  // so does this one, and its account has more than its share
};
std::string_view ToText(RefusalReason reason);

struct WaitingRefusal {
  std::uint64_t id = 0;
  RefusalReason reason = RefusalReason::kNoRoom;
  Duration retry_after{};
  EngineSeconds used = 0;   // by its account, of late
  EngineSeconds share = 0;  // of each account
};

class WaitingRequests {
 public:
  virtual ~WaitingRequests() = default;

  // A request arrived at this host, or waits here for another one.
  virtual void OnArrival(const WaitingRequest& request, TimePoint now) = 0;
  // A request was given to an endpoint. `here`: by this host.
  virtual void OnStart(Digest account, EngineSeconds cost, bool here, TimePoint now) = 0;

  // Whether a request that has just arrived may be tried before those that wait.
  virtual bool MayStartNow(const WaitingRequest& request, TimePoint now) = 0;
  virtual void Add(const WaitingRequest& request) = 0;
  // `started`: it was given to an endpoint, and no longer waits for another reason.
  virtual void Remove(std::uint64_t id, bool started) = 0;
  // The next try of the request found that no endpoint has a free slot, or one that could take it.
  virtual void SetWaitsForSlot(std::uint64_t id, bool waits) = 0;

  // At most `count` requests, the first one to be tried first.
  virtual std::vector<std::uint64_t> InOrder(TimePoint now, std::size_t count) = 0;
  // Requests to be refused now. `slots`: of all endpoints.
  virtual std::vector<WaitingRefusal> Refusals(std::size_t slots, TimePoint now) = 0;

  virtual std::size_t size() const = 0;
};

// Requests that can meet their target first, by urgency and age, and then the late ones. Refuses
// nothing.
std::unique_ptr<WaitingRequests> MakeArrivalOrder();

struct OverloadOptions {
  FairSharesOptions shares{};
  RoomForecastOptions forecast{};
  // The part of the starts that late requests get before those in time, the one whose client leaves
  // next first. Without it they would wait until their clients leave; when they waited for their
  // last chance, most clients left before the first event.
  double late_share = 0.2;
  // Requests that are checked at a time for refusal.
  std::size_t max_refusals = 64;
  // How long a refused request is remembered. Clients that return do so within their deadline.
  Duration refusal_memory = std::chrono::seconds(10);
  std::size_t max_remembered = 4'096;
};

// Responses in progress come first, then requests that can meet their target, by urgency; within an
// urgency those of accounts over their share come last, and the least slack goes first. Late
// requests follow, but for a part of the starts that they get before those in time that are not
// more urgent. A late one for which that part is too small is refused at once, and so are those of
// accounts far over their share while the arrivals take all room. A request that comes again after
// a refusal is late from the start, and is not refused again.
std::unique_ptr<WaitingRequests> MakeOverloadOrder(RandomSource& random,
                                                   const OverloadOptions& options);

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_WAITING_REQUESTS_H_
