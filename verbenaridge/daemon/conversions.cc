#include "verbenaridge/daemon/conversions.h"

namespace verbenaridge::daemon {

static_assert(static_cast<int>(wire::ClaimVerdict::kNotFound) ==
              static_cast<int>(claims::ClaimVerdict::kNotFound));
static_assert(static_cast<int>(wire::ClaimVerdict::kUnavailable) ==
              static_cast<int>(claims::ClaimVerdict::kUnavailable));

static_assert(static_cast<int>(engine::AttemptEnd::kCompleted) ==
              static_cast<int>(attempts::AttemptEnd::kCompleted));
static_assert(static_cast<int>(engine::AttemptEnd::kRefused) ==
              static_cast<int>(attempts::AttemptEnd::kRefused));
static_assert(static_cast<int>(engine::AttemptEnd::kStalled) ==
              static_cast<int>(attempts::AttemptEnd::kStalled));

attempts::AttemptEnd ToAttemptEnd(engine::AttemptEnd end) {
  return static_cast<attempts::AttemptEnd>(end);
}

std::int64_t ToUnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime FromUnixMilliseconds(std::int64_t milliseconds) {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

poison::DeathRecord ToDeathRecord(const wire::SuspectDeath& death) {
  return {.death = {death.digest, death.endpoint, death.endpoint_incarnation},
          .expiry = FromUnixMilliseconds(death.expiry_unix_ms)};
}

wire::SuspectDeath ToSuspectDeath(const poison::DeathRecord& death) {
  return {.digest = death.death.digest,
          .endpoint = death.death.endpoint,
          .endpoint_incarnation = death.death.incarnation,
          .expiry_unix_ms = ToUnixMilliseconds(death.expiry)};
}

claims::ClaimKey ToClaimKey(const wire::ClaimKey& key) {
  return {key.client_account, key.service, key.operation, key.idempotency_key};
}

wire::ClaimKey ToWireKey(const claims::ClaimKey& key) {
  return {key.client_account, key.service, key.operation, key.idempotency_key};
}

claims::ClaimRequest ToClaimRequest(const wire::ClaimRequest& request) {
  return {.key = ToClaimKey(request.key),
          .fingerprint = request.fingerprint,
          .holder = request.holder,
          .expiry = FromUnixMilliseconds(request.expiry_unix_ms)};
}

wire::ClaimRequest ToWireClaim(const claims::ClaimRequest& request) {
  return {.key = ToWireKey(request.key),
          .fingerprint = request.fingerprint,
          .holder = request.holder,
          .expiry_unix_ms = ToUnixMilliseconds(request.expiry)};
}

claims::OutcomeRequest ToOutcomeRequest(const wire::RecordOutcomeRequest& request) {
  return {.key = ToClaimKey(request.key),
          .holder = request.holder,
          .outcome = request.outcome,
          .expiry = FromUnixMilliseconds(request.expiry_unix_ms),
          .result = {.status = request.status,
                     .content_type = request.content_type,
                     .body = request.body,
                     .body_omitted = request.body_omitted}};
}

wire::RecordOutcomeRequest ToWireOutcome(const claims::OutcomeRequest& request) {
  return {.key = ToWireKey(request.key),
          .holder = request.holder,
          .outcome = request.outcome,
          .expiry_unix_ms = ToUnixMilliseconds(request.expiry),
          .status = request.result.status,
          .content_type = request.result.content_type,
          .body = request.result.body,
          .body_omitted = request.result.body_omitted};
}

claims::ClaimReply ToClaimReply(const wire::ClaimReply& reply) {
  return {.verdict = static_cast<claims::ClaimVerdict>(reply.verdict),
          .result = {.status = reply.status,
                     .content_type = reply.content_type,
                     .body = reply.body,
                     .body_omitted = reply.body_omitted}};
}

wire::ClaimReply ToClaimReply(const claims::ClaimReply& answer) {
  return {.verdict = static_cast<wire::ClaimVerdict>(answer.verdict),
          .status = answer.result.status,
          .content_type = answer.result.content_type,
          .body = answer.result.body,
          .body_omitted = answer.result.body_omitted};
}

}  // namespace verbenaridge::daemon
