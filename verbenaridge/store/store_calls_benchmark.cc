// Counts the store calls of a fleet by mechanism in a run on a virtual clock: daemons with their
// gateways, plan watchers, plan changes, starts, and claim writers under constant orders.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "verbenaridge/membership/owner_ranking.h"
#include "verbenaridge/store/store_gateway.h"

namespace verbenaridge::store {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr Duration kWatchWait = std::chrono::seconds(30);
constexpr Duration kClaimInterval = std::chrono::milliseconds(400);
constexpr double kSeconds = 600;
constexpr std::size_t kDataCentres = 5;
constexpr std::size_t kBuckets = 128;
constexpr double kChangesPerDay = 750;
constexpr double kStartsPerDayAndDaemon = 190.0 / 380;
constexpr double kSecondsPerDay = 86'400;

// Answers at once, but keeps watches until a change or the end of their wait.
class CountedStore final : public KeyValueStore {
 public:
  explicit CountedStore(const Clock& clock) : clock_(clock) {}

  void Read(std::string_view, ReadCallback callback) override { callback(StoredValue{1, "v"}); }
  void CompareAndSwap(std::string_view, KeyVersion, std::string_view,
                      WriteCallback callback) override {
    callback(KeyVersion{2});
  }
  void Watch(std::string_view, KeyVersion, Duration wait, ReadCallback callback) override {
    watches_.emplace(clock_.Now() + wait, std::move(callback));
  }
  void Lease(std::string_view, std::string_view, Duration, WriteCallback callback) override {
    callback(KeyVersion{1});
  }

  // Ends the watches that waited long enough, or all of them after a change.
  void EndWatches(bool changed) {
    std::vector<ReadCallback> ended;
    while (!watches_.empty() && (changed || watches_.begin()->first <= clock_.Now())) {
      ended.push_back(std::move(watches_.begin()->second));
      watches_.erase(watches_.begin());
    }
    for (const ReadCallback& callback : ended) callback(StoredValue{1, ""});
  }

 private:
  const Clock& clock_;
  std::multimap<TimePoint, ReadCallback> watches_;
};

class Fleet {
 public:
  explicit Fleet(std::size_t daemons) : store_(clock_) {
    std::vector<membership::WeightedHost> hosts;
    for (std::size_t i = 0; i < daemons; ++i) {
      gateways_.push_back(std::make_unique<StoreGateway>(store_, clock_, random_));
      hosts.push_back({HostId(std::to_string(i)), 1});
    }
    const membership::OwnerRanking all(hosts);
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
      writers_.push_back(std::stoul(all.Owner("claims/" + std::to_string(bucket))->value()));
    }
    for (std::size_t d = 0; d < kDataCentres; ++d) {
      // Daemon i is in data centre i mod 5; two of each watch.
      watchers_.push_back(d);
      watchers_.push_back(d + kDataCentres);
    }
    for (const std::size_t watcher : watchers_) Watch(watcher);
  }

  void Run() {
    double changes = 0;
    double starts = 0;
    int step = 0;
    const double step_seconds = ToSeconds(kStep);
    for (double passed = 0; passed < kSeconds; passed += step_seconds, ++step) {
      clock_.Advance(kStep);
      changes += kChangesPerDay / kSecondsPerDay * step_seconds;
      starts += kStartsPerDayAndDaemon * static_cast<double>(gateways_.size()) / kSecondsPerDay *
                step_seconds;
      const bool changed = changes >= 1;
      store_.EndWatches(changed);
      if (changed) {
        changes -= 1;
        for (std::size_t d = 0; d < kDataCentres; ++d) Confirm(d);
      }
      if (starts >= 1) {
        starts -= 1;
        Start(random_.Below(gateways_.size()));
      }
      if (step % (kClaimInterval / kStep) == 0) {
        for (const std::size_t writer : writers_) Claim(writer);
      }
      for (auto& gateway : gateways_) gateway->Tick();
    }
  }

  void Print() const {
    for (std::size_t kind = 0; kind < kCallKindCount; ++kind) {
      std::uint64_t total = 0;
      std::uint64_t most = 0;
      std::uint64_t rejected = 0;
      for (const auto& gateway : gateways_) {
        const CallCounters& counters = gateway->counters(static_cast<CallKind>(kind));
        total += counters.started;
        rejected += counters.rejected;
        most = std::max(most, counters.started);
      }
      const double daemons = static_cast<double>(gateways_.size());
      std::printf("%zu,%s,%.2f,%.5f,%.3f,%llu\n", gateways_.size(),
                  std::string(CallKindName(static_cast<CallKind>(kind))).c_str(),
                  static_cast<double>(total) / kSeconds,
                  static_cast<double>(total) / kSeconds / daemons,
                  static_cast<double>(most) / kSeconds, static_cast<unsigned long long>(rejected));
    }
  }

 private:
  void Watch(std::size_t daemon) {
    gateways_[daemon]->Watch(CallKind::kPlanWatch, "plans/current", 1, kWatchWait,
                             [this, daemon](const Result<StoredValue>&) { Watch(daemon); });
  }

  // The first watcher of a data centre reads the confirmed version and raises it.
  void Confirm(std::size_t daemon) {
    gateways_[daemon]->Read(
        CallKind::kPlanConfirm, "plans/confirmed", [this, daemon](const Result<StoredValue>&) {
          gateways_[daemon]->CompareAndSwap(CallKind::kPlanConfirm, "plans/confirmed", 1, "v",
                                            [](const Result<KeyVersion>&) {});
        });
  }

  // Two rounds of questions while joining and one that counts, each with two keys.
  void Start(std::size_t daemon) {
    for (int round = 0; round < 3; ++round) {
      for (const char* key : {"plans/current", "plans/confirmed"}) {
        gateways_[daemon]->Read(CallKind::kPlanRead, key + std::to_string(round),
                                [](const Result<StoredValue>&) {});
      }
    }
  }

  void Claim(std::size_t daemon) {
    gateways_[daemon]->CompareAndSwap(CallKind::kClaim, "claims", 1, "v",
                                      [](const Result<KeyVersion>&) {});
  }

  ManualClock clock_;
  SeededRandom random_{1};
  CountedStore store_;
  std::vector<std::unique_ptr<StoreGateway>> gateways_;
  std::vector<std::size_t> writers_;
  std::vector<std::size_t> watchers_;
};

}  // namespace
}  // namespace verbenaridge::store

int main() {
  std::puts("daemons,mechanism,fleet_calls_per_second,mean_per_daemon,busiest_daemon,rejected");
  for (const std::size_t daemons : {15, 380, 1000}) {
    verbenaridge::store::Fleet fleet(daemons);
    fleet.Run();
    fleet.Print();
  }
  return 0;
}
