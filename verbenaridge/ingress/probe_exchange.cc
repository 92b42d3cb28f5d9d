#include "verbenaridge/ingress/probe_exchange.h"

#include <optional>
#include <utility>
#include <variant>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::ingress {
namespace {

std::string ToText(std::span<const Digest> keys) {
  return dispatch::ToText({.keys = {keys.begin(), keys.end()}});
}

}  // namespace

ProbeExchange::ProbeExchange(asio::io_context& io_context, const Clock& clock, HostId self,
                             LoadExchange& exchange, dispatch::CrashSuspects& suspects,
                             const ProbeOptions& options)
    : io_context_(io_context),
      clock_(clock),
      self_(std::move(self)),
      exchange_(exchange),
      suspects_(suspects),
      options_(options) {}

void ProbeExchange::SetSchedulers(bool is_scheduler, std::span<const std::string> others) {
  is_scheduler_ = is_scheduler;
  others_.assign(others.begin(), others.end());
}

std::string ProbeExchange::OwnerOf(std::span<const Digest> keys) const {
  std::string text;
  for (const Digest key : keys) text.append(ToHex(key));
  std::string owner;
  std::optional<Digest> lowest;
  if (is_scheduler_) lowest = HashOf({text, exchange_.ip()});
  for (const std::string& ip : others_) {
    const Digest rank = HashOf({text, ip});
    if (lowest && *lowest <= rank) continue;
    lowest = rank;
    owner = ip;
  }
  return owner;
}

void ProbeExchange::Ask(std::span<const Digest> keys, Callback callback) {
  const std::string owner = OwnerOf(keys);
  if (owner.empty()) {
    callback(Decide(keys, self_));
    return;
  }
  if (pending_.size() >= options_.max_pending) {
    callback(false);
    return;
  }
  const std::uint64_t id = next_id_++;
  Pending& pending = pending_[id];
  pending.callback = std::move(callback);
  pending.timer = std::make_unique<asio::steady_timer>(io_context_);
  pending.timer->expires_after(options_.reply_timeout);
  pending.timer->async_wait([this, id, owner](std::error_code code) {
    if (code || !pending_.contains(id)) return;
    telemetry::Log(telemetry::Level::kInfo, "probe_not_answered", {{"peer", owner}});
    Finish(id, false);
  });
  exchange_.Send(owner, wire::ProbeRequest{
                            .sender = self_, .request_id = id, .keys = {keys.begin(), keys.end()}});
}

void ProbeExchange::Finish(std::uint64_t id, bool granted) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;  // too late: the request was refused
  const Callback callback = std::move(found->second.callback);
  pending_.erase(found);
  callback(granted);
}

bool ProbeExchange::Decide(std::span<const Digest> keys, const HostId& host) {
  if (!suspects_.TakeProbe(keys, clock_.Now())) return false;
  telemetry::Log(telemetry::Level::kWarning, "probe_granted",
                 {{"keys", ToText(keys)}, {"host", host.value()}});
  return true;
}

bool ProbeExchange::OnDatagram(const wire::Datagram& datagram, const std::string& ip) {
  if (const auto* request = std::get_if<wire::ProbeRequest>(&datagram)) {
    exchange_.Send(ip, wire::ProbeReply{.sender = self_,
                                        .request_id = request->request_id,
                                        .granted = Decide(request->keys, request->sender)});
  } else if (const auto* reply = std::get_if<wire::ProbeReply>(&datagram)) {
    Finish(reply->request_id, reply->granted);
  } else {
    return false;
  }
  return true;
}

}  // namespace verbenaridge::ingress
