#include "verbenaridge/daemon/policies.h"

namespace verbenaridge::daemon {
namespace {

bool IsAlpenrand(const settings::PolicySettings& settings) {
  return settings.preset == "alpenrand";
}

}  // namespace

std::unique_ptr<routing::RoutingPolicy> MakeRouting(const settings::PolicySettings& settings) {
  return routing::MakePolicy(settings.routing, MakeRoutingOptions(settings));
}

routing::PolicyOptions MakeRoutingOptions(const settings::PolicySettings& settings) {
  return IsAlpenrand(settings) ? routing::AlpenrandOptions() : routing::KaoriSachetOptions();
}

permits::PolicyOptions MakePermitPolicy(const settings::PolicySettings& settings) {
  return IsAlpenrand(settings) ? permits::AlpenrandOptions() : permits::KaoriSachetOptions();
}

}  // namespace verbenaridge::daemon
