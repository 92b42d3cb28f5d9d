// Blocking HTTP/1.1 over loopback for the stand-ins of the review: one thread a connection.
//
//   Listener listener("127.0.0.1", 0, [](int fd) { ... });
//   std::optional<Message> request = ReadMessage(fd, buffer);
#ifndef REVIEW_STANDIN_2_HTTP_H_
#define REVIEW_STANDIN_2_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace verbenaridge::review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Message {
  std::string start;  // request line or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Value of the first header with this name, in any case; empty if absent.
  std::string Header(std::string_view name) const;
  // Second word of the start line: target of a request, status of a response.
  std::string Second() const;
};

// Reads one message whose body has a length. Empty at the end of the connection or on malformed
// bytes. `buffer` keeps the bytes after the message.
std::optional<Message> ReadMessage(int fd, std::string& buffer);

// False if the peer has closed the connection.
bool SendAll(int fd, std::string_view bytes);

// A response or request with a length.
std::string Serialize(std::string_view start,
                      const std::vector<std::pair<std::string, std::string>>& headers,
                      std::string_view body);

// Connects within a second. Negative on failure.
int Connect(const std::string& ip, std::uint16_t port, Milliseconds receive_timeout);

// Whether the address is free for TCP and UDP.
bool IsFree(const std::string& ip, std::uint16_t port);

// Accepts connections until it is destroyed; `serve` runs on a thread for each.
class Listener {
 public:
  using Serve = std::function<void(int fd)>;

  // Port 0: any free port.
  Listener(const std::string& ip, std::uint16_t port, Serve serve);
  ~Listener();

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  std::uint16_t port() const { return port_; }
  // Accepts nothing more and resets no connection.
  void Close();

 private:
  void Accept();
  void Run(int fd);

  const Serve serve_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> closed_{false};
  std::mutex mutex_;
  std::set<int> open_;  // connections that are served
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace verbenaridge::review

#endif  // REVIEW_STANDIN_2_HTTP_H_
