#include "verbenaridge/claims/claim_types.h"

#include "verbenaridge/base/hash.h"

namespace verbenaridge::claims {

BucketIndex BucketOf(const ClaimKey& key) {
  const Digest digest =
      HashOf({key.client_account.value(), key.service.value(), key.operation, key.idempotency_key});
  return static_cast<BucketIndex>(digest % kBucketCount);
}

std::size_t EncodedBytesBound(const ClaimKey& key, const ClaimRecord& record) {
  // 13 fields and two array headers of at most 9 bytes each, without the text.
  constexpr std::size_t kFramingBytes = 160;
  return kFramingBytes + key.client_account.value().size() + key.service.value().size() +
         key.operation.size() + key.idempotency_key.size() + record.holder.host.value().size() +
         record.result.content_type.size() + record.result.body.size();
}

std::size_t EncodedBytesBound(const BucketRecord& bucket) {
  std::size_t bytes = 32;
  for (const auto& [key, record] : bucket.records) bytes += EncodedBytesBound(key, record);
  return bytes;
}

std::string_view VerdictName(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kClaimed:
      return "claimed";
    case ClaimVerdict::kRecorded:
      return "recorded";
    case ClaimVerdict::kInProgress:
      return "in_progress";
    case ClaimVerdict::kUnknown:
      return "unknown";
    case ClaimVerdict::kKeyReused:
      return "key_reused";
    case ClaimVerdict::kExpired:
      return "expired";
    case ClaimVerdict::kUnavailable:
      return "unavailable";
    case ClaimVerdict::kFull:
      return "full";
    case ClaimVerdict::kNotFound:
      return "not_found";
  }
  return "unknown";
}

}  // namespace verbenaridge::claims
