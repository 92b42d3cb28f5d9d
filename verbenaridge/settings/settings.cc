#include "verbenaridge/settings/settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

#include "verbenaridge/settings/internal/object_reader.h"

namespace verbenaridge::settings {
namespace {

using internal::ErrorList;
using internal::ObjectReader;
using Presence = ObjectReader::Presence;

constexpr std::string_view kLogLevels[] = {"debug", "info", "warn", "error"};
constexpr std::string_view kEndpointKinds[] = {"model", "service"};
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxFleetKeys = 2;

template <class Id>
Id ReadId(ObjectReader& reader, std::string_view key, Presence presence = Presence::kRequired) {
  std::string text;
  reader.Text(key, text, presence);
  return Id(text);
}

void ReadKeys(ObjectReader& reader, std::string_view key, std::vector<std::string>& out) {
  reader.Texts(key, out);
  for (const std::string& secret : out) {
    if (secret.size() < kMinKeyBytes) reader.Fault(key, "keys of at least 16 bytes");
  }
}

void ReadAddresses(ObjectReader& reader, Settings& settings) {
  reader.Object("addresses", [&](ObjectReader& addresses) {
    addresses.Address("callers", settings.callers);
    addresses.Address("operators", settings.operators);
    addresses.Address("inner", settings.inner);
  });
}

void ReadPlatform(ObjectReader& reader, PlatformSettings& platform) {
  reader.Object("platform", [&](ObjectReader& object) {
    object.Url("key_value_store", platform.key_value_store_url);
    object.Url("host_list", platform.host_list_url);
  });
}

void ReadDataCentres(ObjectReader& reader, std::vector<DataCentreSettings>& out) {
  reader.Objects("data_centres", [&](ObjectReader& object) {
    DataCentreSettings data_centre;
    data_centre.id = ReadId<DataCentreId>(object, "id");
    data_centre.region = ReadId<RegionId>(object, "region");
    out.push_back(data_centre);
  });
}

void ReadPeers(ObjectReader& reader, std::vector<PeerSettings>& out) {
  reader.Objects("peers", [&](ObjectReader& object) {
    PeerSettings peer;
    peer.host = ReadId<HostId>(object, "host");
    peer.data_centre = ReadId<DataCentreId>(object, "data_centre");
    object.Address("inner", peer.inner);
    out.push_back(peer);
  });
}

void ReadModelEndpoint(ObjectReader& object, EndpointSettings& endpoint) {
  std::vector<std::string> models;
  object.Texts("models", models);
  for (std::string& model : models) endpoint.models.emplace_back(std::move(model));
  endpoint.kv_capacity_bytes =
      object.Integer("kv_capacity_bytes", {1, 1LL << 50}, 0, Presence::kRequired);
  endpoint.kv_bytes_per_token =
      object.Integer("kv_bytes_per_token", {1, 1LL << 30}, 0, Presence::kRequired);
  endpoint.prefill_tokens_per_second =
      object.Number("prefill_tokens_per_second", {1, 1e9}, 0, Presence::kRequired);
  endpoint.decode_step =
      FromSeconds(object.Number("decode_step_ms", {0.001, 10'000}, 0, Presence::kRequired) / 1000);
}

void ReadEndpoints(ObjectReader& reader, std::vector<EndpointSettings>& out) {
  reader.Objects("endpoints", [&](ObjectReader& object) {
    EndpointSettings endpoint;
    endpoint.id = ReadId<EndpointId>(object, "id");
    endpoint.data_centre = ReadId<DataCentreId>(object, "data_centre");
    object.Url("url", endpoint.url);
    std::string kind = "model";
    object.OneOf("kind", kEndpointKinds, kind);
    endpoint.kind = kind == "model" ? EndpointKind::kModel : EndpointKind::kService;
    if (endpoint.kind == EndpointKind::kModel) {
      ReadModelEndpoint(object, endpoint);
    } else {
      endpoint.service = ReadId<ServiceId>(object, "service");
    }
    endpoint.max_running = static_cast<std::uint32_t>(object.Integer("max_running", {1, 4096}, 64));
    object.Boolean("checks_fencing", endpoint.checks_fencing);
    out.push_back(std::move(endpoint));
  });
}

void ReadServices(ObjectReader& reader, std::vector<ServiceSettings>& out) {
  reader.Objects(
      "services",
      [&](ObjectReader& object) {
        ServiceSettings service;
        service.id = ReadId<ServiceId>(object, "id");
        object.Objects("operations", [&](ObjectReader& operation_object) {
          OperationSettings operation;
          operation_object.Text("name", operation.name);
          operation_object.Boolean("repeatable", operation.repeatable);
          service.operations.push_back(std::move(operation));
        });
        out.push_back(std::move(service));
      },
      Presence::kOptional);
}

void ReadLimits(ObjectReader& object, LimitSettings& limits) {
  const auto size = [&](std::string_view key, internal::IntegerRange range, std::size_t fallback) {
    return static_cast<std::size_t>(
        object.Integer(key, range, static_cast<std::int64_t>(fallback)));
  };
  limits.body_bytes = size("body_bytes", {1024, 1LL << 30}, limits.body_bytes);
  limits.caller_connections = size("caller_connections", {1, 100'000}, limits.caller_connections);
  limits.unsent_bytes = size("unsent_bytes", {1024, 1LL << 26}, limits.unsent_bytes);
  constexpr internal::IntegerRange kDeadlineRange = {100, 24LL * 3600 * 1000};
  limits.default_deadline =
      object.Milliseconds("default_deadline_ms", kDeadlineRange, limits.default_deadline);
  limits.max_deadline = object.Milliseconds("max_deadline_ms", kDeadlineRange, limits.max_deadline);
  if (limits.default_deadline > limits.max_deadline) {
    object.Fault("default_deadline_ms", "at most max_deadline_ms");
  }
}

// Settings files of earlier releases have the former names.
void ReadPreset(ObjectReader& object, std::string& preset) {
  constexpr internal::FormerName kFormerNames[] = {{"kaori_sachet", kShortFirst},
                                                   {"alpenrand", kEvenShares}};
  object.OneOf("preset", kPresets, preset, kFormerNames);
}

void ReadOptionalParts(ObjectReader& reader, Settings& settings) {
  reader.Object(
      "policy",
      [&](ObjectReader& object) {
        object.OneOf("routing", kRoutingPolicies, settings.policy.routing);
        ReadPreset(object, settings.policy.preset);
      },
      Presence::kOptional);
  reader.Object(
      "limits", [&](ObjectReader& object) { ReadLimits(object, settings.limits); },
      Presence::kOptional);
  reader.Object(
      "log",
      [&](ObjectReader& object) {
        object.OneOf("level", kLogLevels, settings.log.level);
        object.Text("file", settings.log.file, Presence::kOptional);
      },
      Presence::kOptional);
}

Settings ReadSettings(ObjectReader& reader) {
  Settings settings;
  settings.host = ReadId<HostId>(reader, "host");
  settings.data_centre = ReadId<DataCentreId>(reader, "data_centre");
  ReadAddresses(reader, settings);
  settings.traffic_threads =
      static_cast<std::uint32_t>(reader.Integer("traffic_threads", {1, 64}, 2));
  ReadKeys(reader, "fleet_keys", settings.fleet_keys);
  if (settings.fleet_keys.size() > kMaxFleetKeys) reader.Fault("fleet_keys", "one or two keys");
  ReadKeys(reader, "operator_keys", settings.operator_keys);
  ReadPlatform(reader, settings.platform);
  ReadDataCentres(reader, settings.data_centres);
  ReadPeers(reader, settings.peers);
  ReadEndpoints(reader, settings.endpoints);
  ReadServices(reader, settings.services);
  ReadOptionalParts(reader, settings);
  reader.RefuseUnknownKeys();
  return settings;
}

// Checks references between parts of the settings.
class ReferenceChecker {
 public:
  ReferenceChecker(const Settings& settings, ErrorList& errors)
      : settings_(settings), errors_(errors) {
    for (const DataCentreSettings& data_centre : settings.data_centres) {
      data_centres_.insert(data_centre.id);
    }
    for (const ServiceSettings& service : settings.services) services_.insert(service.id);
  }

  void Check() {
    CheckDataCentre("/data_centre", settings_.data_centre);
    std::set<HostId> hosts;
    for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
      const std::string path = "/peers/" + std::to_string(i);
      CheckDataCentre(path + "/data_centre", settings_.peers[i].data_centre);
      CheckUnique(path + "/host", settings_.peers[i].host, hosts);
    }
    std::set<EndpointId> endpoints;
    for (std::size_t i = 0; i < settings_.endpoints.size(); ++i) {
      CheckEndpoint("/endpoints/" + std::to_string(i), settings_.endpoints[i], endpoints);
    }
  }

 private:
  void CheckEndpoint(const std::string& path, const EndpointSettings& endpoint,
                     std::set<EndpointId>& seen) {
    CheckDataCentre(path + "/data_centre", endpoint.data_centre);
    CheckUnique(path + "/id", endpoint.id, seen);
    if (endpoint.kind == EndpointKind::kService && !services_.contains(endpoint.service)) {
      errors_.Add(path + "/service", "a service listed in /services");
    }
  }

  void CheckDataCentre(const std::string& path, const DataCentreId& id) {
    if (!data_centres_.contains(id)) errors_.Add(path, "a data centre listed in /data_centres");
  }

  template <class Id>
  void CheckUnique(const std::string& path, const Id& id, std::set<Id>& seen) {
    if (!seen.insert(id).second) errors_.Add(path, "a name that is used once");
  }

  const Settings& settings_;
  ErrorList& errors_;
  std::set<DataCentreId> data_centres_;
  std::set<ServiceId> services_;
};

}  // namespace

std::string SettingError::Text() const { return file + ": " + path + ": expected " + expected; }

LoadedSettings ParseSettings(std::string_view text, std::string_view file) {
  ErrorList errors(file);
  LoadedSettings loaded;
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    errors.Add("/", "valid JSON");
  } else {
    ObjectReader reader(json, "", errors);
    loaded.settings = ReadSettings(reader);
    ReferenceChecker(loaded.settings, errors).Check();
  }
  loaded.outdated = errors.TakeOutdated();
  loaded.errors = errors.Take();
  return loaded;
}

LoadedSettings LoadSettings(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return {.settings = {}, .errors = {{file, "/", "a readable file"}}};
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  return ParseSettings(text, file);
}

}  // namespace verbenaridge::settings
