// The platform's key-value store: compare-and-swap, leases and watches.
//
//   store.Read("plans/current", [](Result<store::StoredValue> value) { ... });
#ifndef VERBENARIDGE_STORE_KEY_VALUE_STORE_H_
#define VERBENARIDGE_STORE_KEY_VALUE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/result.h"

namespace verbenaridge::store {

// Version of one key: 0 means that the key does not exist.
using KeyVersion = std::uint64_t;

inline constexpr std::size_t kMaxValueBytes = 1'000'000;

struct StoredValue {
  KeyVersion version = 0;
  std::string value;
};

using ReadCallback = std::function<void(Result<StoredValue>)>;
using WriteCallback = std::function<void(Result<KeyVersion>)>;

// Used from the thread of its event loop alone; callbacks run there, never from within a call.
// Errors: kConflict (the version did not match, certainly not written), kTimeout and kUnavailable
// (a write may or may not have taken effect), kResourceExhausted (refused by the rate limit,
// certainly not written), kTooLarge, kNotFound is not an error: a missing key reads as version 0.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  virtual void Read(std::string_view key, ReadCallback callback) = 0;

  // Writes if the key's version equals `expected` (0: the key must not exist).
  virtual void CompareAndSwap(std::string_view key, KeyVersion expected, std::string_view value,
                              WriteCallback callback) = 0;

  // Answers once, when the key's version is above `after` or `wait` has passed (then with the
  // unchanged version and an empty value).
  virtual void Watch(std::string_view key, KeyVersion after, Duration wait,
                     ReadCallback callback) = 0;

  // Writes a key that disappears unless renewed within `time_to_live`.
  virtual void Lease(std::string_view key, std::string_view value, Duration time_to_live,
                     WriteCallback callback) = 0;
};

}  // namespace verbenaridge::store

#endif  // VERBENARIDGE_STORE_KEY_VALUE_STORE_H_
