#include "verbenaridge/base/units.h"

namespace verbenaridge {
namespace {

constexpr std::array<std::string_view, kPriorityCount> kPriorityNames = {"urgent", "standard",
                                                                         "background"};

}  // namespace

std::string_view PriorityName(Priority priority) { return kPriorityNames[Rank(priority)]; }

std::optional<Priority> ParsePriority(std::string_view name) {
  for (Priority priority : kAllPriorities) {
    if (PriorityName(priority) == name) return priority;
  }
  return std::nullopt;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace verbenaridge
