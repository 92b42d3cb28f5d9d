// The JSON document that operators see at /status.
#ifndef VERBENARIDGE_DAEMON_STATUS_REPORT_H_
#define VERBENARIDGE_DAEMON_STATUS_REPORT_H_

#include <cstddef>
#include <map>
#include <string>

#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/poison/suspect_registry.h"
#include "verbenaridge/settings/settings.h"
#include "verbenaridge/store/store_gateway.h"

namespace verbenaridge::daemon {

struct StatusInput {
  const settings::Settings& settings;
  const Snapshot& snapshot;
  const std::map<DataCentreId, PlanVersion>& confirmed;
  const store::StoreGateway& gateway;
  const poison::SuspectRegistry& suspects;
  WallTime now{};
  bool draining = false;
  bool watching = false;
  std::size_t busy = 0;
};

std::string MakeStatusJson(const StatusInput& input);

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_STATUS_REPORT_H_
