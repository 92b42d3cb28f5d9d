#include "verbenaridge/store/store_gateway.h"

#include <algorithm>
#include <cmath>

namespace verbenaridge::store {
namespace {

std::size_t IndexOf(CallKind kind) { return static_cast<std::size_t>(kind); }

}  // namespace

std::string_view CallKindName(CallKind kind) {
  constexpr std::array<std::string_view, kCallKindCount> kNames = {
      "claim", "plan_read", "plan_watch", "plan_confirm", "other"};
  return kNames[IndexOf(kind)];
}

// One call to the store, possibly for several callers.
struct StoreGateway::Call {
  CallKind kind = CallKind::kOther;
  std::string key;
  Duration wait{};  // a watch may take this long in addition to the time limit
  bool is_read = false;
  TimePoint queued{};
  TimePoint started{};
  bool ended = false;
  bool is_trial = false;
  std::function<void(KeyValueStore&, ReadCallback)> send;
  std::vector<ReadCallback> callbacks;
};

StoreGateway::StoreGateway(KeyValueStore& store, const Clock& clock, RandomSource& random)
    : StoreGateway(store, clock, random, Options{}) {}

StoreGateway::StoreGateway(KeyValueStore& store, const Clock& clock, RandomSource& random,
                           Options options)
    : store_(store),
      clock_(clock),
      random_(random),
      options_(options),
      self_(std::make_shared<StoreGateway*>(this)) {
  for (std::size_t i = 0; i < kCallKindCount; ++i) {
    buckets_[i] = {options_.budgets[i].burst, clock_.Now()};
  }
}

StoreGateway::~StoreGateway() { *self_ = nullptr; }

void StoreGateway::Read(CallKind kind, std::string_view key, ReadCallback callback) {
  const auto shared = reads_.find({kind, std::string(key)});
  // A read that already runs may have been answered before the caller's last write, so only queued
  // reads are shared.
  if (shared != reads_.end() && shared->second->started == TimePoint{}) {
    ++Count(kind).coalesced;
    shared->second->callbacks.push_back(std::move(callback));
    return;
  }
  auto call = std::make_shared<Call>();
  call->kind = kind;
  call->key = std::string(key);
  call->is_read = true;
  call->callbacks.push_back(std::move(callback));
  call->send = [name = call->key](KeyValueStore& store, ReadCallback done) {
    store.Read(name, std::move(done));
  };
  reads_.insert_or_assign({kind, call->key}, call);
  Enqueue(std::move(call));
}

void StoreGateway::CompareAndSwap(CallKind kind, std::string_view key, KeyVersion expected,
                                  std::string_view value, WriteCallback callback) {
  auto call = std::make_shared<Call>();
  call->kind = kind;
  call->key = std::string(key);
  call->callbacks.emplace_back([callback = std::move(callback)](Result<StoredValue> result) {
    if (result.has_error()) return callback(result.error());
    callback(result.value().version);
  });
  call->send = [name = call->key, expected, text = std::string(value)](KeyValueStore& store,
                                                                       const ReadCallback& done) {
    store.CompareAndSwap(name, expected, text, [done](Result<KeyVersion> version) {
      if (version.has_error()) return done(version.error());
      done(StoredValue{version.value(), {}});
    });
  };
  Enqueue(std::move(call));
}

void StoreGateway::Watch(CallKind kind, std::string_view key, KeyVersion after, Duration wait,
                         ReadCallback callback) {
  auto call = std::make_shared<Call>();
  call->kind = kind;
  call->key = std::string(key);
  call->wait = wait;
  call->callbacks.push_back(std::move(callback));
  call->send = [name = call->key, after, wait](KeyValueStore& store, ReadCallback done) {
    store.Watch(name, after, wait, std::move(done));
  };
  Enqueue(std::move(call));
}

void StoreGateway::Lease(CallKind kind, std::string_view key, std::string_view value,
                         Duration time_to_live, WriteCallback callback) {
  auto call = std::make_shared<Call>();
  call->kind = kind;
  call->key = std::string(key);
  call->callbacks.emplace_back([callback = std::move(callback)](Result<StoredValue> result) {
    if (result.has_error()) return callback(result.error());
    callback(result.value().version);
  });
  call->send = [name = call->key, text = std::string(value), time_to_live](
                   KeyValueStore& store, const ReadCallback& done) {
    store.Lease(name, text, time_to_live, [done](Result<KeyVersion> version) {
      if (version.has_error()) return done(version.error());
      done(StoredValue{version.value(), {}});
    });
  };
  Enqueue(std::move(call));
}

void StoreGateway::Enqueue(CallPtr call) {
  call->queued = clock_.Now();
  // The newest call gives way, as in every bounded queue; it ends at the next Tick.
  if (queued_ >= options_.max_queued) call->queued -= options_.max_queue_time;
  ++queued_;
  queues_[IndexOf(call->kind)].push_back(std::move(call));
}

void StoreGateway::Refill(CallKind kind, TimePoint now) {
  Bucket& bucket = buckets_[IndexOf(kind)];
  const CallBudget& budget = options_.budgets[IndexOf(kind)];
  bucket.tokens =
      std::min(budget.burst, bucket.tokens + ToSeconds(now - bucket.updated) * budget.per_second);
  bucket.updated = now;
}

bool StoreGateway::TakeToken(CallKind kind, TimePoint now) {
  Refill(kind, now);
  // Sums of fractions may end just below a whole token.
  constexpr double kNearlyOne = 1 - 1e-9;
  Bucket& bucket = buckets_[IndexOf(kind)];
  if (bucket.tokens < kNearlyOne) return false;
  bucket.tokens -= 1;
  return true;
}

void StoreGateway::Tick() {
  const TimePoint now = clock_.Now();
  EndOverdue(now);
  RejectExpired(now);
  for (std::size_t i = 0; i < kCallKindCount; ++i) {
    auto& queue = queues_[i];
    while (!queue.empty()) {
      const bool open = open_until_.has_value();
      if (open && (trial_running_ || now < *open_until_)) return;
      if (!TakeToken(static_cast<CallKind>(i), now)) break;
      CallPtr call = queue.front();
      queue.pop_front();
      --queued_;
      call->is_trial = open;
      trial_running_ = open;
      Start(call);
    }
  }
}

void StoreGateway::Start(const CallPtr& call) {
  call->started = clock_.Now();
  ++Count(call->kind).started;
  running_.push_back(call);
  call->send(store_, [self = self_, call](Result<StoredValue> result) {
    if (*self == nullptr || call->ended) return;
    if (result.has_error()) {
      (*self)->End(call, result.error(), 0, {});
    } else {
      (*self)->End(call, {}, result.value().version, result.value().value);
    }
  });
}

void StoreGateway::End(const CallPtr& call, std::error_code error, KeyVersion version,
                       const std::string& value) {
  call->ended = true;
  std::erase(running_, call);
  if (call->is_trial) trial_running_ = false;
  if (const auto it = reads_.find({call->kind, call->key});
      it != reads_.end() && it->second == call) {
    reads_.erase(it);
  }
  CallCounters& counters = Count(call->kind);
  if (error == Errc::kTimeout || error == Errc::kUnavailable) {
    ++counters.failed;
    NoteFailure(clock_.Now());
  } else {
    ++(error == Errc::kConflict            ? counters.conflicts
       : error == Errc::kResourceExhausted ? counters.refused
                                           : counters.succeeded);
    // The store is up, but overloaded: spend no saved-up budget on it.
    if (error == Errc::kResourceExhausted) buckets_[IndexOf(call->kind)].tokens = 0;
    NoteSuccess(clock_.Now());
  }
  for (const ReadCallback& callback : call->callbacks) {
    if (error) {
      callback(error);
    } else {
      callback(StoredValue{version, value});
    }
  }
}

void StoreGateway::Reject(const CallPtr& call) {
  if (const auto it = reads_.find({call->kind, call->key});
      it != reads_.end() && it->second == call) {
    reads_.erase(it);
  }
  call->ended = true;
  Count(call->kind).rejected += call->callbacks.size();
  for (const ReadCallback& callback : call->callbacks) callback(Errc::kUnavailable);
}

void StoreGateway::RejectExpired(TimePoint now) {
  // While the circuit is open and its trial is not due, no call can be served in time.
  const bool reject_all = open_until_.has_value() && (now < *open_until_ || trial_running_);
  std::vector<CallPtr> rejected;
  for (auto& queue : queues_) {
    std::erase_if(queue, [&](const CallPtr& call) {
      if (!reject_all && now - call->queued < options_.max_queue_time) return false;
      rejected.push_back(call);
      return true;
    });
  }
  queued_ -= rejected.size();
  // Callbacks may enqueue calls, so they run when the queues are consistent.
  for (const CallPtr& call : rejected) Reject(call);
}

void StoreGateway::EndOverdue(TimePoint now) {
  std::vector<CallPtr> overdue;
  for (const CallPtr& call : running_) {
    if (now - call->started >= options_.time_limit + call->wait) overdue.push_back(call);
  }
  for (const CallPtr& call : overdue) {
    if (!call->ended) End(call, Errc::kTimeout, 0, {});
  }
}

void StoreGateway::NoteFailure(TimePoint now) {
  ++failures_;
  if (!open_until_ && failures_ < options_.failures_to_open) return;
  if (open_until_ && now < *open_until_) return;  // a call from before the circuit opened
  const double factor = std::pow(2.0, std::min(openings_, 16));
  ++openings_;
  const double back_off =
      std::min(ToSeconds(options_.first_back_off) * factor, ToSeconds(options_.max_back_off));
  // Between half and one and a half times the back-off, so that daemons spread out.
  open_until_ = now + FromSeconds(back_off * (0.5 + random_.Uniform()));
}

void StoreGateway::NoteSuccess(TimePoint now) {
  failures_ = 0;
  openings_ = 0;
  if (!open_until_) return;
  open_until_.reset();
  // Start without saved-up budget: daemons that come back together must not spend their bursts
  // together.
  for (Bucket& bucket : buckets_) bucket = {0, now};
}

std::optional<TimePoint> StoreGateway::NextWake() const {
  std::optional<TimePoint> wake;
  const auto consider = [&](TimePoint time) {
    if (!wake || time < *wake) wake = time;
  };
  for (const CallPtr& call : running_) consider(call->started + options_.time_limit + call->wait);
  const TimePoint now = clock_.Now();
  for (std::size_t i = 0; i < kCallKindCount; ++i) {
    if (queues_[i].empty()) continue;
    const double missing = std::max(0.0, 1 - buckets_[i].tokens) / options_.budgets[i].per_second;
    consider(std::max(now, buckets_[i].updated + FromSeconds(missing)));
    consider(std::max(now, queues_[i].front()->queued + options_.max_queue_time));
    if (open_until_) consider(now);
  }
  return wake;
}

void BudgetedStore::Read(std::string_view key, ReadCallback callback) {
  gateway_.Read(kinds_.read, key, std::move(callback));
}

void BudgetedStore::CompareAndSwap(std::string_view key, KeyVersion expected,
                                   std::string_view value, WriteCallback callback) {
  gateway_.CompareAndSwap(kinds_.write, key, expected, value, std::move(callback));
}

void BudgetedStore::Watch(std::string_view key, KeyVersion after, Duration wait,
                          ReadCallback callback) {
  gateway_.Watch(kinds_.watch, key, after, wait, std::move(callback));
}

void BudgetedStore::Lease(std::string_view key, std::string_view value, Duration time_to_live,
                          WriteCallback callback) {
  gateway_.Lease(kinds_.write, key, value, time_to_live, std::move(callback));
}

}  // namespace verbenaridge::store
