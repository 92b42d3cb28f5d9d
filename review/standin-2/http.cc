#include "review/standin-2/http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace verbenaridge::review {
namespace {

constexpr int kBacklog = 128;
constexpr std::size_t kMaxMessageBytes = std::size_t{8} * 1024 * 1024;

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

sockaddr_in AddressOf(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool Bind(int fd, const std::string& ip, std::uint16_t port) {
  const sockaddr_in address = AddressOf(ip, port);
  return bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

void ParseHead(std::string_view head, Message& message) {
  bool first = true;
  while (!head.empty()) {
    const std::size_t end = std::min(head.find("\r\n"), head.size());
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(std::min(end + 2, head.size()));
    if (std::exchange(first, false)) {
      message.start = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string_view value = line.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    message.headers.emplace_back(line.substr(0, colon), value);
  }
}

bool Receive(int fd, std::string& buffer) {
  std::array<char, 16384> bytes{};
  const ssize_t size = recv(fd, bytes.data(), bytes.size(), 0);
  if (size <= 0) return false;
  buffer.append(bytes.data(), static_cast<std::size_t>(size));
  return buffer.size() <= kMaxMessageBytes;
}

}  // namespace

std::string Message::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) return value;
  }
  return {};
}

std::string Message::Second() const {
  const std::size_t begin = start.find(' ');
  if (begin == std::string::npos) return {};
  return start.substr(begin + 1, start.find(' ', begin + 1) - begin - 1);
}

std::optional<Message> ReadMessage(int fd, std::string& buffer) {
  std::size_t head = std::string::npos;
  while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(fd, buffer)) return std::nullopt;
  }
  Message message;
  ParseHead(std::string_view{buffer}.substr(0, head), message);
  buffer.erase(0, head + 4);
  const std::size_t length = std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (!Receive(fd, buffer)) return std::nullopt;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string Serialize(std::string_view start,
                      const std::vector<std::pair<std::string, std::string>>& headers,
                      std::string_view body) {
  std::string out(start);
  out += "\r\n";
  for (const auto& [name, value] : headers) out.append(name).append(": ").append(value) += "\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return out.append(body);
}

int Connect(const std::string& ip, std::uint16_t port, Milliseconds receive_timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  int error = 0;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    error = errno;
    pollfd wait{.fd = fd, .events = POLLOUT, .revents = 0};
    if (error == EINPROGRESS && poll(&wait, 1, 1'000) == 1) {
      socklen_t size = sizeof error;
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const timeval limit{.tv_sec = receive_timeout.count() / 1'000,
                      .tv_usec = receive_timeout.count() % 1'000 * 1'000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return fd;
}

bool IsFree(const std::string& ip, std::uint16_t port) {
  const auto is_free = [&](int type) {
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const bool bound = Bind(fd, ip, port);
    close(fd);
    return bound;
  };
  return is_free(SOCK_STREAM) && is_free(SOCK_DGRAM);
}

Listener::Listener(const std::string& ip, std::uint16_t port, Serve serve)
    : serve_(std::move(serve)), fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (!Bind(fd_, ip, port) || listen(fd_, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + ip);
  }
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

Listener::~Listener() {
  Close();
  acceptor_.join();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
  close(fd_);
}

void Listener::Close() {
  if (!closed_.exchange(true)) shutdown(fd_, SHUT_RDWR);
}

void Listener::Accept() {
  while (!closed_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.insert(fd);
    threads_.emplace_back([this, fd] { Run(fd); });
  }
}

void Listener::Run(int fd) {
  serve_(fd);
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(fd);
  close(fd);
}

}  // namespace verbenaridge::review
