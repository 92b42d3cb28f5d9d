#include "verbenaridge/daemon/cross_thread_call.h"

#include <algorithm>
#include <utility>

namespace verbenaridge::daemon {
namespace {

// The serving side of a call. `inner_` is used on the origin loop alone, the rest on the serving
// loop.
class CrossThreadCall final : public wire::ServerCall {
 public:
  CrossThreadCall(loop::EventLoop& origin, std::shared_ptr<wire::ServerCall> inner,
                  const Clock& clock)
      : origin_(origin),
        inner_(std::move(inner)),
        clock_(clock),
        deadline_(clock.Now() + inner_->remaining()) {}

  void Answer(wire::Reply reply) override {
    origin_.Post(
        [inner = inner_, reply = std::move(reply)]() mutable { inner->Answer(std::move(reply)); });
  }

  void Fail(Errc error) override {
    origin_.Post([inner = inner_, error] { inner->Fail(error); });
  }

  void OnCancelled(std::function<void()> callback) override {
    cancelled_callback_ = std::move(callback);
    if (cancelled_) RunCancelled();
  }

  Duration remaining() const override { return std::max(Duration{}, deadline_ - clock_.Now()); }

  void Cancelled() {
    cancelled_ = true;
    RunCancelled();
  }

 private:
  void RunCancelled() {
    if (auto callback = std::exchange(cancelled_callback_, nullptr)) callback();
  }

  loop::EventLoop& origin_;
  const std::shared_ptr<wire::ServerCall> inner_;
  const Clock& clock_;
  const TimePoint deadline_;
  bool cancelled_ = false;
  std::function<void()> cancelled_callback_;
};

}  // namespace

void ServeOnLoop(loop::EventLoop& origin, loop::EventLoop& serving, wire::PeerService& service,
                 wire::Request request, std::shared_ptr<wire::ServerCall> call,
                 const Clock& clock) {
  if (&origin == &serving) {
    service.Serve(std::move(request), std::move(call));
    return;
  }
  auto crossing = std::make_shared<CrossThreadCall>(origin, call, clock);
  call->OnCancelled([&serving, weak = std::weak_ptr<CrossThreadCall>(crossing)] {
    serving.Post([weak] {
      if (auto crossing = weak.lock()) crossing->Cancelled();
    });
  });
  serving.Post([&service, request = std::move(request), crossing = std::move(crossing)]() mutable {
    service.Serve(std::move(request), std::move(crossing));
  });
}

}  // namespace verbenaridge::daemon
