#include "verbenaridge/loop/event_loop.h"

#include <pthread.h>

namespace verbenaridge::loop {
namespace {

constexpr std::size_t kMaxThreadNameLength = 15;  // limit of the Linux kernel

}  // namespace

EventLoop::EventLoop(std::string_view name)
    : name_(name.substr(0, kMaxThreadNameLength)),
      io_context_(1),
      work_guard_(asio::make_work_guard(io_context_)) {}

EventLoop::~EventLoop() {
  Stop();
  Join();
}

void EventLoop::Start() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_.c_str());
    io_context_.run();
  });
}

void EventLoop::Stop() { io_context_.stop(); }

void EventLoop::Join() {
  if (thread_.joinable()) thread_.join();
}

}  // namespace verbenaridge::loop
