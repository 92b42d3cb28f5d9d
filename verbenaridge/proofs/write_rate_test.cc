#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "verbenaridge/claims/claim_writer.h"

namespace verbenaridge::claims {
namespace {

using std::chrono::milliseconds;

struct AllRunning final : HolderDirectory {
  bool MayBeRunning(const HolderId&) const override { return true; }
};

struct Figures {
  double writes = 0;
  double reads = 0;
  double conflicts = 0;
  double unavailable = 0;
  std::vector<double> waits;  // of claims, in milliseconds
};

// A fleet of claim writers on a virtual clock, with a store that answers after 20 ms, and a result
// 200 ms after each claim.
class Fleet {
 public:
  Fleet(int daemons, double claims_per_second, int writers_per_bucket)
      : rate_(claims_per_second), writers_(writers_per_bucket) {
    for (int i = 0; i < daemons; ++i) {
      books_.push_back(
          std::make_unique<ClaimWriter>(ClaimWriterOptions{}, clock_, random_, holders_));
    }
    wakes_.resize(daemons, TimePoint::max());
  }

  Figures Run(Duration warm_up, Duration measured) {
    const TimePoint start = clock_.Now();
    ScheduleClaim();
    while (events_.top().time < start + warm_up + measured) {
      const Event event = events_.top();
      events_.pop();
      clock_.Advance(event.time - clock_.Now());
      counting_ = clock_.Now() >= start + warm_up;
      event.action();
    }
    for (double* count : {&figures_.writes, &figures_.reads, &figures_.conflicts}) {
      *count /= ToSeconds(measured);
    }
    std::sort(figures_.waits.begin(), figures_.waits.end());
    return figures_;
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };

  void After(Duration delay, std::function<void()> action) {
    events_.push({clock_.Now() + delay, order_++, std::move(action)});
  }

  void ScheduleClaim() {
    After(FromSeconds(-std::log(1 - random_.Uniform()) / rate_), [this] {
      Claim();
      ScheduleClaim();
    });
  }

  void Claim() {
    const std::uint64_t n = calls_.size();
    const ClaimKey key{ClientAccountId("account"), ServiceId("orders"), "fill", std::to_string(n)};
    const std::size_t book = (BucketOf(key) + random_.Below(writers_)) % books_.size();
    const HolderId holder{HostId("host-01"), 1, n};
    const WallTime expiry = clock_.WallNow() + std::chrono::seconds(20);
    calls_.push_back([=, this, asked = clock_.Now()](ClaimVerdict verdict) {
      if (counting_) figures_.waits.push_back(ToSeconds(clock_.Now() - asked) * 1000);
      if (counting_ && verdict != ClaimVerdict::kClaimed) ++figures_.unavailable;
      if (verdict != ClaimVerdict::kClaimed) return;
      After(milliseconds(200), [=, this] {
        calls_.push_back([](ClaimVerdict) {});
        Execute(book, books_[book]->OnOutcome(
                          calls_.size() - 1,
                          {key, holder, Outcome::kRan, expiry, {200, "text/plain", "done"}}));
      });
    });
    Execute(book, books_[book]->OnClaim(n, {key, 1, holder, expiry}));
  }

  void Execute(std::size_t book, const WriterActions& actions) {
    for (const WriterAction& action : actions) {
      if (const auto* send = std::get_if<SendReply>(&action)) {
        const auto call = calls_[send->tag];
        call(send->reply.verdict);
      } else if (const auto* read = std::get_if<ReadBucket>(&action)) {
        if (counting_) ++figures_.reads;
        After(milliseconds(20), [this, book, r = *read] {
          Execute(book, books_[book]->OnRead(r.bucket, r.operation, store_[r.bucket]));
        });
      } else {
        Write(book, std::get<WriteBucket>(action));
      }
    }
    const TimePoint wake = books_[book]->next_wake().value_or(TimePoint::max());
    if (wake >= wakes_[book]) return;
    wakes_[book] = wake;
    After(std::max(Duration{}, wake - clock_.Now()), [this, book, wake] {
      if (wakes_[book] != wake) return;
      wakes_[book] = TimePoint::max();
      Execute(book, books_[book]->OnTimer());
    });
  }

  void Write(std::size_t book, const WriteBucket& write) {
    if (counting_) ++figures_.writes;
    VersionedBucket& stored = store_[write.bucket];
    const bool matches = stored.version == write.expected_version;
    if (matches) stored = {stored.version + 1, write.value};
    if (!matches && counting_) ++figures_.conflicts;
    After(milliseconds(20), [this, book, bucket = write.bucket, operation = write.operation,
                             matches, version = stored.version] {
      Execute(book, matches ? books_[book]->OnWrite(bucket, operation, version)
                            : books_[book]->OnWrite(bucket, operation, Errc::kConflict));
    });
  }

  double rate_;
  int writers_;
  ManualClock clock_;
  SeededRandom random_{20261204};
  AllRunning holders_;
  std::vector<std::unique_ptr<ClaimWriter>> books_;
  std::vector<TimePoint> wakes_;
  std::vector<std::function<void(ClaimVerdict)>> calls_;
  std::map<BucketIndex, VersionedBucket> store_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  bool counting_ = false;
  Figures figures_;
};

// Guards against a write rate that grows with the load or the fleet: the store serves several
// hundred writes/s for everything.
TEST_CASE("store writes of the claim writers") {
  struct Row {
    int daemons;
    double claims_per_second;
    int writers_per_bucket;
    double max_writes;
  };
  const Row rows[] = {{16, 10, 1, 320},   {16, 100, 1, 320},   {16, 300, 1, 320},
                      {16, 1000, 1, 320}, {380, 10, 1, 320},   {380, 100, 1, 320},
                      {380, 300, 1, 320}, {380, 1000, 1, 320}, {16, 300, 2, 640},
                      {380, 300, 2, 640}};
  for (const Row& row : rows) {
    CAPTURE(row.daemons);
    CAPTURE(row.claims_per_second);
    Fleet fleet(row.daemons, row.claims_per_second, row.writers_per_bucket);
    const Figures f = fleet.Run(std::chrono::seconds(5), std::chrono::seconds(20));
    CHECK(f.writes <= row.max_writes);
    const auto wait = [&f](double share) {
      return f.waits[static_cast<std::size_t>(share * static_cast<double>(f.waits.size() - 1))];
    };
    CHECK(wait(0.99) < 900);
    MESSAGE(row.daemons << " daemons, " << row.writers_per_bucket << " writers per bucket, "
                        << row.claims_per_second << " claims/s: " << f.writes << " writes/s, "
                        << f.reads << " reads/s, " << f.conflicts << " conflicts/s, wait p50 "
                        << wait(0.5) << " ms, p99 " << wait(0.99) << " ms, not claimed "
                        << f.unavailable << " of " << f.waits.size());
  }
}

}  // namespace
}  // namespace verbenaridge::claims
