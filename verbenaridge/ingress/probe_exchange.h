// Hands out the probes of refusals, or asks the host that does.
//
//   ProbeExchange probes(io_context, clock, host, exchange, suspects);
//   probes.SetSchedulers(/*is_scheduler=*/false, {"10.1.0.40", "10.1.0.41"});
//   probes.Ask(tested_keys, callback);
//   probes.OnDatagram(datagram, ip);   // true if it was a message about probes
//
// One scheduler hands out all probes of the same keys; these and the addresses of the schedulers
// decide which one, equally on all hosts that know the same schedulers. A host that it does not
// answer in time sends no probe. Used by the thread of its event loop.
#ifndef VERBENARIDGE_INGRESS_PROBE_EXCHANGE_H_
#define VERBENARIDGE_INGRESS_PROBE_EXCHANGE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/dispatch/crash_suspects.h"
#include "verbenaridge/forwarding/probe_permits.h"
#include "verbenaridge/ingress/load_exchange.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::ingress {

struct ProbeOptions {
  // A round trip takes 2 ms, and some milliseconds more if a host has a small processor share.
  Duration reply_timeout = std::chrono::milliseconds(30);
  // Requests that wait for a reply. Beyond them, requests are refused without a question.
  std::size_t max_pending = 64;
};

class ProbeExchange final : public forwarding::ProbePermits {
 public:
  ProbeExchange(asio::io_context& io_context, const Clock& clock, HostId self,
                LoadExchange& exchange, dispatch::CrashSuspects& suspects,
                const ProbeOptions& options = {});

  // `others`: addresses of the other schedulers.
  void SetSchedulers(bool is_scheduler, std::span<const std::string> others);

  // forwarding::ProbePermits
  void Ask(std::span<const Digest> keys, Callback callback) override;

  bool OnDatagram(const wire::Datagram& datagram, const std::string& ip);

 private:
  struct Pending {
    Callback callback;
    std::unique_ptr<asio::steady_timer> timer;
  };

  // Address of the scheduler that hands out the probes; empty: this host.
  std::string OwnerOf(std::span<const Digest> keys) const;
  // Decides for a request of `host`.
  bool Decide(std::span<const Digest> keys, const HostId& host);
  void Finish(std::uint64_t id, bool granted);

  asio::io_context& io_context_;
  const Clock& clock_;
  const HostId self_;
  LoadExchange& exchange_;
  dispatch::CrashSuspects& suspects_;
  const ProbeOptions options_;
  bool is_scheduler_ = true;
  std::vector<std::string> others_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::uint64_t next_id_ = 1;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_PROBE_EXCHANGE_H_
