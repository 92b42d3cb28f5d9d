#include "verbenaridge/plans/plan_document.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "verbenaridge/base/hash.h"

namespace verbenaridge::plans {
namespace {

class ContentHasher {
 public:
  void Add(std::string_view text) { digest_ = CombineDigests(digest_, HashOf(text)); }
  void Add(std::uint64_t number) { digest_ = CombineDigests(digest_, number); }
  void Add(double number) { Add(std::bit_cast<std::uint64_t>(number)); }

  void Add(const Edit& edit) {
    Add(edit.version);
    Add(edit.edit_id);
    Add(edit.author);
    Add(static_cast<std::uint64_t>(edit.unix_ms));
  }

  void Add(const Plan& plan) {
    Add(plan.id.value());
    Add(plan.models.size());
    for (const ModelId& model : plan.models) Add(model.value());
    Add(plan.services.size());
    for (const ServicePermission& service : plan.services) {
      Add(service.service.value());
      Add(service.operations.size());
      for (const std::string& operation : service.operations) Add(operation);
    }
    Add(plan.priorities.size());
    for (Priority priority : plan.priorities) Add(std::uint64_t{Rank(priority)});
    Add(plan.requests_per_second);
    Add(plan.tokens_per_second);
    Add(plan.concurrent_cost_seconds);
    Add(static_cast<std::uint64_t>(plan.max_prompt_tokens));
  }

  void Add(const AccountPlan& account) {
    Add(account.client_account.value());
    Add(account.plan.value());
    Add(account.key_hashes.size());
    for (const std::string& hash : account.key_hashes) Add(hash);
    Add(account.weight);
    Add(std::uint64_t{Rank(account.default_priority)});
    Add(static_cast<std::uint64_t>(account.default_deadline.count()));
  }

  Digest digest() const { return digest_; }

 private:
  Digest digest_ = 0;
};

}  // namespace

void Normalise(PlanDocument& document) {
  for (Plan& plan : document.plans) {
    std::sort(plan.models.begin(), plan.models.end());
    std::sort(plan.priorities.begin(), plan.priorities.end());
    for (ServicePermission& service : plan.services) {
      std::sort(service.operations.begin(), service.operations.end());
    }
    std::sort(plan.services.begin(), plan.services.end(),
              [](const auto& a, const auto& b) { return a.service < b.service; });
  }
  for (AccountPlan& account : document.accounts) {
    std::sort(account.key_hashes.begin(), account.key_hashes.end());
  }
  std::stable_sort(document.plans.begin(), document.plans.end(),
                   [](const Plan& a, const Plan& b) { return a.id < b.id; });
  std::stable_sort(document.accounts.begin(), document.accounts.end(),
                   [](const AccountPlan& a, const AccountPlan& b) {
                     return a.client_account < b.client_account;
                   });
}

Digest ContentDigest(const PlanDocument& document) {
  ContentHasher hasher;
  hasher.Add(document.edit);
  hasher.Add(document.accounts.size());
  for (const AccountPlan& account : document.accounts) hasher.Add(account);
  hasher.Add(document.plans.size());
  for (const Plan& plan : document.plans) hasher.Add(plan);
  for (const Edit& edit : document.history) hasher.Add(edit);
  return hasher.digest();
}

PlanDocument MakeSuccessor(const PlanDocument& current, PlanDocument edited, Edit edit) {
  edited.history = current.history;
  if (current.version() != 0) edited.history.insert(edited.history.begin(), current.edit);
  if (edited.history.size() > kMaxHistory) edited.history.resize(kMaxHistory);
  edit.version = current.version() + 1;
  edited.edit = std::move(edit);
  Normalise(edited);
  return edited;
}

PlanIndex::PlanIndex(PlanDocumentPtr document) : document_(std::move(document)) {
  for (const AccountPlan& account : document_->accounts) {
    by_id_.emplace(account.client_account.value(), &account);
    for (const std::string& hash : account.key_hashes) by_key_.emplace(hash, &account);
  }
  for (const Plan& plan : document_->plans) plans_.emplace(plan.id.value(), &plan);
}

const AccountPlan* PlanIndex::AccountOfKey(std::string_view key_hash) const {
  const auto it = by_key_.find(key_hash);
  return it == by_key_.end() ? nullptr : it->second;
}

const AccountPlan* PlanIndex::Account(const ClientAccountId& id) const {
  const auto it = by_id_.find(id.value());
  return it == by_id_.end() ? nullptr : it->second;
}

const Plan* PlanIndex::FindPlan(const PlanId& id) const {
  const auto it = plans_.find(id.value());
  return it == plans_.end() ? nullptr : it->second;
}

}  // namespace verbenaridge::plans
