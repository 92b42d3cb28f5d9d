// The operators' configuration as the request path uses it: routes, services, client accounts.
//
//   std::shared_ptr<const Configuration> configuration = Configuration::Create(content);
//   const Route* route = configuration->FindRoute("shop.example", "/rota/7");
//   const ClientAccount* account = configuration->FindAccount(api_key);
//
// Immutable after Create, so all threads may read it.
#ifndef VERBENARIDGE_DIRECTORY_CONFIGURATION_H_
#define VERBENARIDGE_DIRECTORY_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::directory {

enum class RequestKind : std::uint8_t {
  kSafe,    // may run more than once
  kUnsafe,  // runs at most once for each request
  kStream,  // answers with events
};

struct ServiceShare {
  ServiceId service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kUnsafe;
  Duration timeout{};         // the longest time that a client is kept waiting
  Duration target_latency{};  // of the answer, for streams of the first event
  Duration target_gap{};      // longest pause between events; zero: none stated
  int priority = 0;           // 0 is the most urgent
  int max_attempts = 1;       // endpoints that may run one request
  bool allow_anonymous = false;
  bool resumable = false;  // a broken stream may go on at another endpoint
  std::vector<ServiceShare> services;

  bool idempotent() const {
    return kind == RequestKind::kSafe || (kind == RequestKind::kStream && resumable);
  }
};

// How a model engine spends its time. One pass takes one step, or `stride` steps if any request is
// decoding.
struct EngineTiming {
  std::size_t slots = 0;  // requests in one batch
  TokenCount kv_tokens = 0;
  int stride = 1;
  Duration step{};
  Duration step_per_sequence{};
  double context_seconds_per_token = 0;  // added to a step for each token of context
  double prefill_tokens_per_second = 0;
  double attention_seconds_per_pair = 0;  // of a prompt token and an earlier one
  TokenCount prefill_chunk_tokens = 0;    // read in one step
  Duration cross_engine_delay{};  // added to a step when the prompt's memory is on several engines
};

struct Service {
  ServiceId id;
  std::size_t connection_limit = 0;  // of all hosts together, at one endpoint
  std::optional<EngineTiming> engine;
};

struct ClientLimits {
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct ClientAccount {
  ClientAccountId id;
  std::vector<std::string> keys;
  std::optional<int> priority;  // goes before the route's
};

struct ConfigurationContent {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  ClientLimits limits;
  // Absent: requests need no key.
  std::optional<std::vector<ClientAccount>> accounts;
};

class Configuration {
 public:
  static std::shared_ptr<const Configuration> Create(ConfigurationContent content);

  std::uint64_t version() const { return content_.version; }
  const ClientLimits& limits() const { return content_.limits; }
  std::size_t route_count() const { return content_.routes.size(); }
  bool needs_keys() const { return content_.accounts.has_value(); }

  // The route of the host with the longest prefix of the path; null if there is none. Both are
  // compared byte by byte, the host without its port and without case.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  const Service* FindService(const ServiceId& id) const;

  // Null for a key that no client account holds.
  const ClientAccount* FindAccount(std::string_view key) const;

 private:
  explicit Configuration(ConfigurationContent content);

  ConfigurationContent content_;
  // Routes of one host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routes_by_host_;
  std::unordered_map<ServiceId, const Service*> services_;
  std::unordered_map<std::string_view, const ClientAccount*> accounts_by_key_;
};

// The service that a request of the route goes to, by the weights. `draw` is uniform in [0, 1).
// Empty if all weights are zero.
ServiceId ChooseService(const Route& route, double draw);

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_CONFIGURATION_H_
