#include "verbenaridge/dispatch/crash_refusals.h"

#include <algorithm>
#include <set>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::dispatch {
namespace {

// Longer pauses exceed the time for which a refusal is kept.
constexpr std::uint32_t kMaxPauseGrowth = 9;

bool IsIn(Digest key, std::span<const Digest> keys) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

// Whether a request with these keys is refused.
bool Applies(const CrashRefusal& refusal, std::span<const Digest> keys) {
  return std::all_of(refusal.keys.begin(), refusal.keys.end(),
                     [&](Digest key) { return IsIn(key, keys); });
}

}  // namespace

std::string ToText(const CrashRefusal& refusal) {
  std::string text;
  for (const Digest key : refusal.keys) {
    if (!text.empty()) text.push_back(',');
    text.append(ToHex(key));
  }
  return text;
}

bool CrashRefusals::Add(CrashRefusal refusal) {
  if (CrashRefusal* const known = FindSame(refusal.keys)) {
    known->last_crash = std::max(known->last_crash, refusal.last_crash);
    known->doubtful = known->doubtful && refusal.doubtful;
    return false;
  }
  Insert(std::move(refusal));
  return true;
}

bool CrashRefusals::AddFromPeer(CrashRefusal refusal) {
  if (CrashRefusal* const known = FindSame(refusal.keys)) {
    if (refusal.last_crash - known->last_crash >= options_.peer_tolerance) {
      known->last_crash = refusal.last_crash;
    }
    if (refusal.last_probe - known->last_probe >= options_.peer_tolerance) {
      known->last_probe = refusal.last_probe;
    }
    known->failed_probes = std::max(known->failed_probes, refusal.failed_probes);
    known->doubtful = known->doubtful && refusal.doubtful;
    return false;
  }
  Insert(std::move(refusal));
  return true;
}

void CrashRefusals::Insert(CrashRefusal refusal) {
  if (refusals_.size() >= options_.max_refusals) refusals_.erase(refusals_.begin());
  refusals_.push_back(std::move(refusal));
}

CrashRefusal* CrashRefusals::FindSame(std::span<const Digest> keys) {
  const auto found =
      std::find_if(refusals_.begin(), refusals_.end(), [&](const CrashRefusal& refusal) {
        return std::equal(refusal.keys.begin(), refusal.keys.end(), keys.begin(), keys.end());
      });
  return found == refusals_.end() ? nullptr : &*found;
}

void CrashRefusals::End(EndedRefusal::Cause cause,
                        const std::function<bool(const CrashRefusal&)>& predicate) {
  std::erase_if(refusals_, [&](const CrashRefusal& refusal) {
    if (!predicate(refusal)) return false;
    if (ended_.size() < options_.max_refusals) {
      ended_.push_back({.refusal = refusal, .cause = cause});
    }
    return true;
  });
}

const CrashRefusal* CrashRefusals::Find(std::span<const Digest> keys) const {
  const auto found =
      std::find_if(refusals_.begin(), refusals_.end(),
                   [&](const CrashRefusal& refusal) { return Applies(refusal, keys); });
  return found == refusals_.end() ? nullptr : &*found;
}

bool CrashRefusals::IsProbeDue(const CrashRefusal& refusal, TimePoint now) const {
  const auto& growth = refusal.doubtful ? options_.doubtful_pause : options_.certain_pause;
  Duration pause = growth.first;
  for (std::uint32_t i = 0; i < std::min(refusal.failed_probes, kMaxPauseGrowth); ++i) {
    pause *= growth.factor;
  }
  return now - std::max(refusal.last_crash, refusal.last_probe) >= pause;
}

std::vector<Digest> CrashRefusals::FindProbe(std::span<const Digest> keys, TimePoint now) const {
  std::set<Digest> tested;
  for (const CrashRefusal& refusal : refusals_) {
    if (!Applies(refusal, keys)) continue;
    if (!IsProbeDue(refusal, now)) return {};
    tested.insert(refusal.keys.begin(), refusal.keys.end());
  }
  return {tested.begin(), tested.end()};
}

bool CrashRefusals::TakeProbe(std::span<const Digest> keys, TimePoint now) {
  if (FindProbe(keys, now).empty()) return false;
  for (CrashRefusal& refusal : refusals_) {
    if (Applies(refusal, keys)) refusal.last_probe = now;
  }
  return true;
}

void CrashRefusals::OnCrash(std::span<const Digest> keys,
                            const std::function<bool(Digest)>& was_ever_sound, TimePoint now) {
  for (CrashRefusal& refusal : refusals_) {
    const bool probed = refusal.last_probe > refusal.last_crash;
    if (!probed || !Applies(refusal, keys)) continue;
    ++refusal.failed_probes;
    refusal.last_crash = now;
    refusal.doubtful =
        refusal.doubtful && std::any_of(refusal.keys.begin(), refusal.keys.end(), was_ever_sound);
  }
}

bool CrashRefusals::Contains(Digest key) const {
  return std::any_of(refusals_.begin(), refusals_.end(),
                     [&](const CrashRefusal& refusal) { return IsIn(key, refusal.keys); });
}

}  // namespace verbenaridge::dispatch
