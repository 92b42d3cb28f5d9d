#include "verbenaridge/daemon/account_limits.h"

namespace verbenaridge::daemon {
namespace {

wire::RefusalReason ReasonOf(admission::AdmitReason reason) {
  switch (reason) {
    case admission::AdmitReason::kRateLimited:
      return wire::RefusalReason::kRateLimited;
    case admission::AdmitReason::kConcurrencyLimited:
      return wire::RefusalReason::kConcurrencyLimited;
    case admission::AdmitReason::kNone:
      return wire::RefusalReason::kNone;
    default:
      return wire::RefusalReason::kPlanForbids;
  }
}

}  // namespace

admission::AccountLimits RegionLimits(const plans::Plan& plan, std::size_t region_count) {
  const double share = 1.0 / static_cast<double>(region_count);
  return {.requests_per_second = plan.requests_per_second * share,
          .tokens_per_second = plan.tokens_per_second * share,
          .concurrent_cost = plan.concurrent_cost_seconds * share,
          .models = {},
          .services = {},
          .priorities = {}};
}

admission::AdmitInput ToAdmitInput(const wire::AdmitRequest& request) {
  return {.holder = request.holder,
          .account = request.client_account,
          .model = {},
          .service = {},
          .priority = request.priority,
          .tokens = request.tokens,
          .cost_seconds = request.cost_seconds};
}

wire::AdmitReply ToAdmitReply(const admission::AdmitDecision& decision) {
  return {.verdict = decision.admitted ? wire::Verdict::kGranted : wire::Verdict::kRefused,
          .reason = ReasonOf(decision.reason),
          .retry_after = decision.retry_after};
}

}  // namespace verbenaridge::daemon
