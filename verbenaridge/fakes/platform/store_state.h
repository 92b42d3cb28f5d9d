// The state of the fake key-value store, apart from HTTP.
#ifndef VERBENARIDGE_FAKES_PLATFORM_STORE_STATE_H_
#define VERBENARIDGE_FAKES_PLATFORM_STORE_STATE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "verbenaridge/base/clock.h"

namespace verbenaridge::fakes {

struct StoredEntry {
  std::uint64_t version = 0;
  std::string value;
  std::optional<TimePoint> lease_end;
};

// Versions grow over all keys, so that a key that disappeared never gets an old version again.
class StoreState {
 public:
  // Null if the key does not exist or its lease ended.
  const StoredEntry* Find(std::string_view key, TimePoint now) const {
    const auto it = entries_.find(key);
    if (it == entries_.end()) return nullptr;
    if (it->second.lease_end && *it->second.lease_end <= now) return nullptr;
    return &it->second;
  }

  std::uint64_t VersionOf(std::string_view key, TimePoint now) const {
    const StoredEntry* entry = Find(key, now);
    return entry == nullptr ? 0 : entry->version;
  }

  std::uint64_t Put(std::string_view key, std::string value, std::optional<TimePoint> lease_end) {
    StoredEntry& entry = entries_[std::string(key)];
    entry = {++last_version_, std::move(value), lease_end};
    return entry.version;
  }

 private:
  std::map<std::string, StoredEntry, std::less<>> entries_;
  std::uint64_t last_version_ = 0;
};

// A limit of calls per second with a burst of a tenth of a second.
class RateLimit {
 public:
  bool Take(double per_second, TimePoint now) {
    const double burst = std::max(1.0, per_second / 10);
    tokens_ = std::min(burst, tokens_ + ToSeconds(now - updated_) * per_second);
    updated_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  TimePoint updated_{};
};

}  // namespace verbenaridge::fakes

#endif  // VERBENARIDGE_FAKES_PLATFORM_STORE_STATE_H_
