#include "verbenaridge/loadtool/trace_file.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace verbenaridge::loadtool {
namespace {

using Json = nlohmann::json;

// The columns of a CSV line as a JSON object, so that both forms share the conversion.
Json FromCsv(const std::vector<std::string>& columns, const std::string& line) {
  Json row = Json::object();
  std::istringstream fields(line);
  std::string field;
  for (const std::string& column : columns) {
    if (!std::getline(fields, field, ',')) break;
    const Json number = Json::parse(field, nullptr, false);
    row[column] = number.is_number() ? number : Json(field);
  }
  return row;
}

bool Convert(const Json& json, TraceRow& row) {
  if (!json.is_object()) return false;
  const auto priority = ParsePriority(json.value("priority", "standard"));
  if (!priority) return false;
  row = {.time = json.value("time", 0.0),
         .client_account = json.value("client_account", "default"),
         .priority = *priority,
         .prompt_tokens = json.value("prompt_tokens", TokenCount{1000}),
         .output_tokens = json.value("output_tokens", TokenCount{16}),
         .operation = json.value("operation", "complete"),
         .target = json.value("target", "m"),
         .deadline_ms = json.value("deadline_ms", 0.0)};
  return row.prompt_tokens > 0 && row.output_tokens > 0 && row.time >= 0;
}

}  // namespace

std::vector<TraceRow> ReadTrace(std::istream& in, std::string& error) {
  std::vector<TraceRow> rows;
  std::vector<std::string> columns;
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    if (line.empty() || line.starts_with('#')) continue;
    if (columns.empty() && !line.starts_with('{')) {
      std::istringstream names(line);
      for (std::string name; std::getline(names, name, ',');) columns.push_back(name);
      continue;
    }
    TraceRow row;
    bool ok = false;
    try {
      ok = Convert(columns.empty() ? Json::parse(line) : FromCsv(columns, line), row);
    } catch (const Json::exception&) {
      ok = false;
    }
    if (!ok) {
      error = "line " + std::to_string(number) + " is malformed";
      break;
    }
    rows.push_back(std::move(row));
  }
  std::stable_sort(rows.begin(), rows.end(),
                   [](const TraceRow& a, const TraceRow& b) { return a.time < b.time; });
  return rows;
}

}  // namespace verbenaridge::loadtool
