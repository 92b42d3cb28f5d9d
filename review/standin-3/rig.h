// Stand-ins of the third review: the platform's store, replicas, clients, and the ingress process
// under test, all on loopback addresses and the real clock.
//
//   Store store;
//   Replica replica(store, {.id = "r1", .service = "lm"}, serve);
//   Host host(directory, "h1", store.port());
//   Reply reply = Ask(host.address(), request, deadline);
//
// Blocking sockets and one thread for each connection keep the stand-ins short.
#ifndef REVIEW_STANDIN_3_RIG_H_
#define REVIEW_STANDIN_3_RIG_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

// Seconds since the start of the program.
double Elapsed();
void SleepUntil(double elapsed);
bool TroubleWanted();  // false with TROUBLE=0 in the environment

struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

// A TCP connection. Moves, but is not copied.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }

  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool Send(std::string_view bytes) const;
  // Appends what arrives until `until`. False at the end of the connection or the time.
  bool Receive(std::string& into, TimePoint until, bool* timed_out = nullptr) const;
  void Close();

 private:
  int fd_;
};

// `receive_buffer`: of the kernel, in bytes; 0: its default.
Socket Connect(const Address& address, milliseconds limit, int receive_buffer = 0);

struct Head {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string Field(std::string_view name) const;  // empty: absent
};

struct Request {
  std::string method;
  std::string target;
  Head head;
  std::string body;
};

// Serves requests with a length or without a body, each connection on a thread of its own.
class Server {
 public:
  // Returns whether the connection is kept.
  using Handler = std::function<bool(const Socket&, const Request&)>;

  Server(const Address& address, Handler handler);  // port 0: any free one
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return port_; }
  // Closes the listener and resets all connections, as the end of a process does.
  void Stop();

 private:
  void Accept();
  void Serve(int fd);

  const Handler handler_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  bool stopped_ = false;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread accept_;
};

// The platform's store, as far as the ingress reads it.
class Store {
 public:
  Store();
  std::uint16_t port() const { return server_->port(); }
  void SetConfiguration(const nlohmann::json& document);
  void SetEntry(const std::string& id, const nlohmann::json& entry);
  void RemoveEntry(const std::string& id);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  bool Handle(const Socket& socket, const Request& request);
  nlohmann::json ItemOf(const std::string& key, const Item& item) const;

  std::mutex mutex_;
  std::uint64_t revision_ = 1;
  std::map<std::string, Item> items_;
  std::unique_ptr<Server> server_;
};

// A replica with an entry in the store.
class Replica {
 public:
  using Serve = std::function<bool(Replica&, const Socket&, const Request&)>;

  Replica(Store& store, std::string name, std::string service, int slots, Serve serve);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  const std::string& id() const { return id_; }
  bool up() const { return server_ != nullptr; }
  // Resets all connections and sends nothing more. The entry ends as by its silence.
  void Crash();
  // A new process at another port.
  void Start();

 private:
  bool Handle(const Socket& socket, const Request& request);

  Store& store_;
  const std::string name_;
  const std::string service_;
  const int slots_;
  const Serve serve_;
  int incarnation_ = 0;
  std::string id_;
  std::shared_ptr<Server> server_;
  std::atomic<bool> destroyed_{false};
  std::vector<std::thread> ended_;
};

// One ingress process, started with the command of the deploy file.
class Host {
 public:
  Host(const std::string& directory, const std::string& name, std::uint16_t store_port);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const Address& clients() const { return clients_; }
  bool WaitReady(milliseconds limit) const;
  bool running() const;
  void Signal(int signal) const;
  void Kill() const;
  // Of all threads of the process.
  double processor_seconds() const;
  double resident_megabytes() const;

 private:
  Address clients_;
  Address readiness_;
  pid_t pid_ = -1;
};

struct Reply {
  int status = 0;  // 0: no head arrived
  Head head;
  std::string body;       // decoded
  bool complete = false;  // by length or last chunk
  bool timed_out = false;
  double seconds = 0;  // from the first byte sent to the end
};

// Sends one request and reads the answer.
Reply Exchange(const Socket& socket, const std::string& bytes, milliseconds limit);
// The same on a connection of its own.
Reply Ask(const Address& address, const std::string& bytes, milliseconds limit);

// The lines of record.txt.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// The path of the daemon under test, and of a temporary folder for its settings and log.
std::string MakeTemporaryFolder();

std::string Chunk(std::string_view data);

}  // namespace review

#endif  // REVIEW_STANDIN_3_RIG_H_
