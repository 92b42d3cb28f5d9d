#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "verbenaridge/wire/testing.h"

namespace verbenaridge::wire {
namespace {

using testing::Keys;
using testing::RunUntil;

struct Tally {
  std::atomic<int> served{0};
  std::atomic<int> right{0};
  std::atomic<int> finished{0};
};

// What each traffic thread of the daemon has: its own loop, server and transport.
class TrafficThread {
 public:
  TrafficThread(std::uint16_t port, int calls, Tally& tally)
      : port_(port), calls_(calls), tally_(tally) {}

  void Listen() {
    REQUIRE(server_.Listen().has_value());
    port_ = server_.port();
  }

  std::uint16_t port() const { return port_; }

  // Calls the shared address and serves until all threads have their replies.
  void Run(int threads) {
    int open = calls_;
    for (int i = 0; i < calls_; ++i) {
      const auto version = static_cast<PlanVersion>(i);
      transport_.Call({"127.0.0.1", port_},
                      PushPlanDeltaRequest{.to_version = version, .delta = ""},
                      std::chrono::seconds(20), [&, version](Result<Reply> reply) {
                        --open;
                        if (reply && std::get<FetchPlanReply>(reply.value()).version == version) {
                          ++tally_.right;
                        }
                      });
    }
    CHECK(RunUntil(
        context_, [&] { return open == 0; }, std::chrono::seconds(30)));
    ++tally_.finished;
    // Other threads may still call this thread's server; the loop is checked every 10 ms.
    while (tally_.finished < threads) context_.run_one_for(std::chrono::milliseconds(10));
    tally_.served += service_.served;
  }

 private:
  std::uint16_t port_;
  const int calls_;
  Tally& tally_;
  asio::io_context context_;
  testing::ScriptedService service_;
  Nghttp2Server server_{context_,
                        {.listen = {"127.0.0.1", port_},
                         .reuse_port = true,
                         .self = HostId("server"),
                         .keys = Keys()},
                        service_};
  Nghttp2Transport transport_{context_, {.self = HostId("client"), .keys = Keys()}};
};

// Guards against state that the traffic threads share by mistake, and against servers that cannot
// listen on one address together.
TEST_CASE("servers and transports of several threads") {
  struct Row {
    const char* name;
    int threads, calls;
  };
  const Row rows[] = {{"one", 1, 100}, {"default", 2, 500}, {"many", 4, 500}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Tally tally;
    std::vector<std::unique_ptr<TrafficThread>> traffic;
    std::uint16_t port = 0;
    for (int i = 0; i < row.threads; ++i) {
      traffic.push_back(std::make_unique<TrafficThread>(port, row.calls, tally));
      traffic.back()->Listen();
      port = traffic.back()->port();
    }
    std::vector<std::thread> threads;
    for (const auto& member : traffic) {
      threads.emplace_back([&member, &row] { member->Run(row.threads); });
    }
    for (std::thread& thread : threads) thread.join();
    CHECK(tally.right == row.threads * row.calls);
    CHECK(tally.served == row.threads * row.calls);
  }
}

}  // namespace
}  // namespace verbenaridge::wire
