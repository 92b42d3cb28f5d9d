// Shared by the account owner and the fallback when no owner answers.
#ifndef VERBENARIDGE_DAEMON_ACCOUNT_LIMITS_H_
#define VERBENARIDGE_DAEMON_ACCOUNT_LIMITS_H_

#include <cstddef>

#include "verbenaridge/admission/account_ledger.h"
#include "verbenaridge/plans/plan_document.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

// Limits of one region's account owner: an equal part of the plan's limits for each region.
admission::AccountLimits RegionLimits(const plans::Plan& plan, std::size_t region_count);

admission::AdmitInput ToAdmitInput(const wire::AdmitRequest& request);

wire::AdmitReply ToAdmitReply(const admission::AdmitDecision& decision);

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_ACCOUNT_LIMITS_H_
