#include "verbenaridge/fleet_tests/test_fleet.h"

#include <unistd.h>

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "verbenaridge/daemon/conversions.h"
#include "verbenaridge/plan_codec/key_hash.h"

namespace verbenaridge::fleet_tests {
namespace {

constexpr std::string_view kDataCentres[] = {"furano", "nakafurano", "biei"};
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr Duration kKeyLifetime = std::chrono::minutes(5);

std::string DataCentreOf(std::size_t index) { return std::string(kDataCentres[index % 3]); }

std::string HostOf(std::size_t index) { return "h" + std::to_string(index + 1); }

// Below the ports that the system gives to clients' sockets: one of those may be taken for a
// connection between its choice here and its use.
constexpr int kFirstPort = 20'000;
constexpr int kPorts = 12'000;

// A port that is free for TCP and UDP now, and that was not given before in this process.
std::uint16_t FreePort() {
  static int next = getpid() * 97;  // test programs run side by side
  const asio::ip::address address = asio::ip::make_address("127.0.0.1");
  asio::io_context io_context;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    asio::error_code tcp_error;
    asio::error_code udp_error;
    asio::ip::tcp::acceptor acceptor(io_context, asio::ip::tcp::v4());
    acceptor.bind({address, port}, tcp_error);
    asio::ip::udp::socket socket(io_context, asio::ip::udp::v4());
    socket.bind({address, port}, udp_error);
    if (!tcp_error && !udp_error) return port;
  }
}

// A fleet that does not start is no result of the test at hand.
[[noreturn]] void Fail(const std::string& what) {
  std::cerr << "test fleet: " << what << std::endl;
  std::abort();
}

std::string BaseUrl(std::uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); }

}  // namespace

std::string HttpReply::header(std::string_view name) const {
  return std::string(net::HttpResponseHead{.headers = headers}.header(name));
}

TestFleet::TestFleet(Options options) : options_(std::move(options)), fakes_loop_("fakes") {
  for (std::size_t i = 0; i < 3 * options_.daemons; ++i) ports_.push_back(FreePort());
  auto& io_context = fakes_loop_.io_context();
  platform_ = std::make_unique<fakes::FakePlatform>(io_context, fakes::FakePlatform::Options{});
  for (std::size_t i = 0; i <= options_.endpoints; ++i) {
    fakes::FakeEndpointOptions endpoint_options{.engine = options_.engine, .models = {"m"}};
    auto endpoint = std::make_unique<fakes::FakeEndpoint>(io_context, endpoint_options);
    if (endpoint->Open().has_error()) Fail("an endpoint cannot listen");
    if (i < options_.endpoints) {
      endpoints_.push_back(std::move(endpoint));
    } else {
      service_ = std::move(endpoint);
    }
  }
  fakes_loop_.Start();
  ApplyPlan("first", 1);
  daemons_.resize(options_.daemons);
  for (std::size_t i = 0; i < options_.daemons; ++i) StartDaemon(i);
  if (!WaitFor(std::chrono::seconds(20), [this] { return AllReady(); })) {
    Fail("not ready within 20 s");
  }
}

TestFleet::~TestFleet() {
  for (std::size_t i = 0; i < daemons_.size(); ++i) StopAtOnce(i);
  fakes_loop_.Stop();
  fakes_loop_.Join();
}

settings::Settings TestFleet::SettingsOf(std::size_t index) const {
  settings::Settings settings;
  settings.host = HostId(HostOf(index));
  settings.data_centre = DataCentreId(DataCentreOf(index));
  settings.callers = {"127.0.0.1", ports_[3 * index]};
  settings.operators = {"127.0.0.1", ports_[3 * index + 1]};
  settings.inner = {"127.0.0.1", ports_[3 * index + 2]};
  settings.fleet_keys = {"fleet-test-fleet-key"};
  settings.operator_keys = {std::string(kOperatorKey)};
  const std::string platform = platform_->base_url();
  settings.platform = {platform, platform};
  settings.policy.routing = options_.routing;
  for (std::string_view data_centre : kDataCentres) {
    settings.data_centres.push_back({DataCentreId(std::string(data_centre)), RegionId("hokkaido")});
  }
  for (std::size_t i = 0; i < options_.daemons; ++i) {
    if (i == index) continue;
    settings.peers.push_back(
        {HostId(HostOf(i)), DataCentreId(DataCentreOf(i)), {"127.0.0.1", ports_[3 * i + 2]}});
  }
  settings.services = {{ServiceId("orders"), {{"place", false}, {"stock", true}}}};
  const fakes::FakeEngineOptions& engine = options_.engine;
  for (std::size_t i = 0; i < options_.endpoints; ++i) {
    settings.endpoints.push_back(
        {.id = EndpointId("m" + std::to_string(i + 1)),
         .data_centre = DataCentreId(DataCentreOf(i % options_.endpoint_data_centres)),
         .url = endpoints_[i]->url(),
         .models = {ModelId("m")},
         .kv_capacity_bytes = engine.kv_capacity_bytes,
         .kv_bytes_per_token = engine.kv_bytes_per_token,
         .prefill_tokens_per_second = engine.prefill_tokens_per_second * engine.time_scale,
         .decode_step = FromSeconds(ToSeconds(engine.decode_step) / engine.time_scale),
         .max_running = 64,
         .checks_fencing = true});
  }
  settings.endpoints.push_back({.id = EndpointId("s1"),
                                .data_centre = DataCentreId(DataCentreOf(0)),
                                .url = service_->url(),
                                .kind = settings::EndpointKind::kService,
                                .service = ServiceId("orders")});
  return settings;
}

void TestFleet::ApplyPlan(std::string_view edit_id, PlanVersion version) {
  const nlohmann::json document = {
      {"edit",
       {{"version", version},
        {"edit_id", edit_id},
        {"author", "test"},
        {"unix_ms", daemon::ToUnixMilliseconds(clock_.WallNow())}}},
      {"client_accounts",
       {{{"client_account", "shop"},
         {"plan", "basic"},
         {"key_hashes", {plan_codec::HashBearerKey(kBearerKey)}},
         {"weight", 1},
         {"default_priority", "standard"},
         {"default_deadline_ms", 20000}}}},
      {"plans",
       {{{"id", "basic"},
         {"models", {"m"}},
         {"services", {{{"service", "orders"}, {"operations", {"place", "stock"}}}}},
         {"priorities", {"urgent", "standard"}},
         {"requests_per_second", 1000},
         {"tokens_per_second", 10000000},
         {"concurrent_cost_seconds", 100000},
         {"max_prompt_tokens", 1000000}}}}};
  net::HttpRequest request{
      .method = "PUT",
      .url = platform_->base_url() + "/kv/plans/current?expect=" + std::to_string(version - 1),
      .body = document.dump(),
      .timeout = kCallTimeout};
  const int code = Send(std::move(request)).code;
  if (code != 200) {
    Fail(std::string("the plan is not written: status ").append(std::to_string(code)));
  }
}

HttpReply TestFleet::Send(net::HttpRequest request) {
  asio::io_context io_context;
  net::CurlHttpClient client(io_context);
  HttpReply reply;
  bool done = false;
  net::FetchWhole(client, std::move(request), std::size_t{64} << 20,
                  [&](Result<net::HttpResponse> response, net::RequestProgress) {
                    done = true;
                    if (response.has_error()) {
                      reply.status = response.error();
                      return;
                    }
                    reply.code = response.value().status;
                    reply.body = std::move(response.value().body);
                    reply.headers = std::move(response.value().headers);
                  });
  while (!done && io_context.run_one() > 0) {
  }
  return reply;
}

HttpReply TestFleet::Complete(std::size_t daemon, const CompletionOptions& options) {
  const nlohmann::json body = {
      {"model", "m"}, {"prompt", options.prompt}, {"max_tokens", options.max_tokens}};
  net::HttpRequest request{.method = "POST",
                           .url = BaseUrl(ports_[3 * daemon]) + "/v1/completions",
                           .headers = options.headers,
                           .body = body.dump(),
                           .timeout = kCallTimeout};
  request.headers.push_back({"Authorization", "Bearer " + options.key});
  return Send(std::move(request));
}

std::function<HttpReply()> TestFleet::CompleteInBackground(std::size_t daemon,
                                                           const CompletionOptions& options) {
  auto reply = std::make_shared<std::future<HttpReply>>(std::async(
      std::launch::async, [this, daemon, options] { return Complete(daemon, options); }));
  return [reply] { return reply->get(); };
}

HttpReply TestFleet::CallService(std::size_t daemon, const ServiceOptions& options) {
  const auto expiry =
      daemon::ToUnixMilliseconds(clock_.WallNow() + kKeyLifetime) / 1000 / 300 * 300 + 300;
  net::HttpRequest request{
      .method = "POST",
      .url = BaseUrl(ports_[3 * daemon]) + "/v1/services/orders/" + options.operation,
      .headers = {{"Authorization", "Bearer " + std::string(kBearerKey)}},
      .body = options.body,
      .timeout = kCallTimeout};
  if (!options.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", options.idempotency_key});
    request.headers.push_back({"Idempotency-Expires", std::to_string(expiry)});
  }
  return Send(std::move(request));
}

HttpReply TestFleet::LookUp(std::size_t daemon, std::string_view idempotency_key) {
  return Send({.url = BaseUrl(ports_[3 * daemon]) + "/v1/services/orders/place/" +
                      std::string(idempotency_key),
               .headers = {{"Authorization", "Bearer " + std::string(kBearerKey)}},
               .timeout = kCallTimeout});
}

HttpReply TestFleet::Operator(std::size_t daemon, std::string method, const std::string& path,
                              std::string body) {
  return Send({.method = std::move(method),
               .url = BaseUrl(ports_[3 * daemon + 1]) + path,
               .headers = {{"Authorization", "Bearer " + std::string(kOperatorKey)}},
               .body = std::move(body),
               .timeout = kCallTimeout});
}

void TestFleet::OnFakes(const std::function<void()>& action) {
  std::promise<void> done;
  fakes_loop_.Post([&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void TestFleet::StartDaemon(std::size_t index) {
  Running& running = daemons_[index];
  running.daemon = std::make_unique<daemon::Daemon>(SettingsOf(index), clock_);
  const Status opened = running.daemon->Open();
  if (opened.has_error()) Fail("a daemon cannot open: " + opened.error().message());
  running.thread = std::thread([&running] { running.daemon->Run(); });
}

void TestFleet::StopDaemon(std::size_t index) {
  Running& running = daemons_[index];
  if (!running.daemon) return;
  running.daemon->RequestStop();
  running.thread.join();
  running.daemon.reset();
}

void TestFleet::StopAtOnce(std::size_t index) {
  if (daemons_[index].daemon) daemons_[index].daemon->RequestStop();
  StopDaemon(index);
}

bool TestFleet::WaitFor(Duration limit, const std::function<bool()>& ready) {
  asio::io_context io_context;
  asio::steady_timer timer(io_context);
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!ready()) {
    if (std::chrono::steady_clock::now() > end) return false;
    timer.expires_after(std::chrono::milliseconds(50));
    timer.wait();
  }
  return true;
}

bool TestFleet::AllReady() {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (!daemons_[i].daemon) continue;
    if (Operator(i, "GET", "/readyz").code != 200) return false;
    const nlohmann::json status =
        nlohmann::json::parse(Operator(i, "GET", "/status").body, nullptr, false);
    if (!status.is_object() || status["members"].size() != daemons_.size()) return false;
    for (const auto& endpoint : status["endpoints"]) {
      if (endpoint["endpoint"] != "s1" && !endpoint.contains("running")) return false;
    }
  }
  return true;
}

}  // namespace verbenaridge::fleet_tests
