#include "verbenaridge/plans/plan_check.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string_view>
#include <utility>

namespace verbenaridge::plans {
namespace {

constexpr std::size_t kHashDigits = 64;
constexpr double kMaxWeight = 1000;

bool IsKeyHash(std::string_view text) {
  return text.size() == kHashDigits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

class Checker {
 public:
  Checker(const PlanDocument& document, const Catalogue* catalogue)
      : document_(document), catalogue_(catalogue) {}

  std::vector<PlanProblem> Run() {
    for (std::size_t i = 0; i < document_.plans.size(); ++i) CheckPlan(i);
    for (std::size_t i = 0; i < document_.accounts.size(); ++i) CheckAccount(i);
    return std::move(problems_);
  }

 private:
  void Report(std::string path, std::string message) {
    problems_.push_back({std::move(path), std::move(message)});
  }

  void RequirePositive(const std::string& path, double value) {
    if (!std::isfinite(value) || value <= 0) Report(path, "must be a number above 0");
  }

  template <class Name>
  void CheckDistinct(const std::string& path, const std::vector<Name>& names) {
    std::set<Name> seen;
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (!seen.insert(names[i]).second) {
        Report(path + "/" + std::to_string(i), "is listed twice");
      }
    }
  }

  void CheckPlan(std::size_t index) {
    const Plan& plan = document_.plans[index];
    const std::string path = "/plans/" + std::to_string(index);
    if (plan.id.empty()) Report(path + "/id", "must not be empty");
    if (!plans_.emplace(plan.id, &plan).second) {
      Report(path + "/id", "plan \"" + plan.id.value() + "\" is defined twice");
    }
    CheckNames(path, plan);
    CheckLimits(path, plan);
  }

  void CheckNames(const std::string& path, const Plan& plan) {
    CheckDistinct(path + "/models", plan.models);
    CheckDistinct(path + "/priorities", plan.priorities);
    for (std::size_t i = 0; i < plan.models.size(); ++i) {
      if (catalogue_ != nullptr && !catalogue_->models.contains(plan.models[i])) {
        Report(path + "/models/" + std::to_string(i),
               "unknown model \"" + plan.models[i].value() + "\"");
      }
    }
    std::set<ServiceId> seen;
    for (std::size_t i = 0; i < plan.services.size(); ++i) {
      const std::string service_path = path + "/services/" + std::to_string(i);
      if (!seen.insert(plan.services[i].service).second) {
        Report(service_path + "/service", "is listed twice");
      }
      CheckService(service_path, plan.services[i]);
    }
  }

  void CheckService(const std::string& path, const ServicePermission& permission) {
    if (permission.operations.empty()) Report(path + "/operations", "must not be empty");
    CheckDistinct(path + "/operations", permission.operations);
    if (catalogue_ == nullptr) return;
    const auto known = catalogue_->services.find(permission.service);
    if (known == catalogue_->services.end()) {
      Report(path + "/service", "unknown service \"" + permission.service.value() + "\"");
      return;
    }
    for (std::size_t i = 0; i < permission.operations.size(); ++i) {
      if (!known->second.contains(permission.operations[i])) {
        Report(path + "/operations/" + std::to_string(i),
               "service \"" + permission.service.value() + "\" has no operation \"" +
                   permission.operations[i] + "\"");
      }
    }
  }

  void CheckLimits(const std::string& path, const Plan& plan) {
    RequirePositive(path + "/requests_per_second", plan.requests_per_second);
    RequirePositive(path + "/concurrent_cost_seconds", plan.concurrent_cost_seconds);
    if (plan.priorities.empty()) Report(path + "/priorities", "must name at least one priority");
    if (plan.models.empty()) {
      if (plan.services.empty()) Report(path, "permits no model and no service");
      if (plan.max_prompt_tokens != 0) {
        Report(path + "/max_prompt_tokens", "must be 0 for a plan without models");
      }
      return;
    }
    RequirePositive(path + "/tokens_per_second", plan.tokens_per_second);
    if (plan.max_prompt_tokens <= 0) {
      Report(path + "/max_prompt_tokens", "must be above 0 for a plan with models");
    } else if (static_cast<double>(plan.max_prompt_tokens) >
               plan.tokens_per_second * ToSeconds(kMaxDeadline)) {
      Report(path + "/max_prompt_tokens",
             "exceeds what tokens_per_second allows within 600 s, so such a prompt would never be "
             "admitted");
    }
  }

  void CheckAccount(std::size_t index) {
    const AccountPlan& account = document_.accounts[index];
    const std::string path = "/client_accounts/" + std::to_string(index);
    if (account.client_account.empty()) Report(path + "/client_account", "must not be empty");
    if (!accounts_.insert(account.client_account).second) {
      Report(path + "/client_account",
             "client account \"" + account.client_account.value() + "\" is listed twice");
    }
    CheckKeys(path, account);
    if (!std::isfinite(account.weight) || account.weight <= 0 || account.weight > kMaxWeight) {
      Report(path + "/weight", "must be above 0 and at most 1000");
    }
    if (account.default_deadline <= Duration::zero() || account.default_deadline > kMaxDeadline) {
      Report(path + "/default_deadline_ms", "must be above 0 and at most 600000");
    }
    const auto plan = plans_.find(account.plan);
    if (plan == plans_.end()) {
      Report(path + "/plan", "unknown plan \"" + account.plan.value() + "\"");
      return;
    }
    const std::vector<Priority>& permitted = plan->second->priorities;
    if (std::find(permitted.begin(), permitted.end(), account.default_priority) ==
        permitted.end()) {
      Report(path + "/default_priority",
             "plan \"" + account.plan.value() + "\" does not permit priority \"" +
                 std::string(PriorityName(account.default_priority)) + "\"");
    }
  }

  void CheckKeys(const std::string& path, const AccountPlan& account) {
    if (account.key_hashes.empty()) Report(path + "/key_hashes", "must hold at least one key");
    for (std::size_t i = 0; i < account.key_hashes.size(); ++i) {
      const std::string key_path = path + "/key_hashes/" + std::to_string(i);
      if (!IsKeyHash(account.key_hashes[i])) {
        Report(key_path, "must be a SHA-256 hash in 64 lower-case hex digits");
      }
      const auto [holder, added] = keys_.emplace(account.key_hashes[i], key_path);
      if (!added) Report(key_path, "the same key is held at " + holder->second);
    }
  }

  const PlanDocument& document_;
  const Catalogue* catalogue_;
  std::vector<PlanProblem> problems_;
  std::map<PlanId, const Plan*> plans_;
  std::set<ClientAccountId> accounts_;
  std::map<std::string, std::string> keys_;
};

const AccountPlan* FindAccount(const PlanDocument& document, const ClientAccountId& id) {
  const auto it = std::find_if(document.accounts.begin(), document.accounts.end(),
                               [&](const AccountPlan& a) { return a.client_account == id; });
  return it == document.accounts.end() ? nullptr : &*it;
}

const Plan* FindPlan(const PlanDocument& document, const PlanId& id) {
  const auto it = std::find_if(document.plans.begin(), document.plans.end(),
                               [&](const Plan& plan) { return plan.id == id; });
  return it == document.plans.end() ? nullptr : &*it;
}

template <class Item, class Equal>
bool LosesAll(const std::vector<Item>& before, const std::vector<Item>& after, Equal equal) {
  return !before.empty() && std::none_of(before.begin(), before.end(), [&](const Item& old) {
    return std::any_of(after.begin(), after.end(),
                       [&](const Item& now) { return equal(old, now); });
  });
}

}  // namespace

std::vector<PlanProblem> CheckDocument(const PlanDocument& document, const Catalogue* catalogue) {
  return Checker(document, catalogue).Run();
}

std::vector<PlanProblem> FindCutOffs(const PlanDocument& before, const PlanDocument& after) {
  std::vector<PlanProblem> problems;
  for (const AccountPlan& old : before.accounts) {
    const std::string name = "client account \"" + old.client_account.value() + "\" ";
    const AccountPlan* account = FindAccount(after, old.client_account);
    if (account == nullptr) {
      problems.push_back({"/client_accounts", name + "would be removed"});
      continue;
    }
    const std::string path = "/client_accounts/" + std::to_string(account - after.accounts.data());
    if (LosesAll(old.key_hashes, account->key_hashes, std::equal_to<>())) {
      problems.push_back({path + "/key_hashes", name + "would lose all of its keys"});
    }
    const Plan* old_plan = FindPlan(before, old.plan);
    const Plan* plan = FindPlan(after, account->plan);
    if (old_plan == nullptr || plan == nullptr) continue;
    if (LosesAll(old_plan->models, plan->models, std::equal_to<>())) {
      problems.push_back({path + "/plan", name + "would lose all of its models"});
    }
    if (LosesAll(old_plan->services, plan->services,
                 [](const auto& a, const auto& b) { return a.service == b.service; })) {
      problems.push_back({path + "/plan", name + "would lose all of its services"});
    }
    if (LosesAll(old_plan->priorities, plan->priorities, std::equal_to<>())) {
      problems.push_back({path + "/plan", name + "would lose all of its priorities"});
    }
  }
  return problems;
}

}  // namespace verbenaridge::plans
