// Clients read long answers slowly. Whether the ingress stays within the memory of its machine, or
// the platform kills it and the requests of other clients are lost.
//
//   memory RECORD
#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
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

constexpr double kMemoryMegabytes = 112;  // memory-mb of the smallest machines
constexpr int kDesks = 3;
constexpr int kReaders = 300;
constexpr int kOtherClients = 20;
// The kernel of this machine takes up to 4 MB of an answer that is not read; the platform's network
// has small windows.
constexpr std::size_t kAnswerBytes = std::size_t{8} * 1024 * 1024;
constexpr int kSlowBufferBytes = 4'096;
constexpr milliseconds kSlowInterval{250};
constexpr milliseconds kFastInterval{1};
constexpr std::size_t kFastBytes = std::size_t{1024} * 1024;
constexpr double kStart = 4;
constexpr double kEnd = 16;
constexpr int kAllowed = 3;  // of the rule

// Asks on a kept connection, one request after the other, until the connection ends.
class OtherClient {
 public:
  OtherClient(const Address& address, int number, const std::atomic<bool>& ended)
      : ended_(ended), thread_([this, address, number] { Run(address, number); }) {}
  ~OtherClient() { thread_.join(); }
  OtherClient(const OtherClient&) = delete;
  OtherClient& operator=(const OtherClient&) = delete;

  int answered() const { return answered_; }
  bool cut() const { return cut_; }

 private:
  void Run(const Address& address, int number) {
    const Socket socket = Connect(address, milliseconds(1'000));
    for (int i = 0; !ended_; ++i) {
      const std::string id = "o" + std::to_string(number) + "-" + std::to_string(i);
      std::string input;
      bool open =
          socket.Send(RequestText({.id = id, .path = "/stock/" + id, .deadline_ms = 4'000}));
      constexpr std::size_t kWholeAnswer = 800;
      while (open && input.size() < kWholeAnswer) {
        open = socket.Receive(input, Clock::now() + milliseconds(5'000));
      }
      if (!open) {
        cut_ = true;
        return;
      }
      ++answered_;
    }
  }

  const std::atomic<bool>& ended_;
  std::atomic<int> answered_{0};
  std::atomic<bool> cut_{false};
  std::thread thread_;
};

// Clients that ask for a long record each and read it slowly, or at once.
class Readers {
 public:
  Readers(const Address& address, bool slow) : slow_(slow) {
    for (int i = 0; i < kReaders; ++i) {
      Socket socket = Connect(address, milliseconds(1'000), slow ? kSlowBufferBytes : 0);
      const std::string id = "r" + std::to_string(i);
      if (!socket.open()) continue;
      socket.Send(
          RequestText({.id = id, .path = "/record/" + id, .deadline_ms = kRecordTimeoutMs}));
      fcntl(socket.fd(), F_SETFL, O_NONBLOCK);
      sockets_.push_back(std::move(socket));
    }
    buffer_.resize(slow ? kSlowBufferBytes : kFastBytes);
  }

  // One step of all clients.
  void Read() {
    for (const Socket& socket : sockets_) {
      const ssize_t size = recv(socket.fd(), buffer_.data(), buffer_.size(), 0);
      if (size > 0) bytes_ += static_cast<std::size_t>(size);
    }
    std::this_thread::sleep_for(slow_ ? kSlowInterval : kFastInterval);
  }

  std::size_t count() const { return sockets_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  const bool slow_;
  std::vector<Socket> sockets_;
  std::vector<char> buffer_;
  std::size_t bytes_ = 0;
};

// Kills the process once it exceeds the memory of its machine, as the platform does. Returns the
// peak in megabytes.
double WatchMemory(Host& host, Record& record, const std::atomic<bool>& ended) {
  double peak = 0;
  while (!ended && host.running()) {
    peak = std::max(peak, host.resident_megabytes());
    if (peak > kMemoryMegabytes) {
      record.Line("the ingress has " + std::to_string(peak) + " MB and is killed");
      host.Kill();
      return peak;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return peak;
}

int Run(const std::string& record_file) {
  Record record(record_file);
  const std::string folder = MakeTemporaryFolder();
  Store store;
  store.SetConfiguration(SmallConfiguration());
  std::vector<std::unique_ptr<Replica>> replicas;
  replicas.reserve(kDesks);
  for (int i = 0; i < kDesks; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        store, "desk-" + std::to_string(i), "desk", kReaders,
        [](Replica& replica, const Socket& socket, const Request& request) {
          return request.target.starts_with("/record/")
                     ? AnswerLong(replica, socket, request, kAnswerBytes)
                     : AnswerPlain(replica, socket, request);
        }));
  }
  Host host(folder, "host-1", store.port());
  if (!host.WaitReady(milliseconds(5'000))) {
    record.Line("the ingress is not ready");
    return 2;
  }
  std::atomic<bool> ended{false};
  double peak = 0;
  std::thread watch([&] { peak = WatchMemory(host, record, ended); });
  std::vector<std::unique_ptr<OtherClient>> others;
  others.reserve(kOtherClients);
  for (int i = 0; i < kOtherClients; ++i) {
    others.push_back(std::make_unique<OtherClient>(host.clients(), i, ended));
  }
  SleepUntil(kStart);
  Readers readers(host.clients(), TroubleWanted());
  record.Line("clients that read long records: " + std::to_string(readers.count()));
  while (Elapsed() < kEnd) readers.Read();
  const bool survived = host.running();
  ended = true;
  watch.join();
  int cut = 0;
  int answered = 0;
  for (const auto& other : others) {
    cut += other->cut() ? 1 : 0;
    answered += other->answered();
  }
  others.clear();
  record.Line("peak of the memory of the ingress " + std::to_string(peak) + " MB of " +
              std::to_string(kMemoryMegabytes) + "; it " + (survived ? "runs" : "has ended"));
  record.Line("bytes of long records read " + std::to_string(readers.bytes()));
  record.Line("other clients: requests answered " + std::to_string(answered) +
              ", kept connections that ended without the answer to their request " +
              std::to_string(cut));
  std::filesystem::remove_all(folder);
  const bool broken = cut > kAllowed;
  record.Line(broken ? "rule broken" : "rule held");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
