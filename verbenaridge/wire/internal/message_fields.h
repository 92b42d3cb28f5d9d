// The fields of each message in the order in which codec.cc encodes them.
//
// New fields are appended: a receiver that does not know them ignores them. kAddedFields says how
// many fields at the end the last release does not send; they keep their defaults then.
#ifndef VERBENARIDGE_WIRE_INTERNAL_MESSAGE_FIELDS_H_
#define VERBENARIDGE_WIRE_INTERNAL_MESSAGE_FIELDS_H_

#include <concepts>
#include <cstddef>
#include <tuple>
#include <type_traits>

#include "verbenaridge/wire/messages.h"

namespace verbenaridge::wire::internal {

// Lets one function serve the const messages of the encoder and the mutable ones of the decoder.
template <class Self, class Message>
concept Like = std::same_as<std::remove_const_t<Self>, Message>;

template <class Message>
inline constexpr std::size_t kAddedFields = 0;
template <>
inline constexpr std::size_t kAddedFields<PeerEntry> = 3;
template <>
inline constexpr std::size_t kAddedFields<DirectoryGossip> = 9;
template <>
inline constexpr std::size_t kAddedFields<CrashEntry> = 2;
template <>
inline constexpr std::size_t kAddedFields<CrashRefusalEntry> = 4;
template <>
inline constexpr std::size_t kAddedFields<LoadUpdate> = 2;
template <>
inline constexpr std::size_t kAddedFields<EndpointEntry> = 1;
template <>
inline constexpr std::size_t kAddedFields<TaskEntry> = 2;
template <>
inline constexpr std::size_t kAddedFields<PlacementRequest> = 6;
template <>
inline constexpr std::size_t kAddedFields<PlacementReply> = 1;
template <>
inline constexpr std::size_t kAddedFields<FetchDirectoryRequest> = 1;
template <>
inline constexpr std::size_t kAddedFields<FetchDirectoryReply> = 5;

template <Like<HolderId> Self>
auto Fields(Self& m) {
  return std::tie(m.host, m.incarnation, m.sequence);
}

template <Like<AdmitRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.holder, m.client_account, m.priority, m.digest, m.tokens, m.cost_seconds,
                  m.present);
}

template <Like<AdmitReply> Self>
auto Fields(Self& m) {
  return std::tie(m.verdict, m.reason, m.retry_after, m.isolate);
}

template <Like<FinishAdmissionRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.holder, m.client_account, m.digest, m.tokens_admitted, m.tokens_used,
                  m.completed, m.deaths, m.dispatched);
}

template <Like<PermitRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.holder, m.attempt, m.endpoint, m.client_account, m.priority, m.weight,
                  m.prompt_tokens, m.max_output_tokens, m.model, m.digest, m.cached_tokens,
                  m.prefix_blocks, m.isolate, m.preemptible, m.kv_bytes, m.max_wait,
                  m.redirect_above, m.lent, m.spilled);
}

template <Like<PermitReply> Self>
auto Fields(Self& m) {
  return std::tie(m.verdict, m.reason, m.permit, m.owner_incarnation, m.endpoint_incarnation,
                  m.cached_tokens, m.alternative, m.retry_after);
}

template <Like<PermitState> Self>
auto Fields(Self& m) {
  return std::tie(m.permit, m.holder, m.attempt, m.endpoint, m.client_account, m.priority,
                  m.kv_bytes, m.remaining_cost_seconds, m.digest, m.isolate, m.preemptible);
}

template <Like<RenewPermitsRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.permits);
}

template <Like<RenewPermitsReply> Self>
auto Fields(Self& m) {
  return std::tie(m.revoked);
}

template <Like<ReleasePermitRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.permit, m.holder, m.endpoint, m.outcome, m.broken, m.prefill_tokens,
                  m.output_tokens, m.prefill_time, m.decode_time, m.completed);
}

template <Like<FirstTokenRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.permit, m.endpoint);
}

template <Like<ReleasePermitReply> Self>
auto Fields(Self& m) {
  return std::tie(m.endpoint_died, m.endpoint_incarnation);
}

template <Like<RevokePermitRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.permit, m.holder, m.endpoint);
}

template <Like<ClaimKey> Self>
auto Fields(Self& m) {
  return std::tie(m.client_account, m.service, m.operation, m.idempotency_key);
}

template <Like<ClaimRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.key, m.fingerprint, m.holder, m.expiry_unix_ms);
}

template <Like<ClaimReply> Self>
auto Fields(Self& m) {
  return std::tie(m.verdict, m.status, m.content_type, m.body, m.body_omitted);
}

template <Like<RecordOutcomeRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.key, m.holder, m.outcome, m.expiry_unix_ms, m.status, m.content_type, m.body,
                  m.body_omitted);
}

template <Like<LookUpClaimRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.key);
}

template <Like<PushPlanDeltaRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.from_version, m.to_version, m.delta);
}

template <Like<PushPlanDeltaReply> Self>
auto Fields(Self& m) {
  return std::tie(m.version, m.incarnation, m.conflict);
}

template <Like<FetchPlanRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.have_version, m.data_centre);
}

template <Like<FetchPlanReply> Self>
auto Fields(Self& m) {
  return std::tie(m.version, m.confirmed_version, m.serving, m.own_data_centre, m.document);
}

template <Like<StatusRequest> Self>
auto Fields(Self&) {
  return std::tie();
}

template <Like<StatusReply> Self>
auto Fields(Self& m) {
  return std::tie(m.json);
}

template <Like<DrainRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.target, m.is_endpoint, m.undo, m.operator_proof);
}

template <Like<Acknowledged> Self>
auto Fields(Self&) {
  return std::tie();
}

template <Like<MemberEntry> Self>
auto Fields(Self& m) {
  return std::tie(m.host, m.data_centre, m.ip, m.port, m.incarnation, m.state);
}

template <Like<EndpointSummary> Self>
auto Fields(Self& m) {
  return std::tie(m.endpoint, m.owner_incarnation, m.sequence, m.kv_capacity_bytes, m.free_kv_bytes,
                  m.queue_delay, m.running, m.long_prefills, m.leaving, m.prefix_digest, m.drained,
                  m.reachable);
}

template <Like<SuspectDeath> Self>
auto Fields(Self& m) {
  return std::tie(m.digest, m.endpoint, m.endpoint_incarnation, m.expiry_unix_ms);
}

template <Like<ConfirmedPlan> Self>
auto Fields(Self& m) {
  return std::tie(m.data_centre, m.version);
}

template <Like<Gossip> Self>
auto Fields(Self& m) {
  return std::tie(m.plan_version, m.members, m.summaries, m.deaths, m.exonerations, m.confirmed);
}

template <Like<Ping> Self>
auto Fields(Self& m) {
  return std::tie(m.sequence, m.sender, m.target, m.gossip);
}

template <Like<PingRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.sequence, m.sender, m.target);
}

template <Like<Ack> Self>
auto Fields(Self& m) {
  return std::tie(m.sequence, m.sender, m.target, m.gossip);
}

template <Like<GossipPush> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.gossip);
}

template <Like<TaskEntry> Self>
auto Fields(Self& m) {
  return std::tie(m.id, m.endpoint, m.prefill_time, m.kv_tokens, m.due, m.target_gap, m.lifetime,
                  m.weight, m.decodes, m.partial_prefill, m.account, m.cost);
}

template <Like<CrashEntry> Self>
auto Fields(Self& m) {
  return std::tie(m.request, m.endpoint, m.begun, m.parts);
}

template <Like<SoundKeyEntry> Self>
auto Fields(Self& m) {
  return std::tie(m.key, m.responses, m.age);
}

template <Like<EndpointLimitEntry> Self>
auto Fields(Self& m) {
  return std::tie(m.endpoint, m.limited, m.requests_per_second);
}

template <Like<LoadUpdate> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.started, m.first_events, m.ended, m.unreachable_endpoints, m.crashes,
                  m.sound_keys, m.limits);
}

template <Like<PeerEntry> Self>
auto Fields(Self& m) {
  return std::tie(m.host, m.ip, m.data_centre, m.capacity, m.is_scheduler);
}

template <Like<CrashRefusalEntry> Self>
auto Fields(Self& m) {
  return std::tie(m.keys, m.last_crash_age, m.whole_request, m.doubtful, m.failed_probes,
                  m.last_probe_age);
}

template <Like<DirectoryGossip> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.ip, m.incarnation, m.configuration_version, m.configuration_age,
                  m.endpoints_digest, m.endpoints_age, m.leaving, m.data_centre, m.capacity,
                  m.is_scheduler, m.live_hosts, m.peers, m.is_reply, m.suspected_keys,
                  m.crash_refusals, m.refuted_keys, m.evacuation_revision, m.evacuated,
                  m.evacuation_era, m.endpoints_era, m.endpoints_revision);
}

template <Like<PlacementRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.request_id, m.first_task_id, m.service, m.prompt_tokens,
                  m.output_tokens, m.target_latency, m.target_gap, m.waited, m.remaining, m.urgency,
                  m.excluded, m.account, m.in_progress, m.refusable, m.digest, m.allowed,
                  m.remaining_to_end);
}

template <Like<PlacementQueued> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.request_id);
}

template <Like<PlacementReply> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.request_id, m.outcome, m.members, m.free_kv, m.reserve, m.predicted,
                  m.cost, m.candidates, m.retry_after);
}

template <Like<PlacementCancel> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.request_id);
}

template <Like<ProbeRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.request_id, m.keys);
}

template <Like<ProbeReply> Self>
auto Fields(Self& m) {
  return std::tie(m.sender, m.request_id, m.granted);
}

template <Like<FetchDirectoryRequest> Self>
auto Fields(Self& m) {
  return std::tie(m.have_version, m.have_endpoints_digest, m.accepts_difference);
}

template <Like<EndpointEntry> Self>
auto Fields(Self& m) {
  return std::tie(m.id, m.service, m.ip, m.port, m.data_centre, m.slots, m.start_unix_ms,
                  m.draining, m.cold);
}

template <Like<FetchDirectoryReply> Self>
auto Fields(Self& m) {
  return std::tie(m.configuration_version, m.configuration, m.has_endpoints, m.endpoints,
                  m.endpoints_age, m.base_endpoints_digest, m.removed_endpoints, m.endpoints_digest,
                  m.endpoints_era, m.endpoints_revision);
}

// Largest value of each enum that peers exchange.
constexpr unsigned Largest(Priority) { return static_cast<unsigned>(Priority::kBackground); }
constexpr unsigned Largest(Outcome) { return static_cast<unsigned>(Outcome::kUnknown); }
constexpr unsigned Largest(Verdict) { return static_cast<unsigned>(Verdict::kRefused); }
constexpr unsigned Largest(RefusalReason) {
  return static_cast<unsigned>(RefusalReason::kPlanForbids);
}
constexpr unsigned Largest(ClaimVerdict) { return static_cast<unsigned>(ClaimVerdict::kNotFound); }
constexpr unsigned Largest(MemberState) { return static_cast<unsigned>(MemberState::kDead); }

}  // namespace verbenaridge::wire::internal

#endif  // VERBENARIDGE_WIRE_INTERNAL_MESSAGE_FIELDS_H_
