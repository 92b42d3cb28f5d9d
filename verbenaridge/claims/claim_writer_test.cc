#include "verbenaridge/claims/claim_writer.h"

#include <doctest/doctest.h>

#include <functional>

namespace verbenaridge::claims {
namespace {

using std::chrono::milliseconds;

const ClaimKey kKey{ClientAccountId("account"), ServiceId("orders"), "fill", "key"};
const HolderId kOther{HostId("host-2"), 1, 1};

struct StoppedFirstIncarnations final : HolderDirectory {
  bool MayBeRunning(const HolderId& holder) const override { return holder.incarnation > 1; }
};

ClaimRecord RecordOf(HolderId holder, WallTime expiry, RecordState state) {
  return {.fingerprint = 1,
          .holder = std::move(holder),
          .expiry = expiry,
          .state = state,
          .result = {.status = 200, .content_type = {}, .body = "done"}};
}

// Guards against a wrong verdict in cases that the fuzz test reaches rarely or never: full buckets,
// expiries out of range, and each state of a record that is found.
TEST_CASE("each state of the bucket and the store leads to its verdict on a claim") {
  struct Row {
    const char* name;
    ClaimVerdict verdict;
    Duration replied_after{};
    std::function<void(VersionedBucket& stored, WallTime expiry)> prepare = nullptr;
    Duration expiry = std::chrono::minutes(1);
    bool store_available = true;
    bool write_reply_lost = false;
  };
  const auto with_record = [](const HolderId& holder, RecordState state, Digest fingerprint = 1) {
    return [=](VersionedBucket& stored, WallTime expiry) {
      stored.version = 5;
      stored.value.records[kKey] = RecordOf(holder, expiry, state);
      stored.value.records[kKey].fingerprint = fingerprint;
    };
  };
  const auto full = [](VersionedBucket& stored, WallTime expiry) {
    stored.version = 5;
    for (int i = 0; EncodedBytesBound(stored.value) < 700'000; ++i) {
      ClaimRecord record = RecordOf(kOther, expiry, RecordState::kDone);
      record.result.body.assign(10'000, 'x');
      stored.value.records[{ClientAccountId("a"), ServiceId("s"), "o", std::to_string(i)}] = record;
    }
  };
  const HolderId running{HostId("host-2"), 2, 1};
  const Row rows[] = {
      {.name = "new key", .verdict = ClaimVerdict::kClaimed},
      {.name = "reply lost after the write",
       .verdict = ClaimVerdict::kClaimed,
       .replied_after = milliseconds(500),
       .write_reply_lost = true},
      {.name = "store unavailable",
       .verdict = ClaimVerdict::kUnavailable,
       .replied_after = milliseconds(900),
       .store_available = false},
      {.name = "bucket full", .verdict = ClaimVerdict::kFull, .prepare = full},
      {.name = "expiry in the past", .verdict = ClaimVerdict::kExpired, .expiry = milliseconds(-1)},
      {.name = "expiry too far ahead",
       .verdict = ClaimVerdict::kExpired,
       .expiry = kMaxExpiryAhead + std::chrono::seconds(6)},
      {.name = "result recorded",
       .verdict = ClaimVerdict::kRecorded,
       .prepare = with_record(kOther, RecordState::kDone)},
      {.name = "different fingerprint",
       .verdict = ClaimVerdict::kKeyReused,
       .prepare = with_record(kOther, RecordState::kDone, 2)},
      {.name = "holder running",
       .verdict = ClaimVerdict::kInProgress,
       .prepare = with_record(running, RecordState::kClaimed)},
      {.name = "holder stopped",
       .verdict = ClaimVerdict::kUnknown,
       .prepare = with_record(kOther, RecordState::kClaimed)},
      {.name = "outcome unknown",
       .verdict = ClaimVerdict::kUnknown,
       .prepare = with_record(running, RecordState::kUnknown)},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      ManualClock clock;
      SeededRandom random(1);
      const StoppedFirstIncarnations holders;
      ClaimWriter writer({}, clock, random, holders);
      const WallTime expiry = clock.WallNow() + row.expiry;
      VersionedBucket stored;
      if (row.prepare) row.prepare(stored, expiry);
      std::optional<ClaimVerdict> verdict;
      std::function<void(const WriterActions&)> execute = [&](const WriterActions& actions) {
        for (const WriterAction& action : actions) {
          if (const auto* send = std::get_if<SendReply>(&action)) {
            verdict = send->reply.verdict;
          } else if (const auto* read = std::get_if<ReadBucket>(&action); read != nullptr) {
            if (row.store_available) execute(writer.OnRead(read->bucket, read->operation, stored));
          } else if (const auto& write = std::get<WriteBucket>(action); row.store_available) {
            stored = {stored.version + 1, write.value};
            if (row.write_reply_lost) continue;
            execute(writer.OnWrite(write.bucket, write.operation, stored.version));
          }
        }
      };
      const TimePoint start = clock.Now();
      execute(writer.OnClaim(1, {kKey, 1, {HostId("host-1"), 1, 1}, expiry}));
      while (!verdict && clock.Now() - start < std::chrono::seconds(2)) {
        clock.Advance(milliseconds(10));
        execute(writer.OnTimer());
      }
      REQUIRE(verdict);
      CHECK(VerdictName(*verdict) == VerdictName(row.verdict));
      // The backoff before a failed read is repeated is at most 50 ms.
      CHECK(clock.Now() - start >= row.replied_after);
      CHECK(clock.Now() - start <= row.replied_after + milliseconds(60));
    }
  }
}

}  // namespace
}  // namespace verbenaridge::claims
