// Shares scarce engine time between client accounts.
//
//   FairShares shares;
//   shares.OnStart(account, cost, now);       // requests of all hosts
//   shares.OnWait(account, cost);             // OnLeave when it no longer waits
//   if (shares.IsOverShare(account, now)) TryLast(request);
//   if (shares.Floods(account, now)) Refuse(request);
//
// Answers loads in which a few accounts send many times their usual rate while endpoints are full.
// Shares are max-min fair by cost: each account gets what it asks for up to one common level, and
// what an account leaves is used by the others. Without waiting requests nothing is scarce and no
// account is over its share. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_FAIR_SHARES_H_
#define VERBENARIDGE_DISPATCH_FAIR_SHARES_H_

#include <cstddef>
#include <unordered_map>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"

namespace verbenaridge::dispatch {

// Seconds of one engine: prefill, and its part of the time during which the request decodes.
using EngineSeconds = double;

struct FairSharesOptions {
  // What was started this long ago counts half. Short against a burst of seconds, and long against
  // the time of a stream.
  Duration half_life = std::chrono::seconds(2);
  // An account may exceed the level by this part: in two seconds an account sends some requests
  // only, and their number varies by as much without any flood.
  double tolerance = 0.5;
  // An account beyond this multiple of the level asks for much more than the others, and not only
  // by chance.
  double flood_factor = 2.5;
  // The level is computed anew at most this often.
  Duration refresh_interval = std::chrono::milliseconds(50);
};

class FairShares {
 public:
  explicit FairShares(const FairSharesOptions& options = {}) : options_(options) {}

  // A request of the account was given to an endpoint, by this host or another one.
  void OnStart(Digest account, EngineSeconds cost, TimePoint now);
  // A request of the account waits, or no longer waits.
  void OnWait(Digest account, EngineSeconds cost);
  void OnLeave(Digest account, EngineSeconds cost);

  bool IsOverShare(Digest account, TimePoint now);
  // Whether it is so far over its share that its requests may be refused for it.
  bool Floods(Digest account, TimePoint now);
  // What each account may have of the service of the last seconds; infinite if nothing is scarce.
  EngineSeconds Level(TimePoint now);
  // What the account had of it.
  EngineSeconds Used(Digest account, TimePoint now) const;

 private:
  struct Account {
    EngineSeconds started = 0;  // decayed, at `updated`
    EngineSeconds waiting = 0;
    std::size_t waiting_requests = 0;
    TimePoint updated{};
  };

  EngineSeconds Decayed(const Account& account, TimePoint now) const;
  void Refresh(TimePoint now);

  const FairSharesOptions options_;
  std::unordered_map<Digest, Account> accounts_;
  EngineSeconds level_ = 0;
  TimePoint refreshed_{};
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_FAIR_SHARES_H_
