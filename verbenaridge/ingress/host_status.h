// What a host knows and believes at one moment, for its status page.
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
  double retries_left = 0;  // that this host may still spend
};

// Of the traffic thread.
struct TrafficStatus {
  std::size_t requests_running = 0;
  std::size_t requests_held = 0;
  std::size_t works_known = 0;  // requests at endpoints, of all hosts
  std::size_t client_connections = 0;
  std::vector<EndpointId> left_out;  // after failures
  std::vector<BudgetStatus> budgets;
};

struct HostStatus {
  HostId host;
  DataCentreId data_centre;
  std::string not_ready_reason;  // empty: ready
  std::uint64_t configuration_version = 0;
  Duration configuration_age{};  // since it was known to be the newest
  bool store_works = true;
  Duration endpoints_age{};
  std::vector<directory::Endpoint> endpoints;
  bool keeps_board = false;
  std::size_t hosts = 1;        // of the system, as this one believes
  std::vector<PeerInfo> peers;  // that this host hears
  TrafficStatus traffic;
};

// One JSON object; ages in milliseconds.
std::string ToJson(const HostStatus& status);

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_HOST_STATUS_H_
