#include "verbenaridge/wire/handshake.h"

#include <doctest/doctest.h>

#include <optional>

#include "verbenaridge/wire/datagram_tag.h"
#include "verbenaridge/wire/operator_proof.h"

namespace verbenaridge::wire {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kOld = "the old fleet key";
const std::string kNew = "the new fleet key";
const std::string kWrong = "some other key...";

FleetKeys Keys(std::vector<std::string> keys) { return FleetKeys::Create(std::move(keys)).value(); }

// Guards against hosts that refuse each other during a rotation, and against strangers.
TEST_CASE("keys of client and server") {
  struct Row {
    const char* name;
    std::vector<std::string> client, server;
    bool accepted;
  };
  const Row rows[] = {
      {"same key", {kOld}, {kOld}, true},
      {"client has both", {kNew, kOld}, {kOld}, true},
      {"server has both", {kOld}, {kNew, kOld}, true},
      {"both have both", {kNew, kOld}, {kOld, kNew}, true},
      {"wrong key", {kWrong}, {kOld}, false},
      {"no common key", {kWrong}, {kOld, kNew}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ClientHandshake client(Keys(row.client), HostId("a"));
    ServerHandshake server(Keys(row.server), HostId("b"));
    const std::string reply = server.OnHello(client.Hello()).value();
    CHECK(server.refused() != row.accepted);
    const Result<std::string> proof = client.OnServerHello(reply);
    CHECK(proof.has_value() == row.accepted);
    if (!row.accepted) {
      CHECK(proof.error() == Errc::kPermissionDenied);
      CHECK(server.OnProof(std::string(32, 'x')).error() == Errc::kPermissionDenied);
      CHECK(server.peer().empty());
      continue;
    }
    CHECK(server.peer().empty());
    CHECK(server.OnProof(proof.value()).has_value());
    CHECK(client.peer() == HostId("b"));
    CHECK(server.peer() == HostId("a"));
    CHECK(server.OnProof(proof.value()).has_error());  // a proof counts once
  }
}

TEST_CASE("keys that are refused") {
  const std::vector<std::vector<std::string>> rows = {
      {}, {""}, {"short"}, {kOld, kOld}, {kOld, kNew, kWrong}};
  for (const auto& keys : rows) {
    CAPTURE(keys.size());
    CHECK(FleetKeys::Create(keys).error() == Errc::kInvalidArgument);
  }
}

// Guards against changed, truncated, reflected and replayed messages.
TEST_CASE("tampered handshakes") {
  const FleetKeys keys = Keys({kOld});
  ClientHandshake client(keys, HostId("a"));
  ServerHandshake server(keys, HostId("b"));
  const std::string reply = server.OnHello(client.Hello()).value();
  const std::string proof = client.OnServerHello(reply).value();

  for (std::size_t i = 0; i < reply.size(); ++i) {
    std::string changed = reply;
    changed[i] ^= 1;
    CAPTURE(i);
    CHECK(client.OnServerHello(changed).has_error());
    CHECK(client.OnServerHello(reply.substr(0, i)).has_error());
  }
  for (std::size_t i = 0; i < client.Hello().size(); ++i) {
    CAPTURE(i);
    ServerHandshake fresh(keys, HostId("b"));
    CHECK(fresh.OnHello(client.Hello().substr(0, i)).error() == Errc::kMalformed);
    std::string changed = client.Hello();
    changed[i] ^= 1;
    ServerHandshake other(keys, HostId("b"));
    const Result<std::string> changed_reply = other.OnHello(changed);
    // The client notices that the server saw another hello.
    if (changed_reply) CHECK(client.OnServerHello(changed_reply.value()).has_error());
  }
  ServerHandshake replayed(keys, HostId("b"));
  CHECK(replayed.OnHello(client.Hello()).has_value());
  CHECK(replayed.OnProof(proof).error() == Errc::kPermissionDenied);
  CHECK(replayed.OnHello(client.Hello()).error() == Errc::kMalformed);
  ServerHandshake reflected(keys, HostId("b"));
  const std::string second = reflected.OnHello(client.Hello()).value();
  CHECK(reflected.OnProof(second.substr(second.size() - 32)).has_error());
}

// Guards against forged, replayed and old datagrams, and against refusing reordered ones.
TEST_CASE("datagram tags") {
  struct Row {
    const char* name;
    std::vector<std::string> sender, receiver;
    Duration receiver_skew;
    std::optional<Errc> error;
  };
  const Row rows[] = {
      {"same key", {kOld}, {kOld}, seconds(0), std::nullopt},
      {"receiver lists the new key second", {kNew, kOld}, {kOld, kNew}, seconds(0), std::nullopt},
      {"wrong key", {kWrong}, {kOld}, seconds(0), Errc::kPermissionDenied},
      {"clocks differ by the skew bound", {kOld}, {kOld}, seconds(5), std::nullopt},
      {"too old", {kOld}, {kOld}, seconds(31), Errc::kTimeout},
      {"from the future", {kOld}, {kOld}, seconds(-31), Errc::kTimeout},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock sender_clock;
    ManualClock receiver_clock;
    receiver_clock.JumpWall(row.receiver_skew);
    DatagramSealer sealer(Keys(row.sender), HostId("a"), sender_clock);
    DatagramOpener opener(Keys(row.receiver), receiver_clock);
    std::vector<std::string> packets;
    for (int i = 0; i < 70; ++i) packets.push_back(sealer.Seal("payload").value());
    // The second overtakes the first.
    for (const std::size_t i : {1, 0}) {
      const Result<OpenedDatagram> opened = opener.Open(packets[i]);
      CHECK(opened.has_error() == row.error.has_value());
      if (opened.has_error()) {
        CHECK(opened.error() == *row.error);
        continue;
      }
      CHECK(opened.value().sender == HostId("a"));
      CHECK(opened.value().payload == "payload");
      CHECK(opener.Open(packets[i]).error() == Errc::kConflict);
    }
    if (row.error) continue;
    for (std::size_t i = 2; i < packets.size(); ++i) REQUIRE(opener.Open(packets[i]).has_value());
    CHECK(opener.Open(packets[0]).error() == Errc::kConflict);  // no longer remembered
  }
}

TEST_CASE("changed datagrams") {
  ManualClock clock;
  DatagramSealer sealer(Keys({kOld}), HostId("a"), clock);
  DatagramOpener opener(Keys({kOld}), clock);
  const std::string packet = sealer.Seal("payload").value();
  for (std::size_t i = 0; i < packet.size(); ++i) {
    CAPTURE(i);
    std::string changed = packet;
    changed[i] ^= 1;
    CHECK(opener.Open(changed).has_error());
    CHECK(opener.Open(packet.substr(0, i)).has_error());
  }
  CHECK(opener.Open(packet).has_value());
  CHECK(sealer.Seal(std::string(sealer.max_payload_bytes(), 'x')).value().size() ==
        kMaxDatagramBytes);
  CHECK(sealer.Seal(std::string(sealer.max_payload_bytes() + 1, 'x')).error() == Errc::kTooLarge);
  CHECK(opener.Open(std::string(kMaxDatagramBytes + 1, 'V')).error() == Errc::kTooLarge);
}

// Guards against orders of strangers, changed orders, and orders that are sent again.
TEST_CASE("operator proofs") {
  struct Row {
    const char* name;
    std::string key;
    DrainRequest proved, sent;
    Duration delay;
    std::optional<Errc> error;
  };
  const auto order = [](std::string target, bool is_endpoint, bool undo) {
    return DrainRequest{std::move(target), is_endpoint, undo, {}};
  };
  const DrainRequest host = order("a", false, false);
  const Row rows[] = {
      {"right", kNew, host, host, seconds(1), std::nullopt},
      {"old key", kOld, host, host, seconds(1), std::nullopt},
      {"wrong key", kWrong, host, host, seconds(1), Errc::kPermissionDenied},
      {"other target", kNew, host, order("b", false, false), seconds(1), Errc::kPermissionDenied},
      {"undone", kNew, host, order("a", false, true), seconds(1), Errc::kPermissionDenied},
      {"endpoint", kNew, host, order("a", true, false), seconds(1), Errc::kPermissionDenied},
      {"late", kNew, host, host, seconds(61), Errc::kTimeout},
      {"clock behind", kNew, host, host, seconds(-5), std::nullopt},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ManualClock clock;
    OperatorProofChecker checker({kNew, kOld}, clock);
    const std::string proof = MakeOperatorProof(row.key, OrderText(row.proved), clock);
    clock.JumpWall(row.delay);
    const Status first = checker.Check(OrderText(row.sent), proof);
    CHECK(first.has_error() == row.error.has_value());
    if (row.error) {
      CHECK(first.error() == *row.error);
    } else {
      CHECK(checker.Check(OrderText(row.sent), proof).error() == Errc::kConflict);
    }
    CHECK(OperatorProofChecker({}, clock).Check(OrderText(row.sent), proof).has_error());
    for (std::size_t i = 0; i < proof.size(); ++i) {
      REQUIRE(checker.Check(OrderText(row.sent), proof.substr(0, i)).error() == Errc::kMalformed);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::wire
