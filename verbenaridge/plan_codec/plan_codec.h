// Plan documents and deltas as JSON. docs/plans.md describes the schema.
//
//   plan_codec::Decoded<plans::PlanDocument> decoded = plan_codec::DecodeDocument(text);
//   if (!decoded.problems.empty()) ...  // each with its JSON pointer
#ifndef VERBENARIDGE_PLAN_CODEC_PLAN_CODEC_H_
#define VERBENARIDGE_PLAN_CODEC_PLAN_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/plans/plan_check.h"
#include "verbenaridge/plans/plan_delta.h"
#include "verbenaridge/plans/plan_document.h"

namespace verbenaridge::plan_codec {

// The decoded value, or all problems found in the text. The functions of this header are
// thread-safe and never throw.
template <class T>
struct Decoded {
  std::optional<T> value;
  std::vector<plans::PlanProblem> problems;
};

// Compact for the store and messages, indented for operators.
enum class Layout { kCompact, kIndented };

std::string EncodeDocument(const plans::PlanDocument& document, Layout layout = Layout::kCompact);

// Unknown fields are reported as problems, because a misspelt limit would otherwise be ignored.
// "edit" and "history" are optional, because a file written by an operator does not have them. The
// order of the lists is preserved.
Decoded<plans::PlanDocument> DecodeDocument(std::string_view text);

std::string EncodeDelta(const plans::PlanDelta& delta);
Decoded<plans::PlanDelta> DecodeDelta(std::string_view text);

// The value of `plans/confirmed/<data centre>`.
std::string EncodeConfirmed(PlanVersion version);
std::optional<PlanVersion> DecodeConfirmed(std::string_view text);

// {"models": [...], "services": {"name": ["operation", ...]}}
Decoded<plans::Catalogue> DecodeCatalogue(std::string_view text);

}  // namespace verbenaridge::plan_codec

#endif  // VERBENARIDGE_PLAN_CODEC_PLAN_CODEC_H_
