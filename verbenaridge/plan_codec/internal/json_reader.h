// Reads the fields of a JSON object and collects all problems with their JSON pointers.
#ifndef VERBENARIDGE_PLAN_CODEC_INTERNAL_JSON_READER_H_
#define VERBENARIDGE_PLAN_CODEC_INTERNAL_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "verbenaridge/plans/plan_check.h"

namespace verbenaridge::plan_codec::internal {

using Json = nlohmann::json;
using Problems = std::vector<plans::PlanProblem>;

// Reads one JSON object. Finish reports the fields that were not read.
class ObjectReader {
 public:
  ObjectReader(const Json& json, std::string path, Problems& problems)
      : json_(json), path_(std::move(path)), problems_(problems) {
    if (!json_.is_object()) Report("", "must be an object");
  }

  bool has(const char* name) const { return json_.is_object() && json_.contains(name); }

  // Returns the field, or reports a problem and returns null if it is missing.
  const Json* Find(const char* name) {
    read_.insert(name);
    if (!json_.is_object()) return nullptr;
    const auto it = json_.find(name);
    if (it == json_.end()) {
      Report(name, "is missing");
      return nullptr;
    }
    return &*it;
  }

  std::string String(const char* name) {
    const Json* field = Find(name);
    if (field == nullptr) return {};
    if (field->is_string()) return field->get<std::string>();
    Report(name, "must be a string");
    return {};
  }

  double Number(const char* name) {
    const Json* field = Find(name);
    if (field == nullptr) return 0;
    if (field->is_number()) return field->get<double>();
    Report(name, "must be a number");
    return 0;
  }

  // A whole number from 0 to 2^53 - 1, the range that every JSON implementation represents exactly.
  std::int64_t WholeNumber(const char* name) {
    constexpr std::int64_t kMax = (std::int64_t{1} << 53) - 1;
    const Json* field = Find(name);
    if (field == nullptr) return 0;
    if (field->is_number_unsigned() && field->get<std::uint64_t>() <= std::uint64_t{kMax}) {
      return field->get<std::int64_t>();
    }
    Report(name, "must be a whole number from 0 to 9007199254740991");
    return 0;
  }

  // Calls `item(json, path)` for each element of an array.
  template <class Item>
  void Each(const char* name, Item item) {
    const Json* field = Find(name);
    if (field == nullptr) return;
    if (!field->is_array()) {
      Report(name, "must be an array");
      return;
    }
    for (std::size_t i = 0; i < field->size(); ++i) {
      item((*field)[i], path_ + "/" + name + "/" + std::to_string(i));
    }
  }

  // An array of strings, each converted by the constructor of `T`.
  template <class T>
  std::vector<T> Strings(const char* name) {
    std::vector<T> values;
    Each(name, [&](const Json& json, const std::string& path) {
      if (json.is_string()) {
        values.emplace_back(json.get<std::string>());
      } else {
        problems_.push_back({path, "must be a string"});
      }
    });
    return values;
  }

  void Report(std::string_view name, std::string message) {
    std::string path = path_;
    if (!name.empty()) path.append("/").append(name);
    problems_.push_back({std::move(path), std::move(message)});
  }

  void Finish() {
    if (!json_.is_object()) return;
    for (const auto& [name, value] : json_.items()) {
      if (!read_.contains(name)) Report(name, "is not a known field");
    }
  }

  Problems& problems() { return problems_; }
  const std::string& path() const { return path_; }

 private:
  const Json& json_;
  const std::string path_;
  Problems& problems_;
  std::set<std::string> read_;
};

}  // namespace verbenaridge::plan_codec::internal

#endif  // VERBENARIDGE_PLAN_CODEC_INTERNAL_JSON_READER_H_
