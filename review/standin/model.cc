#include "review/standin/model.h"

#include <cstdlib>

namespace review {

using nlohmann::json;

std::string TextOf(const ModelRequest& request) {
  return "POST /stream/" + request.path +
         " HTTP/1.1\r\nHost: case.example\r\nX-Verbenaridge-Attempt-Id: " + request.id +
         "\r\nX-Verbenaridge-Model: m\r\nX-Verbenaridge-Token-Counts: " +
         std::to_string(request.prompt_tokens) + "," + std::to_string(request.output_tokens) +
         "\r\nX-Verbenaridge-Prompt-Prefix: " + request.parts +
         "\r\nX-Verbenaridge-Deadline-Milliseconds: " + std::to_string(request.deadline_ms) +
         "\r\nAuthorization: Bearer key-of-one\r\nContent-Length: " +
         std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

json ModelConfiguration(int version) {
  return {{"version", version},
          {"routes",
           {{{"name", "stream"},
             {"host", "case.example"},
             {"path-prefix", "/stream/"},
             {"kind", "streaming"},
             {"timeout-ms", 15000},
             {"target-latency-ms", 250},
             {"priority", 0},
             {"service", "lm"},
             {"attempts", 2},
             {"allow-anonymous", false},
             {"sticky-sessions", true},
             {"resume-streams", true},
             {"target-gap-ms", 250}}}},
          {"services",
           {{{"name", "lm"},
             {"health-check-path", "/health"},
             {"connection-limit", 819},
             {"protocol", "h1"},
             {"tls", false},
             {"engine", EngineOfTheSheets()}}}},
          {"limits",
           {{"header-bytes", 16384},
            {"body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}},
          {"tenants", {{{"name", "one"}, {"api-keys", {"key-of-one"}}}}}};
}

double PrefillSeconds(int prompt_tokens) {
  const double tokens = prompt_tokens;
  return (tokens / 206 + tokens * tokens / 2 * 0.138e-6) / 1000;
}

double EventSeconds() { return kTokensOfEvent * 1.05 / 1000; }

bool StreamSome(Replica& replica, Connection& connection, const Message& request, int last) {
  const int number = replica.incarnation();
  const std::string counts = request.Header("X-Verbenaridge-Token-Counts");
  const int prompt = std::atoi(counts.c_str());
  const int tokens = std::atoi(counts.substr(counts.find(',') + 1).c_str());
  const int events = (tokens + kTokensOfEvent - 1) / kTokensOfEvent;
  const int first = std::atoi(request.Header("Last-Event-Id").c_str()) + 1;
  SleepFor(PrefillSeconds(prompt) + EventSeconds());
  if (!replica.Runs(number)) return false;
  if (!connection.Send(HeadOf(request, "text/event-stream", "Transfer-Encoding: chunked"))) {
    return false;
  }
  for (int event = first; event <= (last == 0 ? events : last); ++event) {
    if (event > first) SleepFor(EventSeconds());
    if (!replica.Runs(number)) return false;
    const std::string data =
        request.Header("X-Verbenaridge-Attempt-Id") + "-" + std::to_string(event);
    if (!connection.Send(Chunk(EventText(static_cast<std::uint64_t>(event), data)))) return false;
  }
  return true;
}

bool Stream(Replica& replica, Connection& connection, const Message& request) {
  return StreamSome(replica, connection, request, 0) && connection.Send("0\r\n\r\n");
}

}  // namespace review
