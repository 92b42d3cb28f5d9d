// Values of the at-most-once protocol: keys, records, requests and replies.
//
// A claim record in the platform's store permits exactly one holder to dispatch a call that must
// not be executed twice. The result is added to the record later, and repeats of the call get that
// result.
#ifndef VERBENARIDGE_CLAIMS_CLAIM_TYPES_H_
#define VERBENARIDGE_CLAIMS_CLAIM_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/holder.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::claims {

inline constexpr std::uint32_t kBucketCount = 128;

// The wall clock of every host differs from the true time by less than half of this.
inline constexpr Duration kClockSkewBound = std::chrono::seconds(5);

inline constexpr Duration kMaxExpiryAhead = std::chrono::minutes(10);

// A result with a longer body is recorded without its body.
inline constexpr std::size_t kMaxResultBytes = 16'384;

using BucketIndex = std::uint32_t;

struct ClaimKey {
  ClientAccountId client_account;
  ServiceId service;
  std::string operation;
  std::string idempotency_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

BucketIndex BucketOf(const ClaimKey& key);

// Identifies one claim request of one ingress host. Never reuse an id: a writer that replied
// "unavailable" removes the record with this id when it finds it later.
using verbenaridge::HolderId;

struct ClaimResult {
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_omitted = false;  // the body was too large for the record

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

enum class RecordState : std::uint8_t {
  kClaimed = 0,
  kDone = 1,     // ran; `result` is set
  kUnknown = 2,  // dispatched, and the holder does not know whether it ran
};

struct ClaimRecord {
  Digest fingerprint = 0;  // digest of the body and the expiry
  HolderId holder;
  WallTime expiry{};
  RecordState state = RecordState::kClaimed;
  ClaimResult result;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

// The value of one bucket in the store.
struct BucketRecord {
  std::map<ClaimKey, ClaimRecord> records;

  friend bool operator==(const BucketRecord&, const BucketRecord&) = default;
};

// Upper bounds of the encoded size in bytes; claim_codec must not exceed them.
std::size_t EncodedBytesBound(const ClaimKey& key, const ClaimRecord& record);
std::size_t EncodedBytesBound(const BucketRecord& bucket);

struct ClaimRequest {
  ClaimKey key;
  Digest fingerprint = 0;
  HolderId holder;
  WallTime expiry{};
};

struct OutcomeRequest {
  ClaimKey key;
  HolderId holder;
  // kNotRun removes the claim; allowed only if the call was certainly not executed.
  Outcome outcome = Outcome::kUnknown;
  WallTime expiry{};
  ClaimResult result;
};

enum class ClaimVerdict : std::uint8_t {
  kClaimed,      // this holder may dispatch
  kRecorded,     // ran before; the reply has the result (for an outcome: it is stored)
  kInProgress,   // claimed by another holder that may still be running it
  kUnknown,      // claimed; unknown whether it ran
  kKeyReused,    // same key, another fingerprint
  kExpired,      // the key's expiry has passed or is too far ahead
  kUnavailable,  // the store did not reply in time; the requester must not dispatch
  kFull,         // not claimed: the bucket has reached its size limit
  kNotFound,     // look-up: no record; outcome: no claim to complete or to release
};

std::string_view VerdictName(ClaimVerdict verdict);

struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  ClaimResult result;
};

}  // namespace verbenaridge::claims

#endif  // VERBENARIDGE_CLAIMS_CLAIM_TYPES_H_
