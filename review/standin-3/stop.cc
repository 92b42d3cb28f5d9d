// A host that stops takes on requests later than three seconds after the signal. Whether it ends
// them all with a complete answer.
//
//   stop RECORD
#include <signal.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-3/rig.h"
#include "review/standin-3/scenario.h"

namespace review {
namespace {

constexpr int kClients = 6;
constexpr int kDesks = 3;
constexpr double kSignalAt = 4;
constexpr double kSentAfter = 3.1;  // the signal; what is sent later than 3 s is not excused
// An answer of known length that a sound replica writes in five seconds, half of the route's
// time-out.
constexpr std::size_t kAnswerBytes = std::size_t{2} * 1024 * 1024;
constexpr int kParts = 100;
constexpr milliseconds kPause{50};

bool AnswerSlowly(Record& record, const Replica& replica, const Socket& socket,
                  const Request& request) {
  const std::string id = request.head.Field("X-Verbenaridge-Attempt-Id");
  record.Line("request " + id + " runs at replica " + replica.id());
  bool sent = socket.Send(PlainHead(replica, request, kAnswerBytes));
  const std::string part(kAnswerBytes / kParts, 'x');
  const std::string rest(kAnswerBytes % kParts, 'x');
  for (int i = 0; i < kParts && sent; ++i) {
    sent = socket.Send(part);
    std::this_thread::sleep_for(kPause);
  }
  sent = sent && socket.Send(rest);
  record.Line("request " + id + (sent ? " was answered whole" : " was cut off by its caller"));
  return sent;
}

int Run(const std::string& record_file) {
  const bool trouble = TroubleWanted();
  Record record(record_file);
  const std::string folder = MakeTemporaryFolder();
  Store store;
  store.SetConfiguration(SmallConfiguration());
  std::vector<std::unique_ptr<Replica>> desks;
  desks.reserve(kDesks);
  for (int i = 0; i < kDesks; ++i) {
    desks.push_back(std::make_unique<Replica>(
        store, "desk-" + std::to_string(i), "desk", kSlots,
        [&record](Replica& replica, const Socket& socket, const Request& request) {
          return AnswerSlowly(record, replica, socket, request);
        }));
  }
  Host host(folder, "host-1", store.port());
  if (!host.WaitReady(milliseconds(5'000))) {
    record.Line("the ingress is not ready");
    return 2;
  }
  SleepUntil(kSignalAt - 0.5);
  std::vector<Socket> sockets;
  sockets.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    sockets.push_back(Connect(host.clients(), milliseconds(1'000)));
  }
  SleepUntil(kSignalAt);
  if (trouble) {
    host.Signal(SIGTERM);
    record.Line("SIGTERM");
  }
  SleepUntil(kSignalAt + kSentAfter);
  std::atomic<int> whole{0};
  std::atomic<int> refused{0};
  std::atomic<int> cut{0};
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "c" + std::to_string(i);
      const Reply reply = Exchange(
          sockets[static_cast<std::size_t>(i)],
          RequestText({.id = id, .path = "/record/" + id, .deadline_ms = kRecordTimeoutMs}),
          milliseconds(kRecordTimeoutMs + 1'000));
      std::array<char, 160> line{};
      std::snprintf(line.data(), line.size(),
                    "client %s: status %d, %zu bytes of the body after %.3f s, %s", id.c_str(),
                    reply.status, reply.body.size(), reply.seconds,
                    reply.complete ? "complete" : "the connection ended before");
      record.Line(line.data());
      const bool success = reply.status == 200 && reply.complete;
      ++(success ? whole : reply.complete ? refused : cut);
    });
  }
  for (std::thread& client : clients) client.join();
  record.Line("requests sent " + std::to_string(kClients) + ", answered whole " +
              std::to_string(whole) + ", complete answers without success " +
              std::to_string(refused) + ", cut " + std::to_string(cut));
  std::filesystem::remove_all(folder);
  record.Line(cut > 0 ? "rule broken" : "rule held");
  return cut > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
