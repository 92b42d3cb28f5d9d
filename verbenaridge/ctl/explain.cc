#include "verbenaridge/ctl/explain.h"

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <ostream>
#include <set>
#include <utility>

namespace verbenaridge::ctl {
namespace {

using nlohmann::ordered_json;

// Events that change what a host believes.
constexpr std::array<std::string_view, 14> kBeliefs = {"configuration_in_force",
                                                       "configuration_older",
                                                       "configuration_malformed",
                                                       "endpoint_changed",
                                                       "endpoint_left_out",
                                                       "data_centre_left_out",
                                                       "store_lost",
                                                       "store_regained",
                                                       "store_history_lost",
                                                       "peer_silent",
                                                       "pause_noticed",
                                                       "draining",
                                                       "log_lines_dropped",
                                                       "started"};

// How long before a request a change still explains it: longer than the longest pause of an
// endpoint that is left out, and than an outage that was just noticed.
constexpr int kSecondsBefore = 10;

std::string TextAt(const ordered_json& fields, const char* key) {
  const auto found = fields.find(key);
  return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool IsBelief(const LogLine& line) {
  const std::string event = TextAt(line.fields, "event");
  return std::find(kBeliefs.begin(), kBeliefs.end(), event) != kBeliefs.end();
}

// Seconds since midnight; the day is left out, so a window across midnight is cut there.
double SecondsOf(const std::string& time) {
  int hours = 0;
  int minutes = 0;
  double seconds = 0;
  const std::size_t start = time.find('T');
  if (start == std::string::npos) return 0;
  if (std::sscanf(time.c_str() + start, "T%d:%d:%lf", &hours, &minutes, &seconds) != 3) return 0;
  return hours * 3600.0 + minutes * 60.0 + seconds;
}

void Add(const std::string& list, std::set<std::string>& out) {
  std::size_t start = 0;
  while (start < list.size()) {
    const std::size_t end = std::min(list.find(',', start), list.size());
    out.insert(list.substr(start, end - start));
    start = end + 1;
  }
}

ordered_json ToJson(const LogLine& line) {
  ordered_json json;
  json["host"] = line.host;
  json.update(line.fields);
  return json;
}

void PrintLine(const LogLine& line, std::ostream& out) {
  out << line.time << ' ' << line.host << ' ' << TextAt(line.fields, "event");
  for (const auto& [key, value] : line.fields.items()) {
    if (key == "time" || key == "level" || key == "event") continue;
    out << ' ' << key << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  out << '\n';
}

}  // namespace

std::vector<LogLine> ReadLog(std::string_view name, std::istream& in) {
  std::vector<LogLine> lines;
  std::string host(name);
  for (std::string text; std::getline(in, text);) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos) continue;
    ordered_json fields = ordered_json::parse(text.begin() + static_cast<std::ptrdiff_t>(start),
                                              text.end(), nullptr, false);
    if (!fields.is_object()) continue;
    if (TextAt(fields, "event") == "started" && !TextAt(fields, "host").empty()) {
      host = TextAt(fields, "host");
    }
    std::string time = TextAt(fields, "time");
    lines.push_back({.host = host, .time = std::move(time), .fields = std::move(fields)});
  }
  return lines;
}

Story Explain(const std::vector<LogLine>& lines, std::string_view id) {
  Story story;
  std::set<std::string> hosts;
  std::set<std::string> endpoints;
  for (const LogLine& line : lines) {
    if (id.empty() || !TextAt(line.fields, "id").starts_with(id)) continue;
    story.request.push_back(line);
    hosts.insert(line.host);
    Add(TextAt(line.fields, "endpoints"), endpoints);
    Add(TextAt(line.fields, "endpoint"), endpoints);
  }
  const auto by_time = [](const LogLine& a, const LogLine& b) { return a.time < b.time; };
  std::stable_sort(story.request.begin(), story.request.end(), by_time);
  if (story.request.empty()) return story;
  const double from = SecondsOf(story.request.front().time) - kSecondsBefore;
  const std::string& last = story.request.back().time;
  for (const LogLine& line : lines) {
    if (!hosts.contains(line.host) || !IsBelief(line) || line.time > last) continue;
    if (SecondsOf(line.time) < from) continue;
    const std::string endpoint = TextAt(line.fields, "endpoint");
    if (!endpoint.empty() && !endpoints.contains(endpoint)) continue;
    story.beliefs.push_back(line);
  }
  std::stable_sort(story.beliefs.begin(), story.beliefs.end(), by_time);
  return story;
}

void PrintStory(const Story& story, bool json, std::ostream& out) {
  if (json) {
    ordered_json document;
    document["request"] = ordered_json::array();
    document["beliefs"] = ordered_json::array();
    for (const LogLine& line : story.request) document["request"].push_back(ToJson(line));
    for (const LogLine& line : story.beliefs) document["beliefs"].push_back(ToJson(line));
    out << document.dump(2) << '\n';
    return;
  }
  out << "request:\n";
  for (const LogLine& line : story.request) PrintLine(line, out);
  out << "what the hosts concerned noticed from " << kSecondsBefore << " s before on:\n";
  for (const LogLine& line : story.beliefs) PrintLine(line, out);
}

}  // namespace verbenaridge::ctl
