#include "verbenaridge/dispatch/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace verbenaridge::dispatch {
namespace {

constexpr Digest kThisHost = 0;

bool Contains(std::span<const Digest> keys, Digest key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

bool Includes(const std::set<Digest>& all, const std::set<Digest>& some) {
  return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

std::vector<Digest> KeysOf(const EndpointCrash& crash) {
  std::vector<Digest> keys = crash.parts;
  keys.push_back(crash.request);
  return keys;
}

}  // namespace

void CrashSuspects::OnCrash(const EndpointCrash& crash, TimePoint now) {
  const auto found = std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& known) {
    return known.endpoint == crash.endpoint;
  });
  Crash& entry = found != crashes_.end()
                     ? *found
                     : crashes_.emplace_back(Crash{.endpoint = crash.endpoint, .time = now});
  entry.begun = entry.begun || crash.begun;
  const bool repeated =
      std::any_of(entry.requests.begin(), entry.requests.end(),
                  [&](const EndpointCrash& known) { return known.request == crash.request; });
  if (!repeated) entry.requests.push_back(crash);
  MarkAsked(KeysOf(crash), now);
  refusals_.OnCrash(
      KeysOf(crash), [this](Digest key) { return SoundResponses(key) > 0; }, now);
  if (crashes_.size() > options_.max_crashes) crashes_.pop_front();
}

std::vector<Digest> CrashSuspects::OnSoundResponse(std::span<const Digest> keys, TimePoint now) {
  std::vector<Digest> report;
  for (const Digest key : keys) {
    SoundRecord record = OwnRecord(key);
    ++record.responses;
    record.last = now;
    OnSound(key, record, kThisHost);
    if (TakeReport(key, now)) report.push_back(key);
  }
  return report;
}

std::vector<Digest> CrashSuspects::OnAsked(std::span<const Digest> keys, TimePoint now) {
  MarkAsked(keys, now);
  std::vector<Digest> report;
  for (const Digest key : keys) {
    const auto asked = asked_.find(key);
    if (asked == asked_.end()) continue;
    const SoundRecord own = OwnRecord(key);
    const TimePoint reported = asked->second.last_report;
    const bool is_due = own.last >= reported || now - reported >= options_.repetition_interval;
    if (own.responses > 0 && is_due && TakeReport(key, now)) report.push_back(key);
  }
  return report;
}

void CrashSuspects::MarkAsked(std::span<const Digest> keys, TimePoint now) {
  std::erase_if(asked_, [&](const auto& entry) { return entry.second.until < now; });
  for (const Digest key : keys) {
    if (asked_.size() >= options_.max_keys && !asked_.contains(key)) break;
    asked_[key].until = now + options_.suspicion_time;
  }
}

bool CrashSuspects::TakeReport(Digest key, TimePoint now) {
  const auto found = asked_.find(key);
  if (found == asked_.end() || found->second.until < now) return false;
  if (now - found->second.last_report < options_.report_interval) return false;
  found->second.last_report = now;
  return true;
}

void CrashSuspects::OnSound(Digest key, const SoundRecord& record, Digest reporter) {
  if (!sound_.contains(key) && sound_.size() >= options_.max_keys) RemoveOldestSound();
  Sound& sound = sound_[key];
  SoundRecord& known = sound.by_reporter[reporter];
  sound.total.responses += record.responses - known.responses;
  sound.total.last = std::max(sound.total.last, record.last);
  known = record;
  EndRefuted();
}

// An eighth at once, so that the search is rare.
void CrashSuspects::RemoveOldestSound() {
  std::vector<TimePoint> times;
  times.reserve(sound_.size());
  for (const auto& [key, sound] : sound_) times.push_back(sound.total.last);
  const auto newest = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 8);
  std::nth_element(times.begin(), newest, times.end());
  std::size_t left = times.size() / 8 + 1;  // of many records of the same time
  std::erase_if(sound_, [&](const auto& entry) {
    return left > 0 && entry.second.total.last <= *newest && left-- > 0;
  });
}

SoundRecord CrashSuspects::OwnRecord(Digest key) const {
  const auto found = sound_.find(key);
  if (found == sound_.end()) return {};
  const auto own = found->second.by_reporter.find(kThisHost);
  return own == found->second.by_reporter.end() ? SoundRecord{} : own->second;
}

TimePoint CrashSuspects::LastSound(Digest key) const {
  const auto found = sound_.find(key);
  return found == sound_.end() ? TimePoint{} : found->second.total.last;
}

std::uint64_t CrashSuspects::SoundResponses(Digest key) const {
  const auto found = sound_.find(key);
  return found == sound_.end() ? 0 : found->second.total.responses;
}

std::vector<Digest> CrashSuspects::SuspectsOf(const Crash& crash, const EndpointCrash& request) {
  return IsBystander(crash, request) ? std::vector<Digest>{request.request} : KeysOf(request);
}

double CrashSuspects::WeightOf(const Crash& crash, const EndpointCrash& request, Digest key,
                               TimePoint last_apart) const {
  const bool whole_request = key == request.request;
  if (MayCoincide(crash, key) && crash.time - last_apart < options_.coincidence_interval) {
    return whole_request && SoundResponses(key) == 0 ? options_.coincident_weight : 0;
  }
  if (crash.begun) return request.begun ? 1 : options_.bystander_weight;
  // That the same request runs at several endpoints as they crash is rarely chance.
  return whole_request ? 1 : options_.unbegun_weight;
}

std::map<Digest, CrashSuspects::Evidence> CrashSuspects::CollectEvidence() const {
  std::map<Digest, Evidence> all;
  for (const Crash& crash : crashes_) {
    for (const EndpointCrash& request : crash.requests) {
      for (const Digest key : SuspectsOf(crash, request)) {
        if (crash.time <= LastSound(key)) continue;
        Evidence& evidence = all[key];
        evidence.whole_request = key == request.request;
        evidence.requests.insert(request.request);
        if (!evidence.endpoints.insert(crash.endpoint).second) continue;
        const double weight = WeightOf(crash, request, key, evidence.last_apart);
        if (evidence.weights.empty()) evidence.first_crash = crash.time;
        evidence.weights.emplace_back(crash.endpoint, weight);
        evidence.last_crash = crash.time;
        const bool is_apart = crash.time - evidence.last_apart >= options_.coincidence_interval;
        if (MayCoincide(crash, key) && is_apart) evidence.last_apart = crash.time;
        const double before = evidence.weight;
        evidence.weight += weight;
        const auto needed = static_cast<double>(options_.crashes_to_refuse);
        if (before < needed && evidence.weight >= needed) evidence.complete_since = crash.time;
      }
    }
  }
  return all;
}

bool CrashSuspects::CanExplain(const Evidence& evidence) const {
  if (evidence.whole_request) {
    return evidence.weight >= static_cast<double>(options_.crashes_to_refuse);
  }
  return evidence.requests.size() >= options_.min_requests &&
         evidence.endpoints.size() >= options_.min_requests;
}

bool CrashSuspects::IsExplained(const KeyEvidence& suspect,
                                const std::map<Digest, Evidence>& all) const {
  const Evidence& own = suspect.second;
  const std::uint64_t sound = SoundResponses(suspect.first);
  std::set<Digest> explained;
  for (const auto& [key, other] : all) {
    if (key == suspect.first || !CanExplain(other)) continue;
    // The refusal of a part may not come about.
    if (own.whole_request && !other.whole_request) continue;
    const std::uint64_t other_sound = SoundResponses(key);
    if (other_sound < sound) explained.insert(other.endpoints.begin(), other.endpoints.end());
    const bool is_sole_request = other.whole_request && !own.whole_request;
    const bool weighs_more = own.whole_request && other.weight > own.weight;
    const bool has_more =
        is_sole_request || weighs_more || other.endpoints.size() > own.endpoints.size();
    if (other_sound == sound && has_more && Includes(other.endpoints, own.endpoints)) return true;
  }
  double left = 0;
  for (const auto& [endpoint, weight] : own.weights) {
    if (!explained.contains(endpoint)) left += weight;
  }
  return left < static_cast<double>(options_.crashes_to_refuse);
}

CrashJudgment CrashSuspects::Describe(const KeyEvidence& entry) const {
  const auto& [key, evidence] = entry;
  const Duration span = evidence.last_crash - evidence.first_crash;
  return {.refusal = {.keys = {key},
                      .last_crash = evidence.last_crash,
                      .whole_request = evidence.whole_request,
                      .doubtful = span < options_.coincidence_interval || SoundResponses(key) > 0},
          .endpoints = evidence.endpoints.size(),
          .requests = evidence.requests.size(),
          .span = span,
          .sound_responses = SoundResponses(key),
          .last_sound = LastSound(key)};
}

std::vector<CrashJudgment> CrashSuspects::Judge(TimePoint now) {
  RemoveOld(now);
  if (crashes_.size() < options_.crashes_to_refuse) return {};
  if (now - last_judgment_ < options_.judgment_interval) return {};
  last_judgment_ = now;
  const std::map<Digest, Evidence> all = CollectEvidence();
  // Parts of the same crashes that nothing tells apart.
  std::map<std::set<Digest>, CrashJudgment> found;
  std::vector<CrashJudgment> judgments;
  for (const auto& entry : all) {
    const Evidence& evidence = entry.second;
    if (evidence.weight < static_cast<double>(options_.crashes_to_refuse) ||
        (!evidence.whole_request && evidence.requests.size() < options_.min_requests) ||
        now - evidence.complete_since < options_.settle_time || IsExplained(entry, all)) {
      continue;
    }
    if (evidence.whole_request) {
      judgments.push_back(Describe(entry));
      continue;
    }
    const auto [same, is_new] = found.try_emplace(evidence.endpoints, Describe(entry));
    if (is_new) continue;
    CrashJudgment& judgment = same->second;
    judgment.refusal.keys.push_back(entry.first);
    judgment.refusal.last_crash = std::max(judgment.refusal.last_crash, evidence.last_crash);
    judgment.refusal.doubtful = judgment.refusal.doubtful || SoundResponses(entry.first) > 0;
    judgment.sound_responses = std::max(judgment.sound_responses, SoundResponses(entry.first));
    judgment.last_sound = std::max(judgment.last_sound, LastSound(entry.first));
  }
  for (auto& [endpoints, judgment] : found) judgments.push_back(std::move(judgment));
  std::erase_if(judgments,
                [this](const CrashJudgment& judgment) { return !refusals_.Add(judgment.refusal); });
  return judgments;
}

bool CrashSuspects::OnRefusal(const CrashRefusal& refusal, TimePoint now) {
  if (refusal.keys.empty() || now - refusal.last_crash > options_.retention) return false;
  CrashRefusal sorted = refusal;
  std::sort(sorted.keys.begin(), sorted.keys.end());
  if (IsRefuted(sorted)) {
    KeepRefuted(sorted, now);
    return false;
  }
  return refusals_.AddFromPeer(std::move(sorted));
}

void CrashSuspects::KeepRefuted(const CrashRefusal& refusal, TimePoint now) {
  for (const Digest key : refusal.keys) {
    const TimePoint last = LastSound(key);
    if (last <= refusal.last_crash) continue;
    std::erase_if(refuted_, [&](const ToldKey& known) { return known.refuted.key == key; });
    if (refuted_.size() >= options_.max_refuted) refuted_.erase(refuted_.begin());
    refuted_.push_back({.refuted = {.key = key, .last_sound = last},
                        .until = std::max(last, now) + options_.suspicion_time});
  }
}

void CrashSuspects::EndRefuted() {
  for (const CrashRefusal& refusal : refusals_.all()) KeepRefuted(refusal, TimePoint{});
  refusals_.End(EndedRefusal::Cause::kSoundResponse,
                [this](const CrashRefusal& refusal) { return IsRefuted(refusal); });
}

std::vector<RefutedKey> CrashSuspects::RefutedKeys(TimePoint now) const {
  std::vector<RefutedKey> keys;
  for (const ToldKey& told : refuted_) {
    if (now <= told.until) keys.push_back(told.refuted);
  }
  return keys;
}

void CrashSuspects::OnRefuted(const RefutedKey& refuted) {
  if (!refusals_.Contains(refuted.key)) return;
  TimePoint& last = sound_[refuted.key].total.last;
  last = std::max(last, refuted.last_sound);
  EndRefuted();
}

bool CrashSuspects::IsRefuted(const CrashRefusal& refusal) const {
  return std::any_of(refusal.keys.begin(), refusal.keys.end(),
                     [&](Digest key) { return LastSound(key) > refusal.last_crash; });
}

void CrashSuspects::RemoveOld(TimePoint now) {
  while (!crashes_.empty() && now - crashes_.front().time > options_.retention) {
    crashes_.pop_front();
  }
  refusals_.End(EndedRefusal::Cause::kExpired, [&](const CrashRefusal& refusal) {
    return now - refusal.last_crash > options_.retention;
  });
}

bool CrashSuspects::IsSuspected(std::span<const Digest> keys, Digest endpoint,
                                TimePoint now) const {
  std::size_t unbegun_crashes = 0;  // of the same request
  for (const Crash& crash : crashes_) {
    const Duration age = now - crash.time;
    if (crash.endpoint == endpoint || age > options_.suspicion_time) continue;
    const auto is_suspect = [&](Digest key) {
      return Contains(keys, key) && LastSound(key) < crash.time;
    };
    // Endpoints that are lost together are no reason to leave out those that are not.
    const auto is_cause = [&](Digest key) {
      const bool may_be_chance = age < options_.coincidence_interval && MayCoincide(crash, key);
      return !may_be_chance && is_suspect(key);
    };
    for (const EndpointCrash& request : crash.requests) {
      if (request.begun && is_cause(request.request)) return true;
      if (!request.begun && is_suspect(request.request) &&
          ++unbegun_crashes + 1 >= options_.crashes_to_refuse) {
        return true;
      }
      if (!IsBystander(crash, request) &&
          std::any_of(request.parts.begin(), request.parts.end(), is_cause)) {
        return true;
      }
    }
  }
  return false;
}

std::vector<Digest> CrashSuspects::SuspectedKeys(TimePoint now) const {
  struct Place {
    std::size_t crashes = 0;
    const Crash* last = nullptr;
  };
  std::unordered_map<Digest, Place> places;
  std::vector<Digest> keys;
  for (const Crash& crash : crashes_) {
    if (now - crash.time > options_.suspicion_time) continue;
    for (const EndpointCrash& request : crash.requests) {
      for (const Digest key : SuspectsOf(crash, request)) {
        Place& place = places[key];
        if (std::exchange(place.last, &crash) == &crash) continue;
        if (++place.crashes == 1) keys.push_back(key);
      }
    }
  }
  std::stable_sort(keys.begin(), keys.end(),
                   [&](Digest a, Digest b) { return places[a].crashes < places[b].crashes; });
  if (keys.size() > options_.max_suspected) {
    keys.erase(keys.begin(), keys.end() - static_cast<std::ptrdiff_t>(options_.max_suspected));
  }
  for (const CrashRefusal& refusal : refusals_.all()) {
    for (const Digest key : refusal.keys) {
      std::erase(keys, key);
      keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace verbenaridge::dispatch
