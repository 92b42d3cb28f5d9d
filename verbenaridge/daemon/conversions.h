// Conversions between messages of the inner protocol and the types of the decision packages.
#ifndef VERBENARIDGE_DAEMON_CONVERSIONS_H_
#define VERBENARIDGE_DAEMON_CONVERSIONS_H_

#include <cstdint>

#include "verbenaridge/attempts/request_machine.h"
#include "verbenaridge/base/clock.h"
#include "verbenaridge/claims/claim_types.h"
#include "verbenaridge/engine/endpoint_client.h"
#include "verbenaridge/poison/suspect_registry.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

attempts::AttemptEnd ToAttemptEnd(engine::AttemptEnd end);

std::int64_t ToUnixMilliseconds(WallTime time);
WallTime FromUnixMilliseconds(std::int64_t milliseconds);

poison::DeathRecord ToDeathRecord(const wire::SuspectDeath& death);
wire::SuspectDeath ToSuspectDeath(const poison::DeathRecord& death);

claims::ClaimKey ToClaimKey(const wire::ClaimKey& key);
wire::ClaimKey ToWireKey(const claims::ClaimKey& key);
claims::ClaimRequest ToClaimRequest(const wire::ClaimRequest& request);
wire::ClaimRequest ToWireClaim(const claims::ClaimRequest& request);
claims::OutcomeRequest ToOutcomeRequest(const wire::RecordOutcomeRequest& request);
wire::RecordOutcomeRequest ToWireOutcome(const claims::OutcomeRequest& request);
claims::ClaimReply ToClaimReply(const wire::ClaimReply& reply);
wire::ClaimReply ToClaimReply(const claims::ClaimReply& answer);

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_CONVERSIONS_H_
