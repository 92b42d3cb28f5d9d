#include "verbenaridge/daemon/fleet_view.h"

#include <map>
#include <utility>

#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::daemon {
namespace {

using membership::Member;

// Of a datagram's 1,200 bytes, beside the members (at most 1,000 when a host starts), the header
// and the tag.
constexpr std::size_t kExtraGossipBytes = 450;
constexpr std::size_t kHeaderBytes = 120;

Member SelfOf(const settings::Settings& settings, Incarnation incarnation) {
  return {.host = settings.host,
          .data_centre = settings.data_centre,
          .ip = settings.inner.ip,
          .port = settings.inner.port,
          .incarnation = incarnation};
}

membership::MembershipTable::Options TableOptions(const settings::Settings& settings,
                                                  Incarnation incarnation) {
  membership::MembershipTable::Options options{.self = SelfOf(settings, incarnation)};
  for (const settings::PeerSettings& peer : settings.peers) {
    options.seeds.push_back({.host = peer.host,
                             .data_centre = peer.data_centre,
                             .ip = peer.inner.ip,
                             .port = peer.inner.port});
  }
  for (const settings::DataCentreSettings& data_centre : settings.data_centres) {
    options.regions[data_centre.id] = data_centre.region;
  }
  return options;
}

wire::MemberEntry ToEntry(const Member& member) {
  return {.host = member.host,
          .data_centre = member.data_centre,
          .ip = member.ip,
          .port = member.port,
          .incarnation = member.incarnation,
          .state = static_cast<wire::MemberState>(member.state)};
}

Member ToMember(const wire::MemberEntry& entry) {
  return {.host = entry.host,
          .data_centre = entry.data_centre,
          .ip = entry.ip,
          .port = entry.port,
          .incarnation = entry.incarnation,
          .state = static_cast<membership::MemberState>(entry.state)};
}
static_assert(static_cast<int>(wire::MemberState::kDead) ==
              static_cast<int>(membership::MemberState::kDead));
static_assert(static_cast<int>(wire::MemberState::kLeaving) ==
              static_cast<int>(membership::MemberState::kLeaving));

wire::Datagram ToWire(const membership::DatagramKind& kind, const HostId& self,
                      wire::Gossip gossip) {
  if (const auto* ping = std::get_if<membership::Ping>(&kind)) {
    return wire::Ping{ping->sequence, self, ping->target, std::move(gossip)};
  }
  if (const auto* request = std::get_if<membership::PingRequest>(&kind)) {
    return wire::PingRequest{request->sequence, self, request->target};
  }
  if (const auto* ack = std::get_if<membership::Ack>(&kind)) {
    return wire::Ack{ack->sequence, self, ack->target, std::move(gossip)};
  }
  return wire::GossipPush{self, std::move(gossip)};
}

struct Received {
  HostId sender;
  membership::DatagramKind kind;
  const wire::Gossip* gossip = nullptr;
};

Received FromWire(const wire::Datagram& datagram) {
  if (const auto* ping = std::get_if<wire::Ping>(&datagram)) {
    return {ping->sender, membership::Ping{ping->sequence, ping->target}, &ping->gossip};
  }
  if (const auto* request = std::get_if<wire::PingRequest>(&datagram)) {
    return {request->sender, membership::PingRequest{request->sequence, request->target}, nullptr};
  }
  if (const auto* ack = std::get_if<wire::Ack>(&datagram)) {
    return {ack->sender, membership::Ack{ack->sequence, ack->target}, &ack->gossip};
  }
  const auto& push = std::get<wire::GossipPush>(datagram);
  return {push.sender, membership::GossipOnly{}, &push.gossip};
}

}  // namespace

FleetView::FleetView(const settings::Settings& settings, const wire::FleetKeys& keys,
                     Incarnation incarnation, asio::io_context& io_context, const Clock& clock,
                     RandomSource& random, Events events)
    : settings_(settings),
      clock_(clock),
      events_(std::move(events)),
      table_(TableOptions(settings, incarnation), random, clock.Now()),
      socket_(
          io_context,
          {.listen = {settings.inner.ip, settings.inner.port}, .self = settings.host, .keys = keys},
          clock, [this](const wire::Datagram& datagram, const wire::PeerAddress&) {
            OnDatagram(datagram);
          }) {}

void FleetView::Tick() { Perform(table_.Tick(clock_.Now())); }

void FleetView::OnHostList(std::span<const store::ListedHost> hosts) {
  std::vector<membership::HostListEntry> entries;
  for (const store::ListedHost& host : hosts) {
    entries.push_back({host.host, host.data_centre, host.ip, host.port, host.leaving});
  }
  Perform(table_.OnHostList(entries, clock_.Now()));
}

void FleetView::Leave() { Perform(table_.SetLeaving(true, clock_.Now())); }

void FleetView::Stop() { Perform(table_.Stop(clock_.Now())); }

void FleetView::Perform(const membership::MembershipOutput& output) {
  for (const membership::Datagram& datagram : output.datagrams) Send(datagram);
  for (const membership::MemberEvent& event : output.events) {
    telemetry::Log(telemetry::Level::kInfo, "member",
                   {{"host", event.member.host.value()},
                    {"state", membership::MemberStateName(event.member.state)},
                    {"incarnation", event.member.incarnation},
                    {"paused_here", event.kind == membership::MemberEventKind::kPaused}});
  }
  if (!output.events.empty()) events_.changed();
}

void FleetView::Send(const membership::Datagram& datagram) {
  wire::Gossip gossip;
  std::size_t used = kHeaderBytes;
  for (const Member& member : datagram.gossip) {
    gossip.members.push_back(ToEntry(member));
    used += membership::EncodedSize(member);
  }
  const std::size_t left =
      socket_.max_message_bytes() > used ? socket_.max_message_bytes() - used : 0;
  const auto to = table_.members().find(datagram.to);
  const bool to_own_data_centre =
      to != table_.members().end() && to->second.data_centre == settings_.data_centre;
  gossip_.Fill(gossip, std::min(left, kExtraGossipBytes), table_.live_count(), to_own_data_centre);
  // A datagram that the system does not take is lost like any other.
  const Status ignored = socket_.Send({datagram.ip, datagram.port},
                                      ToWire(datagram.kind, settings_.host, std::move(gossip)));
  if (ignored.has_error()) {
    telemetry::Log(telemetry::Level::kDebug, "datagram_not_sent",
                   {{"host", datagram.to.value()}, {"error", ignored.error().message()}});
  }
}

void FleetView::OnDatagram(const wire::Datagram& datagram) {
  const Received received = FromWire(datagram);
  std::vector<Member> members;
  if (received.gossip != nullptr) {
    for (const wire::MemberEntry& entry : received.gossip->members) {
      members.push_back(ToMember(entry));
    }
  }
  Perform(table_.OnDatagram(received.sender, received.kind, members, clock_.Now()));
  if (received.gossip == nullptr) return;
  const auto sender = table_.members().find(received.sender);
  if (sender == table_.members().end()) return;
  events_.gossip(received.sender, sender->second.incarnation, *received.gossip);
}

std::vector<HostView> FleetView::LiveHosts() const {
  std::vector<HostView> hosts;
  for (const auto& [id, member] : table_.members()) {
    const bool self = id == settings_.host;
    if (!self && (!table_.Live(id) || member.incarnation == 0)) continue;
    hosts.push_back({.host = id,
                     .data_centre = member.data_centre,
                     .region = {},
                     .address = {member.ip, member.port},
                     .leaving = member.state == membership::MemberState::kLeaving});
  }
  return hosts;
}

std::vector<plans::PlanPeer> FleetView::PlanPeers() const {
  std::vector<plans::PlanPeer> peers;
  for (const HostView& host : LiveHosts()) {
    if (host.host != settings_.host) peers.push_back({host.host, host.data_centre});
  }
  return peers;
}

std::vector<plans::PlanMember> FleetView::PlanMembers() const {
  std::vector<plans::PlanMember> members;
  for (const auto& [id, member] : table_.members()) {
    if (member.data_centre != settings_.data_centre) continue;
    const bool self = id == settings_.host;
    members.push_back({.host = id,
                       .incarnation = member.incarnation,
                       .live_by_probing = self || (table_.Live(id) && member.incarnation != 0),
                       .listed_live = table_.ListedLive(id)});
  }
  return members;
}

std::unordered_map<HostId, Incarnation> FleetView::Incarnations() const {
  std::unordered_map<HostId, Incarnation> incarnations;
  for (const auto& [id, member] : table_.members()) incarnations[id] = member.incarnation;
  return incarnations;
}

}  // namespace verbenaridge::daemon
