// A thread with its own event loop.
//
//   EventLoop loop("traffic-0");
//   loop.Post([] { ... });  // runs on the loop's thread
#ifndef VERBENARIDGE_LOOP_EVENT_LOOP_H_
#define VERBENARIDGE_LOOP_EVENT_LOOP_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace verbenaridge::loop {

// Post and Stop are thread-safe. Start and Join are called by the owner only.
class EventLoop {
 public:
  explicit EventLoop(std::string_view name);
  ~EventLoop();

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Start();
  void Stop();
  void Join();

  template <class Action>
  void Post(Action&& action) {
    asio::post(io_context_, std::forward<Action>(action));
  }

  asio::io_context& io_context() { return io_context_; }

 private:
  const std::string name_;
  asio::io_context io_context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  std::thread thread_;
};

}  // namespace verbenaridge::loop

#endif  // VERBENARIDGE_LOOP_EVENT_LOOP_H_
