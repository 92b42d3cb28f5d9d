#include "verbenaridge/daemon/fleet_view.h"

namespace verbenaridge::daemon {

FleetView::FleetView(const settings::Settings& settings, Incarnation incarnation)
    : settings_(settings), incarnation_(incarnation) {}

std::vector<HostView> FleetView::LiveHosts() const {
  std::vector<HostView> hosts;
  hosts.push_back({.host = settings_.host,
                   .data_centre = settings_.data_centre,
                   .region = {},
                   .address = {settings_.inner.ip, settings_.inner.port},
                   .leaving = leaving_});
  for (const settings::PeerSettings& peer : settings_.peers) {
    hosts.push_back({.host = peer.host,
                     .data_centre = peer.data_centre,
                     .region = {},
                     .address = {peer.inner.ip, peer.inner.port}});
  }
  return hosts;
}

std::vector<plans::PlanPeer> FleetView::PlanPeers() const {
  std::vector<plans::PlanPeer> peers;
  for (const settings::PeerSettings& peer : settings_.peers) {
    peers.push_back({peer.host, peer.data_centre});
  }
  return peers;
}

std::vector<plans::PlanMember> FleetView::PlanMembers() const {
  std::vector<plans::PlanMember> members;
  members.push_back({settings_.host, incarnation_, true, true});
  return members;
}

std::unordered_map<HostId, Incarnation> FleetView::Incarnations() const {
  return {{settings_.host, incarnation_}};
}

}  // namespace verbenaridge::daemon
