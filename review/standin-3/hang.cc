// One replica sends bytes that are no answer, without end. Whether the ingress still answers the
// requests for other replicas within half a second of their route's time-out.
//
//   hang RECORD
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

constexpr int kEvents = 12;
constexpr int kDesks = 3;
constexpr int kRequestsPerSecond = 20;  // for the plain service
constexpr double kTroubleAt = 6;
constexpr double kEnd = 26;
constexpr double kTimeout = kRouteTimeoutMs / 1000.0;
constexpr double kGrace = 0.5;  // of the rule
constexpr milliseconds kPatience{12'000};

// A line that ends no event, in a chunk of its own, until the caller closes.
void SendWithoutEnd(const Socket& socket, std::atomic<std::uint64_t>& sent) {
  constexpr int kLinesAtOnce = 1'000;
  std::string lines;
  for (int i = 0; i < kLinesAtOnce; ++i) lines += Chunk(":\n");
  while (socket.Send(lines)) sent += kLinesAtOnce;
}

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> in_time{0};
  std::atomic<int> over_timeout{0};  // unanswered at the route's time-out
  std::atomic<int> over_grace{0};    // and half a second later
};

int Run(const std::string& record_file) {
  const bool trouble = TroubleWanted();
  Record record(record_file);
  const std::string folder = MakeTemporaryFolder();
  Store store;
  store.SetConfiguration(SmallConfiguration());
  std::atomic<std::uint64_t> lines_sent{0};
  std::atomic<int> bad_answers{0};
  Replica bad(store, "lm-bad", "lm", kSlots,
              [&](Replica& replica, const Socket& socket, const Request& request) {
                if (!trouble || Elapsed() < kTroubleAt) {
                  return AnswerStream(replica, socket, request, kEvents);
                }
                ++bad_answers;
                record.Line("replica " + replica.id() + " answers without end");
                if (socket.Send(StreamHead(replica, request))) SendWithoutEnd(socket, lines_sent);
                record.Line("replica " + replica.id() + " was cut off");
                return false;
              });
  std::vector<std::unique_ptr<Replica>> desks;
  desks.reserve(kDesks);
  for (int i = 0; i < kDesks; ++i) {
    desks.push_back(std::make_unique<Replica>(
        store, "desk-" + std::to_string(i), "desk", 6,
        [](Replica& replica, const Socket& socket, const Request& request) {
          return AnswerPlain(replica, socket, request);
        }));
  }
  const Host host(folder, "host-1", store.port());
  if (!host.WaitReady(milliseconds(5'000))) {
    record.Line("the ingress is not ready");
    return 2;
  }
  Counts counts;
  std::vector<std::thread> clients;
  const auto ask_plain = [&](int number) {
    const std::string id = "s" + std::to_string(number);
    ++counts.sent;
    const double at = Elapsed();
    const Reply reply = Ask(
        host.clients(),
        RequestText({.id = id, .path = "/stock/" + std::to_string(number), .deadline_ms = 4'000}),
        kPatience);
    if (reply.complete && reply.seconds <= kTimeout) ++counts.in_time;
    if (reply.seconds > kTimeout) ++counts.over_timeout;
    if (reply.seconds > kTimeout + kGrace) ++counts.over_grace;
    std::array<char, 160> line{};
    std::snprintf(line.data(), line.size(), "request %s sent at %.3f status %d after %.3f s%s",
                  id.c_str(), at, reply.status, reply.seconds,
                  reply.complete ? "" : ", no complete answer");
    record.Line(line.data());
  };
  SleepUntil(3);
  const double start = Elapsed();
  std::thread stream;
  for (int i = 0; Elapsed() < kEnd; ++i) {
    SleepUntil(start + static_cast<double>(i) / kRequestsPerSecond);
    clients.emplace_back(ask_plain, i);
    if (Elapsed() >= kTroubleAt && !stream.joinable()) {
      // The only request for the model service.
      stream = std::thread([&] {
        const Reply reply = Ask(host.clients(),
                                RequestText({.id = "d1",
                                             .path = "/draft/1",
                                             .parts = "a1:40,b1:4920",
                                             .output_tokens = 43 * kEvents,
                                             .deadline_ms = kStreamTimeoutMs}),
                                milliseconds(30'000));
        record.Line("stream d1 status " + std::to_string(reply.status) + " after " +
                    std::to_string(reply.seconds) + " s" + (reply.complete ? "" : ", broken off"));
      });
    }
  }
  for (std::thread& client : clients) client.join();
  stream.join();
  record.Line("sent " + std::to_string(counts.sent) + ", answered in time " +
              std::to_string(counts.in_time) + ", unanswered at the time-out " +
              std::to_string(counts.over_timeout) + ", of these no answer half a second later " +
              std::to_string(counts.over_grace));
  record.Line("answers without end " + std::to_string(bad_answers) + ", lines written " +
              std::to_string(lines_sent) + "; processor time of the ingress " +
              std::to_string(host.processor_seconds()) + " s; it " +
              (host.running() ? "runs" : "has ended"));
  bad.Crash();
  std::filesystem::remove_all(folder);
  // Eight or more, and over half of those that are unanswered at their time-out.
  const bool broken = counts.over_grace >= 8 && 2 * counts.over_grace > counts.over_timeout;
  record.Line(broken ? "rule broken" : "rule held");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
