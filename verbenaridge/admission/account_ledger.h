// Enforces the limits of client accounts at the daemon that owns the accounts.
//
// Requests/s and tokens/s are token buckets. Concurrent cost is the sum over admissions, each with
// a holder id and an expiry. The poison package decides on identical requests.
//
// Error bounds, for a limit of r per second with burst b over any time span T:
// - A stable owner admits at most r T + b, regardless of the number of ingress points.
// - Each owner change adds at most b / 2, because a new owner starts with half a burst. Until
//   `presentation_time` has passed, it also grants only half of the concurrent cost, so that the
//   sum of what it grants and of what holders present later is at most 1.5 times the limit.
// - Ingress points that decide alone use `LocalShare(limits, n)`: k of n such points add at most
//   (k / n) (r T + b).
//
//   AccountLedger ledger;
//   ledger.SetLimits(account, limits, BucketStart::kHalf, now);
//   AdmitDecision decision = ledger.Admit({.holder = holder, .account = account, ...}, now);
//   ...
//   ledger.Finish(holder, account, {.completed = true}, now);
#ifndef VERBENARIDGE_ADMISSION_ACCOUNT_LEDGER_H_
#define VERBENARIDGE_ADMISSION_ACCOUNT_LEDGER_H_

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "verbenaridge/admission/token_bucket.h"
#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/holder.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::admission {

struct AdmissionOptions {
  Duration expiry = std::chrono::minutes(10);  // of an admission that its holder does not renew
  Duration presentation_time = std::chrono::seconds(6);  // within which holders present admissions
};

// Limits and permissions of a plan. Zero means no limit. An empty set permits all values.
struct AccountLimits {
  double requests_per_second = 0;
  double request_burst = 0;  // zero: one second's worth
  double tokens_per_second = 0;
  double token_burst = 0;      // zero: one second's worth
  double concurrent_cost = 0;  // seconds of endpoint time
  std::set<ModelId> models{};
  std::set<ServiceId> services{};
  std::set<Priority> priorities{};
};

// Returns the limits for one of `live_daemons` ingress points that decides without the owner.
AccountLimits LocalShare(const AccountLimits& limits, std::size_t live_daemons);

enum class BucketStart : std::uint8_t { kFull, kHalf };

enum class AdmitReason : std::uint8_t {
  kNone,
  kUnknownAccount,
  kPlanForbids,
  kRateLimited,
  kConcurrencyLimited,
};

struct AdmitInput {
  HolderId holder{};
  ClientAccountId account{};
  ModelId model{};      // empty for a service call
  ServiceId service{};  // empty for a completion
  Priority priority = Priority::kStandard;
  TokenCount tokens = 0;
  double cost_seconds = 0;
};

struct AdmitDecision {
  bool admitted = false;
  AdmitReason reason = AdmitReason::kNone;
  Duration retry_after{};
};

// An admission that a holder presents to a new owner.
struct PresentedAdmission {
  HolderId holder{};
  ClientAccountId account{};
  double cost_seconds = 0;
};

struct FinishInput {
  TokenCount tokens_admitted = 0;
  TokenCount tokens_used = 0;  // the unused rest is refunded
};

// Used by one thread.
class AccountLedger {
 public:
  explicit AccountLedger(AdmissionOptions options = {}) : options_(options) {}

  // Sets the plan's limits. `start` only applies to the first call for an account.
  void SetLimits(const ClientAccountId& account, AccountLimits limits, BucketStart start,
                 TimePoint now);
  void RemoveAccount(const ClientAccountId& account) { accounts_.erase(account); }

  // Decides on a request. Repeating a holder's admission admits it again without a charge.
  AdmitDecision Admit(const AdmitInput& input, TimePoint now);

  // Ends an admission. Unknown holders are ignored, because an admission may have expired or may
  // belong to an earlier owner.
  void Finish(const HolderId& holder, const ClientAccountId& account, const FinishInput& input,
              TimePoint now);

  // Adds an admission of an earlier owner, or renews one that is known.
  void Present(const PresentedAdmission& presentation, TimePoint now);

  // Removes admissions past their expiry.
  void Expire(TimePoint now);

  // Removes the admissions of a daemon that died or restarted with a newer incarnation.
  void ExpireHost(const HostId& host, Incarnation before);

  double concurrent_cost(const ClientAccountId& account) const;
  std::size_t in_flight(const ClientAccountId& account) const;

 private:
  struct Admission {
    double cost = 0;
    TimePoint expiry{};
  };
  struct Account {
    AccountLimits limits;
    TokenBucket requests{0, 0, 0, {}};
    TokenBucket tokens{0, 0, 0, {}};
    bool inherited = false;    // from an earlier owner
    TimePoint presented_by{};  // until then, admissions of an earlier owner may be unknown
    std::unordered_map<HolderId, Admission> admissions;
    double cost = 0;
  };

  AdmitDecision Check(Account& account, const AdmitInput& input, TimePoint now) const;
  void Add(Account& account, const HolderId& holder, const Admission& admission);
  void Remove(Account& account, std::unordered_map<HolderId, Admission>::iterator admission);

  AdmissionOptions options_;
  std::unordered_map<ClientAccountId, Account> accounts_;
};

}  // namespace verbenaridge::admission

#endif  // VERBENARIDGE_ADMISSION_ACCOUNT_LEDGER_H_
