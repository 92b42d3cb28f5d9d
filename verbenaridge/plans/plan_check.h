// Checks a complete plan document and reports all errors at once.
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

// Maximum default deadline. The token rate of a plan must also cover its longest prompt within this
// time, because a prompt that needs more time could not be admitted before any permitted deadline.
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

// Checks names, limits and keys. With a null catalogue, the names of models, services and
// operations are not checked. Indices in the paths are positions in the lists of `document`.
std::vector<PlanProblem> CheckDocument(const PlanDocument& document, const Catalogue* catalogue);

// Returns the client accounts of `before` that `after` would cut off. Such an account is removed,
// loses all of its keys, or has a plan that no longer permits any of the models, services or
// priorities permitted before. A change that cuts off an account requires an explicit flag from the
// operator.
std::vector<PlanProblem> FindCutOffs(const PlanDocument& before, const PlanDocument& after);

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_CHECK_H_
