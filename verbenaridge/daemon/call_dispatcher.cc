#include "verbenaridge/daemon/call_dispatcher.h"

#include <string>
#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/daemon/cross_thread_call.h"

namespace verbenaridge::daemon {
namespace {

// The name that pins a request to a traffic thread; empty for the control thread.
struct PinningName {
  std::string_view operator()(const wire::AdmitRequest& r) const {
    return r.client_account.value();
  }
  std::string_view operator()(const wire::FinishAdmissionRequest& r) const {
    return r.client_account.value();
  }
  std::string_view operator()(const wire::PermitRequest& r) const { return r.endpoint.value(); }
  std::string_view operator()(const wire::ReleasePermitRequest& r) const {
    return r.endpoint.value();
  }
  std::string_view operator()(const wire::FirstTokenRequest& r) const { return r.endpoint.value(); }
  // All permits of one renewal belong to one endpoint.
  std::string_view operator()(const wire::RenewPermitsRequest& r) const {
    return r.permits.empty() ? std::string_view() : r.permits.front().endpoint.value();
  }
  template <class Other>
  std::string_view operator()(const Other&) const {
    return {};
  }
};

}  // namespace

std::size_t PinnedThread(std::string_view name, std::size_t thread_count) {
  return HashOf(name) % thread_count;
}

void CallDispatcher::Dispatch(loop::EventLoop& origin, wire::Request request,
                              std::shared_ptr<wire::ServerCall> call) const {
  const ServingLoop& target = LoopFor(request);
  ServeOnLoop(origin, *target.loop, *target.service, std::move(request), std::move(call), clock_);
}

const ServingLoop& CallDispatcher::LoopFor(const wire::Request& request) const {
  // The ingress numbers its requests so that the remainder is its traffic thread.
  if (const auto* revoke = std::get_if<wire::RevokePermitRequest>(&request)) {
    return traffic_[revoke->holder.sequence % traffic_.size()];
  }
  const std::string_view name = std::visit(PinningName{}, request);
  if (name.empty()) return control_;
  return traffic_[PinnedThread(name, traffic_.size())];
}

}  // namespace verbenaridge::daemon
