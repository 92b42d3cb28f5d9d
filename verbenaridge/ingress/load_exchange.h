// Tells the other hosts what this one sends to endpoints, and hears the same from them.
//
//   LoadExchange exchange(io_context, clock, options, receiver);
//   exchange.Open();
//   exchange.SetPeers(addresses);
//
// Updates are gathered for a moment and go to each live peer in one datagram. They are hints: a
// lost one costs a poorer choice of endpoint, nothing else. Used by the thread of its event loop.
#ifndef VERBENARIDGE_INGRESS_LOAD_EXCHANGE_H_
#define VERBENARIDGE_INGRESS_LOAD_EXCHANGE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
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
  // Time in which updates are gathered. A first event is due 70 ms after its request at the
  // earliest, so a view that is this much older misleads few choices.
  Duration gather = std::chrono::milliseconds(2);
};

class LoadExchange final : public forwarding::LoadAnnouncements {
 public:
  LoadExchange(asio::io_context& io_context, const Clock& clock, const LoadExchangeOptions& options,
               LoadReceiver& receiver);

  Status Open() { return socket_.Open(); }
  // Those that keep the load board.
  void SetPeers(std::vector<std::string> addresses) { peers_ = std::move(addresses); }

  void Send(const std::string& ip, const wire::Datagram& datagram);

  // forwarding::LoadAnnouncements
  void OnBegin(const dispatch::EndpointTask& work) override;
  void OnFirstEvent(dispatch::TaskId work) override;
  void OnEnd(dispatch::TaskId work) override;
  void OnUnreachable(Digest endpoint) override;
  void OnCrash(Digest request, Digest endpoint) override;

 private:
  void Arm();
  void Flush();
  void SendUpdate();

  const LoadExchangeOptions options_;
  wire::DatagramSocket socket_;
  asio::steady_timer timer_;
  bool armed_ = false;
  wire::LoadUpdate update_;
  std::vector<std::string> peers_;
};

}  // namespace verbenaridge::ingress

#endif  // VERBENARIDGE_INGRESS_LOAD_EXCHANGE_H_
