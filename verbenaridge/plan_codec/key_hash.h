// Hashes of bearer keys. Plans contain only hashes, so that the keys cannot be read from the store.
//
//   std::string hash = plan_codec::HashBearerKey("example-key");  // 64 lower-case hex digits
#ifndef VERBENARIDGE_PLAN_CODEC_KEY_HASH_H_
#define VERBENARIDGE_PLAN_CODEC_KEY_HASH_H_

#include <string>
#include <string_view>

namespace verbenaridge::plan_codec {

// SHA-256 of `key` as 64 lower-case hex digits. Thread-safe.
std::string HashBearerKey(std::string_view key);

}  // namespace verbenaridge::plan_codec

#endif  // VERBENARIDGE_PLAN_CODEC_KEY_HASH_H_
