#include "verbenaridge/plans/plan_check.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

#include "verbenaridge/plans/plan_delta.h"

namespace verbenaridge::plans {
namespace {

std::string Hash(char digit) { return std::string(64, digit); }

PlanDocument Example() {
  PlanDocument document;
  document.edit = {1, "edit-1", "operator", 1000};
  document.plans = {{.id = PlanId("large"),
                     .models = {ModelId("m1"), ModelId("m2")},
                     .services = {{ServiceId("stock"), {"lookup", "order"}}},
                     .priorities = {Priority::kUrgent, Priority::kStandard},
                     .requests_per_second = 10,
                     .tokens_per_second = 10000,
                     .concurrent_cost_seconds = 60,
                     .max_prompt_tokens = 1000000},
                    {.id = PlanId("small"),
                     .models = {ModelId("m1")},
                     .services = {},
                     .priorities = {Priority::kBackground},
                     .requests_per_second = 1,
                     .tokens_per_second = 100,
                     .concurrent_cost_seconds = 5,
                     .max_prompt_tokens = 8000}};
  document.accounts = {{.client_account = ClientAccountId("biei"),
                        .plan = PlanId("small"),
                        .key_hashes = {Hash('b')},
                        .default_priority = Priority::kBackground},
                       {.client_account = ClientAccountId("furano"),
                        .plan = PlanId("large"),
                        .key_hashes = {Hash('a'), Hash('c')}}};
  return document;
}

const Catalogue& TestCatalogue() {
  static const Catalogue catalogue{{ModelId("m1"), ModelId("m2")},
                                   {{ServiceId("stock"), {"lookup", "order"}}}};
  return catalogue;
}

using EditFunction = std::function<void(PlanDocument&)>;

// Guards against an invalid document that passes the checks and reaches the daemons, and against an
// error that hides later ones.
TEST_CASE("every error of a document is reported with its path") {
  struct Row {
    std::string name;
    EditFunction edit;
    std::vector<std::string> paths;
  };
  const Row rows[] = {
      {"valid", [](auto&) {}, {}},
      {"unknown model",
       [](auto& d) { d.plans[0].models[1] = ModelId("m9"); },
       {"/plans/0/models/1"}},
      {"unknown service",
       [](auto& d) { d.plans[0].services[0].service = ServiceId("x"); },
       {"/plans/0/services/0/service"}},
      {"unknown operation",
       [](auto& d) { d.plans[0].services[0].operations[1] = "x"; },
       {"/plans/0/services/0/operations/1"}},
      {"no operation",
       [](auto& d) { d.plans[0].services[0].operations.clear(); },
       {"/plans/0/services/0/operations"}},
      {"duplicate service",
       [](auto& d) { d.plans[0].services.push_back(d.plans[0].services[0]); },
       {"/plans/0/services/1/service"}},
      {"duplicate model",
       [](auto& d) { d.plans[0].models[1] = ModelId("m1"); },
       {"/plans/0/models/1"}},
      {"unknown plan",
       [](auto& d) { d.accounts[0].plan = PlanId("x"); },
       {"/client_accounts/0/plan"}},
      {"duplicate plan",
       [](auto& d) { d.plans[1].id = PlanId("large"); },
       {"/plans/1/id", "/client_accounts/0/plan"}},
      {"duplicate account",
       [](auto& d) { d.accounts[1].client_account = ClientAccountId("biei"); },
       {"/client_accounts/1/client_account"}},
      {"key of two accounts",
       [](auto& d) { d.accounts[1].key_hashes[1] = Hash('b'); },
       {"/client_accounts/1/key_hashes/1"}},
      {"malformed key",
       [](auto& d) { d.accounts[0].key_hashes[0] = "ABC"; },
       {"/client_accounts/0/key_hashes/0"}},
      {"no key",
       [](auto& d) { d.accounts[0].key_hashes.clear(); },
       {"/client_accounts/0/key_hashes"}},
      {"zero limits",
       [](auto& d) {
         d.plans[1].requests_per_second = 0;
         d.plans[1].concurrent_cost_seconds = -1;
         d.plans[1].tokens_per_second = 0;
       },
       {"/plans/1/requests_per_second", "/plans/1/concurrent_cost_seconds",
        "/plans/1/tokens_per_second", "/plans/1/max_prompt_tokens"}},
      {"prompt beyond the token rate",
       [](auto& d) { d.plans[1].max_prompt_tokens = 60001; },
       {"/plans/1/max_prompt_tokens"}},
      {"permits nothing",
       [](auto& d) {
         d.plans[1].models.clear();
         d.plans[1].max_prompt_tokens = 0;
       },
       {"/plans/1"}},
      {"no priority",
       [](auto& d) { d.plans[1].priorities.clear(); },
       {"/plans/1/priorities", "/client_accounts/0/default_priority"}},
      {"zero weight", [](auto& d) { d.accounts[0].weight = 0; }, {"/client_accounts/0/weight"}},
      {"deadline above the maximum",
       [](auto& d) { d.accounts[0].default_deadline = std::chrono::hours(1); },
       {"/client_accounts/0/default_deadline_ms"}},
      {"several errors",
       [](auto& d) {
         d.accounts[0].weight = 2000;
         d.accounts[1].plan = PlanId("x");
       },
       {"/client_accounts/0/weight", "/client_accounts/1/plan"}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlanDocument document = Example();
    row.edit(document);
    std::vector<std::string> paths;
    for (const PlanProblem& problem : CheckDocument(document, &TestCatalogue())) {
      paths.push_back(problem.path);
    }
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> expected = row.paths;
    std::sort(expected.begin(), expected.end());
    CHECK(paths == expected);
  }
}

// Guards against a change that cuts off a client account without the operator's flag, and against
// deltas and descriptions that omit a field.
TEST_CASE("cut-offs, differences and deltas of a change are complete") {
  struct Row {
    std::string name;
    EditFunction edit;
    std::size_t cut_offs;
    std::vector<std::string> lines;
  };
  const Row rows[] = {
      {"no change", [](auto&) {}, 0, {}},
      {"weight",
       [](auto& d) { d.accounts[1].weight = 2; },
       0,
       {"client account furano: weight 1 -> 2"}},
      {"one of two keys removed",
       [](auto& d) { d.accounts[1].key_hashes.pop_back(); },
       0,
       {"client account furano: key hash removed: " + Hash('c')}},
      {"all keys replaced",
       [](auto& d) { d.accounts[0].key_hashes = {Hash('d')}; },
       1,
       {"client account biei: key hash removed: " + Hash('b'),
        "client account biei: key hash added: " + Hash('d')}},
      {"account removed",
       [](auto& d) { d.accounts.erase(d.accounts.begin()); },
       1,
       {"client account biei: removed"}},
      {"only service removed",
       [](auto& d) { d.plans[0].services.clear(); },
       1,
       {"plan large: service removed: stock(lookup, order)"}},
      {"limits",
       [](auto& d) {
         d.plans[1].requests_per_second = 3;
         d.plans[1].max_prompt_tokens = 9000;
       },
       0,
       {"plan small: requests/s 1 -> 3", "plan small: max prompt tokens 8000 -> 9000"}},
      {"plan removed", [](auto& d) { d.plans.pop_back(); }, 0, {"plan small: removed"}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const PlanDocument before = Example();
    PlanDocument edited = before;
    row.edit(edited);
    const PlanDocument after = MakeSuccessor(before, edited, {0, "edit-2", "operator", 2000});
    CHECK(after.version() == 2);
    CHECK(FindCutOffs(before, after).size() == row.cut_offs);
    CHECK(DescribeDifferences(before, after) == row.lines);
    const PlanDelta delta = ComputeDelta(before, after);
    REQUIRE(ApplyDelta(before, delta).has_value());
    CHECK(ApplyDelta(before, delta).value() == after);
    CHECK(ApplyDelta(after, delta).error() == Errc::kConflict);
    PlanDocument tampered = before;
    tampered.plans[0].requests_per_second = 11;
    if (delta.plans.empty()) CHECK(ApplyDelta(tampered, delta).error() == Errc::kMalformed);
  }
}

// Guards against a history that grows with each change, of which there are 750 a day.
TEST_CASE("the history has a maximum length") {
  PlanDocument document = Example();
  for (int i = 0; i < 100; ++i) {
    const PlanDocument before = document;
    document = MakeSuccessor(before, before, {0, "e" + std::to_string(i), "operator", i});
    CHECK(ApplyDelta(before, ComputeDelta(before, document)).value() == document);
  }
  CHECK(document.history.size() == kMaxHistory);
  CHECK(document.history.front().version == document.version() - 1);
}

// Guards against a key that returns the plan of another client account.
TEST_CASE("the index finds accounts by key and id, and plans by id") {
  const PlanIndex index(std::make_shared<const PlanDocument>(Example()));
  CHECK(index.AccountOfKey(Hash('c'))->client_account.value() == "furano");
  CHECK(index.AccountOfKey(Hash('d')) == nullptr);
  CHECK(index.Account(ClientAccountId("biei"))->plan.value() == "small");
  CHECK(index.FindPlan(PlanId("large"))->models.size() == 2);
}

}  // namespace
}  // namespace verbenaridge::plans
