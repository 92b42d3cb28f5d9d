#include "verbenaridge/ingress/wire_conversions.h"

#include <algorithm>

namespace verbenaridge::ingress {
namespace {

// Each takes up to 9 bytes, beside some 700 bytes of the rest of the gossip.
constexpr std::size_t kMaxSuspected = 12;
constexpr std::size_t kMaxRefused = 24;
// More than a refusal has until it expires.
constexpr std::uint64_t kMaxFailedProbes = 1'000;

}  // namespace

wire::TaskEntry ToWire(const dispatch::EndpointTask& task) {
  return {.id = task.id,
          .endpoint = task.endpoint,
          .prefill_time = task.prefill_time,
          .kv_tokens = task.kv_tokens,
          .due = task.due,
          .target_gap = task.target_gap,
          .lifetime = task.lifetime,
          .weight = task.weight,
          .decodes = task.decodes,
          .partial_prefill = task.partial_prefill,
          .account = task.account,
          .cost = task.cost};
}

dispatch::EndpointTask FromWire(const wire::TaskEntry& entry) {
  return {.id = entry.id,
          .endpoint = entry.endpoint,
          .prefill_time = entry.prefill_time,
          .kv_tokens = entry.kv_tokens,
          .due = entry.due,
          .target_gap = entry.target_gap,
          .lifetime = entry.lifetime,
          .weight = entry.weight,
          .decodes = entry.decodes,
          .partial_prefill = entry.partial_prefill,
          .account = entry.account,
          .cost = entry.cost};
}

wire::EndpointEntry ToWire(const directory::Endpoint& endpoint) {
  return {.id = endpoint.id,
          .service = endpoint.service,
          .ip = endpoint.ip,
          .port = endpoint.port,
          .data_centre = endpoint.data_centre,
          .slots = endpoint.slots,
          .start_unix_ms = endpoint.start_unix_ms,
          .draining = endpoint.draining,
          .cold = endpoint.cold};
}

directory::Endpoint FromWire(const wire::EndpointEntry& entry) {
  return {.id = entry.id,
          .service = entry.service,
          .ip = entry.ip,
          .port = entry.port,
          .data_centre = entry.data_centre,
          .slots = entry.slots,
          .start_unix_ms = entry.start_unix_ms,
          .draining = entry.draining,
          .cold = entry.cold};
}

namespace {

// Zero: there was no probe.
Duration ProbeAge(const dispatch::CrashRefusal& refusal, TimePoint now) {
  if (refusal.last_probe == TimePoint{}) return {};
  return std::max(now - refusal.last_probe, Duration{1});
}

}  // namespace

void AddCrashNotice(const CrashNotice& notice, TimePoint now, wire::DirectoryGossip& gossip) {
  const std::size_t suspected = std::min(notice.suspected.size(), kMaxSuspected);
  gossip.suspected_keys.assign(notice.suspected.end() - static_cast<std::ptrdiff_t>(suspected),
                               notice.suspected.end());
  std::size_t keys = 0;
  for (auto refusal = notice.refusals.rbegin(); refusal != notice.refusals.rend(); ++refusal) {
    keys += 1 + refusal->keys.size();                // with its age
    if (refusal->last_probe != TimePoint{}) ++keys;  // the same
    if (keys > kMaxRefused) break;
    gossip.crash_refusals.push_back({.keys = refusal->keys,
                                     .last_crash_age = now - refusal->last_crash,
                                     .whole_request = refusal->whole_request,
                                     .doubtful = refusal->doubtful,
                                     .failed_probes = refusal->failed_probes,
                                     .last_probe_age = ProbeAge(*refusal, now)});
  }
  for (auto refuted = notice.refuted.rbegin(); refuted != notice.refuted.rend(); ++refuted) {
    keys += 2;  // with its age
    if (keys > kMaxRefused) break;
    gossip.refuted_keys.push_back({.key = refuted->key, .age = now - refuted->last_sound});
  }
}

CrashNotice CrashNoticeOf(const wire::DirectoryGossip& gossip, TimePoint now) {
  CrashNotice notice{.suspected = gossip.suspected_keys};
  for (const wire::CrashRefusalEntry& entry : gossip.crash_refusals) {
    notice.refusals.push_back({.keys = entry.keys,
                               .last_crash = now - entry.last_crash_age,
                               .whole_request = entry.whole_request,
                               .doubtful = entry.doubtful,
                               .failed_probes = static_cast<std::uint32_t>(
                                   std::min<std::uint64_t>(entry.failed_probes, kMaxFailedProbes)),
                               .last_probe = entry.last_probe_age == Duration{}
                                                 ? TimePoint{}
                                                 : now - entry.last_probe_age});
  }
  for (const wire::SoundKeyEntry& entry : gossip.refuted_keys) {
    notice.refuted.push_back({.key = entry.key, .last_sound = now - entry.age});
  }
  return notice;
}

}  // namespace verbenaridge::ingress
