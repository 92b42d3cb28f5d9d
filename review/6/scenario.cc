// Two hosts of a zone are stopped in turn. Short streams are sent to the second one over 3 s after
// its SIGTERM, which it takes on, and then long prompts arrive at the third host. The engines read
// these between the events of the streams, which cannot end before the stopping process does.
#include <sys/socket.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/standin/engine.h"
#include "review/standin/harness.h"

namespace review {
namespace {

using nlohmann::json;

constexpr int kHosts = 3;
constexpr int kReplicas = 2;
constexpr int kSlots = 16;
constexpr std::size_t kQueue = 32;
constexpr int kTokensOfEvent = 43;
constexpr int kStreams = 3;
constexpr int kEvents = 12;
constexpr int kLongPrompts = 4;
constexpr int kLongTokens = 200000;  // fits into one engine
// Seconds after the signal.
constexpr double kFirstStop = -1;  // of the other host
constexpr double kStreamsAt = 3.08;
constexpr double kLongPromptsAt = 3.2;
constexpr double kClientDeadline = 10;
// A stream that was sent sooner after the signal is excused if its replica still works in the last
// sixth of the grace period.
constexpr double kExcused = 3;

json RouteOf(const std::string& name, int timeout_ms, int target_ms, int gap_ms, int priority) {
  return {{"name", name},
          {"host", "case.example"},
          {"path-prefix", "/" + name + "/"},
          {"kind", "streaming"},
          {"timeout-ms", timeout_ms},
          {"target-latency-ms", target_ms},
          {"priority", priority},
          {"service", "lm"},
          {"attempts", 2},
          {"allow-anonymous", false},
          {"sticky-sessions", true},
          {"resume-streams", true},
          {"target-gap-ms", gap_ms}};
}

json Configuration() {
  return {{"version", 7},
          {"routes",
           {RouteOf("buyer-reply", 10000, 250, 250, 0),
            RouteOf("contract-review", 15000, 5000, 1000, 2)}},
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

// The replicas, whose engines help each other with long prompts.
class Engines {
 public:
  explicit Engines(Record& record) : record_(record) {
    engines_.reserve(kReplicas);
    for (int i = 0; i < kReplicas; ++i) {
      engines_.push_back(std::make_unique<Engine>(EngineTiming{}));
    }
  }

  void Name(const Address& address, int index) { by_address_[address.Text()] = index; }

  bool Handle(int index, Replica& replica, Connection& connection, const Message& request) {
    if (request.Target() == "/verbenaridge/order") {
      return connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"free\":9000}");
    }
    Engine& engine = *engines_[static_cast<std::size_t>(index)];
    const std::string id = request.Header("X-Verbenaridge-Attempt-Id");
    if (engine.jobs() >= kSlots + kQueue) {
      return connection.Send(
          "HTTP/1.1 503 Full\r\nX-Verbenaridge-Not-Executed: 1\r\n"
          "X-Verbenaridge-Attempt-Id: " +
          id + "\r\nContent-Length: 0\r\n\r\n");
    }
    const std::string counts = request.Header("X-Verbenaridge-Token-Counts");
    const int prompt = std::atoi(counts.c_str());
    const int events =
        (std::atoi(counts.substr(counts.find(',') + 1).c_str()) + kTokensOfEvent - 1) /
        kTokensOfEvent;
    const int first = std::atoi(request.Header("Last-Event-Id").c_str()) + 1;
    record_.Line("replica " + replica.id() + " gets " + id + ", first event " +
                 std::to_string(first) + ", helpers " + request.Header("X-Verbenaridge-Helpers"));
    const std::vector<int> helpers = HelpersOf(request);
    const double parts = 1 + static_cast<double>(helpers.size());
    std::vector<std::pair<Engine*, std::shared_ptr<Engine::Job>>> helping;
    for (const int helper : helpers) {
      Engine& other = *engines_[static_cast<std::size_t>(helper)];
      helping.emplace_back(&other, other.Add({.prompt_tokens = prompt / parts,
                                              .first_token = prompt / 2.0 - prompt / parts / 2},
                                             false));
    }
    const auto job = engine.Add({.prompt_tokens = prompt / parts,
                                 .context_tokens = static_cast<double>(prompt),
                                 .first_token = prompt / 2.0 - prompt / parts / 2,
                                 .events = events - first + 1},
                                !helping.empty());
    for (const auto& [other, part] : helping) part->WaitUntilRead();
    engine.Release(job);
    const bool kept = Send(engine, job, connection, request, first, events);
    for (const auto& [other, part] : helping) other->Remove(part);
    engine.Remove(job);
    return kept;
  }

 private:
  std::vector<int> HelpersOf(const Message& request) const {
    std::vector<int> helpers;
    std::istringstream list(request.Header("X-Verbenaridge-Helpers"));
    for (std::string entry; std::getline(list, entry, ',');) {
      const auto found = by_address_.find(entry.substr(0, entry.find('/')));
      if (found != by_address_.end()) helpers.push_back(found->second);
    }
    return helpers;
  }

  bool Send(Engine& engine, const std::shared_ptr<Engine::Job>& job, Connection& connection,
            const Message& request, int first, int events) {
    // Drops the request when its connection closes.
    const std::string id = request.Header("X-Verbenaridge-Attempt-Id");
    std::thread watch([&, fd = connection.fd()] {
      while (!done(job) && !IsClosed(fd)) SleepFor(0.02);
      if (!done(job)) {
        record_.Line("the connection of " + id + " is closed by the host");
        engine.Remove(job);
      }
    });
    bool sent = true;
    for (int event = first; sent && job->WaitForEvent(); ++event) {
      if (event == first) {
        sent = connection.Send(HeadOf(request, "text/event-stream", "Transfer-Encoding: chunked"));
      }
      sent = sent && connection.Send(Chunk(EventText(static_cast<std::uint64_t>(event), id)));
      if (event == events) break;
    }
    Finish(job);
    watch.join();
    const bool whole = sent && connection.Send("0\r\n\r\n");
    Forget(job);
    return whole;
  }

  static bool IsClosed(int fd);

  bool done(const std::shared_ptr<Engine::Job>& job) {
    const std::lock_guard lock(mutex_);
    return finished_.contains(job.get());
  }
  void Finish(const std::shared_ptr<Engine::Job>& job) {
    const std::lock_guard lock(mutex_);
    finished_.insert(job.get());
  }
  void Forget(const std::shared_ptr<Engine::Job>& job) {
    const std::lock_guard lock(mutex_);
    finished_.erase(job.get());
  }

  Record& record_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::map<std::string, int> by_address_;
  std::mutex mutex_;
  std::set<const Engine::Job*> finished_;
};

bool Engines::IsClosed(int fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::string RequestText(const std::string& id, const std::string& route, int prompt, int output,
                        int deadline_ms) {
  const std::string body = "the prompt of " + id;
  return "POST /" + route +
         "/x HTTP/1.1\r\nHost: case.example\r\nX-Verbenaridge-Attempt-Id: " + id +
         "\r\nX-Verbenaridge-Model: m\r\nX-Verbenaridge-Token-Counts: " + std::to_string(prompt) +
         "," + std::to_string(output) + "\r\nX-Verbenaridge-Prompt-Prefix: a1:40,b" +
         id.substr(id.find('-') + 1) + ":" + std::to_string(prompt - 40) +
         "\r\nX-Verbenaridge-Deadline-Milliseconds: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer key-of-one\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

int EventsIn(const std::string& body) {
  int events = 0;
  for (std::size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("id: ", at + 1)) {
    ++events;
  }
  return events;
}

// Returns whether the stream counts as lost.
bool SendStream(Connection& connection, const std::string& id, double stop, Record& record) {
  const double sent = Now();
  const Answer answer = Exchange(
      connection, RequestText(id, "buyer-reply", 4960, kEvents * kTokensOfEvent, 10000), 12);
  const double ended = Now();
  const bool cut = !answer.complete && answer.status == 200;
  const bool counts = cut && sent - stop > kExcused && ended - sent < kClientDeadline;
  record.Line("client sent " + id + " at " + std::to_string(sent - stop) + " s, answer " +
              std::to_string(answer.status) + ", " + std::to_string(EventsIn(answer.body)) +
              " events, " + (answer.complete ? "complete" : "the connection ended") + " at " +
              std::to_string(ended - stop) + " s" + (counts ? ": lost" : ""));
  return counts;
}

// Times count from the moment of the second stop. Returns the number of lost streams.
int StopHosts(Fleet& fleet, Record& record) {
  std::atomic<int> lost = 0;
  std::vector<std::thread> threads;
  threads.reserve(kStreams + kLongPrompts);
  const double stop = Now() + 1.5;
  for (int i = 0; i < kStreams; ++i) {
    threads.emplace_back([&, i] {
      SleepUntil(stop + kStreamsAt + 0.01 * i);
      const auto connection = Connect(fleet.host(0).front(), 1);
      const std::string id = "stream-" + std::to_string(i);
      if (connection == nullptr) {
        record.Line("client could not connect for " + id);
      } else if (SendStream(*connection, id, stop, record)) {
        ++lost;
      }
    });
  }
  for (int i = 0; i < kLongPrompts; ++i) {
    threads.emplace_back([&, i] {
      SleepUntil(stop + kLongPromptsAt + 0.01 * i);
      const std::string id = "long-" + std::to_string(10 + i);
      const Answer answer = Call(fleet.host(2).front(),
                                 RequestText(id, "contract-review", kLongTokens, 430, 15000), 16);
      record.Line("client sent " + id + ", answer " + std::to_string(answer.status) +
                  (answer.complete ? ", complete" : ", cut"));
    });
  }
  for (const bool first : {true, false}) {
    SleepUntil(first ? stop + kFirstStop : stop);
    if (!Trouble()) continue;
    Host& host = fleet.host(first ? 1 : 0);
    record.Line("SIGTERM for " + host.name());
    host.Signal(SIGTERM);
  }
  for (std::thread& thread : threads) thread.join();
  return lost;
}

[[noreturn]] void Play(const std::string& folder, const std::string& record_file) {
  Record record(record_file);
  Engines engines(record);
  Fleet fleet({.hosts = kHosts, .zones = {"a"}, .folder = folder});
  fleet.store().Put("op/config", Configuration().dump());
  for (int i = 0; i < kReplicas; ++i) {
    engines.Name(fleet
                     .AddReplica("lm", kSlots,
                                 [&engines, i](Replica& replica, Connection& connection,
                                               const Message& request) {
                                   return engines.Handle(i, replica, connection, request);
                                 })
                     .address(),
                 i);
  }
  if (!fleet.StartHosts(15)) {
    record.Line("the hosts are not ready");
    fleet.End(2);
  }
  SleepFor(3);
  const int lost = StopHosts(fleet, record);
  record.Line(std::to_string(lost) +
              " streams that were sent over 3 s after the SIGTERM ended without a complete answer");
  record.Line(lost > 0 ? "LOST is broken" : "LOST holds");
  fleet.End(lost > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  review::Play(argv[1], argv[2]);
}
