// The daemons of the fleet as the control thread sees them: membership by datagrams, and the gossip
// that travels with it.
#ifndef VERBENARIDGE_DAEMON_FLEET_VIEW_H_
#define VERBENARIDGE_DAEMON_FLEET_VIEW_H_

#include <asio/io_context.hpp>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/daemon/gossip_exchange.h"
#include "verbenaridge/daemon/snapshot.h"
#include "verbenaridge/membership/membership_table.h"
#include "verbenaridge/plans/plan_distributor.h"
#include "verbenaridge/plans/plan_replica.h"
#include "verbenaridge/settings/settings.h"
#include "verbenaridge/store/host_list.h"
#include "verbenaridge/wire/datagram_socket.h"

namespace verbenaridge::daemon {

// Not thread-safe; belongs to the control thread.
class FleetView {
 public:
  struct Events {
    std::function<void()> changed;  // members changed
    std::function<void(const HostId& sender, Incarnation incarnation, const wire::Gossip&)> gossip;
  };

  FleetView(const settings::Settings& settings, const wire::FleetKeys& keys,
            Incarnation incarnation, asio::io_context& io_context, const Clock& clock,
            RandomSource& random, Events events);

  Status Open() { return socket_.Open(); }

  // Run every 100 ms.
  void Tick();
  void OnHostList(std::span<const store::ListedHost> hosts);

  // Announces that this host takes no new work, and that it has ended.
  void Leave();
  void Stop();

  GossipExchange& gossip() { return gossip_; }

  std::vector<HostView> LiveHosts() const;
  std::vector<plans::PlanPeer> PlanPeers() const;
  // Members of this data centre.
  std::vector<plans::PlanMember> PlanMembers() const;
  std::unordered_map<HostId, Incarnation> Incarnations() const;
  const membership::MembershipTable& table() const { return table_; }
  const wire::DatagramCounters& counters() const { return socket_.counters(); }

 private:
  void Perform(const membership::MembershipOutput& output);
  void Send(const membership::Datagram& datagram);
  void OnDatagram(const wire::Datagram& datagram);

  const settings::Settings& settings_;
  const Clock& clock_;
  const Events events_;
  membership::MembershipTable table_;
  GossipExchange gossip_;
  wire::DatagramSocket socket_;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_FLEET_VIEW_H_
