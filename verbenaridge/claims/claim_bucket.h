// One bucket of the claim writer: the cached value, the pending calls, and the one store operation
// in flight. Used by ClaimWriter only.
#ifndef VERBENARIDGE_CLAIMS_CLAIM_BUCKET_H_
#define VERBENARIDGE_CLAIMS_CLAIM_BUCKET_H_

#include <deque>
#include <map>
#include <optional>
#include <variant>

#include "verbenaridge/claims/claim_writer.h"

namespace verbenaridge::claims {

class ClaimBucket {
 public:
  struct LookUp {};
  using Call = std::variant<ClaimRequest, OutcomeRequest, LookUp>;

  ClaimBucket(BucketIndex index, const ClaimWriterOptions& options, const Clock& clock,
              RandomSource& random, const HolderDirectory& holders, OperationId& next_operation);

  void Add(CallTag tag, const ClaimKey& key, Call call, WriterActions& actions);
  void OnRead(OperationId operation, Result<VersionedBucket> reply, WriterActions& actions);
  void OnWrite(OperationId operation, Result<std::uint64_t> reply, WriterActions& actions);

  // Replies to the calls that can be resolved, and starts the next store operation if one is due.
  void Step(WriterActions& actions);

  TimePoint next_wake() const;
  bool idle() const;

 private:
  struct PendingCall {
    CallTag tag = 0;
    ClaimKey key;
    Call call;
    OperationId first_operation = 0;  // id of the first store operation that begins after the call
    TimePoint deadline{};
    bool written = false;  // included in a write that was started
  };

  struct Operation {
    OperationId id = 0;
    bool write = false;
    TimePoint started{};
    VersionedBucket value;  // writes only
  };

  // The store operation that a call needs next.
  enum class Need : std::uint8_t { kNothing, kRead, kWrite };

  // The value of the bucket at some time after `operation` began.
  struct Cache {
    VersionedBucket bucket;
    OperationId operation = 0;
    TimePoint received{};
  };

  bool Fresh(const PendingCall& pending) const {
    return cache_ && cache_->operation >= pending.first_operation;
  }
  const ClaimRecord* Find(const ClaimKey& key) const;

  Need Resolve(PendingCall& pending, WriterActions& actions);
  Need ResolveClaim(const PendingCall& pending, const ClaimRequest& request,
                    WriterActions& actions);
  Need ResolveOutcome(const PendingCall& pending, const OutcomeRequest& request,
                      WriterActions& actions);
  Need ResolveLookUp(const PendingCall& pending, WriterActions& actions);
  Need ReplyFromRecord(const PendingCall& pending, const ClaimRecord& record,
                       WriterActions& actions);

  void Reply(const PendingCall& pending, ClaimVerdict verdict, WriterActions& actions,
             const ClaimResult* result = nullptr);
  void ExpireCalls(WriterActions& actions);
  void Abandon(const HolderId& holder, WallTime expiry);
  bool HasAbandonedRecords() const;
  void TimeOutOperation();
  void FailOperation();
  bool NeedsReadBeforeWrite(TimePoint now) const;
  void StartRead(WriterActions& actions);
  void StartWrite(WriterActions& actions);
  void ApplyClaim(PendingCall& pending, const ClaimRequest& request, BucketRecord& value,
                  std::size_t& bytes);
  void ApplyOutcome(PendingCall& pending, const OutcomeRequest& request, BucketRecord& value,
                    std::size_t& bytes);

  const BucketIndex index_;
  const ClaimWriterOptions& options_;
  const Clock& clock_;
  RandomSource& random_;
  const HolderDirectory& holders_;
  OperationId& next_operation_;

  std::deque<PendingCall> pending_;
  std::optional<Cache> cache_;
  std::optional<Operation> operation_;
  // Holders that got the reply "unavailable" although their record may be written, with the time at
  // which the record is removed in any case. They never dispatch, so their records are removed when
  // found.
  std::map<HolderId, WallTime> abandoned_;
  std::optional<TimePoint> recheck_at_;  // next read that looks for abandoned records
  TimePoint next_write_at_{};
  TimePoint contended_until_{};  // another writer changed the bucket recently
  TimePoint next_read_at_{};
  std::optional<TimePoint> due_;  // start of the next operation; null: none needed or one in flight
  TimePoint last_used_{};
  TimePoint last_step_{};
  int failures_ = 0;  // consecutive failed store operations
};

}  // namespace verbenaridge::claims

#endif  // VERBENARIDGE_CLAIMS_CLAIM_BUCKET_H_
