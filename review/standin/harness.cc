#include "review/standin/harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

// heartbeat-interval-ms of the sheets.
constexpr double kHeartbeatSeconds = 1.2;
constexpr int kRangeItems = 500;
constexpr const char* kCommand = "target/bin/verbenaridge-ingress";

std::string EncodeBase64(std::string_view text) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((text.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < text.size(); i += 3) {
    const auto byte = [&](std::size_t at) {
      return at < text.size() ? static_cast<std::uint32_t>(static_cast<unsigned char>(text[at]))
                              : 0U;
    };
    const std::uint32_t bits = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
    out.push_back(kDigits[bits >> 18]);
    out.push_back(kDigits[(bits >> 12) & 63]);
    out.push_back(i + 1 < text.size() ? kDigits[(bits >> 6) & 63] : '=');
    out.push_back(i + 2 < text.size() ? kDigits[bits & 63] : '=');
  }
  return out;
}

// An item or an event as JSON. Keys need no escapes here.
std::string ItemText(const std::string& key, const std::string& value, std::uint64_t revision,
                     std::uint64_t created) {
  return R"({"key":")" + key + R"(","value":")" + value + R"(","revision":)" +
         std::to_string(revision) + R"(,"created-at":)" + std::to_string(created) +
         R"(,"lease":0})";
}

std::string DecodePercent(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

// The value of the key in the query of the target.
std::string QueryValue(const std::string& target, const std::string& key) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == key && equals != std::string::npos) {
      return DecodePercent(pair.substr(equals + 1));
    }
    at = end;
  }
  return {};
}

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

int OpenListener(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in to = SocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool IsFree(const Address& address) {
  const int fd = OpenListener(address);
  if (fd >= 0) close(fd);
  return fd >= 0;
}

std::string HeaderIn(std::string_view head, std::string_view name) {
  std::size_t at = 0;
  while (at < head.size()) {
    const std::size_t end = std::min(head.find("\r\n", at), head.size());
    const std::string_view line = head.substr(at, end - at);
    const std::size_t colon = line.find(':');
    if (colon == name.size() && strncasecmp(line.data(), name.data(), colon) == 0) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      return std::string(line.substr(value));
    }
    at = end + 2;
  }
  return {};
}

// Takes a chunked body from the buffer. Returns false if it is not whole yet.
bool TakeChunks(std::string_view text, std::string& body, std::size_t& used) {
  body.clear();
  std::size_t at = 0;
  while (true) {
    const std::size_t end = text.find("\r\n", at);
    if (end == std::string_view::npos) return false;
    const std::size_t size =
        std::strtoul(std::string(text.substr(at, end - at)).c_str(), nullptr, 16);
    if (end + 2 + size + 2 > text.size()) return false;
    body.append(text.substr(end + 2, size));
    at = end + 2 + size + 2;
    if (size == 0) break;
  }
  used = at;
  return true;
}

Message ParseHead(const std::string& head) {
  Message message;
  std::size_t at = head.find("\r\n");
  message.first_line = head.substr(0, at);
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t end = std::min(head.find("\r\n", at + 2), head.size());
    const std::string line = head.substr(at + 2, end - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    at = end == head.size() ? std::string::npos : end;
  }
  return message;
}

}  // namespace

double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double time) { SleepFor(time - Now()); }

void Record::Line(const std::string& text) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f  ", Now());
  const std::lock_guard lock(mutex_);
  out_ << time.data() << text << std::endl;
}

std::string Message::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

std::string Message::Method() const { return first_line.substr(0, first_line.find(' ')); }

std::string Message::Target() const {
  const std::size_t start = first_line.find(' ') + 1;
  return first_line.substr(start, first_line.find(' ', start) - start);
}

Connection::~Connection() { close(fd_); }

bool Connection::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool Connection::Fill(double until) {
  pollfd waiting{.fd = fd_, .events = POLLIN, .revents = 0};
  const int left = static_cast<int>(std::max(0.0, until - Now()) * 1000) + 1;
  if (poll(&waiting, 1, left) <= 0) return false;
  std::array<char, 65536> bytes{};
  const ssize_t size = recv(fd_, bytes.data(), bytes.size(), 0);
  if (size <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

bool Connection::ReadRequest(Message& request, double until) {
  std::size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) return false;
    end = buffer_.find("\r\n\r\n");
  }
  request = ParseHead(buffer_.substr(0, end));
  const std::size_t length = std::strtoul(request.Header("Content-Length").c_str(), nullptr, 10);
  while (buffer_.size() < end + 4 + length) {
    if (!Fill(until)) return false;
  }
  request.body = buffer_.substr(end + 4, length);
  buffer_.erase(0, end + 4 + length);
  return true;
}

std::shared_ptr<Connection> Connect(const Address& to, double timeout_s) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_shared<Connection>(fd);
  const sockaddr_in address = SocketAddress(to);
  const int outcome = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (outcome != 0 && errno != EINPROGRESS) return nullptr;
  pollfd waiting{.fd = fd, .events = POLLOUT, .revents = 0};
  if (poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) <= 0) return nullptr;
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return nullptr;
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

std::string Answer::Header(std::string_view name) const { return HeaderIn(head, name); }

Answer Exchange(Connection& connection, std::string_view request, double timeout_s) {
  Answer answer;
  const double started = Now();
  const double until = started + timeout_s;
  std::string& buffer = connection.buffer();
  if (connection.Send(request)) {
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos && connection.Fill(until)) end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      answer.head = buffer.substr(0, end);
      answer.status = std::atoi(answer.head.substr(answer.head.find(' ') + 1, 3).c_str());
      const std::string length = answer.Header("Content-Length");
      const std::size_t start = end + 4;
      std::size_t used = 0;
      while (true) {
        if (!length.empty()) {
          const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
          answer.complete = buffer.size() >= start + size;
          answer.body = buffer.substr(start, size);
          used = size;
        } else {
          const std::string_view text = buffer;
          answer.complete = TakeChunks(text.substr(start), answer.body, used);
        }
        if (answer.complete || !connection.Fill(until)) break;
      }
      if (answer.complete) buffer.erase(0, start + used);
    }
  }
  answer.seconds = Now() - started;
  return answer;
}

Answer Call(const Address& to, std::string_view request, double timeout_s) {
  const auto connection = Connect(to, 1.0);
  return connection == nullptr ? Answer{} : Exchange(*connection, request, timeout_s);
}

void Store::Listen(const Address& address, const std::string& caller) {
  const int listener = OpenListener(address);
  std::thread([this, listener, caller] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) std::thread([this, fd, caller] { Serve(fd, caller); }).detach();
    }
  }).detach();
}

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  std::string encoded = EncodeBase64(value);
  const std::lock_guard lock(mutex_);
  Item& item = items_[key];
  item.value = std::move(encoded);
  item.revision = ++revision_;
  if (item.created == 0) item.created = revision_;
  events_.push_back({key, item.value, revision_, item.created, false, Now()});
  Forget();
  return revision_;
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.erase(key) == 0) return;
  events_.push_back({key, {}, ++revision_, 0, true, Now()});
  Forget();
}

void Store::Forget() {
  while (!events_.empty() && Now() - events_.front().time > history_s_) {
    forgotten_ = events_.front().revision;
    events_.pop_front();
  }
}

std::string Store::last_reader() {
  const std::lock_guard lock(mutex_);
  return last_reader_;
}

void Store::Serve(int fd, const std::string& caller) {
  Connection connection(fd);
  Message request;
  while (connection.ReadRequest(request, Now() + 60)) {
    SleepFor(0.004);  // an answer takes 4 ms on the sheets
    ++calls_;
    const auto [status, body] = Respond(request.Target(), caller);
    std::string reply = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    reply += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size());
    reply += "\r\n\r\n" + body;
    if (!connection.Send(reply)) return;
  }
}

std::pair<int, std::string> Store::Respond(const std::string& target, const std::string& caller) {
  const std::lock_guard lock(mutex_);
  Forget();
  if (!target.starts_with("/verbenaridge/kv-range?")) last_reader_ = caller;
  if (target.starts_with("/verbenaridge/kv-key?")) {
    const std::string key = QueryValue(target, "key");
    const auto found = items_.find(key);
    if (found == items_.end()) return {404, "{}"};
    const Item& item = found->second;
    std::string text = ItemText(key, item.value, item.revision, item.created);
    text.pop_back();
    return {200, text + R"(,"store-revision":)" + std::to_string(revision_) + "}"};
  }
  const std::string prefix = QueryValue(target, "path-prefix");
  const std::string after = QueryValue(target, "after");
  if (target.starts_with("/verbenaridge/kv-range?")) return {200, Range(prefix, after)};
  if (target.starts_with("/verbenaridge/kv-watch?")) {
    return Watch(prefix, std::strtoull(after.c_str(), nullptr, 10));
  }
  return {404, "{}"};
}

std::string Store::Range(const std::string& prefix, const std::string& after) {
  std::string items;
  int count = 0;
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    if (++count > kRangeItems) {
      more = true;
      break;
    }
    if (!items.empty()) items.push_back(',');
    items += ItemText(key, item.value, item.revision, item.created);
  }
  return R"({"items":[)" + items + R"(],"more-pages":)" + (more ? "true" : "false") +
         R"(,"store-revision":)" + std::to_string(revision_) + "}";
}

std::pair<int, std::string> Store::Watch(const std::string& prefix, std::uint64_t after) {
  if (after < forgotten_) return {410, "{}"};
  std::string events;
  std::uint64_t last = revision_;
  for (const Event& event : events_) {
    if (event.revision <= after || !event.key.starts_with(prefix)) continue;
    if (watch_bytes_ > 0 && !events.empty() && events.size() + event.value.size() > watch_bytes_) {
      break;
    }
    if (watch_bytes_ > 0) last = event.revision;
    if (!events.empty()) events.push_back(',');
    if (event.deleted) {
      events += R"({"key":")" + event.key + R"(","revision":)" + std::to_string(event.revision) +
                R"(,"deleted":true})";
    } else {
      events += ItemText(event.key, event.value, event.revision, event.created);
    }
  }
  std::string body =
      R"({"events":[)" + events + R"(],"store-revision":)" + std::to_string(last) + "}";
  largest_watch_ = std::max<std::size_t>(largest_watch_, body.size());
  return {200, std::move(body)};
}

Replica::Replica(Store& store, Address address, std::string service, std::string zone, int slots,
                 Handler handler)
    : store_(store),
      address_(std::move(address)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      slots_(slots),
      handler_(std::move(handler)) {}

std::string Replica::id() {
  const std::lock_guard lock(mutex_);
  return id_;
}

std::string Replica::Entry() {
  return json{{"service", service_},    {"address", address_.Text()},
              {"zone", zone_},          {"version", "v1"},
              {"slots", slots_},        {"state", "ready"},
              {"cold-remaining-ms", 0}, {"born", born_},
              {"sequence", ++sequence_}}
      .dump();
}

void Replica::Start() {
  const int number = ++incarnation_;
  const int listener = OpenListener(address_);
  std::string entry;
  std::string id;
  {
    const std::lock_guard lock(mutex_);
    born_ = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                           std::chrono::system_clock::now().time_since_epoch())
                                           .count());
    id_ = "i-" + address_.ip.substr(address_.ip.rfind('.') + 1) + "-" + std::to_string(number);
    sequence_ = 0;
    listener_ = listener;
    up_ = true;
    id = id_;
    entry = Entry();
  }
  std::thread([self = shared_from_this(), listener, number] {
    self->Accept(listener, number);
  }).detach();
  store_.Put("servers/" + id, entry);
}

void Replica::Crash(double down_s) {
  std::string id;
  {
    const std::lock_guard lock(mutex_);
    if (!up_) return;
    up_ = false;
    id = id_;
    shutdown(listener_, SHUT_RDWR);  // wakes its thread, which closes it
    const linger reset{.l_onoff = 1, .l_linger = 0};
    for (const int fd : open_) {
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(fd, SHUT_RD);
    }
  }
  std::thread([self = shared_from_this(), id, down_s] {
    const double crashed = Now();
    SleepFor(down_s);
    self->Start();
    SleepUntil(crashed + 3 * kHeartbeatSeconds);
    self->store_.Remove("servers/" + id);
  }).detach();
}

void Replica::Beat() {
  std::string id;
  std::string entry;
  {
    const std::lock_guard lock(mutex_);
    if (!up_) return;
    id = id_;
    entry = Entry();
  }
  store_.Put("servers/" + id, entry);
}

void Replica::Accept(int listener, int number) {
  while (Runs(number)) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) break;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([self = shared_from_this(), fd, number] { self->Serve(fd, number); }).detach();
  }
  close(listener);
}

void Replica::Serve(int fd, int number) {
  Connection connection(fd);
  {
    const std::lock_guard lock(mutex_);
    open_.insert(fd);
  }
  Message request;
  while (Runs(number) && connection.ReadRequest(request, Now() + 30) && Runs(number)) {
    if (request.Header("X-Verbenaridge-Expected-Instance") != id()) {
      if (!connection.Send("HTTP/1.1 421 Misdirected Request\r\nX-Verbenaridge-Instance-Id: " +
                           id() + "\r\nContent-Length: 0\r\n\r\n")) {
        break;
      }
      continue;
    }
    if (!handler_(*this, connection, request)) break;
  }
  const std::lock_guard lock(mutex_);
  if (!Runs(number)) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  open_.erase(fd);
}

Host::Host(std::string name, std::string zone, std::string ip, int first_port)
    : name_(std::move(name)), zone_(std::move(zone)), ip_(std::move(ip)), first_port_(first_port) {}

// What deploy/ingress.json.template gives for a machine of the small sites.
void Host::WriteSettings(const std::string& folder, const std::vector<std::string>& seeds) const {
  json settings = {{"host", name_},
                   {"data_centre", zone_},
                   {"ip", ip_},
                   {"clients", front().Text()},
                   {"readiness", ready().Text()},
                   {"control", control().Text()},
                   {"store", store().Text()},
                   {"first_internal_port", first_port_ + 3},
                   {"metrics_port", 0},
                   {"fleet_keys", {"the key of the fleet of this case"}},
                   {"seeds", json::array()},
                   {"processor_share", 0.17},
                   {"file_descriptors", 2940},
                   {"retry_budget", {{"ratio", 0.2}, {"window_ms", 10000}, {"slack", 234}}},
                   {"grace_period_ms", 8000},
                   {"endpoint_heartbeat_ms", 1200}};
  for (const std::string& seed : seeds) settings["seeds"].push_back({{"address", seed}});
  std::ofstream(folder + "/" + name_ + ".json") << settings.dump(1);
}

void Host::Start(const std::string& folder) {
  const std::string log = folder + "/" + name_ + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const std::string file = "VERBENARIDGE_NODE_FILE=" + folder + "/" + name_ + ".json";
  const char* const path = std::getenv("PATH");
  const std::string path_variable = std::string("PATH=") + (path == nullptr ? "" : path);
  std::array<char*, 2> arguments = {const_cast<char*>(kCommand), nullptr};
  std::array<char*, 3> environment = {const_cast<char*>(file.c_str()),
                                      const_cast<char*>(path_variable.c_str()), nullptr};
  if (posix_spawn(&pid_, kCommand, &actions, nullptr, arguments.data(), environment.data()) != 0) {
    pid_ = 0;
  }
  posix_spawn_file_actions_destroy(&actions);
  // For run.sh, which ends what is left if the case is ended from outside.
  std::ofstream(folder + "/pids", std::ios::app) << pid_ << "\n";
}

void Host::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void Host::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Host::IsReady() const {
  return Call(ready(), "GET /verbenaridge/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", 0.5).status ==
         200;
}

Fleet::Fleet(const FleetOptions& options) : options_(options) {
  std::signal(SIGPIPE, SIG_IGN);
  const int first = 64 + static_cast<int>(getpid() % 150);
  network_ = "127." + std::to_string(first) + ".";
  first_port_ = 21000 + static_cast<int>(getpid() % 900) * 10;
  while (!IsFree({network_ + "0.1", first_port_}) || !IsFree({network_ + "1.1", first_port_ + 9})) {
    first_port_ += 10;
  }
  store_ = std::make_unique<Store>(options.history_s);
  for (int i = 0; i < options.hosts; ++i) {
    const std::string& zone = options.zones[static_cast<std::size_t>(i) % options.zones.size()];
    hosts_.emplace_back("front-" + zone + "-" + std::to_string(i), zone,
                        network_ + "0." + std::to_string(10 + i), first_port_);
    store_->Listen(hosts_.back().store(), hosts_.back().name());
  }
}

void Fleet::End(int outcome) {
  for (Host& host : hosts_) host.Kill();
  std::fflush(nullptr);
  std::_Exit(outcome);
}

// All replicas are added before the hosts start.
Replica& Fleet::AddReplica(const std::string& service, int slots, Replica::Handler handler) {
  const std::size_t index = replicas_.size();
  replicas_.push_back(std::make_shared<Replica>(
      *store_, Address{network_ + "1." + std::to_string(10 + index), first_port_ + 9}, service,
      options_.zones[index % options_.zones.size()], slots, std::move(handler)));
  replicas_.back()->Start();
  return *replicas_.back();
}

bool Fleet::StartHosts(double timeout_s) {
  std::thread([replicas = replicas_] {
    while (true) {
      SleepFor(kHeartbeatSeconds);
      for (const auto& replica : replicas) replica->Beat();
    }
  }).detach();
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < hosts_.size() && i < 3; ++i) {
    seeds.push_back(hosts_[i].control().Text());
  }
  for (Host& host : hosts_) {
    host.WriteSettings(options_.folder, seeds);
    host.Start(options_.folder);
  }
  const double until = Now() + timeout_s;
  for (const Host& host : hosts_) {
    while (!host.IsReady()) {
      if (Now() > until) return false;
      SleepFor(0.05);
    }
  }
  return true;
}

Host* Fleet::FindHost(const std::string& name) {
  for (Host& host : hosts_) {
    if (host.name() == name) return &host;
  }
  return nullptr;
}

json EngineOfTheSheets() {
  return {{"slots", 16},          {"kv-cache-tokens", 232000}, {"kv-token-bytes", 327680},
          {"stride", 43},         {"step_ms", 1.02},           {"per_seq_ms", 0.00226},
          {"read_per_s", 206000}, {"context_per_k", 0.00431},  {"pairs_per_m", 0.138},
          {"chunk", 2048},        {"report_lag_ms", 200},      {"hop-ms", 0.075}};
}

std::string EventText(std::uint64_t id, const std::string& data) {
  return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

std::string Chunk(const std::string& data) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return size.data() + data + "\r\n";
}

std::string HeadOf(const Message& request, const std::string& type, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nContent-Type: " + type +
         "\r\nX-Verbenaridge-Attempt-Id: " + request.Header("X-Verbenaridge-Attempt-Id") +
         "\r\nX-Verbenaridge-Response-Seal: seal\r\n" + framing + "\r\n\r\n";
}

bool Trouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
