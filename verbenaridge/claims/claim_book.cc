#include "verbenaridge/claims/claim_book.h"

#include <algorithm>

#include "verbenaridge/claims/claim_bucket.h"

namespace verbenaridge::claims {

ClaimBook::ClaimBook(const ClaimBookOptions& options, const Clock& clock, RandomSource& random,
                     const HolderDirectory& holders)
    : options_(options), clock_(clock), random_(random), holders_(holders) {}

ClaimBook::~ClaimBook() = default;

ClaimBucket& ClaimBook::BucketFor(const ClaimKey& key) {
  const BucketIndex index = BucketOf(key);
  std::unique_ptr<ClaimBucket>& bucket = buckets_[index];
  if (!bucket) {
    bucket =
        std::make_unique<ClaimBucket>(index, options_, clock_, random_, holders_, next_operation_);
  }
  return *bucket;
}

BookActions ClaimBook::OnClaim(CallTag tag, const ClaimRequest& request) {
  BookActions actions;
  BucketFor(request.key).Add(tag, request.key, request, actions);
  return actions;
}

BookActions ClaimBook::OnOutcome(CallTag tag, const OutcomeRequest& request) {
  BookActions actions;
  BucketFor(request.key).Add(tag, request.key, request, actions);
  return actions;
}

BookActions ClaimBook::OnLookUp(CallTag tag, const ClaimKey& key) {
  BookActions actions;
  BucketFor(key).Add(tag, key, ClaimBucket::LookUp{}, actions);
  return actions;
}

BookActions ClaimBook::OnRead(BucketIndex bucket, OperationId operation,
                              Result<VersionedBucket> reply) {
  BookActions actions;
  const auto found = buckets_.find(bucket);
  if (found != buckets_.end()) found->second->OnRead(operation, std::move(reply), actions);
  return actions;
}

BookActions ClaimBook::OnWrite(BucketIndex bucket, OperationId operation,
                               Result<std::uint64_t> reply) {
  BookActions actions;
  const auto found = buckets_.find(bucket);
  if (found != buckets_.end()) found->second->OnWrite(operation, reply, actions);
  return actions;
}

BookActions ClaimBook::OnTime() {
  BookActions actions;
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    it->second->Step(actions);
    it = it->second->idle() ? buckets_.erase(it) : std::next(it);
  }
  return actions;
}

std::optional<TimePoint> ClaimBook::next_wake() const {
  std::optional<TimePoint> earliest;
  for (const auto& [index, bucket] : buckets_) {
    const TimePoint wake = bucket->next_wake();
    if (!earliest || wake < *earliest) earliest = wake;
  }
  return earliest;
}

}  // namespace verbenaridge::claims
