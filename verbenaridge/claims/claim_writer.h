// Writes claims and their outcomes to the store. The changes to one bucket are batched into one
// compare-and-swap.
//
//   ClaimWriter writer({}, clock, random, holders);
//   for (const WriterAction& action : writer.OnClaim(tag, request)) Execute(action);
//   ... writer.OnWrite(bucket, operation, version_or_error) ...
//
// Two writers may both believe that they own a bucket. Safety depends on the store alone: the reply
// to a claim is `kClaimed` only after a write that contains the claim succeeded, or after a read
// that began later returned the record with the requester's holder id.
#ifndef VERBENARIDGE_CLAIMS_CLAIM_WRITER_H_
#define VERBENARIDGE_CLAIMS_CLAIM_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/claims/claim_types.h"

namespace verbenaridge::claims {

struct ClaimWriterOptions {
  // 128 buckets / 400 ms = 320 writes/s; the store serves several hundred.
  Duration write_interval = std::chrono::milliseconds(400);
  // The caller must receive "not_run" within 1 s; the rest is for the call between hosts.
  Duration call_timeout = std::chrono::milliseconds(900);
  // A store call without a reply fails after this time. It is then unknown whether a write took
  // effect.
  Duration store_timeout = std::chrono::milliseconds(500);
  Duration max_backoff = std::chrono::seconds(5);
  // A bucket without calls for this time drops its cached value.
  Duration cache_idle_time = std::chrono::seconds(10);
  // The store accepts values of up to 1,000,000 bytes. The limit for new claims is lower than the
  // limit for results, so that the results of accepted claims still fit.
  std::size_t max_bytes_for_claims = 700'000;
  std::size_t max_bytes = 950'000;
  std::size_t max_pending_per_bucket = 2'000;
  std::size_t max_abandoned_per_bucket = 1'000;
};

// What membership knows about the process of a holder.
class HolderDirectory {
 public:
  virtual ~HolderDirectory() = default;

  // Returns false only if that incarnation of the host has certainly stopped. The reply is
  // `kInProgress` or `kUnknown` accordingly; safety does not depend on it.
  virtual bool MayBeRunning(const HolderId& holder) const = 0;
};

// Chosen by the daemon to match replies with calls; unique within one writer.
using CallTag = std::uint64_t;
using OperationId = std::uint64_t;

struct ReadBucket {
  BucketIndex bucket = 0;
  OperationId operation = 0;
};
struct WriteBucket {
  BucketIndex bucket = 0;
  OperationId operation = 0;
  std::uint64_t expected_version = 0;  // 0: the key must not exist
  BucketRecord value;
};
struct SendReply {
  CallTag tag = 0;
  ClaimReply reply;
};

using WriterAction = std::variant<ReadBucket, WriteBucket, SendReply>;
using WriterActions = std::vector<WriterAction>;

struct VersionedBucket {
  std::uint64_t version = 0;  // 0: the key does not exist
  BucketRecord value;
};

class ClaimBucket;

// Not thread-safe; used on the control thread. Clock, random source and holders must outlive it.
class ClaimWriter {
 public:
  ClaimWriter(const ClaimWriterOptions& options, const Clock& clock, RandomSource& random,
              const HolderDirectory& holders);
  ~ClaimWriter();

  // Each call gets one SendReply, within `call_timeout`. The verdict for OnOutcome is kRecorded or
  // kNotFound (both final) or kUnavailable (try again).
  WriterActions OnClaim(CallTag tag, const ClaimRequest& request);
  WriterActions OnOutcome(CallTag tag, const OutcomeRequest& request);
  // The verdict is kRecorded, kInProgress, kUnknown, kNotFound or kUnavailable.
  WriterActions OnLookUp(CallTag tag, const ClaimKey& key);

  // Replies of the store. Errors: kConflict and kResourceExhausted mean that the value was
  // certainly not written. After any other error of a write it is unknown whether the write took
  // effect. Pass kMalformed for a value that cannot be decoded.
  WriterActions OnRead(BucketIndex bucket, OperationId operation, Result<VersionedBucket> reply);
  WriterActions OnWrite(BucketIndex bucket, OperationId operation, Result<std::uint64_t> reply);

  WriterActions OnTimer();
  std::optional<TimePoint> next_wake() const;

  // Buckets with a cached value, pending calls or abandoned claims.
  std::size_t active_buckets() const { return buckets_.size(); }

 private:
  ClaimBucket& BucketFor(const ClaimKey& key);

  ClaimWriterOptions options_;
  const Clock& clock_;
  RandomSource& random_;
  const HolderDirectory& holders_;
  OperationId next_operation_ = 1;
  std::map<BucketIndex, std::unique_ptr<ClaimBucket>> buckets_;
};

}  // namespace verbenaridge::claims

#endif  // VERBENARIDGE_CLAIMS_CLAIM_WRITER_H_
