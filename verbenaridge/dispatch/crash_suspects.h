// Finds the requests and the parts of prompts that crash endpoints.
//
//   CrashSuspects suspects;
//   suspects.OnCrash({.endpoint = key, .request = digest, .begun = true, .parts = parts}, now);
//   suspects.OnSound(part, {.responses = 41, .last = now}, reporter);
//   suspects.Judge(now);
//   if (suspects.FindRefusal(keys) != nullptr) Refuse();
//
// A key is what requests that crash endpoints have in common: the digest of a whole request, which
// comes again, or a part of prompts, whatever else they have. An endpoint that begins to write a
// response on such a key crashes. All requests that run there break with it, so one crash only
// yields suspects: the requests whose response had begun without proof that it is sound or, if no
// host reports one, all without that proof. A request that had not begun beside one that had stays
// a suspect itself, with less weight, but its parts do not: others break once, the cause each time.
// Parts are shared with sound requests; the first one may be that of a whole route. A key is
// refused if several crashes have it in common and no response on it was sound since. Endpoints
// that are lost together count once against a key that was sound before. Crashes that
// keys with fewer sound responses have in common do not count against it, nor do those that a
// single request explains. Parts of the same crashes with equally many are refused only together. A
// sound response on a refused key ends the refusal.
//
// Each host records what it sees itself. Schedulers also get the reports of all hosts, ask them
// for sound responses on suspected keys, and tell them what to refuse. Used by one thread.
#ifndef VERBENARIDGE_DISPATCH_CRASH_SUSPECTS_H_
#define VERBENARIDGE_DISPATCH_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/dispatch/crash_refusals.h"

namespace verbenaridge::dispatch {

// A request that broke when its endpoint crashed, before its response was known to be sound.
struct EndpointCrash {
  Digest endpoint = 0;          // this incarnation
  Digest request = 0;           // the same for each attempt of a request and for its repetitions
  bool begun = false;           // the head of the response had arrived
  std::vector<Digest> parts{};  // without the last one, which no other request shares
};

// Sound responses on a key that one host has seen.
struct SoundRecord {
  std::uint64_t responses = 0;
  TimePoint last{};
};

// A new refusal with what speaks for it and against it.
struct CrashJudgment {
  CrashRefusal refusal;
  std::size_t endpoints = 0;  // that crashed
  std::size_t requests = 0;   // that broke with them
  Duration span{};            // from the first of the crashes to the last one
  // Of all hosts, on the key with the most of them.
  std::uint64_t sound_responses = 0;
  TimePoint last_sound{};  // zero: none
};

// A key that was refused and on which a response was sound afterwards.
struct RefutedKey {
  Digest key = 0;
  TimePoint last_sound{};

  bool operator==(const RefutedKey&) const = default;
};

struct CrashSuspectsOptions {
  std::size_t crashes_to_refuse = 3;
  // Of different requests, for a part.
  std::size_t min_requests = 2;
  // A part that was only in requests whose response had not begun counts this much for a crash.
  double unbegun_weight = 0.5;
  // A request whose response had not begun counts this much if another one's had.
  double bystander_weight = 0.75;
  // Requests break together for other reasons too, such as a loss of power in a rack or a reset of
  // all connections of a host. Crashes within this time count as one against a key on which a
  // response was ever sound, and against any key if no response had begun. Of a request that was
  // never sound, each further one before its response began has the coincident weight.
  Duration coincidence_interval = std::chrono::milliseconds(200);
  double coincident_weight = 0.5;
  // After the last crash that is needed. The other hosts report sound responses meanwhile.
  Duration settle_time = std::chrono::milliseconds(200);
  // A judgment takes milliseconds after many crashes, and each request asks for one.
  Duration judgment_interval = std::chrono::milliseconds(50);
  // Between two reports of sound responses on one key.
  Duration report_interval = std::chrono::milliseconds(200);
  // The same record is reported again while it is asked for, since messages are lost.
  Duration repetition_interval = std::chrono::seconds(1);
  // How long a crash makes a key suspected.
  Duration suspicion_time = std::chrono::seconds(30);
  Duration retention = std::chrono::minutes(10);
  std::size_t max_crashes = 256;
  std::size_t max_keys = 4'096;  // with a record of sound responses
  std::size_t max_refuted = 64;
  std::size_t max_suspected = 64;  // that other hosts are asked for, beside refused ones
  CrashRefusalsOptions refusals{};
};

class CrashSuspects {
 public:
  explicit CrashSuspects(const CrashSuspectsOptions& options = {})
      : options_(options), refusals_(options.refusals) {}

  void OnCrash(const EndpointCrash& crash, TimePoint now);

  // A response on these keys is sound: this host received several of its events, or all of it.
  // Returns the keys whose record other hosts must be told now.
  std::vector<Digest> OnSoundResponse(std::span<const Digest> keys, TimePoint now);
  // Another host suspects these keys. Returns those whose record it must be told now.
  std::vector<Digest> OnAsked(std::span<const Digest> keys, TimePoint now);
  // Another host reports sound responses on a key. Replaces what it reported before.
  void OnSound(Digest key, const SoundRecord& record, Digest reporter);
  // What this host itself has seen; no responses if nothing.
  SoundRecord OwnRecord(Digest key) const;

  // Another host refuses these keys. Returns true if this host did not and does now.
  bool OnRefusal(const CrashRefusal& refusal, TimePoint now);

  // Keys whose refusal ended by a sound response in the last `suspicion_time`, or that another host
  // still refused then. Hosts that refuse all requests with them cannot see one themselves.
  std::vector<RefutedKey> RefutedKeys(TimePoint now) const;
  // Another host knows of a sound response on a refused key.
  void OnRefuted(const RefutedKey& refuted);

  // Decides which keys are refused. Returns the refusals that are new.
  std::vector<CrashJudgment> Judge(TimePoint now);

  // The refusals that have ended since the last call.
  std::vector<EndedRefusal> TakeEnded() { return refusals_.TakeEnded(); }

  // The refusal of requests with these keys; null: none. Valid until the next call that changes
  // anything.
  const CrashRefusal* FindRefusal(std::span<const Digest> keys) const {
    return refusals_.Find(keys);
  }
  std::span<const CrashRefusal> refusals() const { return refusals_.all(); }

  // The refused keys that a request with these keys could test now, and the decision to let one
  // through; see CrashRefusals.
  std::vector<Digest> FindProbe(std::span<const Digest> keys, TimePoint now) const {
    return refusals_.FindProbe(keys, now);
  }
  bool TakeProbe(std::span<const Digest> keys, TimePoint now) {
    return refusals_.TakeProbe(keys, now);
  }

  // Whether crashes other than that of `endpoint` make one of the keys suspected. Such a request is
  // not sent to a further endpoint.
  bool IsSuspected(std::span<const Digest> keys, Digest endpoint, TimePoint now) const;
  // The keys that crashes which this host knows of make suspected, those of the most crashes last,
  // and then the refused ones.
  std::vector<Digest> SuspectedKeys(TimePoint now) const;

 private:
  struct Crash {
    Digest endpoint = 0;
    TimePoint time{};
    bool begun = false;  // a request whose response had begun was reported
    std::vector<EndpointCrash> requests;
  };
  struct Sound {
    std::map<Digest, SoundRecord> by_reporter;  // 0: this host
    SoundRecord total;
  };
  // The crashes that count against one key.
  struct Evidence {
    bool whole_request = false;
    std::set<Digest> endpoints;
    std::set<Digest> requests;
    std::vector<std::pair<Digest, double>> weights;  // of each endpoint
    double weight = 0;
    TimePoint first_crash{};
    TimePoint last_crash{};
    TimePoint complete_since{};  // when the weight sufficed
    TimePoint last_apart{};      // last crash that counts by itself
  };

  using KeyEvidence = std::pair<const Digest, Evidence>;

  // Whether the response had not begun, although that of another request had.
  static bool IsBystander(const Crash& crash, const EndpointCrash& request) {
    return crash.begun && !request.begun;
  }
  // The keys of the request that the crash makes suspected.
  static std::vector<Digest> SuspectsOf(const Crash& crash, const EndpointCrash& request);
  // How much the crash counts against the key of the request.
  double WeightOf(const Crash& crash, const EndpointCrash& request, Digest key,
                  TimePoint last_apart) const;
  // Whether crashes of requests with the key that come together are likely to have another cause.
  bool MayCoincide(const Crash& crash, Digest key) const {
    return !crash.begun || SoundResponses(key) > 0;
  }

  // Whether the crashes suffice to take the key for the cause of others.
  bool CanExplain(const Evidence& evidence) const;
  // Whether keys that are more likely to be their cause are in so many crashes of the suspect that
  // too few are left. Requests on lost endpoints and those with another deadly key share it too.
  bool IsExplained(const KeyEvidence& suspect, const std::map<Digest, Evidence>& all) const;
  // Sound responses on these keys matter from now on.
  void MarkAsked(std::span<const Digest> keys, TimePoint now);
  // Whether the record of the key is to be reported again.
  bool TakeReport(Digest key, TimePoint now);
  TimePoint LastSound(Digest key) const;
  std::uint64_t SoundResponses(Digest key) const;
  std::map<Digest, Evidence> CollectEvidence() const;
  void RemoveOld(TimePoint now);
  void RemoveOldestSound();
  void EndRefuted();
  // Hosts that refuse these keys are to be told of the sound responses since.
  void KeepRefuted(const CrashRefusal& refusal, TimePoint now);
  CrashJudgment Describe(const KeyEvidence& entry) const;
  // A response on one of its keys was sound after the last crash.
  bool IsRefuted(const CrashRefusal& refusal) const;

  const CrashSuspectsOptions options_;
  std::deque<Crash> crashes_;  // by time
  TimePoint last_judgment_{};
  std::unordered_map<Digest, Sound> sound_;
  CrashRefusals refusals_;
  struct ToldKey {
    RefutedKey refuted;
    TimePoint until{};  // other hosts are told
  };
  std::vector<ToldKey> refuted_;  // oldest first
  // Parts on which sound responses matter.
  struct Asked {
    TimePoint until{};
    TimePoint last_report{};
  };
  std::unordered_map<Digest, Asked> asked_;
};

}  // namespace verbenaridge::dispatch

#endif  // VERBENARIDGE_DISPATCH_CRASH_SUSPECTS_H_
