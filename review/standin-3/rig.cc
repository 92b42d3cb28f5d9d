#include "review/standin-3/rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <sstream>

namespace review {
namespace {

using nlohmann::json;

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr milliseconds kServerPatience = std::chrono::minutes(2);
constexpr std::string_view kIp = "127.0.0.1";
// An entry is removed after three heartbeat intervals of silence.
constexpr milliseconds kEntryLifetime{3'600};

const TimePoint kStart = Clock::now();

sockaddr_in ToSystem(const Address& address) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr);
  return system;
}

// A port that no process uses now.
std::uint16_t FreePort(int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in system = ToSystem({std::string(kIp), 0});
  socklen_t size = sizeof system;
  static_cast<void>(bind(fd, reinterpret_cast<const sockaddr*>(&system), size));
  getsockname(fd, reinterpret_cast<sockaddr*>(&system), &size);
  close(fd);
  return ntohs(system.sin_port);
}

bool CanBind(int type, std::uint16_t port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in system = ToSystem({std::string(kIp), port});
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&system), sizeof system) == 0;
  close(fd);
  return bound;
}

// The first of two ports, both free for TCP and UDP.
std::uint16_t FreePortPair() {
  while (true) {
    const std::uint16_t port = FreePort(SOCK_STREAM);
    const auto next = static_cast<std::uint16_t>(port + 1);
    const bool free = CanBind(SOCK_DGRAM, port) && CanBind(SOCK_DGRAM, next) &&
                      CanBind(SOCK_STREAM, port) && CanBind(SOCK_STREAM, next);
    if (next > port && free) return port;
  }
}

std::string Base64(std::string_view text) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t bytes = std::min<std::size_t>(3, text.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (j < bytes ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out.push_back(j <= bytes ? kDigits[group >> (18 - 6 * j) & 63] : '=');
    }
  }
  return out;
}

Head ParseHead(const std::string& text) {
  Head head;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.ends_with('\r')) line.pop_back();
    if (head.first_line.empty()) {
      head.first_line = line;
    } else if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      head.fields.emplace_back(line.substr(0, colon),
                               value == std::string::npos ? "" : line.substr(value));
    }
  }
  return head;
}

constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string QueryValue(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const std::size_t start = at + name.size() + 1;
  return target.substr(start, target.find('&', start) - start);
}

void SendJson(const Socket& socket, int status, const json& body) {
  const std::string text = body.dump();
  socket.Send("HTTP/1.1 " + std::to_string(status) +
              " X\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(text.size()) + "\r\n\r\n" + text);
}

// Decodes as much of a chunked body as has arrived. Returns true after its last chunk.
bool DecodeChunks(std::string& raw, std::string& body) {
  while (true) {
    const std::size_t line = raw.find("\r\n");
    if (line == std::string::npos) return false;
    const std::size_t size = std::strtoul(raw.c_str(), nullptr, 16);
    if (raw.size() < line + 2 + size + 2) return false;
    body.append(raw, line + 2, size);
    raw.erase(0, line + 2 + size + 2);
    if (size == 0) return true;
  }
}

}  // namespace

double Elapsed() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

void SleepUntil(double elapsed) {
  std::this_thread::sleep_for(std::chrono::duration<double>(elapsed - Elapsed()));
}

bool TroubleWanted() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

bool Socket::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool Socket::Receive(std::string& into, TimePoint until, bool* timed_out) const {
  const auto left = std::chrono::ceil<milliseconds>(until - Clock::now()).count();
  pollfd waiting{.fd = fd_, .events = POLLIN, .revents = 0};
  if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    if (timed_out != nullptr) *timed_out = true;
    return false;
  }
  thread_local std::array<char, kReadBytes> buffer;
  const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
  if (size <= 0) return false;
  into.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

void Socket::Close() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

Socket Connect(const Address& address, milliseconds limit, int receive_buffer) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (receive_buffer > 0) {
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  }
  const sockaddr_in system = ToSystem(address);
  // In progress; its end is waited for.
  static_cast<void>(
      connect(socket.fd(), reinterpret_cast<const sockaddr*>(&system), sizeof system));
  pollfd waiting{.fd = socket.fd(), .events = POLLOUT, .revents = 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (poll(&waiting, 1, static_cast<int>(limit.count())) <= 0) return Socket();
  getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return Socket();
  fcntl(socket.fd(), F_SETFL, fcntl(socket.fd(), F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

std::string Head::Field(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

Server::Server(const Address& address, Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in system = ToSystem(address);
  socklen_t size = sizeof system;
  static_cast<void>(bind(listener_, reinterpret_cast<const sockaddr*>(&system), size));
  listen(listener_, SOMAXCONN);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&system), &size);
  port_ = ntohs(system.sin_port);
  accept_ = std::thread([this] { Accept(); });
}

void Server::Accept() {
  while (true) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard lock(mutex_);
    if (fd < 0 || stopped_) {
      if (fd >= 0) close(fd);
      return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    open_.insert(fd);
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void Server::Serve(int fd) {
  Socket socket(fd);
  std::string input;
  bool kept = true;
  while (kept) {
    std::size_t end = std::string::npos;
    while ((end = input.find(kHeadEnd)) == std::string::npos) {
      if (!socket.Receive(input, Clock::now() + kServerPatience)) break;
    }
    if (end == std::string::npos) break;
    Request request;
    request.head = ParseHead(input.substr(0, end));
    input.erase(0, end + kHeadEnd.size());
    std::istringstream line(request.head.first_line);
    line >> request.method >> request.target;
    const std::size_t length =
        std::strtoul(request.head.Field("Content-Length").c_str(), nullptr, 10);
    while (input.size() < length && socket.Receive(input, Clock::now() + kServerPatience)) {
    }
    if (input.size() < length) break;
    request.body = input.substr(0, length);
    input.erase(0, length);
    kept = handler_(socket, request);
  }
  const std::lock_guard lock(mutex_);
  open_.erase(fd);
  socket.Close();
}

void Server::Stop() {
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(stopped_, true)) return;
    // Dissolving the association resets the connection and wakes its thread up.
    const sockaddr none{.sa_family = AF_UNSPEC, .sa_data = {}};
    for (const int fd : open_) static_cast<void>(connect(fd, &none, sizeof none));
    threads = std::move(threads_);
  }
  shutdown(listener_, SHUT_RDWR);
  close(listener_);
  accept_.join();
  for (std::thread& thread : threads) thread.join();
}

Store::Store() {
  server_ = std::make_unique<Server>(
      Address{std::string(kIp), 0},
      [this](const Socket& socket, const Request& request) { return Handle(socket, request); });
}

void Store::SetConfiguration(const json& document) {
  const std::lock_guard lock(mutex_);
  items_["op/config"] = {document.dump(), ++revision_};
}

void Store::SetEntry(const std::string& id, const json& entry) {
  const std::lock_guard lock(mutex_);
  items_["servers/" + id] = {entry.dump(), ++revision_};
}

void Store::RemoveEntry(const std::string& id) {
  const std::lock_guard lock(mutex_);
  items_.erase("servers/" + id);
  ++revision_;
}

json Store::ItemOf(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", Base64(item.value)},
          {"revision", item.revision},
          {"created-at", item.revision},
          {"lease", 0}};
}

bool Store::Handle(const Socket& socket, const Request& request) {
  const std::lock_guard lock(mutex_);
  const std::string& target = request.target;
  json reply = {{"store-revision", revision_}};
  if (target.starts_with("/verbenaridge/kv-key?")) {
    const std::string key = QueryValue(target, "key");
    const auto found = items_.find(key);
    if (found == items_.end()) {
      SendJson(socket, 404, reply);
      return true;
    }
    const json item = ItemOf(key, found->second);
    reply.update(item);
  } else if (target.starts_with("/verbenaridge/kv-watch?")) {
    const std::string prefix = QueryValue(target, "path-prefix");
    const std::uint64_t after = std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
    reply["events"] = json::array();
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix) && item.revision > after) {
        reply["events"].push_back(ItemOf(key, item));
      }
    }
  } else if (target.starts_with("/verbenaridge/kv-range?")) {
    const std::string prefix = QueryValue(target, "path-prefix");
    reply["items"] = json::array();
    reply["more-pages"] = false;
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix)) reply["items"].push_back(ItemOf(key, item));
    }
  } else {
    SendJson(socket, 404, reply);
    return true;
  }
  SendJson(socket, 200, reply);
  return true;
}

Replica::Replica(Store& store, std::string name, std::string service, int slots, Serve serve)
    : store_(store),
      name_(std::move(name)),
      service_(std::move(service)),
      slots_(slots),
      serve_(std::move(serve)) {
  Start();
}

Replica::~Replica() {
  destroyed_ = true;
  Crash();
  for (std::thread& thread : ended_) thread.join();
}

bool Replica::Handle(const Socket& socket, const Request& request) {
  const std::string expected = request.head.Field("X-Verbenaridge-Expected-Instance");
  if (!expected.empty() && expected != id_) {
    return socket.Send(
        "HTTP/1.1 421 Misdirected\r\nX-Verbenaridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }
  return serve_(*this, socket, request);
}

void Replica::Start() {
  id_ = name_ + "-" + std::to_string(++incarnation_);
  server_ = std::make_shared<Server>(
      Address{std::string(kIp), 0},
      [this](const Socket& socket, const Request& request) { return Handle(socket, request); });
  const auto born =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  store_.SetEntry(id_, {{"service", service_},
                        {"address", std::string(kIp) + ":" + std::to_string(server_->port())},
                        {"zone", "a"},
                        {"version", 1},
                        {"slots", slots_},
                        {"state", "ready"},
                        {"cold-remaining-ms", 0},
                        {"sequence", 0},
                        {"born", static_cast<std::uint64_t>(born)}});
}

void Replica::Crash() {
  if (server_ == nullptr) return;
  // The threads of the connections may take a while, and several replicas crash at the same time.
  ended_.emplace_back([this, server = std::move(server_), id = id_] {
    server->Stop();
    const TimePoint expiry = Clock::now() + kEntryLifetime;
    while (!destroyed_ && Clock::now() < expiry) std::this_thread::sleep_for(milliseconds(20));
    store_.RemoveEntry(id);
  });
  server_ = nullptr;
}

Host::Host(const std::string& directory, const std::string& name, std::uint16_t store_port) {
  const std::string ip(kIp);
  clients_ = {ip, FreePort(SOCK_STREAM)};
  readiness_ = {ip, FreePort(SOCK_STREAM)};
  const auto text = [&](std::uint16_t port) { return ip + ":" + std::to_string(port); };
  const std::string control = text(FreePort(SOCK_STREAM));
  const json settings = {{"host", name},
                         {"data_centre", "a"},
                         {"ip", ip},
                         {"clients", text(clients_.port)},
                         {"readiness", text(readiness_.port)},
                         {"control", control},
                         {"store", text(store_port)},
                         {"first_internal_port", FreePortPair()},
                         {"metrics_port", 0},
                         {"fleet_keys", {"a key of the third review"}},
                         {"seeds", {{{"address", control}}}},
                         {"processor_share", 0.17},
                         {"file_descriptors", 2940},
                         {"evacuation", false},
                         {"readiness_needs_endpoints", false},
                         {"overload_control", false},
                         {"endpoint_pause_s", 0},
                         {"regions", {{"a", "region"}}},
                         {"retry_budget", {{"ratio", 0.2}, {"window_ms", 10'000}, {"slack", 234}}},
                         {"grace_period_ms", 8'000},
                         {"endpoint_heartbeat_ms", 1'200}};
  const std::string file = directory + "/" + name + ".json";
  std::ofstream(file) << settings.dump();
  const int log = open((directory + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT, 0600);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    setenv("VERBENARIDGE_NODE_FILE", file.c_str(), 1);
    constexpr const char* kDaemon = "target/bin/verbenaridge-ingress";
    execl(kDaemon, kDaemon, nullptr);
    _exit(127);
  }
  close(log);
}

Host::~Host() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Host::Signal(int signal) const { kill(pid_, signal); }

void Host::Kill() const { Signal(SIGKILL); }

bool Host::running() const {
  // Leaves the process to be waited for by the destructor.
  siginfo_t info{};
  return waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

bool Host::WaitReady(milliseconds limit) const {
  const TimePoint end = Clock::now() + limit;
  while (Clock::now() < end && running()) {
    constexpr std::string_view kProbe =
        "GET /verbenaridge/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    if (Ask(readiness_, std::string(kProbe), milliseconds(500)).status == 200) return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

double Host::processor_seconds() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(std::min(text.rfind(')') + 2, text.size())));
  constexpr int kFieldsBefore = 11;  // from the state to the user time
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double Host::resident_megabytes() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  constexpr std::string_view kField = "VmRSS:";
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(kField)) return std::atof(line.c_str() + kField.size()) / 1024;
  }
  return 0;
}

Reply Exchange(const Socket& socket, const std::string& bytes, milliseconds limit) {
  Reply reply;
  const TimePoint start = Clock::now();
  const TimePoint until = start + limit;
  const auto ended = [&] {
    reply.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    return reply;
  };
  if (!socket.open() || !socket.Send(bytes)) return ended();
  std::string input;
  std::size_t end = std::string::npos;
  while ((end = input.find(kHeadEnd)) == std::string::npos) {
    if (!socket.Receive(input, until, &reply.timed_out)) return ended();
  }
  reply.head = ParseHead(input.substr(0, end));
  input.erase(0, end + kHeadEnd.size());
  constexpr std::size_t kStatusAt = 9;  // after the version
  reply.status = std::atoi(reply.head.first_line.substr(kStatusAt, 3).c_str());
  const bool chunked = !reply.head.Field("Transfer-Encoding").empty();
  const std::size_t length = std::strtoul(reply.head.Field("Content-Length").c_str(), nullptr, 10);
  while (true) {
    if (chunked) {
      reply.complete = DecodeChunks(input, reply.body);
    } else {
      reply.complete = input.size() >= length;
    }
    if (reply.complete || !socket.Receive(input, until, &reply.timed_out)) break;
  }
  if (!chunked) reply.body = input.substr(0, length);
  return ended();
}

Reply Ask(const Address& address, const std::string& bytes, milliseconds limit) {
  const TimePoint start = Clock::now();
  const Socket socket = Connect(address, std::min(limit, milliseconds(1'000)));
  Reply reply = Exchange(socket, bytes, limit);
  reply.seconds = std::chrono::duration<double>(Clock::now() - start).count();
  return reply;
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", Elapsed());
  out_ << time.data() << text << std::endl;
}

std::string MakeTemporaryFolder() {
  std::string name = std::filesystem::temp_directory_path().string() + "/review-3-XXXXXX";
  return mkdtemp(name.data()) == nullptr ? "" : name;
}

std::string Chunk(std::string_view data) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return std::string(size.data()).append(data).append("\r\n");
}

}  // namespace review
