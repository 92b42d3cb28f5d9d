// Quantities and classes that several packages share.
#ifndef VERBENARIDGE_BASE_UNITS_H_
#define VERBENARIDGE_BASE_UNITS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace verbenaridge {

using TokenCount = std::int64_t;
using ByteCount = std::int64_t;

// Service classes, highest first. The numeric value is the rank and is sent between processes.
enum class Priority : std::uint8_t { kUrgent = 0, kStandard = 1, kBackground = 2 };

inline constexpr std::size_t kPriorityCount = 3;
inline constexpr std::array<Priority, kPriorityCount> kAllPriorities = {
    Priority::kUrgent, Priority::kStandard, Priority::kBackground};

constexpr std::size_t Rank(Priority priority) { return static_cast<std::size_t>(priority); }

// "urgent", "standard" or "background".
std::string_view PriorityName(Priority priority);
std::optional<Priority> ParsePriority(std::string_view name);

// What is known about the execution of a request that ended.
enum class Outcome : std::uint8_t { kNotRun = 0, kRan = 1, kUnknown = 2 };

// "not_run", "ran" or "unknown".
std::string_view OutcomeName(Outcome outcome);

}  // namespace verbenaridge

#endif  // VERBENARIDGE_BASE_UNITS_H_
