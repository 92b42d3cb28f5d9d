// The plan document: the plan of each client account, and the permissions and limits of each plan.
//
//   plans::PlanDocument document = ...;
//   plans::Normalise(document);
//   plans::PlanIndex index(std::make_shared<const plans::PlanDocument>(std::move(document)));
//   const plans::AccountPlan* account = index.AccountOfKey(key_hash);
#ifndef VERBENARIDGE_PLANS_PLAN_DOCUMENT_H_
#define VERBENARIDGE_PLANS_PLAN_DOCUMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/units.h"

namespace verbenaridge::plans {

// Maximum number of edits in the history. Older ones are removed, so that 750 changes a day do not
// grow the document.
inline constexpr std::size_t kMaxHistory = 32;

// A service and those of its operations that a plan permits.
struct ServicePermission {
  ServiceId service;
  std::vector<std::string> operations;

  friend bool operator==(const ServicePermission&, const ServicePermission&) = default;
};

// Permissions and limits of the client accounts with this plan.
struct Plan {
  PlanId id;
  std::vector<ModelId> models;
  std::vector<ServicePermission> services;
  std::vector<Priority> priorities;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double concurrent_cost_seconds = 0;
  TokenCount max_prompt_tokens = 0;

  friend bool operator==(const Plan&, const Plan&) = default;
};

// A client account and its plan.
struct AccountPlan {
  ClientAccountId client_account;
  PlanId plan;
  std::vector<std::string> key_hashes;  // SHA-256 of bearer keys, 64 lower-case hex digits
  double weight = 1;                    // relative share of an endpoint under load
  Priority default_priority = Priority::kStandard;
  Duration default_deadline = std::chrono::seconds(30);

  friend bool operator==(const AccountPlan&, const AccountPlan&) = default;
};

// Version, author and time of one change.
struct Edit {
  PlanVersion version = 0;
  std::string edit_id;  // unique per change; shows whether a write with a lost reply took effect
  std::string author;
  std::int64_t unix_ms = 0;

  friend bool operator==(const Edit&, const Edit&) = default;
};

// All client accounts and plans, stored as one value in the platform's store. Version 0 is the
// empty document.
struct PlanDocument {
  Edit edit;
  std::vector<AccountPlan> accounts;
  std::vector<Plan> plans;
  std::vector<Edit> history;  // earlier edits, newest first, at most kMaxHistory

  PlanVersion version() const { return edit.version; }

  friend bool operator==(const PlanDocument&, const PlanDocument&) = default;
};

using PlanDocumentPtr = std::shared_ptr<const PlanDocument>;

// Sorts all lists, so that documents with the same content compare equal.
void Normalise(PlanDocument& document);

// Digest of the content of a normalised document. It is the same on every host.
Digest ContentDigest(const PlanDocument& document);

// Returns `edited` as the successor of `current`, normalised, with its version, edit and history
// set.
PlanDocument MakeSuccessor(const PlanDocument& current, PlanDocument edited, Edit edit);

// Index for look-ups in one document. Immutable and thread-safe.
class PlanIndex {
 public:
  explicit PlanIndex(PlanDocumentPtr document);

  const PlanDocument& document() const { return *document_; }

  // The look-ups return null if there is no entry. Pointers are valid as long as the document.
  const AccountPlan* AccountOfKey(std::string_view key_hash) const;
  const AccountPlan* Account(const ClientAccountId& id) const;
  const Plan* FindPlan(const PlanId& id) const;

 private:
  PlanDocumentPtr document_;
  std::unordered_map<std::string_view, const AccountPlan*> by_key_;
  std::unordered_map<std::string_view, const AccountPlan*> by_id_;
  std::unordered_map<std::string_view, const Plan*> plans_;
};

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_DOCUMENT_H_
