#include "review/standin-2/platform.h"

#include <fcntl.h>
#include <openssl/evp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace verbenaridge::review {
namespace {

using nlohmann::json;

// An answer of the platform's store takes this long.
constexpr Milliseconds kStoreDelay{4};
constexpr std::uint16_t kFirstPort = 21'000;
constexpr std::uint16_t kLastPort = 29'000;

std::string Base64(std::string_view text) {
  std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

// Value of a query parameter, with its percent escapes decoded.
std::string Parameter(std::string_view target, std::string_view name) {
  const std::string key = std::string(name) + "=";
  std::string_view query = target.substr(std::min(target.find('?'), target.size()));
  while (!query.empty()) {
    query.remove_prefix(1);
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view part = query.substr(0, end);
    query.remove_prefix(end);
    if (!part.starts_with(key)) continue;
    std::string value;
    for (std::size_t i = key.size(); i < part.size(); ++i) {
      if (part[i] != '%') {
        value.push_back(part[i]);
        continue;
      }
      value.push_back(
          static_cast<char>(std::strtol(std::string(part.substr(i + 1, 2)).c_str(), nullptr, 16)));
      i += 2;
    }
    return value;
  }
  return {};
}

std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

void Record::Line(std::string_view text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const double seconds = std::chrono::duration<double>(Clock::now() - start_).count();
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f s  ", seconds);
  out_ << time << text << '\n' << std::flush;
}

Store::Store() : listener_("127.0.0.1", 0, [this](int fd) { Serve(fd); }) {}

void Store::Put(const std::string& key, std::string_view value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  items_[key] = {Base64(value), ++revision_};
  changes_.push_back({key, revision_});
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  items_.erase(key);
  changes_.push_back({key, ++revision_});
}

void Store::Serve(int fd) {
  std::string buffer;
  while (const auto request = ReadMessage(fd, buffer)) {
    std::this_thread::sleep_for(kStoreDelay);
    if (!SendAll(fd, Respond(request->Second()))) return;
  }
}

std::string Store::Describe(const std::string& key, const Item& item) const {
  return json{{"key", key},
              {"value", item.value},
              {"revision", item.revision},
              {"created-at", item.revision},
              {"lease", 0},
              {"store-revision", revision_}}
      .dump();
}

std::string Store::Respond(std::string_view target) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string prefix = Parameter(target, "path-prefix");
  const auto ok = [](const std::string& body) {
    return Serialize("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}}, body);
  };
  if (target.starts_with("/verbenaridge/kv-key?")) {
    const auto found = items_.find(Parameter(target, "key"));
    if (found != items_.end()) return ok(Describe(found->first, found->second));
  } else if (target.starts_with("/verbenaridge/kv-range?")) {
    json items = json::array();
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix)) items.push_back(json::parse(Describe(key, item)));
    }
    return ok(json{{"items", items}, {"more-pages", false}, {"store-revision", revision_}}.dump());
  } else if (target.starts_with("/verbenaridge/kv-watch?")) {
    const std::uint64_t after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    json events = json::array();
    for (const Change& change : changes_) {
      if (change.revision <= after || !change.key.starts_with(prefix)) continue;
      const auto found = items_.find(change.key);
      if (found == items_.end()) {
        events.push_back({{"key", change.key}, {"revision", change.revision}, {"deleted", true}});
      } else if (found->second.revision == change.revision) {
        events.push_back(json::parse(Describe(change.key, found->second)));
      }
    }
    return ok(json{{"events", events}, {"store-revision", revision_}}.dump());
  }
  return Serialize("HTTP/1.1 404 Not Found", {}, "");
}

Replica::Replica(ReplicaOptions options, OnRun on_run)
    : options_(std::move(options)),
      on_run_(std::move(on_run)),
      born_(UnixMilliseconds()),
      listener_("127.0.0.1", 0, [this](int fd) { Serve(fd); }) {}

std::string Replica::Entry(std::string_view state) const {
  return json{{"service", options_.service},
              {"address", "127.0.0.1:" + std::to_string(listener_.port())},
              {"zone", options_.zone},
              {"version", 1},
              {"slots", options_.slots},
              {"state", state},
              {"cold-remaining-ms", 0},
              {"sequence", 1},
              {"born", born_}}
      .dump();
}

void Replica::Serve(int fd) {
  std::string buffer;
  while (const auto request = ReadMessage(fd, buffer)) {
    const std::string attempt = request->Header("X-Verbenaridge-Attempt-Id");
    if (request->Header("X-Verbenaridge-Expected-Instance") != options_.id) {
      const std::string refusal = Serialize("HTTP/1.1 421 Misdirected Request",
                                            {{"X-Verbenaridge-Instance-Id", options_.id}}, "");
      if (!SendAll(fd, refusal)) return;
      continue;
    }
    on_run_(options_.id, attempt);
    if (!Respond(fd, attempt)) return;
  }
}

bool Replica::Respond(int fd, const std::string& attempt) const {
  const std::string seal = options_.id + "." + attempt;
  std::this_thread::sleep_for(options_.work);
  if (options_.events == 0) {
    return SendAll(fd, Serialize("HTTP/1.1 200 OK",
                                 {{"X-Verbenaridge-Attempt-Id", attempt},
                                  {"X-Verbenaridge-Response-Seal", seal}},
                                 "answer to " + attempt));
  }
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  bytes += "X-Verbenaridge-Attempt-Id: " + attempt + "\r\n";
  bytes += "X-Verbenaridge-Response-Seal: " + seal + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 1; i <= options_.events; ++i) {
    const std::string event = "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    bytes.append(size).append(event).append("\r\n");
    if (i == options_.events) bytes += "0\r\n\r\n";
    if (!SendAll(fd, std::exchange(bytes, {}))) return false;
    std::this_thread::sleep_for(options_.event_gap);
  }
  return true;
}

HostProcess::HostProcess(const HostOptions& options) : options_(options) {
  WriteSettings();
  const std::string settings = options_.dir + "/" + name() + ".json";
  const std::string log = options_.dir + "/" + name() + ".log";
  const std::string variable = "VERBENARIDGE_NODE_FILE=" + settings;
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  const char* const arguments[] = {options_.program.c_str(), nullptr};
  const char* const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
  execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
  _exit(127);
}

HostProcess::~HostProcess() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void HostProcess::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool HostProcess::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
  return pid_ > 0;
}

std::optional<Message> HostProcess::Ask(std::string_view path) const {
  const auto port = static_cast<std::uint16_t>(options_.first_port + 1);
  const int fd = Connect(options_.ip, port, Milliseconds(1'000));
  if (fd < 0) return std::nullopt;
  std::string buffer;
  SendAll(fd, "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + options_.ip + "\r\n\r\n");
  std::optional<Message> response = ReadMessage(fd, buffer);
  close(fd);
  return response;
}

bool HostProcess::IsReady() const {
  const auto response = Ask("/verbenaridge/readiness");
  return response && response->Second() == "200";
}

std::string HostProcess::Status() const {
  const auto response = Ask("/status");
  return response ? response->body : std::string();
}

void HostProcess::WriteSettings() const {
  const auto address = [&](const std::string& ip, int offset) {
    return ip + ":" + std::to_string(options_.first_port + offset);
  };
  json seeds = json::array();
  for (const std::string& seed : options_.seeds) seeds.push_back({{"address", address(seed, 2)}});
  const json settings = {
      {"host", name()},
      {"data_centre", options_.zone},
      {"ip", options_.ip},
      {"clients", address(options_.ip, 0)},
      {"readiness", address(options_.ip, 1)},
      {"control", address(options_.ip, 2)},
      {"store", "127.0.0.1:" + std::to_string(options_.store_port)},
      {"first_internal_port", options_.first_port + 3},
      {"metrics_port", options_.first_port + 6},
      {"fleet_keys", {"an operator replaces this key of the fleet"}},
      {"seeds", seeds},
      {"processor_share", 0.17},
      {"file_descriptors", 2'940},
      {"evacuation", false},
      {"readiness_needs_endpoints", false},
      {"overload_control", false},
      {"endpoint_pause_s", 0},
      {"regions", {{"furano", "hokkaido"}, {"nakafurano", "hokkaido"}, {"biei", "hokkaido"}}},
      {"retry_budget", {{"ratio", 0.2}, {"window_ms", 10'000}, {"slack", 234}}},
      {"grace_period_ms", 8'000},
      {"endpoint_heartbeat_ms", 1'200}};
  std::ofstream(options_.dir + "/" + name() + ".json") << settings.dump(1);
}

bool AwaitReady(HostProcess& host, TimePoint limit) {
  while (!host.IsReady()) {
    if (!host.IsRunning() || Clock::now() > limit) return false;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return true;
}

std::string Exchange(const HostProcess& host, std::string_view request, Milliseconds timeout) {
  const int fd = Connect(host.ip(), host.client_port(), timeout);
  if (fd < 0) return {};
  std::string bytes;
  std::array<char, 16384> part{};
  if (SendAll(fd, request)) {
    ssize_t size = 0;
    while ((size = recv(fd, part.data(), part.size(), 0)) > 0) {
      bytes.append(part.data(), static_cast<std::size_t>(size));
    }
  }
  close(fd);
  return bytes;
}

std::uint16_t FindPorts(const std::vector<std::string>& ips, std::uint16_t count) {
  for (std::uint16_t first = kFirstPort; first < kLastPort; first += count) {
    bool free = true;
    for (std::uint16_t port = first; free && port < first + count; ++port) {
      free = std::all_of(ips.begin(), ips.end(),
                         [&](const std::string& ip) { return IsFree(ip, port); });
    }
    if (free) return first;
  }
  return 0;
}

}  // namespace verbenaridge::review
