// A small fleet in one process for tests: real daemons, fake endpoints and a fake platform on
// loopback.
//
//   TestFleet fleet({.daemons = 3});
//   HttpReply reply = fleet.Complete(0, {.prompt = "hello"});
#ifndef VERBENARIDGE_FLEET_TESTS_TEST_FLEET_H_
#define VERBENARIDGE_FLEET_TESTS_TEST_FLEET_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/daemon/daemon.h"
#include "verbenaridge/fakes/fake_endpoint.h"
#include "verbenaridge/fakes/platform/fake_platform.h"
#include "verbenaridge/loop/event_loop.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::fleet_tests {

inline constexpr std::string_view kBearerKey = "shop-key";
inline constexpr std::string_view kOperatorKey = "fleet-test-operator-key";

struct HttpReply {
  Status status = Ok();  // of the transport
  int code = 0;
  std::string body;
  std::vector<net::HttpHeader> headers;

  std::string header(std::string_view name) const;
};

struct CompletionOptions {
  std::string prompt = "hello";
  int max_tokens = 8;
  std::vector<net::HttpHeader> headers;
  std::string key = std::string(kBearerKey);
};

struct ServiceOptions {
  std::string operation = "place";
  std::string idempotency_key;
  std::string body = "{}";
};

// Calls block the test's thread until they end or time out.
class TestFleet {
 public:
  struct Options {
    std::size_t daemons = 3;  // one data centre each
    std::size_t endpoints = 3;
    fakes::FakeEngineOptions engine;        // of all endpoints
    std::size_t endpoint_data_centres = 3;  // among which the endpoints are spread
    std::string routing = "owner_permits_affinity";
  };

  explicit TestFleet(Options options);
  ~TestFleet();

  HttpReply Complete(std::size_t daemon, const CompletionOptions& options);
  HttpReply CallService(std::size_t daemon, const ServiceOptions& options);
  HttpReply LookUp(std::size_t daemon, std::string_view idempotency_key);
  HttpReply Operator(std::size_t daemon, std::string method, const std::string& path,
                     std::string body = {});
  HttpReply Send(net::HttpRequest request);

  // Starts a completion and returns at once; the reply arrives in the background.
  std::function<HttpReply()> CompleteInBackground(std::size_t daemon,
                                                  const CompletionOptions& options);

  // Runs `action` on the thread of the fakes and waits for it.
  void OnFakes(const std::function<void()>& action);

  fakes::FakePlatform& platform() { return *platform_; }
  fakes::FakeEndpoint& endpoint(std::size_t index) { return *endpoints_[index]; }
  // Ends the endpoint as the end of its process does. Call on the thread of the fakes.
  void RemoveEndpoint(std::size_t index) { endpoints_[index].reset(); }
  fakes::FakeEndpoint& service() { return *service_; }

  void StartDaemon(std::size_t index);
  // Drains the daemon and waits for its end.
  void StopDaemon(std::size_t index);
  void StopAtOnce(std::size_t index);

  // Waits until `ready` holds, polling every 50 ms for at most `limit`.
  static bool WaitFor(Duration limit, const std::function<bool()>& ready);

  void ApplyPlan(std::string_view edit_id, PlanVersion version);
  bool AllReady();

 private:
  struct Running {
    std::unique_ptr<daemon::Daemon> daemon;
    std::thread thread;
  };

  settings::Settings SettingsOf(std::size_t index) const;

  const Options options_;
  SystemClock clock_;
  std::vector<std::uint16_t> ports_;  // three for each daemon
  loop::EventLoop fakes_loop_;
  std::unique_ptr<fakes::FakePlatform> platform_;
  std::vector<std::unique_ptr<fakes::FakeEndpoint>> endpoints_;
  std::unique_ptr<fakes::FakeEndpoint> service_;
  std::vector<Running> daemons_;
};

}  // namespace verbenaridge::fleet_tests

#endif  // VERBENARIDGE_FLEET_TESTS_TEST_FLEET_H_
