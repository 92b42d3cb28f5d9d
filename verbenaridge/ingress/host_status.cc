#include "verbenaridge/ingress/host_status.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace verbenaridge::ingress {
namespace {

using nlohmann::ordered_json;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

bool Contains(std::span<const EndpointId> endpoints, const EndpointId& id) {
  return std::find(endpoints.begin(), endpoints.end(), id) != endpoints.end();
}

std::string_view StateOf(const directory::Endpoint& endpoint, const TrafficStatus& traffic) {
  if (endpoint.draining) return "draining";
  if (Contains(traffic.leaving_endpoints, endpoint.id)) return "leaving, told by answer";
  return Contains(traffic.ejected_endpoints, endpoint.id) ? "left_out" : "ready";
}

}  // namespace

std::string ToJson(const HostStatus& status) {
  ordered_json json = {{"host", status.host.value()},
                       {"data_centre", status.data_centre.value()},
                       {"ready", status.not_ready_reason.empty()}};
  if (!status.not_ready_reason.empty()) json["not_ready_reason"] = status.not_ready_reason;
  json["configuration"] = {{"version", status.configuration_version},
                           {"age_ms", Milliseconds(status.configuration_age)}};
  json["store_works"] = status.store_works;
  json["endpoints_age_ms"] = Milliseconds(status.endpoints_age);
  ordered_json& endpoints = json["endpoints"] = ordered_json::object();
  for (const directory::Endpoint& endpoint : status.endpoints) {
    endpoints[endpoint.id.value()] = {{"service", endpoint.service.value()},
                                      {"data_centre", endpoint.data_centre.value()},
                                      {"state", StateOf(endpoint, status.traffic)}};
  }
  ordered_json& evacuated = json["evacuated_data_centres"] = ordered_json::array();
  for (const DataCentreId& data_centre : status.evacuated_data_centres) {
    evacuated.push_back(data_centre.value());
  }
  json["keeps_board"] = status.is_scheduler;
  json["hosts"] = status.hosts;
  ordered_json& peers = json["peers"] = ordered_json::object();
  for (const PeerInfo& peer : status.peers) {
    peers[peer.host.value()] = {{"data_centre", peer.data_centre.value()},
                                {"keeps_board", peer.is_scheduler}};
  }
  const TrafficStatus& traffic = status.traffic;
  json["requests"] = {{"running", traffic.requests_running},
                      {"held", traffic.requests_queued},
                      {"known_at_endpoints", traffic.known_tasks}};
  json["client_connections"] = traffic.client_connections;
  ordered_json& budgets = json["retries_left"] = ordered_json::object();
  for (const BudgetStatus& budget : traffic.budgets) {
    budgets[budget.service.value()] = budget.retries_left;
  }
  ordered_json& limits = json["endpoint_limits_per_s"] = ordered_json::object();
  for (const EndpointLimitStatus& limited : traffic.limited_endpoints) {
    limits[limited.endpoint.value()] = limited.requests_per_second;
  }
  ordered_json& cold = json["cold_endpoints"] = ordered_json::array();
  for (const EndpointId& endpoint : traffic.cold_endpoints) cold.push_back(endpoint.value());
  json["blocked_requests"] = traffic.blocked_requests;
  json["blocked_prompt_parts"] = traffic.blocked_parts;
  return json.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace verbenaridge::ingress
