#include "verbenaridge/claim_codec/claim_codec.h"

#include <doctest/doctest.h>

#include <limits>

namespace verbenaridge::claim_codec {
namespace {

using claims::BucketRecord;

BucketRecord Sample(std::size_t body_bytes, std::uint64_t number) {
  BucketRecord bucket;
  for (int i = 0; i < 3; ++i) {
    claims::ClaimRecord& record =
        bucket
            .records[{ClientAccountId("account"), ServiceId("orders"), "fill", std::to_string(i)}];
    record = {.fingerprint = number,
              .holder = {HostId("furano-01"), number, number},
              .expiry = WallTime(std::chrono::milliseconds(1'790'000'000'123)),
              .state = static_cast<claims::RecordState>(i),
              .result = {.status = -1, .content_type = "a/b", .body = {}, .body_omitted = i == 2}};
    if (i != 2) record.result.body.assign(body_bytes, '\xff');
  }
  return bucket;
}

// Guards against a field that is lost in the store, and against values above the store's size
// limit, which the writer would produce if EncodedBytesBound were too low.
TEST_CASE("buckets survive a round trip and stay within the size bound") {
  const BucketRecord rows[] = {{},
                               Sample(0, 0),
                               Sample(300, 1ULL << 40),
                               Sample(70'000, std::numeric_limits<std::uint64_t>::max())};
  for (const BucketRecord& row : rows) {
    const std::string value = EncodeBucket(row);
    CAPTURE(value.size());
    CHECK(value.size() <= claims::EncodedBytesBound(row));
    const auto decoded = DecodeBucket(value);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == row);
  }
}

// Guards against decoding a corrupt value as an empty bucket, after which every call could run
// again.
TEST_CASE("corrupt values are rejected") {
  const std::string value = EncodeBucket(Sample(10, 7));
  struct Row {
    const char* name;
    std::string value;
  };
  const Row rows[] = {{"truncated", value.substr(0, value.size() - 1)},
                      {"trailing bytes", value + "x"},
                      {"later format version", "\x91\x02"},
                      {"not an array", "\x01"},
                      {"empty array", "\x90"},
                      {"record without fields", "\x92\x01\x90"}};
  for (const Row& row : rows) {
    SUBCASE(row.name) { CHECK(DecodeBucket(row.value).has_error()); }
  }
}

}  // namespace
}  // namespace verbenaridge::claim_codec
