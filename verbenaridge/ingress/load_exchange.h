// Sends load updates about the tasks of this host to schedulers, and receives their datagrams.
//
//   LoadExchange exchange(io_context, clock, options, receiver);
//   exchange.Open();
//   exchange.SetSchedulers(addresses);
//
// Updates are batched for a short time and sent to each scheduler in one datagram. They are hints:
// a lost update only makes the choice of an endpoint worse. Used by the thread of its event loop.
#ifndef VERBENARIDGE_INGRESS_LOAD_EXCHANGE_H_
#define VERBENARIDGE_INGRESS_LOAD_EXCHANGE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/ids.h"
#include "verbenaridge/base/result.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/wire/datagram_socket.h"
#include "verbenaridge/wire/handshake.h"

namespace verbenaridge::ingress {

class LoadReceiver {
 public:
  virtual ~LoadReceiver() = default;

  virtual void OnDatagram(const wire::Datagram& datagram, const std::string& ip) = 0;
};

struct LoadExchangeOptions {
  HostId self;
  std::string ip;
  std::uint16_t port = 0;  // the same on all hosts
  wire::FleetKeys keys;
  // Time during which updates are batched. The first event of a request is due after 70 ms at the
  // earliest, so load information that is older by this much changes few choices.
  Duration batch_time = std::chrono::milliseconds(2);
};

class LoadExchange final : public forwarding::LoadAnnouncements {
 public:
  LoadExchange(asio::io_context& io_context, const Clock& clock, const LoadExchangeOptions& options,
               LoadReceiver& receiver);

  Status Open() { return socket_.Open(); }
  // Of this host, by which the others know it as a scheduler.
  const std::string& ip() const { return options_.ip; }
  // Sets the addresses of the schedulers.
  void SetSchedulers(std::vector<std::string> addresses) { schedulers_ = std::move(addresses); }

  void Send(const std::string& ip, const wire::Datagram& datagram);

  // forwarding::LoadAnnouncements
  void OnBegin(const dispatch::EndpointTask& task) override;
  void OnFirstEvent(dispatch::TaskId task) override;
  void OnEnd(dispatch::TaskId task) override;
  void OnUnreachable(Digest endpoint) override;
  void OnLimit(Digest endpoint, std::optional<dispatch::RequestsPerSecond> limit) override;
  void OnCrash(const dispatch::EndpointCrash& crash) override;
  void OnSoundKey(Digest key, const dispatch::SoundRecord& record) override;

 private:
  void Arm();
  void Flush();
  void SendUpdate();

  const Clock& clock_;
  const LoadExchangeOptions options_;
  wire::DatagramSocket socket_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  wire::LoadUpdate update_;
  std::vector<std::string> schedulers_;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_LOAD_EXCHANGE_H_
