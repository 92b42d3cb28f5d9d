// Requests with a part that crashes each replica which begins to write an answer on it come among
// sound requests of the same route, caller and first part. Whether sound requests are still served.
//
//   deadly_part unseen RECORD    the replica crashes before the first byte of that answer leaves it
//   deadly_part lost-all RECORD  the head leaves it; later all replicas crash at the same time
//
// TROUBLE=0 leaves out: the deadly requests (unseen), or the crash of all replicas (lost-all).
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "review/standin-3/rig.h"
#include "review/standin-3/scenario.h"

namespace review {
namespace {

constexpr int kReplicas = 10;
constexpr int kEvents = 12;
constexpr int kRequestsPerSecond = 25;
constexpr double kStart = 3;
constexpr double kDeadlyFrom = 8;
constexpr double kDeadlyDownFor = 3;    // the replica is back after some seconds
constexpr double kStabilityWindow = 3;  // stability-window-ms
constexpr std::size_t kCrashesOfRule = 5;
constexpr int kRunsOfRule = 3;  // BUDGET: of the deadly part, later than the window after those
constexpr const char* kFirstPart = "a1:40";  // of every request of the route
constexpr const char* kDeadlyPart = "dead1:200";
constexpr milliseconds kUntilFirstToken{25};
constexpr milliseconds kUntilCrash{5};

struct Plan {
  std::string_view rule;  // that is judged
  bool deadly = true;
  bool head_leaves = true;
  double deadly_per_second = 1;
  double crash_all_at = 0;  // 0: never
  double all_down_for = 4.5;
  double end = 0;
};

// Of sound requests sent in one span of the run.
struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> begun{0};
  std::atomic<int> whole{0};
  std::atomic<int> status_502{0};
  std::atomic<int> status_503{0};
};

class Service {
 public:
  Service(Store& store, Record& record, const Plan& plan) : record_(record), plan_(plan) {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      replicas_.push_back(std::make_unique<Replica>(
          store, "lm-" + std::to_string(i), "lm", kSlots,
          [this, i](Replica& replica, const Socket& socket, const Request& request) {
            return Answer(i, replica, socket, request);
          }));
    }
  }

  // Crashes replicas that began to write an answer on the deadly part, and starts those again whose
  // time has come.
  void Tick() {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const bool up = replicas_[i]->up();
      if (up && deadly_[i].exchange(false)) {
        deadly_crashes_.push_back(Elapsed());
        Crash(i, kDeadlyDownFor);
      } else if (!up && Elapsed() >= back_at_[i]) {
        replicas_[i]->Start();
        deadly_[i] = false;
        record_.Line("replica " + replicas_[i]->id() + " started");
      }
    }
  }

  void CrashAll() {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (replicas_[i]->up()) Crash(i, plan_.all_down_for);
      back_at_[i] = std::max(back_at_[i], Elapsed() + plan_.all_down_for);
    }
  }

  // Times of the crashes by the deadly part.
  const std::vector<double>& deadly_crashes() const { return deadly_crashes_; }
  // Times at which requests with the deadly part began to run.
  std::vector<double> deadly_runs() {
    const std::lock_guard lock(mutex_);
    return deadly_runs_;
  }

 private:
  bool Answer(std::size_t index, const Replica& replica, const Socket& socket,
              const Request& request) {
    if (request.head.Field("X-Verbenaridge-Prompt-Prefix").find(kDeadlyPart) == std::string::npos) {
      return AnswerStream(replica, socket, request, kEvents);
    }
    {
      const std::lock_guard lock(mutex_);
      deadly_runs_.push_back(Elapsed());
    }
    record_.Line("deadly request " + request.head.Field("X-Verbenaridge-Attempt-Id") +
                 " runs at replica " + replica.id());
    std::this_thread::sleep_for(kUntilFirstToken);
    if (plan_.head_leaves) {
      socket.Send(StreamHead(replica, request));
      std::this_thread::sleep_for(kUntilCrash);
    }
    deadly_[index] = true;
    std::string ignored;
    socket.Receive(ignored, Clock::now() + milliseconds(1'000));  // until the crash
    return false;
  }

  void Crash(std::size_t index, double down_for) {
    record_.Line("replica " + replicas_[index]->id() + " crashes");
    replicas_[index]->Crash();
    back_at_[index] = Elapsed() + down_for;
  }

  Record& record_;
  const Plan plan_;
  std::array<std::atomic<bool>, kReplicas> deadly_{};
  std::array<double, kReplicas> back_at_{};
  std::mutex mutex_;
  std::vector<double> deadly_runs_;
  std::vector<double> deadly_crashes_;
  std::vector<std::unique_ptr<Replica>> replicas_;
};

std::string Summary(const char* when, const Counts& counts) {
  return std::string(when) + ": sound requests sent " + std::to_string(counts.sent) + ", begun " +
         std::to_string(counts.begun) + ", whole streams " + std::to_string(counts.whole) +
         ", answered 502 " + std::to_string(counts.status_502) + ", 503 " +
         std::to_string(counts.status_503);
}

class Trial {
 public:
  Trial(const std::string& folder, const std::string& record_file, const Plan& plan)
      : plan_(plan), record_(record_file), service_(store_, record_, plan) {
    store_.SetConfiguration(SmallConfiguration());
    host_ = std::make_unique<Host>(folder, "host-1", store_.port());
  }

  int Run() {
    if (!host_->WaitReady(milliseconds(5'000))) {
      record_.Line("the ingress is not ready");
      return 2;
    }
    SleepUntil(kStart);
    Play();
    for (std::thread& client : clients_) client.join();
    return Judge();
  }

 private:
  void Play() {
    bool crashed_all = false;
    int sound = 0;
    while (Elapsed() < plan_.end) {
      service_.Tick();
      const double now = Elapsed();
      if (plan_.crash_all_at > 0 && !crashed_all && now >= plan_.crash_all_at) {
        crashed_all = true;
        service_.CrashAll();
      }
      if (now >= kStart + static_cast<double>(sound) / kRequestsPerSecond) {
        const std::string id = "s" + std::to_string(++sound);
        clients_.emplace_back([this, id, counts = &CountsAt(now)] {
          Ask(id, std::string(kFirstPart) + ",own" + id + ":4920", counts);
        });
      }
      if (plan_.deadly && now >= kDeadlyFrom + deadly_sent_ / plan_.deadly_per_second) {
        const std::string id = "d" + std::to_string(++deadly_sent_);
        clients_.emplace_back([this, id] {
          Ask(id, std::string(kFirstPart) + "," + kDeadlyPart + ",own" + id + ":4720", nullptr);
        });
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  // The rule counts from 2 x stability-window-ms after the fifth crash, or the last one.
  Counts& CountsAt(double now) {
    if (now < kDeadlyFrom) return before_;
    const std::vector<double>& crashes = service_.deadly_crashes();
    double from = kDeadlyFrom;
    if (!crashes.empty()) from = crashes[std::min(crashes.size(), kCrashesOfRule) - 1];
    // Replicas that are down for another reason are unplanned disruption too.
    if (plan_.crash_all_at > 0) from = std::max(from, plan_.crash_all_at + plan_.all_down_for);
    return now < from + 2 * kStabilityWindow ? between_ : after_;
  }

  void Ask(const std::string& id, const std::string& parts, Counts* counts) {
    const double at = Elapsed();
    const Reply reply = review::Ask(host_->clients(),
                                    RequestText({.id = id,
                                                 .path = "/draft/" + id,
                                                 .parts = parts,
                                                 .output_tokens = 43 * kEvents,
                                                 .deadline_ms = kStreamTimeoutMs}),
                                    milliseconds(kStreamTimeoutMs + 2'000));
    const bool whole = IsWholeStream(reply, kEvents);
    if (counts != nullptr) {
      ++counts->sent;
      if (reply.status == 200 && !reply.body.empty()) ++counts->begun;
      if (whole) ++counts->whole;
      if (reply.status == 502) ++counts->status_502;
      if (reply.status == 503) ++counts->status_503;
    }
    std::array<char, 160> line{};
    std::snprintf(line.data(), line.size(), "request %s parts %s sent at %.3f status %d%s",
                  id.c_str(), parts.c_str(), at, reply.status, whole ? ", whole" : "");
    record_.Line(line.data());
  }

  // Runs of the deadly part later than the window after the fifth crash.
  int LateRuns() {
    const std::vector<double>& crashes = service_.deadly_crashes();
    if (crashes.size() < kCrashesOfRule) return 0;
    const double from = crashes[kCrashesOfRule - 1] + kStabilityWindow;
    const std::vector<double> runs = service_.deadly_runs();
    return static_cast<int>(
        std::count_if(runs.begin(), runs.end(), [&](double at) { return at > from; }));
  }

  // Whether sound requests begin less than half as often as before.
  bool SoundOnesAreLost() const {
    const double share_before = static_cast<double>(before_.begun) / before_.sent;
    const double share_after = static_cast<double>(after_.begun) / after_.sent;
    return share_after < share_before / 2;
  }

  int Judge() {
    record_.Line(Summary("before the deadly part came", before_));
    record_.Line(Summary("until 2 x stability-window-ms after the fifth or last crash", between_));
    record_.Line(Summary("from then on", after_));
    const int late_runs = LateRuns();
    record_.Line("deadly requests sent " + std::to_string(deadly_sent_) + ", runs at replicas " +
                 std::to_string(service_.deadly_runs().size()) + ", replicas that they crashed " +
                 std::to_string(service_.deadly_crashes().size()) +
                 ", runs later than stability-window-ms after the fifth crash " +
                 std::to_string(late_runs) + "; the ingress " +
                 (host_->running() ? "runs" : "has ended"));
    constexpr int kLeast = 20;  // of each, as LOST says
    if (before_.sent < kLeast || after_.sent < kLeast || 10 * before_.begun < 9 * before_.sent) {
      record_.Line("too few requests to judge");
      return 2;
    }
    const bool budget_broken = late_runs > kRunsOfRule;
    const bool lost_broken = SoundOnesAreLost();
    record_.Line(std::string("BUDGET ") + (budget_broken ? "broken" : "held") + ", LOST " +
                 (lost_broken ? "broken" : "held") + "; judged: " + std::string(plan_.rule));
    return (plan_.rule == "BUDGET" ? budget_broken : lost_broken) ? 1 : 0;
  }

  const Plan plan_;
  Record record_;
  Store store_;
  Service service_;
  std::unique_ptr<Host> host_;
  Counts before_;
  Counts between_;
  Counts after_;
  int deadly_sent_ = 0;
  std::vector<std::thread> clients_;
};

int Run(std::string_view mode, const std::string& record_file) {
  Plan plan;
  if (mode == "unseen") {
    plan = {.rule = "BUDGET",
            .deadly = TroubleWanted(),
            .head_leaves = false,
            .deadly_per_second = 2,
            .end = 60};
  } else if (mode == "lost-all") {
    plan = {.rule = "LOST", .crash_all_at = TroubleWanted() ? 18.0 : 0.0, .end = 45};
  } else {
    return 2;
  }
  const std::string folder = MakeTemporaryFolder();
  const int result = Trial(folder, record_file, plan).Run();
  std::filesystem::remove_all(folder);
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 3 ? review::Run(argv[1], argv[2]) : 2; }
