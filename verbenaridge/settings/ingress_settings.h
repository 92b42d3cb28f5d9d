// Settings of one ingress daemon, read from a JSON file and checked as a whole.
//
//   auto loaded = settings::LoadIngressSettings(path);
//   for (const auto& error : loaded.errors) std::cerr << error.Text();
#ifndef VERBENARIDGE_SETTINGS_INGRESS_SETTINGS_H_
#define VERBENARIDGE_SETTINGS_INGRESS_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/settings/settings.h"

namespace verbenaridge::settings {

// Settings that a running daemon applies when the settings file changes.
struct ReloadableSettings {
  SocketAddress store;  // the platform's store
  std::vector<SocketAddress> seeds;
  std::string log_level = "info";
  double retry_budget_ratio = 0;
  Duration retry_budget_window{};
  double retry_budget_slack = 0;
  Duration grace_period{};  // from the stop signal until the process is killed
  Duration endpoint_heartbeat{};

  friend bool operator==(const ReloadableSettings&, const ReloadableSettings&) = default;
};

// All settings. Those outside `reloadable` are read at start only.
struct IngressSettings {
  HostId host;
  DataCentreId data_centre;
  SocketAddress clients;    // accepts client connections
  SocketAddress readiness;  // readiness probes of the platform's load balancer
  SocketAddress control;    // peer discovery by other hosts
  std::string ip;           // address of this host
  std::uint16_t first_internal_port = 0;
  std::uint16_t metrics_port = 0;  // 0: none
  std::vector<std::string> fleet_keys;
  double processor_share = 1;  // of one core
  std::size_t max_connections = 1'000;
  // Of a response that is checked whole before it is forwarded.
  std::size_t max_held_response_bytes = std::size_t{256} * 1024;
  // Whether operators may evacuate data centres through the store.
  bool evacuation = false;
  // Whether requests beyond the capacity of all endpoints are shared between client accounts,
  // ordered by what can still be in time, and refused early.
  bool overload_control = false;
  // Whether the cost of sending requests to other data centres follows the loads of both. Without
  // it, the cost is fixed for each kind of service.
  bool adaptive_crossing = false;
  // Whether a host that can reach no endpoint at all tells the load balancer that it is not ready,
  // so that clients use the hosts of other data centres.
  bool readiness_needs_endpoints = false;
  // A cold endpoint survives `cold_overshoot` times its rate, and `cold_slack` requests more, in
  // each second.
  double cold_overshoot = 1.5;
  double cold_slack = 5;
  // The longest pause that endpoints may ask for in a refusal; zero: such requests are ignored.
  Duration endpoint_pause{};
  // Region of each data centre. Requests with home regions reach no data centre without one.
  std::map<DataCentreId, RegionId> regions;
  ReloadableSettings reloadable;

  friend bool operator==(const IngressSettings&, const IngressSettings&) = default;
};

struct LoadedIngressSettings {
  IngressSettings settings;
  std::vector<SettingError> errors;
};

LoadedIngressSettings LoadIngressSettings(const std::string& file);
LoadedIngressSettings ParseIngressSettings(std::string_view json, std::string_view file);

// Whether a running daemon must be restarted to apply all of `next`.
bool NeedsRestart(const IngressSettings& running, const IngressSettings& next);

}  // namespace verbenaridge::settings

#endif  // VERBENARIDGE_SETTINGS_INGRESS_SETTINGS_H_
