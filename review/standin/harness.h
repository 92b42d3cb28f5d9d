// Stand-ins for the platform of the users, and the processes under test, for the cases in review/.
//
// Everything uses loopback addresses and the real clock. The store, the replicas and the clients
// are threads of the case; each host is a process of its own, started as deploy/system.toml says.
//
//   review::Fleet fleet({.hosts = 3, .folder = argv[1]});
//   fleet.store().Put("op/config", config.dump());
//   review::Replica& replica = fleet.AddReplica("lm", handler);
//   fleet.StartHosts();
//   review::Answer answer = review::Call(fleet.host(0).front(), request, 5.0);
#ifndef VERBENARIDGE_REVIEW_STANDIN_HARNESS_H_
#define VERBENARIDGE_REVIEW_STANDIN_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

// Seconds since the start of the case, on the steady clock.
double Now();
void SleepFor(double seconds);
void SleepUntil(double time);

// record.txt of the case. Lines are written at once.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}

  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// A request or the head of a response.
struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(std::string_view name) const;
  std::string Method() const;
  std::string Target() const;
};

// One TCP connection with blocking calls.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int fd() const { return fd_; }
  bool Send(std::string_view bytes) const;
  // More bytes for the buffer. False at the end, after an error or after `until`.
  bool Fill(double until);
  // A whole request. False if none arrived.
  bool ReadRequest(Message& request, double until);
  std::string& buffer() { return buffer_; }

 private:
  const int fd_;
  std::string buffer_;
};

// Null if the connection is not established in time.
std::shared_ptr<Connection> Connect(const Address& to, double timeout_s);

// What a client got for one request.
struct Answer {
  int status = 0;         // 0: none
  bool complete = false;  // the response has its whole body
  std::string head;
  std::string body;
  double seconds = 0;

  std::string Header(std::string_view name) const;
};

Answer Exchange(Connection& connection, std::string_view request, double timeout_s);
// On a connection of its own.
Answer Call(const Address& to, std::string_view request, double timeout_s);

// The platform's metadata store, as PROTOCOL.md describes it: a key-value store with one revision
// counter. A watch returns all events since a revision, for as long as the history lasts.
class Store {
 public:
  explicit Store(double history_s) : history_s_(history_s) {}

  // Listens at an address that only one host is told, so that the store can tell who called it.
  void Listen(const Address& address, const std::string& caller);
  // Returns the revision; the return is the acknowledgement of the write.
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Calls of hosts so far.
  std::size_t calls() const { return calls_; }
  // Bounds the answers to watches; zero: no bound. An answer has one event at least, and its
  // revision is that of its last event.
  void SetWatchBytes(std::size_t bytes) { watch_bytes_ = bytes; }
  // The largest body of a watch so far.
  std::size_t largest_watch() const { return largest_watch_; }
  // The caller that asked for the configuration last; empty: none.
  std::string last_reader();

 private:
  struct Item {
    std::string value;  // base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool deleted = false;
    double time = 0;
  };

  void Serve(int fd, const std::string& caller);
  std::pair<int, std::string> Respond(const std::string& target, const std::string& caller);
  std::string Range(const std::string& prefix, const std::string& after);
  std::pair<int, std::string> Watch(const std::string& prefix, std::uint64_t after);
  void Forget();

  const double history_s_;
  std::mutex mutex_;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::uint64_t revision_ = 1;
  std::uint64_t forgotten_ = 0;  // revision of the newest event that history lacks
  std::atomic<std::size_t> calls_ = 0;
  std::atomic<std::size_t> largest_watch_ = 0;
  std::atomic<std::size_t> watch_bytes_ = 0;
  std::string last_reader_;
};

// A replica of a service. Each start is a new incarnation with a new identifier.
class Replica : public std::enable_shared_from_this<Replica> {
 public:
  // Runs on a thread of its connection. Returns false if the connection is to be closed.
  using Handler = std::function<bool(Replica&, Connection&, const Message&)>;

  Replica(Store& store, Address address, std::string service, std::string zone, int slots,
          Handler handler);

  void Start();
  // Resets all connections. The entry in the store stays, like that of a process that crashed, for
  // three heartbeats. It starts again after `down_s`.
  void Crash(double down_s);

  const Address& address() const { return address_; }
  std::string id();
  // Whether the incarnation that was `number` at some time still runs.
  bool Runs(int number) const { return incarnation_ == number && up_; }
  int incarnation() const { return incarnation_; }
  bool up() const { return up_; }

  // Heartbeat of the entry.
  void Beat();

 private:
  void Accept(int listener, int number);
  void Serve(int fd, int number);
  std::string Entry();

  Store& store_;
  const Address address_;
  const std::string service_;
  const std::string zone_;
  const int slots_;
  const Handler handler_;
  std::mutex mutex_;
  std::string id_;
  std::uint64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  int listener_ = -1;
  std::set<int> open_;
  std::atomic<int> incarnation_ = 0;
  std::atomic<bool> up_ = false;
};

// One process of verbenaridge-ingress.
class Host {
 public:
  Host(std::string name, std::string zone, std::string ip, int first_port);

  Address front() const { return {ip_, first_port_}; }
  Address ready() const { return {ip_, first_port_ + 1}; }
  Address control() const { return {ip_, first_port_ + 2}; }
  // Where this host reaches the store.
  Address store() const { return {ip_, first_port_ + 8}; }
  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  pid_t pid() const { return pid_; }

  void WriteSettings(const std::string& folder, const std::vector<std::string>& seeds) const;
  // Starts the command of deploy/system.toml.
  void Start(const std::string& folder);
  void Signal(int signal) const;
  // Kills the process and waits for its end.
  void Kill();
  bool IsReady() const;

 private:
  const std::string name_;
  const std::string zone_;
  const std::string ip_;
  const int first_port_;
  pid_t pid_ = 0;
};

struct FleetOptions {
  int hosts = 3;
  std::vector<std::string> zones = {"a", "b", "c"};
  std::string folder;  // for settings and logs
  double history_s = 20;
};

class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Store& store() { return *store_; }
  Replica& AddReplica(const std::string& service, int slots, Replica::Handler handler);
  Replica& replica(std::size_t index) { return *replicas_[index]; }
  std::size_t replicas() const { return replicas_.size(); }
  Host& host(std::size_t index) { return hosts_[index]; }
  std::size_t hosts() const { return hosts_.size(); }
  // False if some host is not ready in time.
  bool StartHosts(double timeout_s);
  // Kills the hosts and ends the case. Threads of stand-ins still run, so nothing is destroyed.
  [[noreturn]] void End(int outcome);
  // The host with the name; null: none.
  Host* FindHost(const std::string& name);

 private:
  const FleetOptions options_;
  std::string network_;  // the first two numbers of all addresses
  int first_port_ = 0;
  std::unique_ptr<Store> store_;
  std::vector<std::shared_ptr<Replica>> replicas_;
  std::vector<Host> hosts_;
};

// The engine of the language model on the sheets of the two small sites.
nlohmann::json EngineOfTheSheets();

// An event of a stream.
std::string EventText(std::uint64_t id, const std::string& data);
std::string Chunk(const std::string& data);

// The head of a success. `framing`: the header that says how long the body is.
std::string HeadOf(const Message& request, const std::string& type, const std::string& framing);

// Whether the case plays its disruption.
bool Trouble();

}  // namespace review

#endif  // VERBENARIDGE_REVIEW_STANDIN_HARNESS_H_
