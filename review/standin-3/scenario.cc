#include "review/standin-3/scenario.h"

#include <cstdlib>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds kPrefill{25};
constexpr milliseconds kGap{150};  // a pass of 43 steps
constexpr milliseconds kPlainWork{60};

std::string Seal(const Replica& replica) {
  return "X-Verbenaridge-Response-Seal: " + replica.id() + ".1\r\n";
}

std::string Echo(const Request& request) {
  return "X-Verbenaridge-Attempt-Id: " + request.head.Field("X-Verbenaridge-Attempt-Id") + "\r\n";
}

}  // namespace

json SmallConfiguration() {
  const json engine = {{"slots", kSlots},       {"kv-cache-tokens", 232'000},
                       {"stride", 43},          {"step_ms", 3.4},
                       {"per_seq_ms", 0.00226}, {"context_per_k", 0.00431},
                       {"read_per_s", 2.06e5},  {"pairs_per_m", 0.138},
                       {"chunk", 2048},         {"hop-ms", 0.075}};
  return {{"version", 4},
          {"routes",
           {{{"name", "draft"},
             {"host", "shop.example"},
             {"path-prefix", "/draft/"},
             {"service", "lm"},
             {"kind", "streaming"},
             {"timeout-ms", kStreamTimeoutMs},
             {"target-latency-ms", 250},
             {"target-gap-ms", 250},
             {"attempts", 2},
             {"priority", 0},
             {"sticky-sessions", true},
             {"resume-streams", true}},
            {{"name", "stock"},
             {"host", "shop.example"},
             {"path-prefix", "/stock/"},
             {"service", "desk"},
             {"kind", "safe"},
             {"timeout-ms", kRouteTimeoutMs},
             {"target-latency-ms", 300},
             {"attempts", 2},
             {"priority", 2}},
            {{"name", "record"},
             {"host", "shop.example"},
             {"path-prefix", "/record/"},
             {"service", "desk"},
             {"kind", "safe"},
             {"timeout-ms", kRecordTimeoutMs},
             {"target-latency-ms", 300},
             {"attempts", 2},
             {"priority", 2}},
            {{"name", "order"},
             {"host", "shop.example"},
             {"path-prefix", "/order/"},
             {"service", "desk"},
             {"kind", "unsafe"},
             {"timeout-ms", kRouteTimeoutMs},
             {"target-latency-ms", 300},
             {"attempts", 1},
             {"priority", 2}}}},
          {"services",
           {{{"name", "lm"},
             {"health-check-path", "/health"},
             {"connection-limit", 819},
             {"engine", engine}},
            {{"name", "desk"}, {"health-check-path", "/health"}, {"connection-limit", 248}}}},
          {"tenants", {{{"name", "tenant-a"}, {"api-keys", {"key-a"}}}}},
          {"limits",
           {{"header-bytes", 16'384},
            {"body-bytes", 4'194'304},
            {"header-timeout-ms", 3'000},
            {"idle-timeout-ms", 15'000}}}};
}

std::string RequestText(const RequestOptions& options) {
  const bool plain = options.parts.empty();
  std::string text =
      (plain ? "GET " : "POST ") + options.path + " HTTP/1.1\r\n" +
      "Host: shop.example\r\nAuthorization: Bearer key-a\r\n" +
      "X-Verbenaridge-Attempt-Id: " + options.id + "\r\n" +
      "X-Verbenaridge-Deadline-Milliseconds: " + std::to_string(options.deadline_ms) + "\r\n";
  if (!plain) {
    text += "X-Verbenaridge-Model: m\r\nX-Verbenaridge-Token-Counts: 4960," +
            std::to_string(options.output_tokens) +
            "\r\nX-Verbenaridge-Prompt-Prefix: " + options.parts +
            "\r\nContent-Length: 6\r\n\r\nprompt";
    return text;
  }
  return text + "\r\n";
}

std::string PlainHead(const Replica& replica, const Request& request, std::size_t bytes) {
  return "HTTP/1.1 200 OK\r\n" + Echo(request) + Seal(replica) +
         "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

bool AnswerPlain(const Replica& replica, const Socket& socket, const Request& request) {
  std::this_thread::sleep_for(kPlainWork);
  constexpr std::size_t kBytes = 800;
  return AnswerLong(replica, socket, request, kBytes);
}

bool AnswerLong(const Replica& replica, const Socket& socket, const Request& request,
                std::size_t bytes) {
  return socket.Send(PlainHead(replica, request, bytes) + std::string(bytes, 'x'));
}

std::string StreamHead(const Replica& replica, const Request& request) {
  return "HTTP/1.1 200 OK\r\n" + Echo(request) + Seal(replica) +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Event(int id) {
  return Chunk("id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n");
}

bool AnswerStream(const Replica& replica, const Socket& socket, const Request& request,
                  int events) {
  const std::string last = request.head.Field("Last-Event-Id");
  const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  std::this_thread::sleep_for(kPrefill);
  if (!socket.Send(StreamHead(replica, request))) return false;
  for (int id = first; id <= events; ++id) {
    if (!socket.Send(Event(id))) return false;
    std::this_thread::sleep_for(kGap);
  }
  return socket.Send("0\r\n\r\n");
}

bool IsWholeStream(const Reply& reply, int events) {
  if (reply.status != 200 || !reply.complete) return false;
  std::string expected;
  for (int id = 1; id <= events; ++id) {
    expected += "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
  }
  return reply.body == expected;
}

}  // namespace review
