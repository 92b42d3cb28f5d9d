// MessagePack encoding of the value of one claim bucket in the platform's store.
//
//   std::string value = EncodeBucket(bucket);
//   Result<claims::BucketRecord> decoded = DecodeBucket(value);
//
// The value is an array: format version, then one array per record in key order.
#ifndef VERBENARIDGE_CLAIM_CODEC_CLAIM_CODEC_H_
#define VERBENARIDGE_CLAIM_CODEC_CLAIM_CODEC_H_

#include <string>
#include <string_view>

#include "verbenaridge/base/result.h"
#include "verbenaridge/claims/claim_types.h"

namespace verbenaridge::claim_codec {

// The store key of a bucket, "claims/000" to "claims/127".
std::string StoreKey(claims::BucketIndex bucket);

std::string EncodeBucket(const claims::BucketRecord& bucket);

// An empty value decodes to an empty bucket. Errors: kMalformed for any value that EncodeBucket of
// this release does not write, including values with a later format version.
Result<claims::BucketRecord> DecodeBucket(std::string_view value);

}  // namespace verbenaridge::claim_codec

#endif  // VERBENARIDGE_CLAIM_CODEC_CLAIM_CODEC_H_
