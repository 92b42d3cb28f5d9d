// The part of RequestRun, and of what its requests share, that refuses requests because endpoints
// crash on them.
#include <string_view>
#include <vector>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/forwarding/request_run.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {
namespace {

using telemetry::Level;

// Who has judged that requests are to be refused.
constexpr std::string_view kOwnJudgment = "self";
constexpr std::string_view kPeerJudgment = "peer";

double Milliseconds(Duration duration) { return ToSeconds(duration) * 1000; }

// Name of the field with the keys of a refusal in log lines.
std::string_view KeysField(const dispatch::CrashRefusal& refusal) {
  return refusal.whole_request ? "request_key" : "prompt_parts";
}

void CountRefusal(const dispatch::CrashRefusal& refusal, std::string_view source,
                  RequestMetrics& metrics) {
  (refusal.whole_request ? metrics.blocked_requests : metrics.blocked_parts).With({source}).Add();
}

std::string_view BlockedEvent(const dispatch::CrashRefusal& refusal) {
  return refusal.whole_request ? "request_blocked" : "prompt_part_blocked";
}

}  // namespace

void RunContext::JudgeCrashes() {
  const TimePoint now = clock.Now();
  for (const dispatch::CrashJudgment& judgment : suspects.Judge(now)) {
    const dispatch::CrashRefusal& refusal = judgment.refusal;
    const bool was_sound = judgment.last_sound != TimePoint{};
    CountRefusal(refusal, kOwnJudgment, metrics);
    telemetry::Log(Level::kWarning, BlockedEvent(refusal),
                   {{KeysField(refusal), dispatch::ToText(refusal)},
                    {"source", kOwnJudgment},
                    {"since_crash_ms", Milliseconds(now - refusal.last_crash)},
                    {"crashed_endpoints", judgment.endpoints},
                    {"broken_requests", judgment.requests},
                    {"crashes_span_ms", Milliseconds(judgment.span)},
                    {"sound_responses", judgment.sound_responses},
                    {"since_sound_ms", was_sound ? Milliseconds(now - judgment.last_sound) : -1}});
  }
  LogEndedRefusals();
}

void RunContext::LogEndedRefusals() {
  for (const dispatch::EndedRefusal& ended : suspects.TakeEnded()) {
    const dispatch::CrashRefusal& refusal = ended.refusal;
    const bool is_sound = ended.cause == dispatch::EndedRefusal::Cause::kSoundResponse;
    telemetry::Log(Level::kWarning,
                   refusal.whole_request ? "request_unblocked" : "prompt_part_unblocked",
                   {{KeysField(refusal), dispatch::ToText(refusal)},
                    {"cause", is_sound ? "sound_response" : "expired"},
                    {"since_crash_ms", Milliseconds(clock.Now() - refusal.last_crash)}});
  }
}

void RunContext::OnRefusalOfPeer(const dispatch::CrashRefusal& refusal) {
  if (!suspects.OnRefusal(refusal, clock.Now())) return;
  CountRefusal(refusal, kPeerJudgment, metrics);
  telemetry::Log(Level::kWarning, BlockedEvent(refusal),
                 {{KeysField(refusal), dispatch::ToText(refusal)},
                  {"source", kPeerJudgment},
                  {"since_crash_ms", Milliseconds(clock.Now() - refusal.last_crash)}});
}

bool RequestRun::CheckCrashRefusals() {
  context_.JudgeCrashes();
  if (context_.suspects.FindRefusal(crash_keys_) == nullptr) return true;
  const std::vector<Digest> tested = context_.suspects.FindProbe(crash_keys_, context_.clock.Now());
  if (tested.empty()) {
    RefuseAsDeadly();
  } else {
    context_.probes.Ask(
        tested, [self = shared_from_this()](bool granted) { self->OnProbeDecided(granted); });
  }
  return false;
}

void RequestRun::OnProbeDecided(bool granted) {
  if (finished_) return;
  // The refusal may have ended meanwhile.
  if (!granted && context_.suspects.FindRefusal(crash_keys_) != nullptr) {
    RefuseAsDeadly();
    return;
  }
  probing_ = granted;
  if (granted) {
    context_.metrics.probes.Add();
    telemetry::Log(Level::kWarning, "probe_sent",
                   {{"id", request_metadata_.attempt_id},
                    {"request_key", ToHex(digest_)},
                    {"prompt_parts", PromptParts()}});
  }
  BeginDispatch();
}

void RequestRun::RefuseAsDeadly() {
  const dispatch::CrashRefusal* const refusal = context_.suspects.FindRefusal(crash_keys_);
  if (refusal != nullptr && refusal->whole_request) {
    Refuse(502, "kills_endpoints");
    return;
  }
  telemetry::Log(Level::kInfo, "prompt_part_refused",
                 {{"id", request_metadata_.attempt_id}, {"prompt_parts", PromptParts()}});
  Refuse(502, "part_crashes_endpoints");
}

}  // namespace verbenaridge::forwarding
