// A model endpoint and plain services for tests, over the protocol of docs/endpoint_protocol.md.
//
//   FakeEndpoint endpoint(io_context, {.engine = {.time_scale = 100}});
//   endpoint.Open();
//   std::string url = endpoint.url();
#ifndef VERBENARIDGE_FAKES_FAKE_ENDPOINT_H_
#define VERBENARIDGE_FAKES_FAKE_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "verbenaridge/fakes/fake_engine.h"
#include "verbenaridge/frontend/http_server.h"
#include "verbenaridge/net/http_client.h"

namespace verbenaridge::fakes {

struct FakeEndpointOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  FakeEngineOptions engine;
  std::vector<std::string> models = {"m"};
  std::string role = "any";
  Duration load_lag{};  // age of load reports; zero: live
  bool checks_fencing = true;
  Duration service_delay = std::chrono::milliseconds(5);
  std::uint64_t drop_answer_every = 0;  // every n-th service call runs, and its answer is lost
  std::function<void()> on_crash;       // absent: all streams break and the engine starts anew
};

class FakeEndpoint final : private frontend::HttpService {
 public:
  FakeEndpoint(asio::io_context& io_context, FakeEndpointOptions options);
  ~FakeEndpoint() override;

  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;

  Status Open();
  std::string url() const;

  // Breaks all streams and forgets everything, as the end and new start of the process do.
  void Crash();

  // Engine steps go on, and nothing is sent, as on a connection that went silent.
  void SetSilent(bool silent) { silent_ = silent; }

  FakeEngine& engine() { return engine_; }
  const std::map<std::string, int>& executions() const { return executions_; }
  Incarnation incarnation() const { return incarnation_; }

 private:
  using Writer = std::shared_ptr<frontend::ResponseWriter>;
  struct Parts;

  void Handle(const frontend::HttpCall& call, Writer writer) override;
  void Complete(std::string_view body, const Writer& writer);
  void ReserveGroup(const std::shared_ptr<Parts>& parts, std::size_t member);
  void ReleaseGroup(const Parts& parts);
  void TellMember(const Parts& parts, std::size_t member, const char* path,
                  std::function<void(bool accepted)> done);
  void StartStream(const std::shared_ptr<Parts>& parts);
  void RunService(const frontend::HttpCall& call, const Writer& writer);
  void TakeOrder(std::string_view body, const Writer& writer);
  void ScheduleLoadReport();
  std::string RenderLoad() const;
  std::string RenderCacheEvents(std::string_view target) const;

  asio::io_context& io_context_;
  const FakeEndpointOptions options_;
  FakeEngine engine_;
  net::CurlHttpClient http_;
  frontend::HttpServer server_;
  asio::steady_timer load_timer_;
  std::vector<std::string> models_;
  std::string role_;
  bool leaving_ = false;
  bool silent_ = false;
  Incarnation incarnation_;
  std::uint64_t fencing_token_ = 0;
  std::uint64_t service_calls_ = 0;
  std::string load_report_;
  std::map<std::string, int> executions_;
  std::map<std::uint64_t, Writer> writers_;  // of running streams
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace verbenaridge::fakes

#endif  // VERBENARIDGE_FAKES_FAKE_ENDPOINT_H_
