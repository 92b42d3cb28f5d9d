#include "verbenaridge/claims/claim_writer.h"

#include <doctest/doctest.h>

#include <functional>

namespace verbenaridge::claims {
namespace {

using std::chrono::milliseconds;

const ClaimKey kKey{ClientAccountId("account"), ServiceId("orders"), "fill", "key"};
const HolderId kOther{HostId("host-2"), 1, 1};

struct GoneHolders final : HolderDirectory {
  bool MayBeRunning(const HolderId& holder) const override { return holder.incarnation > 1; }
};

ClaimRecord RecordOf(HolderId holder, WallTime expiry, RecordState state) {
  return {.fingerprint = 1,
          .holder = std::move(holder),
          .expiry = expiry,
          .state = state,
          .result = {.status = 200, .content_type = {}, .body = "done"}};
}

// Guards against a wrong answer of the writer in cases that the fuzz test reaches rarely or never:
// full buckets, expiries out of range, and each state of a found record.
TEST_CASE("answers to one claim") {
  struct Row {
    const char* name;
    ClaimVerdict verdict;
    Duration answered_after{};
    std::function<void(VersionedBucket& stored, WallTime expiry)> prepare = nullptr;
    Duration expiry = std::chrono::minutes(1);
    bool store_answers = true;
    bool write_reply_lost = false;
  };
  const auto with = [](const HolderId& holder, RecordState state, Digest fingerprint = 1) {
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
       .answered_after = milliseconds(500),
       .write_reply_lost = true},
      {.name = "store down",
       .verdict = ClaimVerdict::kUnavailable,
       .answered_after = milliseconds(900),
       .store_answers = false},
      {.name = "bucket full", .verdict = ClaimVerdict::kFull, .prepare = full},
      {.name = "expired", .verdict = ClaimVerdict::kExpired, .expiry = milliseconds(-1)},
      {.name = "too far ahead",
       .verdict = ClaimVerdict::kExpired,
       .expiry = kMaxExpiryAhead + std::chrono::seconds(6)},
      {.name = "done",
       .verdict = ClaimVerdict::kRecorded,
       .prepare = with(kOther, RecordState::kDone)},
      {.name = "other fingerprint",
       .verdict = ClaimVerdict::kKeyReused,
       .prepare = with(kOther, RecordState::kDone, 2)},
      {.name = "running",
       .verdict = ClaimVerdict::kInProgress,
       .prepare = with(running, RecordState::kClaimed)},
      {.name = "holder gone",
       .verdict = ClaimVerdict::kUnknown,
       .prepare = with(kOther, RecordState::kClaimed)},
      {.name = "fate unknown",
       .verdict = ClaimVerdict::kUnknown,
       .prepare = with(running, RecordState::kUnknown)},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      ManualClock clock;
      SeededRandom random(1);
      const GoneHolders holders;
      ClaimWriter book({}, clock, random, holders);
      const WallTime expiry = clock.WallNow() + row.expiry;
      VersionedBucket stored;
      if (row.prepare) row.prepare(stored, expiry);
      std::optional<ClaimVerdict> verdict;
      std::function<void(const WriterActions&)> execute = [&](const WriterActions& actions) {
        for (const WriterAction& action : actions) {
          if (const auto* send = std::get_if<SendReply>(&action)) {
            verdict = send->reply.verdict;
          } else if (const auto* read = std::get_if<ReadBucket>(&action); read != nullptr) {
            if (row.store_answers) execute(book.OnRead(read->bucket, read->operation, stored));
          } else if (const auto& write = std::get<WriteBucket>(action); row.store_answers) {
            stored = {stored.version + 1, write.value};
            if (row.write_reply_lost) continue;
            execute(book.OnWrite(write.bucket, write.operation, stored.version));
          }
        }
      };
      const TimePoint start = clock.Now();
      execute(book.OnClaim(1, {kKey, 1, {HostId("host-1"), 1, 1}, expiry}));
      while (!verdict && clock.Now() - start < std::chrono::seconds(2)) {
        clock.Advance(milliseconds(10));
        execute(book.OnTimer());
      }
      REQUIRE(verdict);
      CHECK(VerdictName(*verdict) == VerdictName(row.verdict));
      // A failed read is repeated after a back-off of at most 50 ms.
      CHECK(clock.Now() - start >= row.answered_after);
      CHECK(clock.Now() - start <= row.answered_after + milliseconds(60));
    }
  }
}

}  // namespace
}  // namespace verbenaridge::claims
