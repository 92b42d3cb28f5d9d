#include "verbenaridge/wire/datagram_socket.h"

#include <doctest/doctest.h>

#include <asio/ip/udp.hpp>
#include <optional>

#include "verbenaridge/wire/codec.h"
#include "verbenaridge/wire/testing.h"

namespace verbenaridge::wire {
namespace {

using testing::Keys;
using testing::RunUntil;

Datagram PingFrom(const std::string& sender, std::size_t members = 0) {
  Ping ping;
  ping.sequence = 7;
  ping.sender = HostId(sender);
  ping.gossip.members.resize(members);
  return ping;
}

struct Fixture {
  DatagramOptions Options(const std::string& host, std::vector<std::string> keys) {
    return {.listen = {"127.0.0.1", 0}, .self = HostId(host), .keys = Keys(std::move(keys))};
  }

  asio::io_context context;
  SystemClock clock;
  std::vector<Datagram> received;
  PeerAddress from;
  DatagramSocket receiver{context, Options("b", {"a fleet key of the tests"}), clock,
                          [this](Datagram datagram, const PeerAddress& address) {
                            received.push_back(std::move(datagram));
                            from = address;
                          }};
};

// Guards against datagrams of strangers that reach the membership, and against wrong counts of the
// control traffic.
TEST_CASE("datagrams between two sockets") {
  struct Row {
    const char* name;
    std::string key;
    Datagram datagram;
    std::optional<Errc> send_error;
    bool delivered;
    std::uint64_t refused, malformed;
  };
  const std::string key = "a fleet key of the tests";
  const Row rows[] = {
      {"ping", key, PingFrom("a"), std::nullopt, true, 0, 0},
      {"wrong key", "some other fleet key", PingFrom("a"), std::nullopt, false, 1, 0},
      {"names another sender", key, PingFrom("c"), std::nullopt, false, 0, 1},
      {"too large", key, PingFrom("a", 400), Errc::kTooLarge, false, 0, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    REQUIRE(fixture.receiver.Open().has_value());
    DatagramSocket sender(fixture.context, fixture.Options("a", {row.key}), fixture.clock,
                          [](const Datagram&, const PeerAddress&) {});
    REQUIRE(sender.Open().has_value());
    const Status sent = sender.Send({"127.0.0.1", fixture.receiver.port()}, row.datagram);
    CHECK(sent.has_error() == row.send_error.has_value());
    const DatagramCounters& in = fixture.receiver.counters();
    if (row.send_error) {
      CHECK(sent.error() == *row.send_error);
      CHECK(sender.counters().datagrams_out == 0);
      continue;
    }
    REQUIRE(RunUntil(fixture.context, [&] { return in.datagrams_in == 1; }));
    CHECK(fixture.received.size() == (row.delivered ? 1 : 0));
    if (row.delivered) CHECK(fixture.from == PeerAddress{"127.0.0.1", sender.port()});
    CHECK(in.refused == row.refused);
    CHECK(in.malformed == row.malformed);
    CHECK(in.bytes_in == sender.counters().bytes_out);
    CHECK(in.bytes_in > Encode(row.datagram).size());
  }
}

// Guards against a receiver that stops after bytes from elsewhere, or that accepts a replay.
TEST_CASE("raw packets") {
  Fixture fixture;
  REQUIRE(fixture.receiver.Open().has_value());
  asio::ip::udp::socket raw(fixture.context, asio::ip::udp::v4());
  const asio::ip::udp::endpoint target(asio::ip::make_address("127.0.0.1"),
                                       fixture.receiver.port());
  DatagramSealer sealer(Keys(), HostId("a"), fixture.clock);
  const std::string good = sealer.Seal(Encode(PingFrom("a"))).value();
  const std::string undecodable = sealer.Seal("no message").value();
  for (const std::string& packet : {std::string(), std::string("garbage"), std::string(1300, 'V'),
                                    std::string(60000, 'V'), undecodable, good, good}) {
    raw.send_to(asio::buffer(packet), target);
  }
  const DatagramCounters& in = fixture.receiver.counters();
  REQUIRE(RunUntil(fixture.context, [&] { return in.datagrams_in == 7; }));
  CHECK(fixture.received.size() == 1);
  CHECK(in.malformed == 5);
  CHECK(in.refused == 1);
}

TEST_CASE("addresses that cannot be used") {
  Fixture fixture;
  REQUIRE(fixture.receiver.Open().has_value());
  CHECK(fixture.receiver.Send({"host.name", 1}, PingFrom("b")).error() == Errc::kInvalidArgument);
  DatagramOptions options = fixture.Options("c", {"a fleet key of the tests"});
  options.listen.port = fixture.receiver.port();
  DatagramSocket second(fixture.context, options, fixture.clock,
                        [](const Datagram&, const PeerAddress&) {});
  CHECK(second.Open().error() == std::errc::address_in_use);
}

}  // namespace
}  // namespace verbenaridge::wire
