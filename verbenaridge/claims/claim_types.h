// Values of the at-most-once protocol: keys, records, requests and answers.
//
// A claim record in the platform's store says that one holder, and no other, may dispatch a call
// that may not be repeated. Its result is added later, so that a repeat is answered from it.
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

// Any two wall-clock readings of any two hosts differ from the true time by less than half of this.
inline constexpr Duration kClockSkewBound = std::chrono::seconds(5);

inline constexpr Duration kMaxExpiryAhead = std::chrono::minutes(10);

// Longer result bodies are recorded without the body.
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

// Names one ask of one ingress. Never used for a second ask: a writer that answered "unavailable"
// frees the record of this id when it finds it later.
using verbenaridge::HolderId;

struct ClaimResult {
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_omitted = false;  // too large for the record

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

enum class RecordState : std::uint8_t {
  kClaimed = 0,
  kDone = 1,     // ran; `result` is set
  kUnknown = 2,  // dispatched, and the holder does not know whether it ran
};

struct ClaimRecord {
  Digest fingerprint = 0;  // of the body and the expiry
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

// Upper bounds of the encoded size; claim_codec must stay below them.
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
  // kNotRun frees the claim, and is said only if the call was certainly not executed.
  Outcome outcome = Outcome::kUnknown;
  WallTime expiry{};
  ClaimResult result;
};

enum class ClaimVerdict : std::uint8_t {
  kClaimed,      // this holder may dispatch
  kRecorded,     // ran before; the result is in the answer (for an outcome: it is stored)
  kInProgress,   // claimed by another holder that may still be running it
  kUnknown,      // claimed, and nobody knows whether it ran
  kKeyReused,    // same key, another fingerprint
  kExpired,      // the key's expiry has passed or is too far ahead
  kUnavailable,  // the store did not answer in time; the asker must not dispatch
  kFull,         // the bucket holds as many records as its size permits; not claimed
  kNotFound,     // look-up: no record; outcome: nothing to store or to free
};

std::string_view VerdictName(ClaimVerdict verdict);

struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  ClaimResult result;
};

}  // namespace verbenaridge::claims

#endif  // VERBENARIDGE_CLAIMS_CLAIM_TYPES_H_
