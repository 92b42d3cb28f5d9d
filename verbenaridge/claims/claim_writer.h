// The claim writer: batches claims and outcomes of each bucket into one compare-and-swap.
//
//   ClaimWriter book({}, clock, random, holders);
//   for (const WriterAction& action : book.OnClaim(tag, request)) Execute(action);
//   ... book.OnWrite(bucket, operation, version_or_error) ...
//
// Two books may believe that they write the same bucket. Safety rests on the store alone: a claim
// is answered `kClaimed` only after a write containing it succeeded, or after a read that began
// later showed the record with the asker's holder id.
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
  // 128 buckets / 400 ms = 320 writes/s, within the several hundred that the store serves.
  Duration write_interval = std::chrono::milliseconds(400);
  // Below the second within which the caller hears "not_run", with room for the inner call.
  Duration call_timeout = std::chrono::milliseconds(900);
  // A store call without a reply after this time is over; a write's fate is then unknown.
  Duration store_timeout = std::chrono::milliseconds(500);
  Duration max_backoff = std::chrono::seconds(5);
  // A bucket without work for this time drops its copy of the value.
  Duration cache_idle_time = std::chrono::seconds(10);
  // The store takes 1,000,000 bytes. Claims stop earlier than results, so that the results of
  // accepted claims still fit.
  std::size_t max_bytes_for_claims = 700'000;
  std::size_t max_bytes = 950'000;
  std::size_t max_pending_per_bucket = 2'000;
  std::size_t max_abandoned_per_bucket = 1'000;
};

// What membership knows of a holder's process.
class HolderDirectory {
 public:
  virtual ~HolderDirectory() = default;

  // False only if that incarnation of the host is certainly not running any more. It decides
  // between the answers `kInProgress` and `kUnknown`; safety does not depend on it.
  virtual bool MayBeRunning(const HolderId& holder) const = 0;
};

// Chosen by the daemon to match answers with calls; unique within one book.
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

// Not thread-safe; lives on the control thread. Clock, random source and directory outlive it.
class ClaimWriter {
 public:
  ClaimWriter(const ClaimWriterOptions& options, const Clock& clock, RandomSource& random,
              const HolderDirectory& holders);
  ~ClaimWriter();

  // Each call is answered once with an SendReply, within `call_timeout`. The answers to
  // OnOutcome are kRecorded, kNotFound (both final) or kUnavailable (try again).
  WriterActions OnClaim(CallTag tag, const ClaimRequest& request);
  WriterActions OnOutcome(CallTag tag, const OutcomeRequest& request);
  // kRecorded, kInProgress, kUnknown, kNotFound or kUnavailable.
  WriterActions OnLookUp(CallTag tag, const ClaimKey& key);

  // Replies of the store. Errors: kConflict and kResourceExhausted mean certainly not written; any
  // other error of a write leaves its fate unknown. An undecodable value is kMalformed.
  WriterActions OnRead(BucketIndex bucket, OperationId operation, Result<VersionedBucket> reply);
  WriterActions OnWrite(BucketIndex bucket, OperationId operation, Result<std::uint64_t> reply);

  WriterActions OnTimer();
  std::optional<TimePoint> next_wake() const;

  // Buckets that hold a value, calls or unresolved claims in memory.
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
