// Stand-ins of the platform for the review: its store, plain replicas, and the processes under
// test with their settings.
//
//   Store store;
//   store.Put("op/config", document);
//   Replica replica("i-1", on_run);
//   HostProcess host({.index = 0, .ip = "127.0.31.10", .store_port = store.port(), ...});
#ifndef REVIEW_STANDIN_2_PLATFORM_H_
#define REVIEW_STANDIN_2_PLATFORM_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "review/standin-2/http.h"

namespace verbenaridge::review {

// Writes record.txt, one line an event with its time in seconds.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file), start_(Clock::now()) {}

  void Line(std::string_view text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const TimePoint start_;
};

// Key-value store: reads of a key, reads of a range and polls of what changed.
class Store {
 public:
  Store();

  std::uint16_t port() const { return listener_.port(); }
  void Put(const std::string& key, std::string_view value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string value;  // base64
    std::uint64_t revision = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t revision = 0;
  };

  void Serve(int fd);
  std::string Respond(std::string_view target);
  std::string Describe(const std::string& key, const Item& item) const;

  std::mutex mutex_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::uint64_t revision_ = 1;
  Listener listener_;
};

struct ReplicaOptions {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 6;
  Milliseconds work{};  // until the response, or its first event
  int events = 0;       // of a stream; zero: the response is no stream
  Milliseconds event_gap{};
};

// A replica with a free port. It runs every request that names it.
class Replica {
 public:
  // Called when a request begins to run, with its attempt id.
  using OnRun = std::function<void(const std::string& replica, const std::string& attempt)>;

  Replica(ReplicaOptions options, OnRun on_run);

  const std::string& id() const { return options_.id; }
  std::string Key() const { return "servers/" + options_.id; }
  // Its entry in the store, in the state `ready` or `draining`.
  std::string Entry(std::string_view state) const;

 private:
  void Serve(int fd);
  // False if the peer has closed the connection.
  bool Respond(int fd, const std::string& attempt) const;

  const ReplicaOptions options_;
  const OnRun on_run_;
  const std::uint64_t born_;
  Listener listener_;
};

struct HostOptions {
  std::string program;
  std::string dir;  // for its settings and its log
  int index = 0;
  std::string ip;
  std::string zone;
  std::uint16_t first_port = 0;  // seven from here on are free
  std::uint16_t store_port = 0;
  std::vector<std::string> seeds;  // IP addresses
};

// A process of the system. Killed when this object is destroyed.
class HostProcess {
 public:
  explicit HostProcess(const HostOptions& options);
  ~HostProcess();

  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  const std::string& ip() const { return options_.ip; }
  std::uint16_t client_port() const { return options_.first_port; }
  std::string name() const { return "front-" + std::to_string(options_.index); }
  void Signal(int signal) const;
  bool IsRunning();
  bool IsReady() const;
  // Its status page; empty if it does not answer.
  std::string Status() const;

 private:
  void WriteSettings() const;
  std::optional<Message> Ask(std::string_view path) const;

  const HostOptions options_;
  pid_t pid_ = 0;
};

// Asks the host once a 20 ms until it is ready. False if it has ended or the time is over.
bool AwaitReady(HostProcess& host, TimePoint limit);

// Sends the request on a new connection and reads all bytes until the host closes it.
std::string Exchange(const HostProcess& host, std::string_view request, Milliseconds timeout);

// First of `count` ports that are free at all addresses. Zero if there are none.
std::uint16_t FindPorts(const std::vector<std::string>& ips, std::uint16_t count);

}  // namespace verbenaridge::review

#endif  // REVIEW_STANDIN_2_PLATFORM_H_
