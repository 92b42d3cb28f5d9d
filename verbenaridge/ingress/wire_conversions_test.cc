#include "verbenaridge/ingress/wire_conversions.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "verbenaridge/wire/codec.h"

namespace verbenaridge::ingress {
namespace {

using std::chrono::milliseconds;

// Of a datagram of 1,200 bytes, beside some 700 bytes of peers.
constexpr std::size_t kMaxNoticeBytes = 500;

// Guards against a field that is not sent to the other host.
TEST_CASE("an endpoint survives the conversion to a message and back") {
  const directory::Endpoint rows[] = {
      {},
      {.id = EndpointId("i-1"),
       .service = ServiceId("s"),
       .ip = "10.0.0.1",
       .port = 80,
       .data_centre = DataCentreId("a"),
       .slots = 12,
       .start_unix_ms = 1'700'000'000'000,
       .draining = true},
  };
  for (const directory::Endpoint& endpoint : rows) {
    CAPTURE(endpoint.id.value());
    CHECK(FromWire(ToWire(endpoint)) == endpoint);
  }
}

TEST_CASE("a task survives the conversion to a message and back") {
  const dispatch::EndpointTask rows[] = {
      {},
      {.id = 7,
       .endpoint = 9,
       .prefill_time = milliseconds(3),
       .kv_tokens = 5'000,
       .due = milliseconds(250),
       .target_gap = milliseconds(120),
       .lifetime = milliseconds(9'000),
       .weight = 2.5,
       .decodes = false,
       .partial_prefill = true},
  };
  for (const dispatch::EndpointTask& task : rows) {
    CAPTURE(task.id);
    CHECK(FromWire(ToWire(task)) == task);
  }
}

// Guards against refused parts that peers take for others, and against gossip that is too long for
// a datagram.
TEST_CASE("a notice about prompt parts survives gossip as far as it fits") {
  struct Row {
    std::string name;
    std::size_t suspected;
    std::size_t refusals;
    std::size_t parts;  // of each refusal
    std::size_t suspected_sent;
    std::size_t refusals_sent;
    std::size_t refuted = 0;
    std::size_t refuted_sent = 0;
    bool probed = false;
  };
  const Row rows[] = {
      {"nothing", 0, 0, 0, 0, 0},
      {"parts that are sound", 0, 1, 1, 0, 1, 3, 3},
      {"many parts that are sound", 0, 4, 1, 0, 4, 50, 8},
      {"one part", 1, 1, 1, 1, 1},
      {"several parts", 3, 2, 3, 3, 2},
      {"too many", 50, 64, 2, 12, 8},
      {"too many single parts", 50, 64, 1, 12, 12},
      {"a refusal that does not fit", 0, 1, 40, 0, 0},
      {.name = "too many that were tested",
       .suspected = 50,
       .refusals = 64,
       .parts = 1,
       .suspected_sent = 12,
       .refusals_sent = 8,
       .probed = true},
  };
  const TimePoint now{std::chrono::hours(1)};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashNotice notice;
    for (std::size_t i = 0; i < row.suspected; ++i) notice.suspected.push_back(~Digest{i});
    for (std::size_t i = 0; i < row.refusals; ++i) {
      notice.refusals.push_back(
          {.keys = std::vector<Digest>(row.parts, ~Digest{i}),
           .last_crash = now - std::chrono::minutes(9) - milliseconds(i),
           .whole_request = row.parts == 1,
           .doubtful = i % 2 == 0,
           .failed_probes = static_cast<std::uint32_t>(i % 3),
           .last_probe = row.probed ? now - std::chrono::minutes(9) : TimePoint{}});
    }
    for (std::size_t i = 0; i < row.refuted; ++i) {
      notice.refuted.push_back({.key = i, .last_sound = now - milliseconds(i)});
    }
    wire::DirectoryGossip gossip;
    AddCrashNotice(notice, now, gossip);
    CHECK(wire::Encode(wire::Datagram{gossip}).size() <= kMaxNoticeBytes);
    const CrashNotice received = CrashNoticeOf(gossip, now);
    CHECK(received.suspected.size() == row.suspected_sent);
    REQUIRE(received.refusals.size() == row.refusals_sent);
    if (row.suspected_sent > 0) CHECK(received.suspected.back() == notice.suspected.back());
    REQUIRE(received.refuted.size() == row.refuted_sent);
    if (row.refuted_sent > 0) CHECK(received.refuted.front() == notice.refuted.back());
    if (row.refusals_sent > 0) CHECK(received.refusals.front() == notice.refusals.back());
  }
}

}  // namespace
}  // namespace verbenaridge::ingress
