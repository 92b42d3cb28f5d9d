#include "verbenaridge/wire/codec.h"

#include <doctest/doctest.h>

#include "verbenaridge/base/random.h"
#include "verbenaridge/wire/message_samples.h"

namespace verbenaridge::wire {
namespace {

Result<Request> Decode(std::string_view bytes, const Request&) { return DecodeRequest(bytes); }
Result<Reply> Decode(std::string_view bytes, const Reply&) { return DecodeReply(bytes); }
Result<Datagram> Decode(std::string_view bytes, const Datagram&) { return DecodeDatagram(bytes); }

// Guards against fields that are lost or swapped, truncated input that decodes, and input that
// crashes the decoder: a message that decodes must be one that encodes.
template <class Variant>
void CheckSamples() {
  SeededRandom random(20261204);
  for (const Variant& message : testing::Samples<Variant>()) {
    CAPTURE(message.index());
    const std::string bytes = Encode(message);
    const Result<Variant> decoded = Decode(bytes, message);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().index() == message.index());
    // Compared in encoded form, which has every field.
    CHECK(Encode(decoded.value()) == bytes);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      const Result<Variant> truncated = Decode(std::string_view(bytes).substr(0, size), message);
      REQUIRE(truncated.has_error());
      REQUIRE(truncated.error() == Errc::kMalformed);
    }
    CHECK(Decode(bytes + '\0', message).error() == Errc::kMalformed);
    for (int i = 0; i < 2000; ++i) {
      std::string flipped = bytes;
      for (std::uint64_t flips = 1 + random.Below(3); flips > 0; --flips) {
        flipped[random.Below(flipped.size())] ^= static_cast<char>(1U << random.Below(8));
      }
      const Result<Variant> result = Decode(flipped, message);
      if (result.has_value()) REQUIRE(Decode(Encode(result.value()), message).has_value());
    }
  }
}

TEST_CASE("requests") { CheckSamples<Request>(); }
TEST_CASE("replies") { CheckSamples<Reply>(); }
TEST_CASE("datagrams") { CheckSamples<Datagram>(); }

// Guards against a changed order of messages in messages.h, which peers of other versions read as
// other messages.
TEST_CASE("tags are stable") {
  CHECK(Encode(Request{AdmitRequest{}})[1] == 0);
  CHECK(Encode(Request{DrainRequest{}})[1] == 12);
  CHECK(Encode(Reply{Acknowledged{}})[1] == 64);
  CHECK(Encode(Reply{StatusReply{}})[1] == 71);
  CHECK(Encode(Datagram{Ping{}})[1] == 96);
  CHECK(Encode(Datagram{GossipPush{}})[1] == 99);
}

// Guards against hostile or foreign input: each row is one request.
TEST_CASE("input from outside") {
  struct Row {
    const char* name;
    std::string bytes;
    std::optional<Errc> error;
  };
  const std::string status = Encode(Request{StatusRequest{}});
  const Row rows[] = {
      {"status", "\x91\x0b", std::nullopt},
      {"unknown extra field", "\x92\x0b\xa3new", std::nullopt},
      {"unknown extra map", "\x92\x0b\x81\xa1k\x93\x01\x02\x03", std::nullopt},
      {"extra field of a structure", std::string("\x92\x08\x95\xa1", 4) + "a\xa1s\xa1o\xa1k\xc0",
       std::nullopt},
      {"missing field", std::string("\x92\x08\x93\xa1", 4) + "a\xa1s\xa1o", Errc::kMalformed},
      {"wrong type", "\x92\x08\xa1k", Errc::kMalformed},
      {"empty", "", Errc::kMalformed},
      {"empty array", "\x90", Errc::kMalformed},
      {"no array", "\x0b", Errc::kMalformed},
      {"map", std::string("\x81\x00\x01", 3), Errc::kMalformed},
      {"tag is text", "\x91\xa1s", Errc::kMalformed},
      {"unknown tag", "\x91\x0d", Errc::kMalformed},
      {"negative tag", "\x91\xff", Errc::kMalformed},
      {"reply", Encode(Reply{Acknowledged{}}), Errc::kMalformed},
      {"two messages", status + status, Errc::kMalformed},
      {"reserved byte", "\x91\xc1", Errc::kMalformed},
      {"4 billion elements", "\xdd\xff\xff\xff\xff", Errc::kTooLarge},
      {"4 billion pairs", "\xdf\xff\xff\xff\xff", Errc::kTooLarge},
      {"text longer than input", "\x92\x0b\xdb\xff\xff\xff\xff", Errc::kMalformed},
      {"deep nesting", std::string(100, '\x91'), Errc::kTooLarge},
      {"too many elements", std::string("\xdd\x00\x0f\xff\xff", 5), Errc::kTooLarge},
      {"above the byte limit", std::string(kMaxMessageBytes + 1, '\x90'), Errc::kTooLarge},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Result<Request> result = DecodeRequest(row.bytes);
    CHECK(result.has_error() == row.error.has_value());
    if (result.has_error() && row.error) CHECK(result.error() == *row.error);
  }
}

// Guards against hosts that cannot fetch the directory from each other while an update has replaced
// only some of them.
TEST_CASE("messages of the last release") {
  const std::string request = std::string("\x93\x0e\x05\x07", 4);
  const Result<Request> decoded_request = DecodeRequest(request);
  REQUIRE(decoded_request.has_value());
  const auto& fetch = std::get<FetchDirectoryRequest>(decoded_request.value());
  CHECK(fetch.have_version == 5);
  CHECK(fetch.have_endpoints_digest == 7);
  CHECK_FALSE(fetch.accepts_difference);
  CHECK(DecodeRequest(std::string("\x92\x0e\x05", 3)).error() == Errc::kMalformed);

  const std::string reply = std::string(
      "\x96\x49\x05\xa1"
      "d\xc3\x90\x03",
      8);
  const Result<Reply> decoded_reply = DecodeReply(reply);
  REQUIRE(decoded_reply.has_value());
  const auto& content = std::get<FetchDirectoryReply>(decoded_reply.value());
  CHECK(content.configuration == "d");
  CHECK(content.has_endpoints);
  CHECK(content.base_endpoints_digest == 0);

  // The last fields of the gossip, without what was added to them.
  DirectoryGossip gossip{.peers = {{.host = HostId("h"), .ip = "i"}}, .is_reply = true};
  std::string datagram = Encode(Datagram{gossip});
  const std::string capacity(1, '\0');  // a whole number is packed as an integer
  const std::string added = "\x91\x95\xa1h\xa1i\xa0" + capacity + "\xc2\xc3";
  const std::string no_parts("\x90\x90\x90\0\x90\0\0\0", 8);  // and no evacuations
  REQUIRE(datagram.ends_with(added + no_parts));
  datagram.resize(datagram.size() - no_parts.size());
  REQUIRE(datagram.starts_with(std::string("\xdc\0\x17", 3)));  // the number of fields and the tag
  datagram.replace(0, 3, "\x9f");
  CHECK(std::get<DirectoryGossip>(DecodeDatagram(datagram).value()).is_reply);
  datagram.replace(datagram.size() - added.size(), added.size(), "\x91\x92\xa1h\xa1i");
  REQUIRE(datagram.front() == '\x9f');  // the number of fields and the tag
  datagram.front() = '\x9e';
  const Result<Datagram> decoded = DecodeDatagram(datagram);
  REQUIRE(decoded.has_value());
  const auto& decoded_gossip = std::get<DirectoryGossip>(decoded.value());
  CHECK(decoded_gossip.peers.at(0).ip == "i");
  CHECK_FALSE(decoded_gossip.peers.at(0).is_scheduler);
  CHECK_FALSE(decoded_gossip.is_reply);

  // A crash without parts, no sound keys and no limits.
  std::string update = Encode(Datagram{LoadUpdate{.crashes = {{.request = 5, .endpoint = 7}}}});
  const std::string crash = "\x91\x94\x05\x07\xc2\x90\x90\x90";
  REQUIRE(update.ends_with(crash));
  update.replace(update.size() - crash.size(), crash.size(), "\x91\x92\x05\x07");
  REQUIRE(update.front() == '\x99');
  update.front() = '\x97';
  const Result<Datagram> decoded_update = DecodeDatagram(update);
  REQUIRE(decoded_update.has_value());
  const auto& crashes = std::get<LoadUpdate>(decoded_update.value()).crashes;
  CHECK(crashes.at(0).endpoint == 7);
  CHECK(crashes.at(0).parts.empty());

  // A placement request without the data centres that may get the request, and its end.
  std::string placement =
      Encode(Datagram{PlacementRequest{.digest = 5, .allowed = {DataCentreId("a")}}});
  const std::string allowed(
      "\x91\xa1"
      "a\0",
      4);
  CHECK(std::get<PlacementRequest>(DecodeDatagram(placement).value()).allowed.size() == 1);
  REQUIRE(placement.ends_with(allowed));
  placement.resize(placement.size() - allowed.size());
  REQUIRE(placement.starts_with(std::string("\xdc\0\x13", 3)));  // the number of fields and the tag
  placement[2] = '\x11';
  const Result<Datagram> decoded_placement = DecodeDatagram(placement);
  REQUIRE(decoded_placement.has_value());
  CHECK(std::get<PlacementRequest>(decoded_placement.value()).digest == 5);
  CHECK(std::get<PlacementRequest>(decoded_placement.value()).allowed.empty());
}

// Guards against numbers that decisions cannot work with.
TEST_CASE("numbers out of range") {
  const double infinity = std::numeric_limits<double>::infinity();
  struct Row {
    const char* name;
    double cost;
    Priority priority;
    bool accepted;
  };
  const Row rows[] = {
      {"whole cost", -2, Priority::kBackground, true},
      {"fraction", 0.125, Priority::kUrgent, true},
      {"infinite cost", infinity, Priority::kUrgent, false},
      {"cost that is no number", infinity - infinity, Priority::kUrgent, false},
      {"unknown priority", 1, static_cast<Priority>(3), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    AdmitRequest request;
    request.cost_seconds = row.cost;
    request.priority = row.priority;
    const Result<Request> result = DecodeRequest(Encode(Request{request}));
    CHECK(result.has_value() == row.accepted);
    if (result.has_error()) {
      CHECK(result.error() == Errc::kMalformed);
    } else {
      CHECK(std::get<AdmitRequest>(result.value()).cost_seconds == row.cost);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::wire
