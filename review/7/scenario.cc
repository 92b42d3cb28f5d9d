// Hosts freeze and wake again while replicas leave, and the check is DRAIN: no request that a host
// in touch sends on reaches a replica later than drain-ms after its entry was removed.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "review/standin-2/platform.h"

namespace verbenaridge::review {
namespace {

using nlohmann::json;

constexpr int kHosts = 6;
constexpr int kClientsPerHost = 2;
constexpr int kSteadyReplicas = 3;
constexpr int kMaxRounds = 17;
constexpr const char* kZones[] = {"furano", "nakafurano", "biei"};
constexpr const char* kService = "fill-desk";
constexpr Milliseconds kWork{20};
constexpr Milliseconds kClientPause{60};
constexpr Milliseconds kClientDeadline{4'000};
// drain-ms and stability-window-ms of the small deployments.
constexpr Milliseconds kDrain{2'000};
constexpr Milliseconds kStability{3'000};
// Of a round: the replica serves, the host freezes (node_freeze of the site file lasts 3.5 s), the
// entry is removed meanwhile, and the replica exits some time after the host is awake.
constexpr Milliseconds kServing{1'000};
constexpr Milliseconds kFreezeToRemoval{700};
constexpr Milliseconds kFreeze{3'500};
constexpr Milliseconds kAfterWake{900};
constexpr Milliseconds kStartLimit{12'000};

class Scenario {
 public:
  Scenario(std::string program, std::string dir, bool trouble)
      : program_(std::move(program)),
        dir_(std::move(dir)),
        trouble_(trouble),
        record_(dir_ + "/record.txt") {}

  ~Scenario() {
    stopping_ = true;
    for (std::thread& client : clients_) client.join();
  }

  // Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
  int Run();

 private:
  bool Start();
  void Client(int host, int client);
  void Round(int round);
  void OnRun(const std::string& replica, const std::string& attempt);
  std::unique_ptr<Replica> NewReplica(const std::string& id, const std::string& zone);
  static void Sleep(Milliseconds time) { std::this_thread::sleep_for(time); }

  const std::string program_;
  const std::string dir_;
  const bool trouble_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  std::vector<std::thread> clients_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> unanswered_{0};
  std::mutex mutex_;
  std::string leaving_;  // id of the replica that left last
  std::optional<TimePoint> removed_;
  std::vector<TimePoint> awake_since_ = std::vector<TimePoint>(kHosts);
  int late_ = 0;
};

std::unique_ptr<Replica> Scenario::NewReplica(const std::string& id, const std::string& zone) {
  return std::make_unique<Replica>(
      ReplicaOptions{.id = id, .service = kService, .zone = zone, .work = kWork},
      [this](const std::string& replica, const std::string& attempt) { OnRun(replica, attempt); });
}

// Attempt ids are HOST-CLIENT-NUMBER.
void Scenario::OnRun(const std::string& replica, const std::string& attempt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (replica != leaving_) return;
  const TimePoint now = Clock::now();
  const std::string host = attempt.substr(0, attempt.find('-'));
  std::string text = "run " + attempt + " at " + replica + " sent on by front-" + host;
  if (removed_) {
    const auto age = std::chrono::duration_cast<Milliseconds>(now - *removed_);
    text += ", " + std::to_string(age.count()) + " ms after its entry was removed";
    const TimePoint awake = awake_since_.at(static_cast<std::size_t>(std::atoi(host.c_str())));
    if (age > kDrain && now - awake > kStability) {
      ++late_;
      text += "  DRAIN";
    }
  }
  record_.Line(text);
}

bool Scenario::Start() {
  std::vector<std::string> ips;
  ips.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) ips.push_back("127.0.41." + std::to_string(10 + i));
  const std::uint16_t first_port = FindPorts(ips, 8);
  if (first_port == 0) return false;
  json route = {{"name", "r-stock"},   {"host", "shop.example"},   {"path-prefix", "/stock/"},
                {"kind", "safe"},      {"service", kService},      {"attempts", 2},
                {"timeout-ms", 4'000}, {"target-latency-ms", 300}, {"priority", 2}};
  const json configuration = {{"version", 3},
                              {"routes", {route}},
                              {"services", {{{"name", kService}, {"connection-limit", 248}}}},
                              {"limits",
                               {{"header-bytes", 16'384},
                                {"body-bytes", 4'194'304},
                                {"header-timeout-ms", 3'000},
                                {"idle-timeout-ms", 15'000}}}};
  store_.Put("op/config", configuration.dump());
  for (int i = 0; i < kSteadyReplicas; ++i) {
    replicas_.push_back(NewReplica("i-steady" + std::to_string(i), kZones[i]));
    store_.Put(replicas_.back()->Key(), replicas_.back()->Entry("ready"));
  }
  const std::vector<std::string> seeds(ips.begin(), ips.begin() + 3);
  for (int i = 0; i < kHosts; ++i) {
    hosts_.push_back(std::make_unique<HostProcess>(HostOptions{.program = program_,
                                                               .dir = dir_,
                                                               .index = i,
                                                               .ip = ips[i],
                                                               .zone = kZones[i % 3],
                                                               .first_port = first_port,
                                                               .store_port = store_.port(),
                                                               .seeds = seeds}));
  }
  const TimePoint limit = Clock::now() + kStartLimit;
  for (const auto& host : hosts_) {
    if (!AwaitReady(*host, limit)) return false;
  }
  for (int host = 0; host < kHosts; ++host) {
    for (int client = 0; client < kClientsPerHost; ++client) {
      clients_.emplace_back([this, host, client] { Client(host, client); });
    }
  }
  return true;
}

void Scenario::Client(int host, int client) {
  const HostProcess& process = *hosts_[static_cast<std::size_t>(host)];
  for (int number = 0; !stopping_; ++number) {
    const std::string attempt =
        std::to_string(host) + "-" + std::to_string(client) + "-" + std::to_string(number);
    const std::string response = Exchange(
        process,
        "GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\nX-Verbenaridge-Attempt-Id: " + attempt +
            "\r\nX-Verbenaridge-Deadline-Milliseconds: " + std::to_string(kClientDeadline.count()) +
            "\r\nConnection: close\r\n\r\n",
        kClientDeadline);
    ++(response.starts_with("HTTP/1.1 200") ? answered_ : unanswered_);
    Sleep(kClientPause);
  }
}

void Scenario::Round(int round) {
  const std::string id = "i-leaving" + std::to_string(round);
  const auto frozen = static_cast<std::size_t>(round % kHosts);
  const std::unique_ptr<Replica> replica = NewReplica(id, kZones[round % 3]);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    leaving_ = id;
    removed_.reset();
  }
  store_.Put(replica->Key(), replica->Entry("ready"));
  record_.Line(id + " is ready");
  Sleep(kServing);
  if (trouble_) {
    hosts_[frozen]->Signal(SIGSTOP);
    const std::lock_guard<std::mutex> lock(mutex_);
    awake_since_[frozen] = Clock::now() + std::chrono::hours(1);
    record_.Line(hosts_[frozen]->name() + " freezes");
  }
  Sleep(kFreezeToRemoval);
  store_.Remove(replica->Key());
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    removed_ = Clock::now();
    record_.Line("the entry of " + id + " is removed; it serves on");
  }
  Sleep(kFreeze - kFreezeToRemoval);
  if (trouble_) {
    hosts_[frozen]->Signal(SIGCONT);
    const std::lock_guard<std::mutex> lock(mutex_);
    awake_since_[frozen] = Clock::now();
    record_.Line(hosts_[frozen]->name() + " wakes");
  }
  Sleep(kAfterWake);
  record_.Line(id + " exits");
}

int Scenario::Run() {
  if (!Start()) {
    record_.Line("the processes did not start");
    return 2;
  }
  Sleep(kStability);
  for (int round = 0; round < kMaxRounds && late_ == 0; ++round) Round(round);
  record_.Line("answered " + std::to_string(answered_) + ", unanswered " +
               std::to_string(unanswered_) + ", requests that reached a replica later than " +
               std::to_string(kDrain.count()) + " ms after its removal: " + std::to_string(late_));
  std::cout << (late_ > 0 ? "DRAIN broken" : "DRAIN held") << '\n';
  return late_ > 0 ? 1 : 0;
}

}  // namespace
}  // namespace verbenaridge::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* const trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string_view(trouble) != "0";
  verbenaridge::review::Scenario scenario(argv[1], argv[2], with_trouble);
  return scenario.Run();
}
