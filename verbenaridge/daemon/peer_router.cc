#include "verbenaridge/daemon/peer_router.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

namespace verbenaridge::daemon {

// A call of this daemon to itself. Lives on the calling loop.
class PeerRouter::LocalCall final : public wire::ServerCall,
                                    public std::enable_shared_from_this<LocalCall> {
 public:
  LocalCall(loop::EventLoop& loop, const Clock& clock, Duration deadline, wire::ReplyCallback done)
      : clock_(clock),
        deadline_(clock.Now() + deadline),
        timer_(loop.io_context(), deadline),
        done_(std::move(done)) {}

  void StartTimer() {
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
      auto self = weak.lock();
      if (error || !self) return;
      self->RunCancelled();
      self->Finish(Errc::kTimeout);
    });
  }

  void Answer(wire::Reply reply) override { Finish(std::move(reply)); }
  void Fail(Errc error) override { Finish(error); }
  void OnCancelled(std::function<void()> callback) override { cancelled_ = std::move(callback); }
  Duration remaining() const override { return std::max(Duration{}, deadline_ - clock_.Now()); }

  void Cancel() {
    timer_.cancel();
    done_ = nullptr;
    RunCancelled();
  }

 private:
  void Finish(Result<wire::Reply> reply) {
    timer_.cancel();
    if (auto done = std::exchange(done_, nullptr)) done(std::move(reply));
  }

  void RunCancelled() {
    if (auto callback = std::exchange(cancelled_, nullptr)) callback();
  }

  const Clock& clock_;
  const TimePoint deadline_;
  asio::steady_timer timer_;
  wire::ReplyCallback done_;
  std::function<void()> cancelled_;
};

wire::CallId PeerRouter::Call(const HostId& host, wire::Request request, Duration deadline,
                              wire::ReplyCallback callback) {
  const wire::CallId id = ++last_id_;
  if (host == options_.self) {
    CallSelf(id, std::move(request), deadline, std::move(callback));
    return id;
  }
  const HostView* view = snapshot_ ? snapshot_->FindHost(host) : nullptr;
  if (view == nullptr) {
    loop_.Post([callback = std::move(callback)] { callback(Errc::kNotFound); });
    return id;
  }
  auto done = [this, id, callback = std::move(callback)](Result<wire::Reply> reply) {
    pending_.erase(id);
    callback(std::move(reply));
  };
  pending_[id].remote =
      transport_.Call(view->address, std::move(request), deadline, std::move(done));
  return id;
}

void PeerRouter::CallSelf(wire::CallId id, wire::Request request, Duration deadline,
                          wire::ReplyCallback callback) {
  auto done = [this, id, callback = std::move(callback)](Result<wire::Reply> reply) {
    // Answers on a later turn, as the transport does.
    loop_.Post([this, id, callback, reply = std::move(reply)]() mutable {
      if (pending_.erase(id) != 0) callback(std::move(reply));
    });
  };
  auto call = std::make_shared<LocalCall>(loop_, clock_, deadline, std::move(done));
  pending_[id].local = call;
  call->StartTimer();
  loop_.Post([this, request = std::move(request), call = std::move(call)]() mutable {
    dispatcher_.Dispatch(loop_, std::move(request), std::move(call));
  });
}

void PeerRouter::Cancel(wire::CallId id) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  const Pending pending = std::move(it->second);
  pending_.erase(it);
  if (pending.local) {
    pending.local->Cancel();
  } else {
    transport_.Cancel(pending.remote);
  }
}

}  // namespace verbenaridge::daemon
