#include "verbenaridge/telemetry/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "verbenaridge/telemetry/internal/line_writer.h"

namespace verbenaridge::telemetry {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};
constexpr std::array<std::string_view, 7> kSecretWords = {
    "authorization", "bearer", "credential", "key", "password", "proof", "secret"};

std::atomic<Level> lowest_level{Level::kOff};
std::atomic<std::uint64_t> lines_dropped{0};

// Set while no other thread logs.
std::unique_ptr<internal::LineWriter>& Writer() {
  static auto* const writer = new std::unique_ptr<internal::LineWriter>();
  return *writer;
}

// Never destroyed, because threads may still log during the destruction of static objects.
const log4cxx::LoggerPtr& OutputLogger() {
  static const auto* const logger =
      new log4cxx::LoggerPtr(log4cxx::Logger::getLogger("verbenaridge"));
  return *logger;
}

log4cxx::LevelPtr ToLog4cxx(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cxx::Level::getDebug();
    case Level::kInfo:
      return log4cxx::Level::getInfo();
    case Level::kWarning:
      return log4cxx::Level::getWarn();
    case Level::kError:
      return log4cxx::Level::getError();
    case Level::kOff:
      break;
  }
  return log4cxx::Level::getOff();
}

bool IsSecret(std::string_view key) {
  while (!key.empty()) {
    const std::size_t end = std::min(key.find('_'), key.size());
    const std::string_view word = key.substr(0, end);
    if (std::find(kSecretWords.begin(), kSecretWords.end(), word) != kSecretWords.end()) {
      return true;
    }
    key.remove_prefix(std::min(end + 1, key.size()));
  }
  return false;
}

nlohmann::ordered_json ToJson(const Field& field) {
  if (IsSecret(field.key())) return "[redacted]";
  return std::visit(
      [](const auto& value) -> nlohmann::ordered_json {
        if constexpr (std::same_as<std::remove_cvref_t<decltype(value)>, std::string_view>) {
          return std::string(value.substr(0, kMaxFieldBytes));
        } else {
          return value;
        }
      },
      field.value());
}

std::string TimeNow() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto since_epoch =
      std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%03dZ", date.data(),
                static_cast<int>(since_epoch % 1000));
  return text.data();
}

void Write(const log4cxx::LevelPtr& level, const std::string& line) {
  OutputLogger()->forcedLog(level, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace

Status StartLog(const LogOptions& options) {
  // Each line is already a complete JSON object. log4cxx's JSONLayout is not used, because it
  // writes all fields as strings in a nested object, and numbers must remain numbers.
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  log4cxx::AppenderPtr appender;
  if (options.file.empty()) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
  } else {
    // log4cxx reports a file that cannot be opened only on standard error.
    if (!std::ofstream(options.file, std::ios::app)) return Errc::kUnavailable;
    appender = std::make_shared<log4cxx::FileAppender>(layout, options.file, true);
  }
  Writer() = nullptr;
  OutputLogger()->setAdditivity(false);
  OutputLogger()->removeAllAppenders();
  OutputLogger()->addAppender(appender);
  OutputLogger()->setLevel(ToLog4cxx(options.level));
  if (options.max_queued_lines > 0) {
    Writer() = std::make_unique<internal::LineWriter>(
        options.max_queued_lines,
        [](const std::string& line) { Write(log4cxx::Level::getInfo(), line); },
        [](std::size_t count) {
          Log(Level::kWarning, "log_lines_dropped", {{"lines", count}});
        });
  }
  lowest_level.store(options.level, std::memory_order_relaxed);
  return Ok();
}

void SetLogLevel(Level level) { lowest_level.store(level, std::memory_order_relaxed); }

std::uint64_t LogLinesDropped() { return lines_dropped.load(std::memory_order_relaxed); }

void StopLog() {
  lowest_level.store(Level::kOff, std::memory_order_relaxed);
  Writer() = nullptr;
  OutputLogger()->removeAllAppenders();
}

Level ParseLevel(std::string_view name) {
  if (name == "debug") return Level::kDebug;
  if (name == "warn") return Level::kWarning;
  if (name == "error") return Level::kError;
  return Level::kInfo;
}

bool LogEnabled(Level level) {
  return level >= lowest_level.load(std::memory_order_relaxed) && level < Level::kOff;
}

void Log(Level level, std::string_view event, std::initializer_list<Field> fields) {
  if (!LogEnabled(level)) return;
  nlohmann::ordered_json line;
  line["time"] = TimeNow();
  line["level"] = kLevelNames[static_cast<std::size_t>(level)];
  line["event"] = event;
  for (const Field& field : fields) {
    const std::string key(field.key());
    if (!line.contains(key)) line[key] = ToJson(field);
  }
  // log4cxx's character set conversion leaves ASCII unchanged.
  std::string text = line.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
  if (Writer() != nullptr) {
    if (!Writer()->Push(std::move(text))) lines_dropped.fetch_add(1, std::memory_order_relaxed);
  } else {
    Write(ToLog4cxx(level), text);
  }
}

}  // namespace verbenaridge::telemetry
