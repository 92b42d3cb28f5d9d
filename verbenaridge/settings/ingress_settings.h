// Settings of one ingress daemon, read from a JSON file and checked as a whole.
//
//   auto loaded = settings::LoadIngressSettings(path);
//   for (const auto& error : loaded.errors) std::cerr << error.Text();
#ifndef VERBENARIDGE_SETTINGS_INGRESS_SETTINGS_H_
#define VERBENARIDGE_SETTINGS_INGRESS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/settings/settings.h"

namespace verbenaridge::settings {

// Settings that a running daemon takes over when their file changes.
struct ReloadableSettings {
  SocketAddress store;  // of the platform
  std::vector<SocketAddress> seeds;
  std::string log_level = "info";
  double retry_budget_ratio = 0;
  Duration retry_budget_window{};
  double retry_budget_slack = 0;
  Duration grace_period{};  // between the signal to stop and the kill
  Duration endpoint_heartbeat{};

  friend bool operator==(const ReloadableSettings&, const ReloadableSettings&) = default;
};

// The others are read at the start only: they name this host, its addresses and its keys.
struct IngressSettings {
  HostId host;
  DataCentreId data_centre;
  SocketAddress clients;    // for clients
  SocketAddress readiness;  // for the platform's load balancer
  SocketAddress control;    // for other hosts that look for their peers
  std::string ip;           // of this host
  std::uint16_t first_internal_port = 0;
  std::uint16_t metrics_port = 0;  // 0: none
  std::vector<std::string> fleet_keys;
  double processor_share = 1;  // of one core
  std::size_t max_connections = 1'000;
  ReloadableSettings reloadable;

  friend bool operator==(const IngressSettings&, const IngressSettings&) = default;
};

struct LoadedIngressSettings {
  IngressSettings settings;
  std::vector<SettingError> errors;
};

LoadedIngressSettings LoadIngressSettings(const std::string& file);
LoadedIngressSettings ParseIngressSettings(std::string_view json, std::string_view file);

// Whether a running daemon needs a restart to take over all of `next`.
bool NeedsRestart(const IngressSettings& running, const IngressSettings& next);

}  // namespace verbenaridge::settings

#endif  // VERBENARIDGE_SETTINGS_INGRESS_SETTINGS_H_
