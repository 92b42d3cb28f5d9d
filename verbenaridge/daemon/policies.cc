#include "verbenaridge/daemon/policies.h"

namespace verbenaridge::daemon {
namespace {

bool HasEvenShares(const settings::PolicySettings& settings) {
  return settings.preset == settings::kEvenShares;
}

}  // namespace

std::unique_ptr<routing::RoutingPolicy> MakeRouting(const settings::PolicySettings& settings) {
  return routing::MakePolicy(settings.routing, MakeRoutingOptions(settings));
}

routing::PolicyOptions MakeRoutingOptions(const settings::PolicySettings& settings) {
  return HasEvenShares(settings) ? routing::AlpenrandOptions() : routing::KaoriSachetOptions();
}

permits::PolicyOptions MakePermitPolicy(const settings::PolicySettings& settings) {
  return HasEvenShares(settings) ? permits::AlpenrandOptions() : permits::KaoriSachetOptions();
}

}  // namespace verbenaridge::daemon
