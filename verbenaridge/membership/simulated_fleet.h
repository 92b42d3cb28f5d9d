// A fleet of membership tables with a virtual clock and a faulty network, for tests and benchmarks.
#ifndef VERBENARIDGE_MEMBERSHIP_SIMULATED_FLEET_H_
#define VERBENARIDGE_MEMBERSHIP_SIMULATED_FLEET_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "verbenaridge/membership/membership_table.h"

namespace verbenaridge::membership {

class SimulatedFleet {
 public:
  struct Host {
    Member member;
    std::unique_ptr<MembershipTable> table;  // null while the process does not run
    bool paused = false;
    std::size_t joined = 0;
    std::size_t died = 0;
    std::size_t pauses = 0;
  };

  static constexpr Duration kStep = std::chrono::milliseconds(100);

  // `count` hosts in `data_centres` data centres, each with the same three seeds.
  SimulatedFleet(std::size_t count, std::size_t data_centres, std::uint64_t seed)
      : random_(seed), data_centres_(data_centres) {
    for (std::size_t i = 0; i < count; ++i) {
      Member member;
      member.host = HostId("host-" + std::to_string(i));
      member.data_centre = DataCentreId("dc-" + std::to_string(i % data_centres));
      member.ip = "10.0.0." + std::to_string(i % 250);
      member.port = static_cast<std::uint16_t>(7000 + i);
      hosts_.push_back({.member = member, .table = nullptr});
      reachable_.emplace_back(count, true);
    }
    for (std::size_t i = 0; i < count; ++i) Start(i);
  }

  void Start(std::size_t index) {
    Host& host = hosts_[index];
    MembershipTable::Options options{.self = host.member};
    options.self.incarnation = ++last_incarnation_ * 1000;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, hosts_.size()); ++i) {
      options.seeds.push_back(hosts_[i].member);
    }
    for (std::size_t i = 0; i < data_centres_; ++i) {
      options.regions[DataCentreId("dc-" + std::to_string(i))] = RegionId("r");
    }
    host.table = std::make_unique<MembershipTable>(std::move(options), random_, clock_.Now());
    host.paused = false;
  }

  void Kill(std::size_t index) { hosts_[index].table.reset(); }

  void Stop(std::size_t index) {
    Deliver(index, hosts_[index].table->Stop(clock_.Now()));
    Kill(index);
  }

  void SetLeaving(std::size_t index, bool leaving) {
    Deliver(index, hosts_[index].table->SetLeaving(leaving, clock_.Now()));
  }

  // Sets whether datagrams from one host reach another.
  void SetReachable(std::size_t from, std::size_t to, bool reachable) {
    reachable_[from][to] = reachable;
  }

  void HealNetwork() {
    for (auto& row : reachable_) row.assign(row.size(), true);
    loss_ = 0;
  }

  void SetLoss(double loss) { loss_ = loss; }

  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) Step();
  }

  void Step() {
    clock_.Advance(kStep);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (Running(i)) Deliver(i, hosts_[i].table->Tick(clock_.Now()));
    }
    while (!network_.empty()) {
      auto [from, datagram] = std::move(network_.front());
      network_.pop_front();
      Receive(from, datagram);
    }
  }

  bool Running(std::size_t i) const { return hosts_[i].table != nullptr && !hosts_[i].paused; }
  std::vector<Host>& hosts() { return hosts_; }
  Host& host(std::size_t i) { return hosts_[i]; }
  ManualClock& clock() { return clock_; }
  RandomSource& random() { return random_; }

  // Datagrams and bytes sent so far, and the size of the largest datagram in bytes.
  std::size_t datagrams() const { return datagrams_; }
  std::size_t bytes() const { return bytes_; }
  std::size_t largest_datagram() const { return largest_datagram_; }

 private:
  void Deliver(std::size_t from, MembershipOutput output) {
    for (const MemberEvent& event : output.events) {
      if (event.kind == MemberEventKind::kPaused) ++hosts_[from].pauses;
      if (event.kind == MemberEventKind::kJoined) ++hosts_[from].joined;
      if (event.member.state == MemberState::kDead) ++hosts_[from].died;
    }
    for (Datagram& datagram : output.datagrams) {
      constexpr std::size_t kOverheadBytes = 92;  // IP and UDP 28, HMAC tag 32, ids and types 32
      std::size_t size = kOverheadBytes;
      for (const Member& member : datagram.gossip) size += EncodedSize(member);
      ++datagrams_;
      bytes_ += size;
      largest_datagram_ = std::max(largest_datagram_, size);
      network_.emplace_back(from, std::move(datagram));
    }
  }

  void Receive(std::size_t from, const Datagram& datagram) {
    const auto to = static_cast<std::size_t>(datagram.port - 7000);
    if (!Running(to) || !reachable_[from][to] || random_.Uniform() < loss_) return;
    Deliver(to, hosts_[to].table->OnDatagram(hosts_[from].member.host, datagram.kind,
                                             datagram.gossip, clock_.Now()));
  }

  SeededRandom random_;
  std::size_t data_centres_;
  ManualClock clock_;
  std::vector<Host> hosts_;
  std::vector<std::vector<bool>> reachable_;
  std::deque<std::pair<std::size_t, Datagram>> network_;
  double loss_ = 0;
  Incarnation last_incarnation_ = 0;
  std::size_t datagrams_ = 0;
  std::size_t bytes_ = 0;
  std::size_t largest_datagram_ = 0;
};

}  // namespace verbenaridge::membership

#endif  // VERBENARIDGE_MEMBERSHIP_SIMULATED_FLEET_H_
