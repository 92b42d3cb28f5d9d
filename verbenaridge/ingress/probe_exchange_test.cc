// Tests who hands out probes with two hosts in one process, each on its own loopback address.
#include "verbenaridge/ingress/probe_exchange.h"

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "verbenaridge/ingress/load_exchange.h"
#include "verbenaridge/ingress/testing.h"

namespace verbenaridge::ingress {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Ip;
using testing::Keys;
using testing::NextPort;

constexpr Digest kPart = 31;

struct Host final : LoadReceiver {
  Host(asio::io_context& io, const Clock& clock, std::size_t index, std::uint16_t port)
      : exchange(io, clock,
                 {.self = HostId("h" + std::to_string(index)),
                  .ip = Ip(index),
                  .port = port,
                  .keys = Keys()},
                 *this),
        probes(io, clock, HostId("h" + std::to_string(index)), exchange, suspects) {
    REQUIRE(exchange.Open().has_value());
  }
  void OnDatagram(const wire::Datagram& datagram, const std::string& ip) override {
    if (!cut_off) probes.OnDatagram(datagram, ip);
  }
  LoadExchange exchange;
  dispatch::CrashSuspects suspects;
  ProbeExchange probes;
  bool cut_off = false;
};

// Guards against several probes of one refusal, of which each may crash an endpoint, and against
// requests that wait for a scheduler that does not answer.
TEST_CASE("one scheduler hands out the probes of a refusal") {
  struct Row {
    std::string name;
    bool first_is_scheduler;
    bool second_is_scheduler;
    bool cut_off = false;  // messages get lost
    seconds since_crash{3};
    bool known = true;  // the hosts refuse the part
    std::size_t granted = 0;
  };
  const Row rows[] = {
      {.name = "the other host",
       .first_is_scheduler = false,
       .second_is_scheduler = true,
       .granted = 1},
      {.name = "both hosts", .first_is_scheduler = true, .second_is_scheduler = true, .granted = 1},
      {.name = "its reply is lost",
       .first_is_scheduler = false,
       .second_is_scheduler = true,
       .cut_off = true,
       .granted = 0},
      {.name = "too early",
       .first_is_scheduler = false,
       .second_is_scheduler = true,
       .since_crash = seconds(1),
       .granted = 0},
      {.name = "not refused there",
       .first_is_scheduler = false,
       .second_is_scheduler = true,
       .known = false,
       .granted = 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    asio::io_context io;
    const SystemClock clock;
    const std::uint16_t port = NextPort();
    Host first(io, clock, 0, port);
    Host second(io, clock, 1, port);
    std::vector<std::string> schedulers[2];
    if (row.second_is_scheduler) schedulers[0].push_back(Ip(1));
    if (row.first_is_scheduler) schedulers[1].push_back(Ip(0));
    first.probes.SetSchedulers(row.first_is_scheduler, schedulers[0]);
    second.probes.SetSchedulers(row.second_is_scheduler, schedulers[1]);
    first.cut_off = row.cut_off;
    const TimePoint now = clock.Now();
    if (row.known) {
      for (Host* const host : {&first, &second}) {
        host->suspects.OnRefusal(
            {.keys = {kPart}, .last_crash = now - row.since_crash, .doubtful = true}, now);
      }
    }
    std::size_t granted = 0;
    std::size_t decided = 0;
    const std::vector<Digest> keys = {kPart};
    constexpr std::size_t kAsked = 3;
    Host& asking = row.first_is_scheduler ? second : first;
    for (std::size_t i = 0; i < kAsked; ++i) {
      Host& host = i == 1 && row.first_is_scheduler ? first : asking;
      host.probes.Ask(keys, [&](bool is_granted) {
        ++decided;
        if (is_granted) ++granted;
      });
    }
    io.run_for(milliseconds(60));
    CHECK(decided == kAsked);
    CHECK(granted == row.granted);
  }
}

}  // namespace
}  // namespace verbenaridge::ingress
