// Routes, services and client accounts as configured by operators, indexed for the request path.
//
//   std::shared_ptr<const Configuration> configuration = Configuration::Create(content);
//   const Route* route = configuration->FindRoute("shop.example", "/rota/7");
//   const ClientAccount* account = configuration->FindAccount(api_key);
//
// A Configuration is immutable, so all threads may read it concurrently.
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
  kStream,  // the response is a stream of events
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
  Duration timeout{};         // total time that a client waits at most
  Duration target_latency{};  // until the response; for streams, until the first event
  Duration target_gap{};      // maximum between two events; zero: no target
  int priority = 0;           // 0 is the most urgent
  int max_attempts = 1;       // endpoints that may run one request
  bool allow_anonymous = false;
  bool resumable = false;  // an interrupted stream may be resumed at another endpoint
  std::vector<ServiceShare> services;
  std::vector<RegionId> home_regions;  // empty: all

  bool idempotent() const {
    return kind == RequestKind::kSafe || (kind == RequestKind::kStream && resumable);
  }
};

// Timing model of a language-model engine. One pass takes one step, or `stride` steps if any
// request is decoding.
struct EngineTiming {
  std::size_t slots = 0;     // maximum requests in one batch
  TokenCount kv_tokens = 0;  // capacity of the KV cache
  int stride = 1;
  Duration step{};
  Duration step_per_sequence{};          // added to a step for each running sequence
  double context_seconds_per_token = 0;  // added to a step for each token of context
  double prefill_tokens_per_second = 0;
  double attention_seconds_per_pair = 0;  // per pair of a prompt token and an earlier token
  TokenCount prefill_chunk_tokens = 0;    // maximum prefilled in one step
  Duration cross_engine_delay{};          // added to a step when the KV cache spans several engines
};

// How an endpoint behaves until it has warmed up after its start.
struct ColdStart {
  Duration duration{};
  double requests_per_second = 0;  // from all hosts together; it crashes well above
};

// One way, between two data centres. It is the same in both directions.
struct DataCentreDelay {
  DataCentreId from;
  DataCentreId to;
  Duration delay{};
};

struct Service {
  ServiceId id;
  std::size_t connection_limit = 0;  // connections to one endpoint, all hosts together
  std::optional<EngineTiming> engine;
  std::optional<ColdStart> cold_start;  // none: endpoints take all requests at once
  std::vector<DataCentreDelay> delays;  // as far as published
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
  std::optional<int> priority;         // overrides the priority of the route
  std::vector<RegionId> home_regions;  // empty: all
};

struct ConfigurationContent {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  ClientLimits limits;
  // If absent, requests need no API key.
  std::optional<std::vector<ClientAccount>> accounts;
};

class Configuration {
 public:
  static std::shared_ptr<const Configuration> Create(ConfigurationContent content);

  std::uint64_t version() const { return content_.version; }
  const ClientLimits& limits() const { return content_.limits; }
  std::size_t route_count() const { return content_.routes.size(); }
  bool needs_keys() const { return content_.accounts.has_value(); }

  // Returns the route of `host` with the longest prefix of `path`, or null if none matches. The
  // port and the case of `host` are ignored; paths are compared byte by byte.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  const Service* FindService(const ServiceId& id) const;

  // The longest delay that any service publishes for the pair, in either direction; zero: none.
  Duration DelayBetween(const DataCentreId& a, const DataCentreId& b) const;

  // Returns null if no client account has `key`.
  const ClientAccount* FindAccount(std::string_view key) const;

 private:
  explicit Configuration(ConfigurationContent content);

  ConfigurationContent content_;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routes_by_host_;
  std::unordered_map<ServiceId, const Service*> services_;
  std::unordered_map<std::string_view, const ClientAccount*> accounts_by_key_;
};

// Chooses a service of `route` at random in proportion to the weights. `draw` is uniform in [0, 1).
// Returns an empty id if all weights are zero.
ServiceId ChooseService(const Route& route, double draw);

}  // namespace verbenaridge::directory

#endif  // VERBENARIDGE_DIRECTORY_CONFIGURATION_H_
