// Settings of one daemon, read from a JSON file and checked as a whole before start.
//
//   auto loaded = settings::LoadSettings("verbenaridge.json");
//   if (!loaded.errors.empty()) { for (const auto& error : loaded.errors) std::cerr <<
//   error.Text(); }
#ifndef VERBENARIDGE_SETTINGS_SETTINGS_H_
#define VERBENARIDGE_SETTINGS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::settings {

// An IP address in text form and a port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

struct PeerSettings {
  HostId host;
  DataCentreId data_centre;
  SocketAddress inner;
};

struct DataCentreSettings {
  DataCentreId id;
  RegionId region;
};

enum class EndpointKind : std::uint8_t { kModel, kService };

struct EndpointSettings {
  EndpointId id;
  DataCentreId data_centre;
  std::string url;
  EndpointKind kind = EndpointKind::kModel;
  std::vector<ModelId> models;
  ServiceId service;
  ByteCount kv_capacity_bytes = 0;
  ByteCount kv_bytes_per_token = 0;
  double prefill_tokens_per_second = 0;
  Duration decode_step{};
  std::uint32_t max_running = 0;
  bool checks_fencing = false;
};

struct OperationSettings {
  std::string name;
  bool repeatable = false;
};

struct ServiceSettings {
  ServiceId id;
  std::vector<OperationSettings> operations;
};

// Names that select a routing::RoutingPolicy.
inline constexpr std::string_view kRoutingPolicies[] = {"least_outstanding", "two_choices",
                                                        "owner_permits", "owner_permits_affinity"};
// `short_first` gives most weight to urgent requests and to the slowdown of short ones, and lets
// lower priorities wait longer. `even_shares` gives the standard priority a larger minimum share
// and sends fewer requests to other data centres, for floods and small client accounts.
inline constexpr std::string_view kShortFirst = "short_first";
inline constexpr std::string_view kEvenShares = "even_shares";
inline constexpr std::string_view kPresets[] = {kShortFirst, kEvenShares};

struct PolicySettings {
  std::string routing = "owner_permits_affinity";
  std::string preset = std::string(kShortFirst);
};

struct LimitSettings {
  std::size_t body_bytes = 8U << 20U;
  std::size_t caller_connections = 4096;
  std::size_t unsent_bytes = 256U << 10U;  // per caller; above it, reading from the endpoint pauses
  Duration default_deadline = std::chrono::seconds(120);
  Duration max_deadline = std::chrono::minutes(60);
};

struct PlatformSettings {
  std::string key_value_store_url;
  std::string host_list_url;
};

struct LogSettings {
  std::string level = "info";
  std::string file;  // empty: standard output
};

struct Settings {
  HostId host;
  DataCentreId data_centre;
  SocketAddress callers;
  SocketAddress operators;
  SocketAddress inner;
  std::uint32_t traffic_threads = 2;
  std::vector<std::string> fleet_keys;     // first: creates proofs; all: accepted
  std::vector<std::string> operator_keys;  // accepted for operators' orders
  PlatformSettings platform;
  std::vector<DataCentreSettings> data_centres;
  std::vector<PeerSettings> peers;
  std::vector<EndpointSettings> endpoints;
  std::vector<ServiceSettings> services;
  PolicySettings policy;
  LimitSettings limits;
  LogSettings log;
};

// One error in a settings file.
struct SettingError {
  std::string file;
  std::string path;  // JSON pointer, for example /endpoints/3/url
  std::string expected;

  std::string Text() const;
};

struct LoadedSettings {
  Settings settings;
  std::vector<SettingError> errors;  // empty: `settings` is valid
  // Values that are accepted under their former names; `expected` is the present one.
  std::vector<SettingError> outdated;
};

// Parses and checks settings text; `file` is used in errors only.
LoadedSettings ParseSettings(std::string_view text, std::string_view file);

// Reads and parses a file. An unreadable file is reported in `errors`.
LoadedSettings LoadSettings(const std::string& file);

}  // namespace verbenaridge::settings

#endif  // VERBENARIDGE_SETTINGS_SETTINGS_H_
