#include "verbenaridge/plans/plan_delta.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace verbenaridge::plans {
namespace {

const ClientAccountId& IdOf(const AccountPlan& account) { return account.client_account; }
const PlanId& IdOf(const Plan& plan) { return plan.id; }

template <class Item, class Id>
void Compare(const std::vector<Item>& before, const std::vector<Item>& after,
             std::vector<Item>& changed, std::vector<Id>& removed) {
  auto old = before.begin();
  for (const Item& item : after) {
    for (; old != before.end() && IdOf(*old) < IdOf(item); ++old) removed.push_back(IdOf(*old));
    const bool existed = old != before.end() && IdOf(*old) == IdOf(item);
    if (!existed || !(*old == item)) changed.push_back(item);
    if (existed) ++old;
  }
  for (; old != before.end(); ++old) removed.push_back(IdOf(*old));
}

template <class Item, class Id>
void Apply(std::vector<Item>& items, const std::vector<Item>& changed,
           const std::vector<Id>& removed) {
  std::map<Id, Item> merged;
  for (Item& item : items) merged.emplace(IdOf(item), std::move(item));
  for (const Id& id : removed) merged.erase(id);
  for (const Item& item : changed) merged.insert_or_assign(IdOf(item), item);
  items.clear();
  for (auto& [id, item] : merged) items.push_back(std::move(item));
}

template <class T>
std::string Text(const T& value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

std::string Text(Priority priority) { return std::string(PriorityName(priority)); }

std::string Text(Duration duration) {
  return Text(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

std::string Text(const ServicePermission& permission) {
  std::string text = permission.service.value() + "(";
  for (const std::string& operation : permission.operations) {
    if (text.back() != '(') text += ", ";
    text += operation;
  }
  return text + ")";
}

class Description {
 public:
  template <class Value>
  void Field(const char* name, const Value& before, const Value& after) {
    if (before == after) return;
    lines_.push_back(subject_ + ": " + name + " " + Text(before) + " -> " + Text(after));
  }

  template <class Item>
  void List(const char* name, const std::vector<Item>& before, const std::vector<Item>& after) {
    const auto report = [&](const std::vector<Item>& these, const std::vector<Item>& others,
                            const char* verb) {
      for (const Item& item : these) {
        if (std::find(others.begin(), others.end(), item) == others.end()) {
          lines_.push_back(subject_ + ": " + name + " " + verb + " " + Text(item));
        }
      }
    };
    report(before, after, "removed:");
    report(after, before, "added:");
  }

  void Fields(const AccountPlan& before, const AccountPlan& after) {
    Field("plan", before.plan, after.plan);
    Field("weight", before.weight, after.weight);
    Field("default priority", before.default_priority, after.default_priority);
    Field("default deadline", before.default_deadline, after.default_deadline);
    List("key hash", before.key_hashes, after.key_hashes);
  }

  void Fields(const Plan& before, const Plan& after) {
    Field("requests/s", before.requests_per_second, after.requests_per_second);
    Field("tokens/s", before.tokens_per_second, after.tokens_per_second);
    Field("concurrent cost seconds", before.concurrent_cost_seconds, after.concurrent_cost_seconds);
    Field("max prompt tokens", before.max_prompt_tokens, after.max_prompt_tokens);
    List("model", before.models, after.models);
    List("service", before.services, after.services);
    List("priority", before.priorities, after.priorities);
  }

  template <class Item>
  void Items(const char* kind, const std::vector<Item>& before, const std::vector<Item>& after) {
    for (const Item& item : before) {
      if (Find(after, item) == nullptr) lines_.push_back(Subject(kind, item) + ": removed");
    }
    for (const Item& item : after) {
      subject_ = Subject(kind, item);
      const Item* old = Find(before, item);
      if (old == nullptr) lines_.push_back(subject_ + ": added");
      Fields(old == nullptr ? Item{} : *old, item);
    }
  }

  std::vector<std::string> Take() { return std::move(lines_); }

 private:
  template <class Item>
  static std::string Subject(const char* kind, const Item& item) {
    return std::string(kind) + " " + IdOf(item).value();
  }

  template <class Item>
  static const Item* Find(const std::vector<Item>& items, const Item& wanted) {
    const auto it = std::find_if(items.begin(), items.end(),
                                 [&](const Item& item) { return IdOf(item) == IdOf(wanted); });
    return it == items.end() ? nullptr : &*it;
  }

  std::string subject_;
  std::vector<std::string> lines_;
};

}  // namespace

PlanDelta ComputeDelta(const PlanDocument& before, const PlanDocument& after) {
  PlanDelta delta;
  delta.from_version = before.version();
  delta.edit = after.edit;
  for (const Edit& edit : after.history) {
    if (edit.version > before.version()) delta.history.push_back(edit);
  }
  Compare(before.accounts, after.accounts, delta.accounts, delta.removed_accounts);
  Compare(before.plans, after.plans, delta.plans, delta.removed_plans);
  delta.result_digest = ContentDigest(after);
  return delta;
}

Result<PlanDocument> ApplyDelta(const PlanDocument& before, const PlanDelta& delta) {
  if (before.version() != delta.from_version) return Errc::kConflict;
  PlanDocument after = before;
  std::vector<Edit> history = delta.history;
  if (before.version() != 0) history.push_back(before.edit);
  history.insert(history.end(), before.history.begin(), before.history.end());
  if (history.size() > kMaxHistory) history.resize(kMaxHistory);
  after.history = std::move(history);
  after.edit = delta.edit;
  Apply(after.accounts, delta.accounts, delta.removed_accounts);
  Apply(after.plans, delta.plans, delta.removed_plans);
  if (ContentDigest(after) != delta.result_digest) return Errc::kMalformed;
  return after;
}

std::vector<std::string> DescribeDifferences(const PlanDocument& before,
                                             const PlanDocument& after) {
  Description description;
  description.Items("plan", before.plans, after.plans);
  description.Items("client account", before.accounts, after.accounts);
  return description.Take();
}

}  // namespace verbenaridge::plans
