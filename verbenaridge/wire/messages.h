// Typed messages between daemons. Plain values: the MessagePack encoding is in codec.h.
//
// Calls carry their deadline as remaining time; no message carries a wall-clock time except
// expiries of claims, which hosts compare within the clock-skew bound.
#ifndef VERBENARIDGE_WIRE_MESSAGES_H_
#define VERBENARIDGE_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/holder.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::wire {

enum class Verdict : std::uint8_t { kGranted = 0, kRefused = 1 };

// Reasons for a refusal that the ingress acts on.
enum class RefusalReason : std::uint8_t {
  kNone = 0,
  kRateLimited = 1,
  kConcurrencyLimited = 2,
  kPoison = 3,
  kDuplicateInFlight = 4,
  kQueueFull = 5,
  kDeadline = 6,
  kTooLarge = 7,
  kNotOwner = 8,
  kLeaving = 9,
  kPlanForbids = 10,
  kBusy = 12,        // another endpoint is predicted to be faster
  kNotServing = 11,  // the owner has no plan that it may serve
};

// Account owner: admit a request of a client account.
struct AdmitRequest {
  HolderId holder;
  ClientAccountId client_account;
  Priority priority = Priority::kStandard;
  Digest digest = 0;
  TokenCount tokens = 0;  // prompt and output limit
  double cost_seconds = 0;
  bool present = false;  // running already, admitted by an earlier owner
};

struct AdmitReply {
  Verdict verdict = Verdict::kRefused;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};
  bool isolate = false;  // the digest is suspect: run it alone on an endpoint
};

// One request digest was in flight when one incarnation of an endpoint died.
struct SuspectDeath {
  Digest digest = 0;
  EndpointId endpoint;
  Incarnation endpoint_incarnation = 0;
  std::int64_t expiry_unix_ms = 0;
};

struct FinishAdmissionRequest {
  HolderId holder;
  ClientAccountId client_account;
  Digest digest = 0;
  TokenCount tokens_admitted = 0;
  TokenCount tokens_used = 0;
  bool completed = false;            // exonerates a suspect digest
  bool dispatched = false;           // an endpoint may have seen the request since its admission
  std::vector<SuspectDeath> deaths;  // that the holder saw
};

// Endpoint owner: queue a request for a permit. The reply comes when it is granted or refused.
struct PermitRequest {
  HolderId holder;
  AttemptNumber attempt = 1;
  EndpointId endpoint;
  ClientAccountId client_account;
  Priority priority = Priority::kStandard;
  double weight = 1;
  TokenCount prompt_tokens = 0;
  TokenCount max_output_tokens = 0;
  ModelId model;
  Digest digest = 0;
  TokenCount cached_tokens = 0;       // as the ingress believes
  std::vector<Digest> prefix_blocks;  // digests of the prompt's leading blocks, in order
  bool isolate = false;
  bool preemptible = false;
  ByteCount kv_bytes = 0;     // for a member of a group; zero: predicted by the owner
  Duration max_wait{};        // refused if it cannot start within it; zero: no limit
  Duration redirect_above{};  // refused as kBusy if the predicted wait is longer; zero: never
  bool lent = false;          // long prompt outside the endpoints of its share
  bool spilled = false;       // from another data centre
};

struct PermitReply {
  Verdict verdict = Verdict::kRefused;
  RefusalReason reason = RefusalReason::kNone;
  std::uint64_t permit = 0;
  Incarnation owner_incarnation = 0;
  Incarnation endpoint_incarnation = 0;
  TokenCount cached_tokens = 0;
  EndpointId alternative;
  Duration retry_after{};
};

struct PermitState {
  std::uint64_t permit = 0;
  HolderId holder;
  AttemptNumber attempt = 1;
  EndpointId endpoint;
  ClientAccountId client_account;
  Priority priority = Priority::kStandard;
  ByteCount kv_bytes = 0;
  double remaining_cost_seconds = 0;
  Digest digest = 0;
  bool isolate = false;
  bool preemptible = false;
};

struct RenewPermitsRequest {
  std::vector<PermitState> permits;
};

struct RenewPermitsReply {
  std::vector<std::uint64_t> revoked;
};

struct ReleasePermitRequest {
  std::uint64_t permit = 0;
  HolderId holder;
  EndpointId endpoint;
  Outcome outcome = Outcome::kUnknown;
  bool broken = false;  // the owner finds out whether the endpoint died and says so in the reply
  TokenCount prefill_tokens = 0;
  TokenCount output_tokens = 0;
  Duration prefill_time{};  // from dispatch to the first token
  Duration decode_time{};
  bool completed = false;  // times of broken attempts teach nothing
};

// Holder to endpoint owner: the engine sent the first token, so its prefill is over.
struct FirstTokenRequest {
  std::uint64_t permit = 0;
  EndpointId endpoint;
};

struct ReleasePermitReply {
  bool endpoint_died = false;
  Incarnation endpoint_incarnation = 0;  // the one that died
};

// Owner to ingress: cancel this attempt and ask again; the stream resumes elsewhere.
struct RevokePermitRequest {
  std::uint64_t permit = 0;
  HolderId holder;
  EndpointId endpoint;
};

struct ClaimKey {
  ClientAccountId client_account;
  ServiceId service;
  std::string operation;
  std::string idempotency_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

struct ClaimRequest {
  ClaimKey key;
  Digest fingerprint = 0;  // of the body and the expiry
  HolderId holder;
  std::int64_t expiry_unix_ms = 0;
};

// The values equal those of claims::ClaimVerdict.
enum class ClaimVerdict : std::uint8_t {
  kClaimed = 0,      // this holder may dispatch
  kRecorded = 1,     // ran before; the answer is in the reply
  kInProgress = 2,   // claimed by another holder that may still be running it
  kUnknown = 3,      // claimed, and nobody knows whether it ran
  kKeyReused = 4,    // same key, another fingerprint
  kExpired = 5,      // the expiry has passed or is too far ahead
  kUnavailable = 6,  // the store did not answer; the asker must not dispatch
  kFull = 7,         // the bucket is full; not claimed
  kNotFound = 8,     // no record
};

struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_omitted = false;  // too large for the record
};

struct RecordOutcomeRequest {
  ClaimKey key;
  HolderId holder;
  Outcome outcome = Outcome::kUnknown;  // kNotRun frees the claim
  std::int64_t expiry_unix_ms = 0;
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_omitted = false;
};

struct LookUpClaimRequest {
  ClaimKey key;
};

struct PushPlanDeltaRequest {
  PlanVersion from_version = 0;  // 0: `delta` is the whole document
  PlanVersion to_version = 0;
  std::string delta;  // encoded by plan_codec
};

struct PushPlanDeltaReply {
  PlanVersion version = 0;      // in force at the receiver after the push; 0: it does not serve
  Incarnation incarnation = 0;  // of the receiver
  bool conflict = false;        // the receiver has not the version that the difference starts from
};

struct FetchPlanRequest {
  PlanVersion have_version = 0;
  DataCentreId data_centre;  // of the asking daemon
};

struct FetchPlanReply {
  PlanVersion version = 0;
  PlanVersion confirmed_version = 0;  // highest confirmed version known for the asker's data centre
  bool serving = false;
  DataCentreId own_data_centre;  // of the answering daemon
  std::string document;          // empty if not newer
};

struct StatusRequest {};

struct StatusReply {
  std::string json;
};

// Operator order, proved with an operator key by the sender.
struct DrainRequest {
  std::string target;  // host or endpoint id
  bool is_endpoint = false;
  bool undo = false;
  std::string operator_proof;
};

// Reply without content.
struct Acknowledged {};

// Membership and gossip.
enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kLeaving = 2, kDead = 3 };

struct MemberEntry {
  HostId host;
  DataCentreId data_centre;
  std::string ip;
  std::uint16_t port = 0;
  Incarnation incarnation = 0;
  MemberState state = MemberState::kAlive;
};

struct EndpointSummary {
  EndpointId endpoint;
  Incarnation owner_incarnation = 0;
  std::uint64_t sequence = 0;  // milliseconds since 1970 at the owner; the newest wins
  ByteCount kv_capacity_bytes = 0;
  ByteCount free_kv_bytes = 0;
  std::vector<Duration> queue_delay;  // by priority
  std::uint32_t running = 0;
  std::uint32_t long_prefills = 0;
  bool leaving = false;
  bool drained = false;   // leaving by an operator's order, which a new owner takes over
  bool reachable = true;  // answers its owner's load requests
  std::vector<std::uint32_t> prefix_digest;  // short digests of cached leading blocks
};

struct ConfirmedPlan {
  DataCentreId data_centre;
  PlanVersion version = 0;
};

struct Gossip {
  PlanVersion plan_version = 0;
  std::vector<MemberEntry> members;
  std::vector<EndpointSummary> summaries;
  std::vector<SuspectDeath> deaths;
  std::vector<SuspectDeath> exonerations;  // deaths that no longer count
  std::vector<ConfirmedPlan> confirmed;
};

struct Ping {
  std::uint64_t sequence = 0;
  HostId sender;
  HostId target;
  Gossip gossip;
};

// Asks the receiver to ping `target` on behalf of the sender.
struct PingRequest {
  std::uint64_t sequence = 0;
  HostId sender;
  HostId target;
};

struct Ack {
  std::uint64_t sequence = 0;
  HostId sender;
  HostId target;  // the host that is alive
  Gossip gossip;
};

// Gossip without a probe.
struct GossipPush {
  HostId sender;
  Gossip gossip;
};

// Describes a task that a host dispatched to an endpoint, for the load tables of the other hosts.
struct TaskEntry {
  std::uint64_t id = 0;
  Digest endpoint = 0;
  Duration prefill_time{};
  TokenCount kv_tokens = 0;
  Duration due{};
  Duration target_gap{};
  Duration lifetime{};
  double weight = 1;
  bool decodes = true;
  bool partial_prefill = false;
  Digest account = 0;  // digest of the client account; 0: not known
  double cost = 0;     // seconds of an engine that the whole request takes
};

// Reports that a request was in progress at an endpoint when the endpoint died.
struct CrashEntry {
  Digest request = 0;
  Digest endpoint = 0;
  bool begun = false;         // the head of the response had arrived
  std::vector<Digest> parts;  // shared parts of the prompt
};

// Sound responses on a request or a part of prompts that the sender has seen.
struct SoundKeyEntry {
  Digest key = 0;
  std::uint64_t responses = 0;
  Duration age{};  // of the last one
};

// An endpoint named, in a response to the sender, how many requests a second it takes from all
// hosts.
struct EndpointLimitEntry {
  Digest endpoint = 0;
  bool limited = false;  // false: it named none
  double requests_per_second = 0;
};

struct LoadUpdate {
  HostId sender;
  std::vector<TaskEntry> started;
  std::vector<std::uint64_t> first_events;
  std::vector<std::uint64_t> ended;
  std::vector<Digest> unreachable_endpoints;
  std::vector<CrashEntry> crashes;
  std::vector<SoundKeyEntry> sound_keys;
  std::vector<EndpointLimitEntry> limits;
};

// Asks a scheduler host to assign endpoints to one request.
struct PlacementRequest {
  HostId sender;
  std::uint64_t request_id = 0;
  std::uint64_t first_task_id = 0;  // lowest id for the tasks of this request
  ServiceId service;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  Duration target_latency{};
  Duration target_gap{};
  Duration waited{};
  Duration remaining{};
  std::int32_t urgency = 0;
  std::vector<Digest> excluded;
  Digest account = 0;        // digest of the client account; 0: not known
  bool in_progress = false;  // the client has a part of the response
  bool refusable = false;    // it has not run, so its client may be told to return
  Digest digest = 0;         // of the request, equal if its client sends it again
  // Data centres whose endpoints may get it; empty: all. A host does not ask if there is none.
  std::vector<DataCentreId> allowed;
  // Until the response must have ended; `remaining` is until its start. Zero: not known.
  Duration remaining_to_end{};
};

// Reports that the scheduler host queued the request; a PlacementReply follows.
struct PlacementQueued {
  HostId sender;
  std::uint64_t request_id = 0;
};

struct PlacementReply {
  HostId sender;
  std::uint64_t request_id = 0;
  std::uint64_t outcome = 0;        // 0: assigned
  std::vector<EndpointId> members;  // the first one receives the request
  std::vector<TokenCount> free_kv;
  bool reserve = false;
  Duration predicted{};
  double cost = 0;
  std::uint64_t candidates = 0;
  Duration retry_after{};  // of a request that is unservable now; zero: not known
};

// Cancels a PlacementRequest whose sender no longer needs the reply, or never received it.
struct PlacementCancel {
  HostId sender;
  std::uint64_t request_id = 0;
};

// Asks whether one request with refused keys may run as a probe.
struct ProbeRequest {
  HostId sender;
  std::uint64_t request_id = 0;
  std::vector<Digest> keys;  // of the refusal
};

struct ProbeReply {
  HostId sender;
  std::uint64_t request_id = 0;
  bool granted = false;
};

struct PeerEntry {
  HostId host;
  std::string ip;
  DataCentreId data_centre;  // empty: unknown
  double capacity = 0;       // share of a processor
  bool is_scheduler = false;
};

// Requests with all of these keys are refused, because endpoints crash on them.
struct CrashRefusalEntry {
  std::vector<Digest> keys;
  Duration last_crash_age{};
  bool whole_request = false;  // the only key is the digest of a request
  // As in dispatch::CrashRefusal. No probe: an age of zero.
  bool doubtful = false;
  std::uint64_t failed_probes = 0;
  Duration last_probe_age{};
};

// Describes the sender's view of the configuration and the endpoints, and how recent that view is.
// A host sends it after each read of the store, and from time to time as a heartbeat.
struct DirectoryGossip {
  HostId sender;
  std::string ip;
  Incarnation incarnation = 0;
  std::uint64_t configuration_version = 0;
  Duration configuration_age{};  // time since this version was known to be the newest
  Digest endpoints_digest = 0;   // of the endpoints last read
  Duration endpoints_age{};      // time since the endpoints were known to be current
  bool leaving = false;
  DataCentreId data_centre;
  double capacity = 0;           // share of a processor
  bool is_scheduler = false;     // whether the sender decides on placements
  std::uint64_t live_hosts = 0;  // in the entire system, as known to the sender
  std::vector<PeerEntry> peers;  // some of the peers known to the sender, or none
  bool is_reply = false;         // to gossip of the receiver
  // The sender asks for sound responses on these requests and parts of prompts.
  std::vector<Digest> suspected_keys;
  std::vector<CrashRefusalEntry> crash_refusals;
  // Parts whose refusal ended by a sound response.
  std::vector<SoundKeyEntry> refuted_keys;
  // Data centres that operators have evacuated, at this revision of the store. Zero: not known.
  std::uint64_t evacuation_revision = 0;
  std::vector<DataCentreId> evacuated;
  // Of that revision. Zero: the store does not tell it, or the sender is of an earlier release.
  std::uint64_t evacuation_era = 0;
  // Of the read of the endpoints; zero as above.
  std::uint64_t endpoints_era = 0;
  // Up to here no change has replaced the endpoints. Zero: not known.
  std::uint64_t endpoints_revision = 0;
};

// Asks a peer for the configuration and the endpoints when the store rejects the caller.
struct FetchDirectoryRequest {
  std::uint64_t have_version = 0;
  Digest have_endpoints_digest = 0;  // of the endpoints last read by the caller; 0: none
  bool accepts_difference = false;   // whether the reply may have only the changed endpoints
};

struct EndpointEntry {
  EndpointId id;
  ServiceId service;
  std::string ip;
  std::uint16_t port = 0;
  DataCentreId data_centre;
  std::uint64_t slots = 0;
  std::uint64_t start_unix_ms = 0;
  bool draining = false;
  bool cold = false;
};

struct FetchDirectoryReply {
  std::uint64_t configuration_version = 0;
  std::string configuration;   // empty if not newer than the caller's
  bool has_endpoints = false;  // also false if the caller has the same endpoints
  std::vector<EndpointEntry> endpoints;
  Duration endpoints_age{};  // time since the endpoints were read from the store
  // Digest of the endpoints to which `endpoints` and `removed_endpoints` are changes. Zero:
  // `endpoints` are all.
  Digest base_endpoints_digest = 0;
  std::vector<EndpointId> removed_endpoints;
  Digest endpoints_digest = 0;  // after the changes
  // Of the store when the endpoints were read. Zero: it does not tell it, or the sender is of an
  // earlier release.
  std::uint64_t endpoints_era = 0;
  std::uint64_t endpoints_revision = 0;  // as in DirectoryGossip
};

using Request =
    std::variant<AdmitRequest, FinishAdmissionRequest, PermitRequest, RenewPermitsRequest,
                 ReleasePermitRequest, RevokePermitRequest, ClaimRequest, RecordOutcomeRequest,
                 LookUpClaimRequest, PushPlanDeltaRequest, FetchPlanRequest, StatusRequest,
                 DrainRequest, FirstTokenRequest, FetchDirectoryRequest>;

using Reply = std::variant<Acknowledged, AdmitReply, PermitReply, RenewPermitsReply, ClaimReply,
                           PushPlanDeltaReply, FetchPlanReply, StatusReply, ReleasePermitReply,
                           FetchDirectoryReply>;

using Datagram =
    std::variant<Ping, PingRequest, Ack, GossipPush, LoadUpdate, DirectoryGossip, PlacementRequest,
                 PlacementQueued, PlacementReply, PlacementCancel, ProbeRequest, ProbeReply>;

}  // namespace verbenaridge::wire

#endif  // VERBENARIDGE_WIRE_MESSAGES_H_
