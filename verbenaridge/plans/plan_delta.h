// Differences between plan documents: text for operators, and `PlanDelta` for daemons.
//
//   PlanDelta delta = ComputeDelta(old_document, new_document);
//   Result<PlanDocument> document = ApplyDelta(old_document, delta);
#ifndef VERBENARIDGE_PLANS_PLAN_DELTA_H_
#define VERBENARIDGE_PLANS_PLAN_DELTA_H_

#include <string>
#include <vector>

#include "verbenaridge/base/result.h"
#include "verbenaridge/plans/plan_document.h"

namespace verbenaridge::plans {

// The changes from the document of `from_version` to the document of `edit.version`.
struct PlanDelta {
  PlanVersion from_version = 0;
  Edit edit;
  std::vector<Edit> history;  // edits between the two versions, newest first
  std::vector<AccountPlan> accounts;
  std::vector<ClientAccountId> removed_accounts;
  std::vector<Plan> plans;
  std::vector<PlanId> removed_plans;
  Digest result_digest = 0;  // ContentDigest of the resulting document

  friend bool operator==(const PlanDelta&, const PlanDelta&) = default;
};

// Both documents must be normalised, and `after` must be newer than `before`.
PlanDelta ComputeDelta(const PlanDocument& before, const PlanDocument& after);

// Errors: kConflict if the version of `before` is not `from_version`; kMalformed if the digest of
// the result is not `result_digest`.
Result<PlanDocument> ApplyDelta(const PlanDocument& before, const PlanDelta& delta);

// One line per changed field, for example
// "client account furano-buyers: weight 1 -> 2".
std::vector<std::string> DescribeDifferences(const PlanDocument& before, const PlanDocument& after);

}  // namespace verbenaridge::plans

#endif  // VERBENARIDGE_PLANS_PLAN_DELTA_H_
