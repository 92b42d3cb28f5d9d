#include "verbenaridge/claims/claim_writer.h"

#include <algorithm>

#include "verbenaridge/claims/claim_bucket.h"

namespace verbenaridge::claims {

ClaimWriter::ClaimWriter(const ClaimWriterOptions& options, const Clock& clock,
                         RandomSource& random, const HolderDirectory& holders)
    : options_(options), clock_(clock), random_(random), holders_(holders) {}

ClaimWriter::~ClaimWriter() = default;

ClaimBucket& ClaimWriter::BucketFor(const ClaimKey& key) {
  const BucketIndex index = BucketOf(key);
  std::unique_ptr<ClaimBucket>& bucket = buckets_[index];
  if (!bucket) {
    bucket =
        std::make_unique<ClaimBucket>(index, options_, clock_, random_, holders_, next_operation_);
  }
  return *bucket;
}

WriterActions ClaimWriter::OnClaim(CallTag tag, const ClaimRequest& request) {
  WriterActions actions;
  BucketFor(request.key).Add(tag, request.key, request, actions);
  return actions;
}

WriterActions ClaimWriter::OnOutcome(CallTag tag, const OutcomeRequest& request) {
  WriterActions actions;
  BucketFor(request.key).Add(tag, request.key, request, actions);
  return actions;
}

WriterActions ClaimWriter::OnLookUp(CallTag tag, const ClaimKey& key) {
  WriterActions actions;
  BucketFor(key).Add(tag, key, ClaimBucket::LookUp{}, actions);
  return actions;
}

WriterActions ClaimWriter::OnRead(BucketIndex bucket, OperationId operation,
                                  Result<VersionedBucket> reply) {
  WriterActions actions;
  const auto found = buckets_.find(bucket);
  if (found != buckets_.end()) found->second->OnRead(operation, std::move(reply), actions);
  return actions;
}

WriterActions ClaimWriter::OnWrite(BucketIndex bucket, OperationId operation,
                                   Result<std::uint64_t> reply) {
  WriterActions actions;
  const auto found = buckets_.find(bucket);
  if (found != buckets_.end()) found->second->OnWrite(operation, reply, actions);
  return actions;
}

WriterActions ClaimWriter::OnTimer() {
  WriterActions actions;
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    it->second->Step(actions);
    it = it->second->idle() ? buckets_.erase(it) : std::next(it);
  }
  return actions;
}

std::optional<TimePoint> ClaimWriter::next_wake() const {
  std::optional<TimePoint> earliest;
  for (const auto& [index, bucket] : buckets_) {
    const TimePoint wake = bucket->next_wake();
    if (!earliest || wake < *earliest) earliest = wake;
  }
  return earliest;
}

}  // namespace verbenaridge::claims
