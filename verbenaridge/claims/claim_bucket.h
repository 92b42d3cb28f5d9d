// One bucket of the claim writer: its copy of the value, the calls that wait, and the one store
// operation in flight. Used by ClaimWriter only.
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

  // Answers what can be answered, and starts the next store operation if one is due.
  void Step(WriterActions& actions);

  TimePoint next_wake() const;
  bool idle() const;

 private:
  struct Pending {
    CallTag tag = 0;
    ClaimKey key;
    Call call;
    OperationId arrival = 0;  // store operations from this number on began after the call came
    TimePoint answer_by{};
    bool written = false;  // part of a write that was started
  };

  struct Operation {
    OperationId id = 0;
    bool write = false;
    TimePoint started{};
    VersionedBucket value;  // of a write
  };

  // What one call needs next.
  enum class Need : std::uint8_t { kNothing, kRead, kWrite };

  // The value as of a time after `operation` began.
  struct Cache {
    VersionedBucket bucket;
    OperationId operation = 0;
    TimePoint arrived{};
  };

  bool Fresh(const Pending& pending) const {
    return cache_ && cache_->operation >= pending.arrival;
  }
  const ClaimRecord* Find(const ClaimKey& key) const;

  Need Resolve(Pending& pending, WriterActions& actions);
  Need ResolveClaim(const Pending& pending, const ClaimRequest& request, WriterActions& actions);
  Need ResolveOutcome(const Pending& pending, const OutcomeRequest& request,
                      WriterActions& actions);
  Need ResolveLookUp(const Pending& pending, WriterActions& actions);
  Need AnswerFromOther(const Pending& pending, const ClaimRecord& record, WriterActions& actions);

  void Answer(const Pending& pending, ClaimVerdict verdict, WriterActions& actions,
              const ClaimResult* result = nullptr);
  void GiveUpLate(WriterActions& actions);
  void Abandon(const HolderId& holder, WallTime expiry);
  bool HoldsAbandoned() const;
  void TimeOutOperation();
  void FailOperation();
  bool NeedsReadBeforeWrite(TimePoint now) const;
  void StartRead(WriterActions& actions);
  void StartWrite(WriterActions& actions);
  void ApplyClaim(Pending& pending, const ClaimRequest& request, BucketRecord& value,
                  std::size_t& bytes);
  void ApplyOutcome(Pending& pending, const OutcomeRequest& request, BucketRecord& value,
                    std::size_t& bytes);

  const BucketIndex index_;
  const ClaimWriterOptions& options_;
  const Clock& clock_;
  RandomSource& random_;
  const HolderDirectory& holders_;
  OperationId& next_operation_;

  std::deque<Pending> pending_;
  std::optional<Cache> cache_;
  std::optional<Operation> operation_;
  // Holders that were told "unavailable" although their record may be written, with the time at
  // which the record goes anyway. They never dispatch, so their records are removed when seen.
  std::map<HolderId, WallTime> abandoned_;
  std::optional<TimePoint> recheck_at_;  // reads the bucket to find abandoned records
  TimePoint next_write_at_{};
  TimePoint contended_until_{};  // another writer changed the bucket lately
  TimePoint next_read_at_{};
  std::optional<TimePoint> due_;  // of the next operation, if one is needed and not in flight
  TimePoint last_used_{};
  TimePoint last_step_{};
  int failures_ = 0;  // store operations in a row
};

}  // namespace verbenaridge::claims

#endif  // VERBENARIDGE_CLAIMS_CLAIM_BUCKET_H_
