// Tells the story of one request from the log lines of the hosts.
//
//   std::vector<LogLine> lines = ReadLog("furano-1.log", stream);
//   Story story = Explain(lines, "9c41d07be2a35f68");
//   PrintStory(story, json, std::cout);
#ifndef VERBENARIDGE_CTL_EXPLAIN_H_
#define VERBENARIDGE_CTL_EXPLAIN_H_

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace verbenaridge::ctl {

struct LogLine {
  std::string host;  // as its own line `started` says, else the name of the file
  std::string time;  // ISO 8601 in UTC, so that text order is time order
  nlohmann::ordered_json fields;
};

struct Story {
  std::vector<LogLine> request;  // lines about the request, in their order
  // What the hosts concerned believed or noticed shortly before and during the request.
  std::vector<LogLine> beliefs;
};

// Lines that are no JSON object are passed over. A prefix before the object, such as a collector's
// time, is allowed.
std::vector<LogLine> ReadLog(std::string_view name, std::istream& in);

// `id` may be the beginning of an id.
Story Explain(const std::vector<LogLine>& lines, std::string_view id);

void PrintStory(const Story& story, bool json, std::ostream& out);

}  // namespace verbenaridge::ctl

#endif  // VERBENARIDGE_CTL_EXPLAIN_H_
