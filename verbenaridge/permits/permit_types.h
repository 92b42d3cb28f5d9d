// Inputs and actions of an endpoint owner.
#ifndef VERBENARIDGE_PERMITS_PERMIT_TYPES_H_
#define VERBENARIDGE_PERMITS_PERMIT_TYPES_H_

#include <array>
#include <cstdint>
#include <variant>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/holder.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"
#include "verbenaridge/queueing/fair_queue.h"

namespace verbenaridge::permits {

using PermitId = std::uint64_t;

struct PolicyOptions {
  queueing::QueueOptions queue{};
  Duration renew_interval = std::chrono::seconds(2);
  Duration expiry = std::chrono::seconds(6);
  double kv_fill = 0.95;         // fraction of the KV memory that permits may reserve
  std::size_t max_running = 48;  // streams; more lengthen the decode step for all of them
  // Prefill work that may wait inside the engine, by priority. It must cover the round trip of a
  // permit, or the engine idles. Further requests wait in the owner's queue, where their order can
  // still change.
  std::array<Duration, kPriorityCount> prefill_window = {std::chrono::milliseconds(250),
                                                         std::chrono::milliseconds(200),
                                                         std::chrono::milliseconds(150)};
  // A short prompt of lower priority that has been inside the engine for this long counts as urgent
  // work, which delays urgent permits until the prompt has its first token.
  std::array<Duration, kPriorityCount> promote_after = {
      std::chrono::seconds(1), std::chrono::seconds(1), std::chrono::seconds(1)};
  // Uncached prompt tokens above which a prompt is not short. Such a prompt runs at the next lower
  // engine priority, so that a short prompt overtakes it between two chunks.
  TokenCount short_prompt_tokens = 4'000;
  TokenCount long_prompt_tokens = 16'000;
  std::size_t max_long_prefills = 1;
  bool preemption = true;
  Duration preempt_after =
      std::chrono::milliseconds(50);              // waiting time before streams are revoked
  Duration max_bypass = std::chrono::seconds(2);  // waiting time after which no request overtakes
  Duration max_pause = std::chrono::seconds(2);   // between two calls; then the owner stops
  Duration spill_accept_delay = std::chrono::milliseconds(100);  // maximum for spilled requests
  Duration orphan_age = std::chrono::seconds(4);  // longer than a holder takes to present a permit
};

// Preset that gives most weight to urgent requests and to the slowdown of short ones.
PolicyOptions KaoriSachetOptions();
// Preset that gives most weight to floods and to small client accounts.
PolicyOptions AlpenrandOptions();

enum class PermitReason : std::uint8_t {
  kNone,
  kQueueFull,
  kDeadline,
  kTooLarge,
  kNotOwner,
  kLeaving,
  kBusy,  // another endpoint is predicted to be faster
};

struct PermitInput {
  HolderId holder{};
  AttemptNumber attempt = 1;
  ClientAccountId account{};
  ModelId model{};
  Priority priority = Priority::kStandard;
  double weight = 1;
  TokenCount prompt_tokens = 0;
  TokenCount cached_tokens = 0;
  TokenCount max_output_tokens = 0;
  ByteCount kv_bytes = 0;     // zero: predicted; set for a member of a group
  Duration max_wait{};        // zero: no limit; refused (kDeadline) if it cannot start in time
  Duration redirect_above{};  // zero: never; refused (kBusy) if the predicted wait is longer
  bool isolate = false;       // suspect request, runs alone on the endpoint
  bool preemptible = false;   // repeatable and resumable
  bool lent = false;          // long prompt outside the endpoints of its share
  bool spilled = false;       // from another data centre
};

struct Grant {
  HolderId holder;
  AttemptNumber attempt = 1;
  PermitId permit = 0;
  Incarnation owner_incarnation = 0;
  TimePoint expiry{};
  TokenCount cached_tokens = 0;
};

struct Refusal {
  HolderId holder;
  AttemptNumber attempt = 1;
  PermitReason reason = PermitReason::kNone;
  Duration retry_after{};  // for kBusy: the predicted wait here
};

// Tells the holder to cancel its attempt, release the permit and request a new one.
struct Revocation {
  HolderId holder;
  PermitId permit = 0;
};

// Tells the endpoint to cancel a stream that has no permit.
struct StreamCancel {
  RequestId request_id;
  AttemptNumber attempt = 0;
};

using Action = std::variant<Grant, Refusal, Revocation, StreamCancel>;
using Actions = std::vector<Action>;

// A permit as its holder renews it, or presents it to a new owner.
struct HeldPermit {
  PermitId permit = 0;
  HolderId holder{};
  AttemptNumber attempt = 1;
  ClientAccountId account{};
  Priority priority = Priority::kStandard;
  ByteCount kv_bytes = 0;
  double remaining_cost_seconds = 0;
  bool isolate = false;
  bool preemptible = false;
};

struct ReleaseInput {
  PermitId permit = 0;
  TokenCount prefill_tokens = 0;
  TokenCount output_tokens = 0;
  Duration prefill_time{};  // from dispatch to the first token
  Duration decode_time{};
  bool completed = false;  // the cost model ignores the times of failed attempts
};

struct LoadReport {
  Incarnation incarnation = 0;  // of the endpoint
  ByteCount kv_capacity_bytes = 0;
  ByteCount kv_used_bytes = 0;
  ByteCount kv_bytes_per_token = 0;
  double prefill_tokens_per_second = 0;
  Duration decode_step{};
  bool leaving = false;
};

struct ListedStream {
  RequestId request_id{};
  AttemptNumber attempt = 0;
  PermitId permit = 0;
  ByteCount kv_bytes = 0;
};

struct OwnerSummary {
  ByteCount kv_capacity_bytes = 0;
  ByteCount free_kv_bytes = 0;
  std::array<Duration, kPriorityCount> queue_delay{};
  std::size_t running = 0;
  std::size_t long_prefills = 0;
  bool leaving = false;
};

// The priority at which the engine should run a prompt: one level lower if the prompt is not short.
Priority EnginePriority(Priority priority, TokenCount uncached_tokens,
                        TokenCount short_prompt_tokens);

}  // namespace verbenaridge::permits

#endif  // VERBENARIDGE_PERMITS_PERMIT_TYPES_H_
