// Reads one JSON object key by key and collects every error with its JSON path.
//
//   ObjectReader reader(json, "/limits", errors);
//   limits.body_bytes = reader.Integer("body_bytes", {.minimum = 1024, .maximum = 1 << 30});
//   reader.RefuseUnknownKeys();
#ifndef VERBENARIDGE_SETTINGS_INTERNAL_OBJECT_READER_H_
#define VERBENARIDGE_SETTINGS_INTERNAL_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/settings/settings.h"

namespace verbenaridge::settings::internal {

// Collects the errors of one file.
class ErrorList {
 public:
  explicit ErrorList(std::string_view file) : file_(file) {}

  void Add(std::string_view path, std::string_view expected) {
    errors_.push_back({file_, std::string(path), std::string(expected)});
  }

  // A value that is accepted under a former name.
  void AddOutdated(std::string_view path, std::string_view present_name) {
    outdated_.push_back({file_, std::string(path), std::string(present_name)});
  }

  std::vector<SettingError> Take() { return std::move(errors_); }
  std::vector<SettingError> TakeOutdated() { return std::move(outdated_); }

 private:
  std::string file_;
  std::vector<SettingError> errors_;
  std::vector<SettingError> outdated_;
};

struct FormerName {
  std::string_view former;
  std::string_view present;
};

struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

struct NumberRange {
  double minimum = 0;
  double maximum = 0;
};

// Reads the values of one JSON object. An absent key leaves the output or fallback unchanged, and
// is an error if it is required.
class ObjectReader {
 public:
  enum class Presence { kOptional, kRequired };

  ObjectReader(const nlohmann::json& value, std::string path, ErrorList& errors);

  void Text(std::string_view key, std::string& out, Presence presence = Presence::kRequired);
  // A former name is replaced by the present one and reported as outdated.
  void OneOf(std::string_view key, std::span<const std::string_view> allowed, std::string& out,
             std::span<const FormerName> former_names = {});
  void Boolean(std::string_view key, bool& out);
  std::int64_t Integer(std::string_view key, IntegerRange range, std::int64_t fallback,
                       Presence presence = Presence::kOptional);
  double Number(std::string_view key, NumberRange range, double fallback,
                Presence presence = Presence::kOptional);
  Duration Milliseconds(std::string_view key, IntegerRange range, Duration fallback);
  void Address(std::string_view key, SocketAddress& out);
  void Url(std::string_view key, std::string& out);
  void Texts(std::string_view key, std::vector<std::string>& out,
             Presence presence = Presence::kRequired);
  // Reads an optional object of strings. Null counts as absent: a template of settings renders a
  // missing table as null.
  void TextMap(std::string_view key, std::size_t max_entries,
               std::map<std::string, std::string>& out);

  // Calls `read` for each element of an array of objects.
  void Objects(std::string_view key, const std::function<void(ObjectReader&)>& read,
               Presence presence = Presence::kRequired);
  // Calls `read` for an optional object.
  void Object(std::string_view key, const std::function<void(ObjectReader&)>& read,
              Presence presence = Presence::kRequired);

  void RefuseUnknownKeys();
  void Fault(std::string_view key, std::string_view expected);

 private:
  const nlohmann::json* Find(std::string_view key, Presence presence, std::string_view expected);
  std::string PathOf(std::string_view key) const;

  const nlohmann::json& value_;
  std::string path_;
  ErrorList& errors_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace verbenaridge::settings::internal

#endif  // VERBENARIDGE_SETTINGS_INTERNAL_OBJECT_READER_H_
