// Structured log of the daemons and tools, with one JSON object per line, written by log4cxx.
//
//   Status started = StartLog({.level = Level::kInfo, .file = ""});
//   Log(Level::kInfo, "plan_applied", {{"version", 12}, {"data_centre", "furano"}});
//   // {"time":"2026-12-04T08:00:00.123Z","level":"info","event":"plan_applied","version":12,...}
//
// Secrets are redacted: a field is written as "[redacted]" if a word of its name, split at '_', is
// one of `authorization`, `bearer`, `credential`, `key`, `password`, `proof` and `secret`. Text is
// truncated to kMaxFieldBytes, because prompts may be long and do not belong in the log. All
// functions are thread-safe. A call of Log for a disabled level only reads one atomic variable.
#ifndef VERBENARIDGE_TELEMETRY_LOG_H_
#define VERBENARIDGE_TELEMETRY_LOG_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

#include "verbenaridge/base/result.h"

namespace verbenaridge::telemetry {

enum class Level : std::uint8_t { kDebug = 0, kInfo = 1, kWarning = 2, kError = 3, kOff = 4 };

// Parses the name of a level in settings. Any other text gives kInfo.
Level ParseLevel(std::string_view name);

inline constexpr std::size_t kMaxFieldBytes = 1024;

// One key and value. Refers to its text, which must outlive the call of Log.
class Field {
 public:
  using Value = std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view>;

  template <class T>
  Field(std::string_view key, const T& value)  // NOLINT(google-explicit-constructor)
      : key_(key), value_(ToValue(value)) {}

  std::string_view key() const { return key_; }
  const Value& value() const { return value_; }

 private:
  template <class T>
  static Value ToValue(const T& value) {
    if constexpr (std::same_as<T, bool>) {
      return value;
    } else if constexpr (std::is_floating_point_v<T>) {
      return static_cast<double>(value);
    } else if constexpr (std::signed_integral<T>) {
      return static_cast<std::int64_t>(value);
    } else if constexpr (std::unsigned_integral<T>) {
      return static_cast<std::uint64_t>(value);
    } else {
      return std::string_view{value};
    }
  }

  std::string_view key_;
  Value value_;
};

struct LogOptions {
  Level level = Level::kInfo;
  std::string file{};  // empty: standard output; otherwise lines are appended
  // Capacity of the queue to a writer thread. Lines that exceed it are dropped and counted in a
  // line `log_lines_dropped`. Zero: the calling thread writes.
  std::size_t max_queued_lines = 0;
};

// Nothing is logged before the first call. A further call replaces output and level.
// Errors: kUnavailable if the file cannot be opened.
Status StartLog(const LogOptions& options);

// Sets the lowest level that is logged.
void SetLogLevel(Level level);

// Number of lines dropped since the start of the process because the queue was full.
std::uint64_t LogLinesDropped();

// Closes the output. Nothing is logged until the next StartLog.
void StopLog();

bool LogEnabled(Level level);

// Writes one line. `event` names what happened, in lower case with underscores. A field with the
// name of an earlier one, or with the name `time`, `level` or `event`, is omitted.
void Log(Level level, std::string_view event, std::initializer_list<Field> fields = {});

}  // namespace verbenaridge::telemetry

#endif  // VERBENARIDGE_TELEMETRY_LOG_H_
