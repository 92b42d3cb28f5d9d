// Builds the decision policies that the settings name.
#ifndef VERBENARIDGE_DAEMON_POLICIES_H_
#define VERBENARIDGE_DAEMON_POLICIES_H_

#include <memory>

#include "verbenaridge/permits/permit_types.h"
#include "verbenaridge/routing/routing_policy.h"
#include "verbenaridge/settings/settings.h"

namespace verbenaridge::daemon {

// Requires names that settings::ParseSettings accepts.
std::unique_ptr<routing::RoutingPolicy> MakeRouting(const settings::PolicySettings& settings);

routing::PolicyOptions MakeRoutingOptions(const settings::PolicySettings& settings);

permits::PolicyOptions MakePermitPolicy(const settings::PolicySettings& settings);

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_POLICIES_H_
