#include "verbenaridge/settings/ingress_settings.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "verbenaridge/settings/internal/object_reader.h"

namespace verbenaridge::settings {
namespace {

using internal::ErrorList;
using internal::ObjectReader;

constexpr std::string_view kLogLevels[] = {"debug", "info", "warn", "error"};
// File descriptors reserved for logs, event loops, the store, peers and endpoints.
constexpr std::int64_t kReservedDescriptors = 200;
// Each client connection may need a second one, to an endpoint.
constexpr std::int64_t kDescriptorsPerClient = 2;
constexpr std::int64_t kMaxPort = 65'535;
// The names of those that may get a request are part of a datagram.
constexpr std::size_t kMaxDataCentres = 32;

void ReadRetryBudget(ObjectReader& reader, IngressSettings& settings) {
  settings.reloadable.retry_budget_ratio =
      reader.Number("ratio", {.minimum = 0, .maximum = 10}, 0.2);
  settings.reloadable.retry_budget_window = reader.Milliseconds(
      "window_ms", {.minimum = 100, .maximum = 600'000}, std::chrono::seconds(10));
  settings.reloadable.retry_budget_slack =
      reader.Number("slack", {.minimum = 0, .maximum = 1e6}, 0);
}

void ReadSeeds(ObjectReader& reader, IngressSettings& settings) {
  reader.Objects(
      "seeds",
      [&](ObjectReader& seed) {
        SocketAddress address;
        seed.Address("address", address);
        settings.reloadable.seeds.push_back(std::move(address));
      },
      ObjectReader::Presence::kOptional);
}

void ReadAll(ObjectReader& reader, IngressSettings& settings) {
  std::string host;
  std::string data_centre;
  reader.Text("host", host);
  reader.Text("data_centre", data_centre);
  settings.host = HostId(std::move(host));
  settings.data_centre = DataCentreId(std::move(data_centre));
  reader.Text("ip", settings.ip);
  reader.Address("clients", settings.clients);
  reader.Address("readiness", settings.readiness);
  reader.Address("control", settings.control);
  reader.Address("store", settings.reloadable.store);
  using Presence = ObjectReader::Presence;
  settings.first_internal_port = static_cast<std::uint16_t>(reader.Integer(
      "first_internal_port", {.minimum = 1, .maximum = kMaxPort - 2}, 0, Presence::kRequired));
  settings.metrics_port = static_cast<std::uint16_t>(
      reader.Integer("metrics_port", {.minimum = 0, .maximum = kMaxPort}, 0));
  reader.Texts("fleet_keys", settings.fleet_keys);
  ReadSeeds(reader, settings);
  settings.processor_share =
      reader.Number("processor_share", {.minimum = 0.001, .maximum = 1'000}, 1);
  const std::int64_t descriptors =
      reader.Integer("file_descriptors", {.minimum = 300, .maximum = 1 << 20}, 2'200);
  settings.max_connections =
      static_cast<std::size_t>((descriptors - kReservedDescriptors) / kDescriptorsPerClient);
  settings.max_held_response_bytes = static_cast<std::size_t>(
      reader.Integer("max_held_response_bytes", {.minimum = 1'024, .maximum = 1 << 26},
                     static_cast<std::int64_t>(settings.max_held_response_bytes)));
  reader.Boolean("evacuation", settings.evacuation);
  reader.Boolean("overload_control", settings.overload_control);
  reader.Boolean("adaptive_crossing", settings.adaptive_crossing);
  reader.Boolean("readiness_needs_endpoints", settings.readiness_needs_endpoints);
  settings.cold_overshoot = reader.Number("cold_overshoot", {.minimum = 1, .maximum = 100}, 1.5);
  settings.cold_slack = reader.Number("cold_slack", {.minimum = 0, .maximum = 1e6}, 5);
  settings.endpoint_pause =
      FromSeconds(reader.Number("endpoint_pause_s", {.minimum = 0, .maximum = 3'600}, 0));
  std::map<std::string, std::string> regions;
  reader.TextMap("regions", kMaxDataCentres, regions);
  for (auto& [name, region] : regions) {
    settings.regions.emplace(DataCentreId(name), RegionId(std::move(region)));
  }
  reader.OneOf("log_level", kLogLevels, settings.reloadable.log_level);
  reader.Object(
      "retry_budget", [&](ObjectReader& budget) { ReadRetryBudget(budget, settings); },
      Presence::kOptional);
  settings.reloadable.grace_period = reader.Milliseconds(
      "grace_period_ms", {.minimum = 1'000, .maximum = 600'000}, std::chrono::seconds(8));
  settings.reloadable.endpoint_heartbeat =
      reader.Milliseconds("endpoint_heartbeat_ms", {.minimum = 10, .maximum = 60'000},
                          std::chrono::milliseconds(1'200));
  reader.RefuseUnknownKeys();
}

}  // namespace

LoadedIngressSettings ParseIngressSettings(std::string_view text, std::string_view file) {
  LoadedIngressSettings loaded;
  ErrorList errors(file);
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    errors.Add("/", "a JSON object");
  } else {
    ObjectReader reader(json, "", errors);
    ReadAll(reader, loaded.settings);
  }
  loaded.errors = errors.Take();
  return loaded;
}

bool NeedsRestart(const IngressSettings& running, const IngressSettings& next) {
  IngressSettings applied = running;
  applied.reloadable = next.reloadable;
  return applied != next;
}

LoadedIngressSettings LoadIngressSettings(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return {.settings = {}, .errors = {{file, "/", "a readable file"}}};
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  return ParseIngressSettings(text, file);
}

}  // namespace verbenaridge::settings
