// Cost of the codec, of tags, and of calls over loopback with client and server on two threads.
//
//   build/bin/wire_benchmark --benchmark_filter=CallPeer
#include <benchmark/benchmark.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <future>
#include <thread>
#include <vector>

#include "verbenaridge/wire/codec.h"
#include "verbenaridge/wire/datagram_tag.h"
#include "verbenaridge/wire/message_samples.h"
#include "verbenaridge/wire/nghttp2_transport.h"

namespace verbenaridge::wire {
namespace {

FleetKeys BenchmarkKeys() { return FleetKeys::Create({"a fleet key of the benchmark"}).value(); }

AdmitRequest SampleAdmission() {
  AdmitRequest request;
  request.holder = {HostId("furano-e1"), 3, 123456};
  request.client_account = ClientAccountId("bakery");
  request.digest = 0x0123456789abcdefULL;
  request.tokens = 12000;
  request.cost_seconds = 1.25;
  return request;
}

// A permit request for a prompt of 100,000 tokens with a digest for each 256 tokens.
PermitRequest SamplePermit() {
  PermitRequest request;
  request.holder = {HostId("furano-e1"), 3, 123456};
  request.endpoint = EndpointId("furano-03");
  request.prefix_blocks.assign(100000 / 256, 0x0123456789abcdefULL);
  return request;
}

void EncodeRequest(benchmark::State& state, const Request& request) {
  for (auto _ : state) benchmark::DoNotOptimize(Encode(request));
  state.counters["bytes"] = static_cast<double>(Encode(request).size());
}
BENCHMARK_CAPTURE(EncodeRequest, admit, SampleAdmission());
BENCHMARK_CAPTURE(EncodeRequest, permit, SamplePermit());

void DecodeBytes(benchmark::State& state, const Request& request) {
  const std::string bytes = Encode(request);
  for (auto _ : state) benchmark::DoNotOptimize(DecodeRequest(bytes));
}
BENCHMARK_CAPTURE(DecodeBytes, admit, SampleAdmission());
BENCHMARK_CAPTURE(DecodeBytes, permit, SamplePermit());

void SealAndOpenDatagram(benchmark::State& state) {
  const SystemClock clock;
  DatagramSealer sealer(BenchmarkKeys(), HostId("furano-e1"), clock);
  DatagramOpener opener(BenchmarkKeys(), clock);
  const std::string payload(1000, 'p');
  for (auto _ : state) benchmark::DoNotOptimize(opener.Open(sealer.Seal(payload).value()));
}
BENCHMARK(SealAndOpenDatagram);

class EchoService final : public PeerService {
 public:
  void Serve(Request /*request*/, std::shared_ptr<ServerCall> call) override {
    AdmitReply reply;
    reply.verdict = Verdict::kGranted;
    call->Answer(reply);
  }
};

// A server on its own thread, as on another traffic thread of the daemon.
class ServerThread {
 public:
  ServerThread() {
    std::promise<std::uint16_t> port;
    thread_ = std::thread([this, &port] {
      Nghttp2Server server(
          context_, {.listen = {"127.0.0.1", 0}, .self = HostId("server"), .keys = BenchmarkKeys()},
          service_);
      if (!server.Listen()) std::abort();
      port.set_value(server.port());
      context_.run();
    });
    port_ = port.get_future().get();
  }

  ~ServerThread() {
    asio::post(context_, [this] { context_.stop(); });
    thread_.join();
  }

  std::uint16_t port() const { return port_; }

 private:
  asio::io_context context_;
  EchoService service_;
  std::thread thread_;
  std::uint16_t port_ = 0;
};

// Keeps `streams` calls open; an iteration ends when at least one is answered, so items per second
// and the latencies are the figures to read.
void CallPeer(benchmark::State& state) {
  using SteadyClock = std::chrono::steady_clock;
  const auto streams = static_cast<std::size_t>(state.range(0));
  ServerThread server;
  asio::io_context context;
  Nghttp2Transport transport(context, {.self = HostId("client"), .keys = BenchmarkKeys()});
  const PeerAddress address{"127.0.0.1", server.port()};
  std::vector<double> latencies;
  std::size_t open = 0;
  const auto start = [&] {
    ++open;
    transport.Call(address, SampleAdmission(), std::chrono::seconds(5),
                   [&, begun = SteadyClock::now()](const Result<Reply>& reply) {
                     if (reply.has_error()) std::abort();
                     --open;
                     latencies.push_back(ToSeconds(SteadyClock::now() - begun) * 1e6);
                   });
  };
  start();
  while (latencies.empty()) context.run_one();
  latencies.clear();
  for (auto _ : state) {
    const std::size_t before = latencies.size();
    while (open < streams) start();
    while (latencies.size() == before) context.run_one();
  }
  while (open > 0) context.run_one();
  std::sort(latencies.begin(), latencies.end());
  state.counters["p50_us"] = latencies[latencies.size() / 2];
  state.counters["p99_us"] = latencies[latencies.size() * 99 / 100];
  state.SetItemsProcessed(static_cast<std::int64_t>(latencies.size()));
}
BENCHMARK(CallPeer)->Arg(1)->Arg(200)->UseRealTime();

}  // namespace
}  // namespace verbenaridge::wire

BENCHMARK_MAIN();
