// State of a host at one moment, shown by its status page.
//
//   HostStatus status{.host = self, .ready = true, ...};
//   std::string json = ToJson(status);
#ifndef VERBENARIDGE_INGRESS_HOST_STATUS_H_
#define VERBENARIDGE_INGRESS_HOST_STATUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/directory/endpoint_table.h"
#include "verbenaridge/ingress/peer_list.h"

namespace verbenaridge::ingress {

struct BudgetStatus {
  ServiceId service;
  double retries_left = 0;  // retries that this host may still make
};

struct EndpointLimitStatus {
  EndpointId endpoint;
  double requests_per_second = 0;  // from all hosts together
};

// Part of the status that the traffic thread provides.
struct TrafficStatus {
  std::size_t requests_running = 0;
  std::size_t requests_queued = 0;
  std::size_t known_tasks = 0;  // at endpoints, of all hosts
  std::size_t client_connections = 0;
  std::vector<EndpointId> ejected_endpoints;
  std::vector<EndpointId> leaving_endpoints;  // according to their responses
  std::vector<EndpointId> cold_endpoints;
  std::vector<EndpointLimitStatus> limited_endpoints;  // according to responses
  std::vector<BudgetStatus> budgets;
  std::vector<std::string> blocked_requests;  // their keys
  std::vector<std::string> blocked_parts;  // of prompts; entries with several parts: together only
};

struct HostStatus {
  HostId host;
  DataCentreId data_centre;
  std::string not_ready_reason;  // empty: ready
  std::uint64_t configuration_version = 0;
  Duration configuration_age{};  // since it was last known to be the newest
  bool store_works = true;
  Duration endpoints_age{};
  std::vector<directory::Endpoint> endpoints;
  std::vector<DataCentreId> evacuated_data_centres;
  bool is_scheduler = false;
  std::size_t hosts = 1;        // live hosts in the system, including this one
  std::vector<PeerInfo> peers;  // live peers
  TrafficStatus traffic;
};

// Returns one JSON object with ages in milliseconds.
std::string ToJson(const HostStatus& status);

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_HOST_STATUS_H_
