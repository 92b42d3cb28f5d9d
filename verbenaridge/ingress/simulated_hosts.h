// Hosts of a system in virtual time: their directory is that of the daemon; the network, the store
// and the ticks are simulated.
//
//   SimulatedHosts fleet(TestSeed(), kNetworkDelays[0], 15);
//   fleet.Start();
//   fleet.Run(std::chrono::seconds(2));
//   fleet.Freeze(3);              // its messages and replies wait until it wakes
//   fleet.StoreEndpoint({});
//   fleet.Run(std::chrono::seconds(3));
//   fleet.Wake(3);
#ifndef VERBENARIDGE_INGRESS_SIMULATED_HOSTS_H_
#define VERBENARIDGE_INGRESS_SIMULATED_HOSTS_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/directory/directory_store.h"
#include "verbenaridge/ingress/directory_link.h"
#include "verbenaridge/ingress/directory_service.h"
#include "verbenaridge/ingress/testing.h"

namespace verbenaridge::ingress::testing {

// One way. Datagrams and fetches on loopback take less than a millisecond, those of a slow host
// tens of milliseconds.
inline constexpr Duration kNetworkDelays[] = {
    std::chrono::milliseconds(5), std::chrono::milliseconds(20), std::chrono::milliseconds(40)};
inline constexpr Duration kStoreDelay = std::chrono::milliseconds(10);
// As the client of the platform's store.
inline constexpr Duration kStoreTimeout = std::chrono::milliseconds(700);
// Of a fetch from a peer.
inline constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);

// Runs actions in the order of their times.
class VirtualTime {
 public:
  const Clock& clock() const { return clock_; }

  void After(Duration delay, std::function<void()> action) {
    actions_.emplace(clock_.Now() + delay, std::move(action));
  }

  void Run(Duration time) {
    const TimePoint end = clock_.Now() + time;
    while (!actions_.empty() && actions_.begin()->first <= end) {
      auto next = actions_.extract(actions_.begin());
      clock_.Advance(next.key() - clock_.Now());
      next.mapped()();
    }
    clock_.Advance(end - clock_.Now());
  }

 private:
  ManualClock clock_;
  std::multimap<TimePoint, std::function<void()>> actions_;  // of one time: in order of insertion
};

class Network {
 public:
  Network(VirtualTime& time, Duration delay) : time_(time), delay_(delay) {}

  VirtualTime& time() { return time_; }
  Duration delay() const { return delay_; }

  // The running process at an address; null if there is none.
  DirectoryEvents* Process(const std::string& ip) const {
    const auto found = processes_.find(ip);
    return found == processes_.end() ? nullptr : found->second;
  }
  void SetProcess(const std::string& ip, DirectoryEvents& process) { processes_[ip] = &process; }

  // A host that tells neither the era of the store nor the revision of its endpoints.
  void RemoveEraOf(const std::string& ip) { without_era_.insert(ip); }
  bool TellsEra(const std::string& ip) const { return !without_era_.contains(ip); }

  // What arrives at a frozen host waits there.
  void Freeze(const std::string& ip) { frozen_.try_emplace(ip); }
  void Wake(const std::string& ip) {
    std::deque<std::function<void()>> arrived = std::move(frozen_.extract(ip).mapped());
    for (const auto& action : arrived) action();
  }
  bool IsFrozen(const std::string& ip) const { return frozen_.contains(ip); }
  // Runs the action at the host, now or when it wakes.
  void RunAt(const std::string& ip, std::function<void()> action) {
    const auto frozen = frozen_.find(ip);
    if (frozen == frozen_.end()) {
      action();
    } else {
      frozen->second.push_back(std::move(action));
    }
  }

  // What is sent to or by the host is lost.
  void Cut(const std::string& ip) { cut_.insert(ip); }
  void Heal(const std::string& ip) { cut_.erase(ip); }
  bool Connects(const std::string& a, const std::string& b) const {
    return !cut_.contains(a) && !cut_.contains(b);
  }

 private:
  VirtualTime& time_;
  const Duration delay_;
  std::map<std::string, DirectoryEvents*> processes_;
  std::set<std::string> without_era_;
  std::map<std::string, std::deque<std::function<void()>>> frozen_;
  std::set<std::string> cut_;
};

class SimulatedLink final : public DirectoryLink {
 public:
  SimulatedLink(Network& network, std::string ip, Duration first_tick)
      : network_(network), ip_(std::move(ip)), first_tick_(first_tick) {}

  Status Open(DirectoryEvents& events) override {
    network_.SetProcess(ip_, events);
    process_ = &events;
    TickAfter(first_tick_, events);
    return Ok();
  }

  Status Send(const std::string& ip, const wire::Datagram& datagram) override {
    if (HasEnded() || !network_.Connects(ip_, ip)) return Ok();
    const auto* const gossip = std::get_if<wire::DirectoryGossip>(&datagram);
    if (gossip == nullptr) return Ok();
    wire::DirectoryGossip sent = *gossip;
    // Hosts of that release do not miss the era in what they tell each other.
    if (!network_.TellsEra(ip_) && network_.TellsEra(ip)) {
      sent.evacuation_era = sent.endpoints_era = sent.endpoints_revision = 0;
    }
    network_.time().After(network_.delay(), [this, ip, sent = std::move(sent)] {
      network_.RunAt(ip, [this, ip, sent] {
        if (DirectoryEvents* const to = network_.Process(ip)) to->OnGossip(sent, ip_);
      });
    });
    return Ok();
  }

  void Fetch(const std::string& ip, const wire::FetchDirectoryRequest& have,
             std::function<void(Result<wire::FetchDirectoryReply>)> done) override {
    if (HasEnded()) return;
    if (network_.IsFrozen(ip) || !network_.Connects(ip_, ip)) {
      network_.time().After(kFetchTimeout, [this, done = std::move(done)] {
        network_.RunAt(ip_, [done] { done(Errc::kTimeout); });
      });
      return;
    }
    network_.time().After(network_.delay(), [this, ip, have, done = std::move(done)] {
      wire::FetchDirectoryReply reply = network_.Process(ip)->Content(have);
      if (!network_.TellsEra(ip) && network_.TellsEra(ip_)) {
        reply.endpoints_era = reply.endpoints_revision = 0;
      }
      network_.time().After(network_.delay(), [this, done, reply = std::move(reply)] {
        network_.RunAt(ip_, [done, reply] { done(reply); });
      });
    });
  }

 private:
  // Whether another process of this host has taken the place of this one.
  bool HasEnded() const { return network_.Process(ip_) != process_; }

  void TickAfter(Duration delay, DirectoryEvents& events) {
    network_.time().After(delay, [this, &events] {
      if (HasEnded()) return;
      // The event loop of a host that wakes handles what has arrived before its timers.
      if (!network_.IsFrozen(ip_)) events.Tick();
      TickAfter(kDirectoryTick, events);
    });
  }

  Network& network_;
  const std::string ip_;
  const Duration first_tick_;
  DirectoryEvents* process_ = nullptr;
};

// What the store holds. An evacuation, or its end, is stored with a version of its own.
struct StoredState {
  std::uint64_t version = 1;
  directory::StorePosition position{.era = 1, .revision = 1};
  std::map<std::uint64_t, std::uint64_t> versions{{1, 1}};  // by revision
  std::vector<directory::EvacuationChange> evacuations;
  std::optional<directory::Endpoint> endpoint;  // the only one
};

// A document is its version in decimal.
class SimulatedStore final : public directory::DirectoryStore {
 public:
  // What a poll returns of the versions since its revision.
  enum class Watch : std::uint8_t {
    kAll,
    kNext,       // the first of them
    kLimited,    // nothing if they are many
    kCompacted,  // nothing, as the history is gone
  };

  // Of the host with this address.
  SimulatedStore(Network& network, std::string ip, const StoredState& state)
      : network_(network), ip_(std::move(ip)), state_(state) {}

  void ReadConfiguration(
      std::function<void(Result<directory::StoredConfiguration>)> done) override {
    Reply(std::move(done), [this]() -> Result<directory::StoredConfiguration> { return Read(); });
  }
  void PollConfiguration(const directory::StorePosition& position,
                         std::function<void(Result<directory::ConfigurationNews>)> done) override {
    Reply(std::move(done), [this, position]() -> Result<directory::ConfigurationNews> {
      if (position.era != state_.position.era || position > state_.position) return Errc::kConflict;
      const auto next = state_.versions.upper_bound(position.revision);
      if (next == state_.versions.end()) return directory::ConfigurationNews{.position = position};
      switch (watch) {
        case Watch::kAll:
          break;
        case Watch::kNext:
          return directory::ConfigurationNews{.position = At(next->first),
                                              .newest = Version(next->second, At(next->first)),
                                              .complete = false};
        case Watch::kLimited:
          if (std::distance(next, state_.versions.end()) > kMaxVersionsOfPoll) {
            return Errc::kTooLarge;
          }
          break;
        case Watch::kCompacted:
          return Errc::kConflict;
      }
      directory::ConfigurationNews news{.position = state_.position, .newest = Read()};
      for (const directory::EvacuationChange& change : state_.evacuations) {
        if (change.position.revision > position.revision) news.evacuations.push_back(change);
      }
      return news;
    });
  }
  void ReadEvacuations(std::function<void(Result<directory::EvacuationView>)> done) override {
    Reply(std::move(done), [this]() -> Result<directory::EvacuationView> {
      directory::Evacuations evacuations;
      evacuations.Replace({.position = At(1)});
      evacuations.Apply(state_.evacuations, state_.position);
      return evacuations.view();
    });
  }
  void ReadEndpoints(std::function<void(Result<directory::StoredEndpoints>)> done) override {
    Reply(std::move(done), [this]() -> Result<directory::StoredEndpoints> {
      directory::StoredEndpoints stored{.position = state_.position};
      if (state_.endpoint) stored.endpoints.push_back(*state_.endpoint);
      return stored;
    });
  }
  Result<std::shared_ptr<const directory::Configuration>> Decode(
      std::string_view document) const override {
    return directory::Configuration::Create({.version = std::stoull(std::string(document))});
  }

  bool rejects = false;
  bool silent = false;  // rejected calls get no reply
  std::size_t calls = 0;
  Watch watch = Watch::kAll;

 private:
  static constexpr std::ptrdiff_t kMaxVersionsOfPoll = 4;

  directory::StorePosition At(std::uint64_t revision) const {
    return {.era = state_.position.era, .revision = revision};
  }
  directory::StoredConfiguration Read() const { return Version(state_.version, state_.position); }
  static directory::StoredConfiguration Version(std::uint64_t version,
                                                const directory::StorePosition& position) {
    return {.position = position,
            .configuration = directory::Configuration::Create({.version = version}),
            .document = std::to_string(version)};
  }

  template <class Done, class Value>
  void Reply(Done done, Value value) {
    ++calls;
    const Duration delay = rejects && silent ? kStoreTimeout : kStoreDelay;
    network_.time().After(
        delay, [this, rejected = rejects, done = std::move(done), value = std::move(value)] {
          auto reply = value();
          if (rejected || rejects) reply = Errc::kUnavailable;
          network_.RunAt(ip_, [done, reply = std::move(reply)] { done(reply); });
        });
  }

  Network& network_;
  const std::string ip_;
  const StoredState& state_;
};

// Hosts in three data centres, as in hosts_test.
class SimulatedHosts {
 public:
  SimulatedHosts(std::uint64_t seed, Duration network_delay, std::size_t hosts,
                 bool evacuation = false)
      : network_(time_, network_delay), random_(seed), hosts_(hosts), evacuation_(evacuation) {
    for (std::size_t i = 0; i < hosts_; ++i) {
      stores.push_back(std::make_unique<SimulatedStore>(network_, Ip(i), state_));
      services_.push_back(Create(i));
      REQUIRE(services_.back()->Open().has_value());
    }
  }

  void Start() {
    for (const auto& service : services_) service->Start();
  }

  void Run(Duration time) { time_.Run(time); }
  TimePoint Now() const { return time_.clock().Now(); }
  void StoreVersion() {
    state_.versions[++state_.position.revision] = ++state_.version;
    lag_.OnVersion(state_.version, Now());
  }
  void StoreEvacuation(const DataCentreId& data_centre, bool evacuated) {
    StoreVersion();
    state_.evacuations.push_back({data_centre, evacuated, state_.position});
  }

  void StoreEndpoint(std::optional<directory::Endpoint> endpoint) {
    ++state_.position.revision;
    state_.endpoint = std::move(endpoint);
  }
  // The hosts that would send requests to the endpoint's process with this start time.
  std::size_t HostsThatUse(std::uint64_t start_unix_ms) const {
    std::size_t hosts = 0;
    for (std::size_t i = 0; i < hosts_; ++i) hosts += Uses(i, start_unix_ms) ? 1 : 0;
    return hosts;
  }
  bool Uses(std::size_t host, std::uint64_t start_unix_ms) const {
    const auto endpoints = services_[host]->endpoints();
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& endpoint) {
      return endpoint.start_unix_ms == start_unix_ms && !endpoint.draining;
    });
  }

  const StoredState& state() const { return state_; }
  void SetStoreEra(directory::StoreEra era) { state_.position.era = era; }
  // The store comes back from the copy and gives out the revisions since then again.
  void RestoreStore(const StoredState& copy) {
    const directory::StoreEra era = state_.position.era + 1;
    state_ = copy;
    state_.position.era = era;
    for (directory::EvacuationChange& change : state_.evacuations) change.position.era = era;
  }

  // The hosts that know whether the data centre is evacuated.
  std::size_t HostsWith(const DataCentreId& data_centre, bool evacuated) const {
    return static_cast<std::size_t>(
        std::count_if(services_.begin(), services_.end(), [&](const auto& service) {
          const auto known = service->evacuated();
          const bool listed = std::find(known.begin(), known.end(), data_centre) != known.end();
          return service->ready() && listed == evacuated;
        }));
  }

  // The host tells no position of the store, as one of an earlier release.
  void RemoveEraOf(std::size_t host) { network_.RemoveEraOf(Ip(host)); }

  // The host's processes stand still. What was sent to it meanwhile is handled when it wakes.
  void Freeze(std::size_t host) { network_.Freeze(Ip(host)); }
  void Wake(std::size_t host) { network_.Wake(Ip(host)); }

  // Cuts the host off from its peers and from the store.
  void Cut(std::size_t host) {
    network_.Cut(Ip(host));
    stores[host]->rejects = stores[host]->silent = true;
  }
  void Heal(std::size_t host) {
    network_.Heal(Ip(host));
    stores[host]->rejects = stores[host]->silent = false;
  }

  // The host's process starts anew and knows its settings only.
  void Restart(std::size_t i) {
    ended_.push_back(std::move(services_[i]));
    services_[i] = Create(i);
    REQUIRE(services_[i]->Open().has_value());
    services_[i]->Start();
  }

  // Time for which the host that is furthest behind has missed a version.
  Duration LongestLag() const {
    Duration longest{};
    for (const auto& service : services_) {
      longest = std::max(longest, lag_.Of(service->version(), Now()));
    }
    return longest;
  }

  bool all_current() const {
    return std::all_of(services_.begin(), services_.end(), [this](const auto& service) {
      return service->version() == state_.version;
    });
  }

  std::vector<std::unique_ptr<SimulatedStore>> stores;

 private:
  std::unique_ptr<DirectoryService> Create(std::size_t i) {
    const std::size_t data_centre = i < 3 ? 0 : 1 + i % 2;
    const Duration first_tick = FromSeconds(ToSeconds(kDirectoryTick) * random_.Uniform());
    return std::make_unique<DirectoryService>(
        std::make_unique<SimulatedLink>(network_, Ip(i), first_tick),
        DirectoryOptions{
            .self = HostId(std::string("h").append(std::to_string(i))),
            .ip = Ip(i),
            .data_centre = DataCentreId(std::string(1, static_cast<char>('a' + data_centre))),
            .capacity = static_cast<double>(hosts_ - i),
            .keys = Keys(),
            .seeds = {Ip(0)},
            .incarnation = ++processes_,
            .endpoint_heartbeat = std::chrono::milliseconds(1'200),
            .evacuation = evacuation_},
        *stores[i], time_.clock(), random_,
        DirectoryOutputs{.snapshot = [](forwarding::SnapshotPtr) {},
                         .schedulers = [](bool, const std::vector<std::string>&) {},
                         .peer_gone = [](Incarnation) {},
                         .peer_started = [] {},
                         .crash_notice = [](const CrashNotice&) {}});
  }

  VirtualTime time_;
  Network network_;
  SeededRandom random_;
  const std::size_t hosts_;
  const bool evacuation_;
  Incarnation processes_ = 0;
  StoredState state_;
  VersionLag lag_;
  std::vector<std::unique_ptr<DirectoryService>> services_;
  std::vector<std::unique_ptr<DirectoryService>> ended_;  // calls that are out refer to them
};

}  // namespace verbenaridge::ingress::testing

#endif  // VERBENARIDGE_INGRESS_SIMULATED_HOSTS_H_
