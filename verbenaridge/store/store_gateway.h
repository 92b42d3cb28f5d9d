// One daemon's access to the store: budgets per kind of call, claims first, shared reads, back-off
// and a circuit breaker. An outage costs a caller at most one time limit, and after it the daemons
// come back one trial call at a time.
//
//   store::StoreGateway gateway(store, clock, random);
//   gateway.CompareAndSwap(store::CallKind::kClaim, key, version, value, callback);
//   gateway.Tick();  // from a timer, at NextWake() or every 20 ms
#ifndef VERBENARIDGE_STORE_STORE_GATEWAY_H_
#define VERBENARIDGE_STORE_STORE_GATEWAY_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/store/key_value_store.h"

namespace verbenaridge::store {

// In the order of service: a waiting claim goes before any other call.
enum class CallKind : std::uint8_t { kClaim, kPlanRead, kPlanWatch, kPlanConfirm, kOther };

inline constexpr std::size_t kCallKindCount = 5;

// "claim", "plan_read", "plan_watch", "plan_confirm" or "other".
std::string_view CallKindName(CallKind kind);

struct CallCounters {
  std::uint64_t started = 0;    // sent to the store
  std::uint64_t coalesced = 0;  // answered by another caller's read
  std::uint64_t succeeded = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t failed = 0;    // time limit or no connection
  std::uint64_t refused = 0;   // by the store's rate limit
  std::uint64_t rejected = 0;  // not sent: circuit open, queue full, or waited too long
};

struct CallBudget {
  double per_second = 1;
  double burst = 2;
};

// Not thread-safe; belongs to the control thread. Callbacks never run from within a call, only from
// Tick or from the store's own callbacks.
class StoreGateway {
 public:
  struct Options {
    // 128 claim buckets written at most every 400 ms are 320 writes/s in the fleet. With 15 daemons
    // the busiest one writes about 40/s; the rest is for reads of records and for dead daemons.
    // A start reads two keys per round of questions.
    std::array<CallBudget, kCallKindCount> budgets = {{{100, 50}, {4, 8}, {4, 4}, {2, 4}, {2, 4}}};
    Duration time_limit = std::chrono::milliseconds(500);
    // Longest wait of a queued call for its budget. With the time limit it stays under the 1 s
    // within which an order must be answered while the store is down.
    Duration max_queue_time = std::chrono::milliseconds(400);
    std::size_t max_queued = 256;
    int failures_to_open = 4;
    Duration first_back_off = std::chrono::milliseconds(250);
    // With 1,000 daemons, trial calls come to about 200/s, a tenth of what the store serves.
    Duration max_back_off = std::chrono::seconds(5);
  };

  StoreGateway(KeyValueStore& store, const Clock& clock, RandomSource& random);
  StoreGateway(KeyValueStore& store, const Clock& clock, RandomSource& random, Options options);

  // Errors as for KeyValueStore, and kUnavailable while the circuit is open: then certainly not
  // sent. Waiting reads of the same key and kind share one call.
  void Read(CallKind kind, std::string_view key, ReadCallback callback);
  void CompareAndSwap(CallKind kind, std::string_view key, KeyVersion expected,
                      std::string_view value, WriteCallback callback);
  void Watch(CallKind kind, std::string_view key, KeyVersion after, Duration wait,
             ReadCallback callback);
  void Lease(CallKind kind, std::string_view key, std::string_view value, Duration time_to_live,
             WriteCallback callback);

  // Starts queued calls, ends calls past their limit.
  void Tick();

  // When Tick has something to do; nothing while no call waits or runs.
  std::optional<TimePoint> NextWake() const;

  bool circuit_open() const { return open_until_.has_value(); }
  const CallCounters& counters(CallKind kind) const {
    return counters_[static_cast<std::size_t>(kind)];
  }

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  struct Bucket {
    double tokens = 0;
    TimePoint updated{};
  };

  void Enqueue(CallPtr call);
  void Start(const CallPtr& call);
  void End(const CallPtr& call, std::error_code error, KeyVersion version,
           const std::string& value);
  void Reject(const CallPtr& call);
  void RejectExpired(TimePoint now);
  void EndOverdue(TimePoint now);
  bool TakeToken(CallKind kind, TimePoint now);
  void Refill(CallKind kind, TimePoint now);
  void NoteFailure(TimePoint now);
  void NoteSuccess(TimePoint now);
  CallCounters& Count(CallKind kind) { return counters_[static_cast<std::size_t>(kind)]; }

  KeyValueStore& store_;
  const Clock& clock_;
  RandomSource& random_;
  const Options options_;
  std::array<std::deque<CallPtr>, kCallKindCount> queues_;
  std::array<Bucket, kCallKindCount> buckets_;
  std::array<CallCounters, kCallKindCount> counters_;
  std::map<std::pair<CallKind, std::string>, CallPtr> reads_;  // queued or running
  std::vector<CallPtr> running_;
  std::size_t queued_ = 0;
  int failures_ = 0;
  int openings_ = 0;  // in a row, for the back-off
  std::optional<TimePoint> open_until_;
  bool trial_running_ = false;
  // Guards the store's callbacks against a gateway that is gone.
  std::shared_ptr<StoreGateway*> self_;

 public:
  ~StoreGateway();
  StoreGateway(const StoreGateway&) = delete;
  StoreGateway& operator=(const StoreGateway&) = delete;
};

// A KeyValueStore whose calls go through a gateway as calls of fixed kinds, for users that know
// nothing of budgets.
class BudgetedStore final : public KeyValueStore {
 public:
  struct Kinds {
    CallKind read = CallKind::kOther;
    CallKind write = CallKind::kOther;
    CallKind watch = CallKind::kOther;
  };

  // `gateway` must outlive this object.
  BudgetedStore(StoreGateway& gateway, Kinds kinds) : gateway_(gateway), kinds_(kinds) {}

  void Read(std::string_view key, ReadCallback callback) override;
  void CompareAndSwap(std::string_view key, KeyVersion expected, std::string_view value,
                      WriteCallback callback) override;
  void Watch(std::string_view key, KeyVersion after, Duration wait, ReadCallback callback) override;
  void Lease(std::string_view key, std::string_view value, Duration time_to_live,
             WriteCallback callback) override;

 private:
  StoreGateway& gateway_;
  const Kinds kinds_;
};

}  // namespace verbenaridge::store

#endif  // VERBENARIDGE_STORE_STORE_GATEWAY_H_
