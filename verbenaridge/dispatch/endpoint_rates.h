// Keeps the requests a second that endpoints take from all hosts together.
//
//   EndpointRates rates(random);
//   if (rates.OnResponse(key, 2.5, now)) TellSchedulers(key, 2.5);   // a limit that it names
//   rates.OnCold(key, {.rate = 17, .burst = 2, .duration = seconds(3)}, now);
//   rates.OnPause(key, seconds(2), now);                             // it wants nothing for so
//   long if (!rates.MayStart(key, now)) continue; rates.OnStart(key, now);  // also for the
//   requests of other hosts
//
// An endpoint has up to one rule of each kind, and all of them must allow a request. Schedulers
// learn of the requests of all hosts, so they keep the whole rate; a host that decides alone keeps
// its share. Each request takes a token; requests that other hosts started at the same moment may
// leave a debt, which delays the next ones.
//
// A named limit holds for as long as responses name it. An endpoint that is cold after its start
// crashes well above its rate. A pause concerns the requests of this host only. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_ENDPOINT_RATES_H_
#define VERBENARIDGE_DISPATCH_ENDPOINT_RATES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/random.h"

namespace verbenaridge::dispatch {

using RequestsPerSecond = double;

struct EndpointRatesOptions {
  // Requests that may follow each other at once after a time without any, as the limit times this,
  // at least one.
  Duration max_burst = std::chrono::seconds(1);
  // Requests beyond the rate delay the next ones by no more than this.
  Duration max_debt = std::chrono::seconds(2);
  // A limit that no response confirms is kept for this long, plus the time of some requests.
  Duration retention = std::chrono::seconds(30);
  double retention_requests = 3;
  // Between two reports of the same limit to schedulers, which may have started meanwhile.
  Duration report_interval = std::chrono::milliseconds(250);
  // Endpoints that ask for a longer pause do not mean it.
  Duration max_pause = std::chrono::seconds(30);
  // Pauses end up to this part later, so that the hosts do not return together.
  double pause_spread = 0.2;
  std::size_t max_endpoints = 4'096;
};

// What a cold endpoint takes.
struct ColdRate {
  RequestsPerSecond rate = 0;
  double burst = 1;     // requests that may follow each other at once
  Duration duration{};  // from now
};

// One reason for which an endpoint takes a limited rate. `share`: the part of the rate that the
// requests known to this host may use.
class RateRule {
 public:
  virtual ~RateRule() = default;

  virtual bool MayStart(double share, TimePoint now) const = 0;
  virtual void OnStart(double share, TimePoint now) = 0;
  virtual RequestsPerSecond rate(double share) const = 0;
  virtual bool HasEnded(TimePoint now) const = 0;
};

class EndpointRates {
 public:
  explicit EndpointRates(RandomSource& random, const EndpointRatesOptions& options = {})
      : random_(random), options_(options) {}

  // The part of each rate that this host may use.
  void SetShare(double share) { share_ = share; }

  // The endpoint named a limit in a response to this host, or none. Returns true if schedulers must
  // be told.
  bool OnResponse(Digest endpoint, std::optional<RequestsPerSecond> limit, TimePoint now);
  // Another host reports such a response.
  void OnReport(Digest endpoint, std::optional<RequestsPerSecond> limit, TimePoint now);

  // The endpoint may be cold. Returns true if it was not known to be. Never shortens the time.
  bool OnCold(Digest endpoint, const ColdRate& cold, TimePoint now);

  // The endpoint asked this host for a pause. Returns false if its length makes no sense.
  bool OnPause(Digest endpoint, Duration pause, TimePoint now);

  // A request was assigned to the endpoint, by any host.
  void OnStart(Digest endpoint, TimePoint now);

  bool MayStart(Digest endpoint, TimePoint now) const;
  bool IsPaused(Digest endpoint, TimePoint now) const;
  bool IsCold(Digest endpoint, TimePoint now) const;
  // The limit that the endpoint names.
  std::optional<RequestsPerSecond> Limit(Digest endpoint, TimePoint now) const;
  // This host's share of the lowest rate; no value without one.
  std::optional<RequestsPerSecond> Share(Digest endpoint, TimePoint now) const;

  struct NamedLimit {
    Digest endpoint = 0;
    RequestsPerSecond limit = 0;
  };
  std::vector<NamedLimit> Limits(TimePoint now) const;

  // Removes rules that have ended. Returns the endpoints that were cold until then.
  std::vector<Digest> RemoveEnded(TimePoint now);

 private:
  enum class Kind : std::uint8_t { kNamed, kCold, kPause };
  static constexpr std::size_t kKinds = 3;
  using Rules = std::array<std::unique_ptr<RateRule>, kKinds>;

  class NamedLimitRule;
  class ColdRule;
  class PauseRule;

  NamedLimitRule* Record(Digest endpoint, std::optional<RequestsPerSecond> limit, TimePoint now);
  // Null if there is no room for another endpoint.
  Rules* RulesFor(Digest endpoint, TimePoint now);
  // Null if there is none or it has ended.
  RateRule* Find(Digest endpoint, Kind kind, TimePoint now) const;
  void Erase(Digest endpoint, Kind kind);
  // Tokens of a new rule with this capacity. Hosts that decide alone start at different moments.
  double FirstTokens(double capacity) { return share_ < 1 ? random_.Uniform() : capacity; }

  RandomSource& random_;
  const EndpointRatesOptions options_;
  double share_ = 1;
  std::unordered_map<Digest, Rules> rules_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_ENDPOINT_RATES_H_
