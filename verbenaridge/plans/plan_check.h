// Checks of a plan document as a whole. All errors are reported at once.
//
//   for (const PlanProblem& problem : CheckDocument(document, &catalogue)) {
//     std::cerr << problem.path << ": " << problem.message << '\n';
//   }
#ifndef VERBENARIDGE_PLANS_PLAN_CHECK_H_
#define VERBENARIDGE_PLANS_PLAN_CHECK_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "verbenaridge/plans/plan_document.h"

namespace verbenaridge::plans {

// Longest default deadline, and the time within which a plan's token rate must cover its longest
// prompt: a prompt that needs longer could not be admitted before any permitted deadline.
inline constexpr Duration kMaxDeadline = std::chrono::minutes(10);

// The names that plans may refer to.
struct Catalogue {
  std::set<ModelId> models;
  std::map<ServiceId, std::set<std::string>> services;
};

struct PlanProblem {
  std::string path;  // JSON pointer, for example "/client_accounts/3/plan"
  std::string message;

  friend bool operator==(const PlanProblem&, const PlanProblem&) = default;
};

// Checks names, limits and keys. A null catalogue leaves out the check of model, service and
// operation names. Paths follow the order of the lists in `document`.
std::vector<PlanProblem> CheckDocument(const PlanDocument& document, const Catalogue* catalogue);

// Client accounts of `before` that `after` would cut off: removed, without any of their keys, or
// with a plan that loses all that it permitted. Changes that do so need the operator's explicit
// flag.
std::vector<PlanProblem> FindCutOffs(const PlanDocument& before, const PlanDocument& after);

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_CHECK_H_
