#include "verbenaridge/groups/group_reservation.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "verbenaridge/base/random.h"
#include "verbenaridge/permits/endpoint_owner.h"

namespace verbenaridge::groups {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

std::vector<MemberCandidate> Candidates(std::initializer_list<ByteCount> capacities) {
  std::vector<MemberCandidate> options;
  for (const ByteCount capacity : capacities) {
    const std::string name = "e" + std::to_string(options.size());
    options.push_back({EndpointId(name), capacity, capacity, {}, true});
  }
  return options;
}

// Guards against groups with too few members, in the wrong order, or for prompts that fit no group.
TEST_CASE("a group has the fewest members that fit the prompt, in order") {
  struct Row {
    const char* name;
    ByteCount kv;
    std::vector<MemberCandidate> candidates;
    GroupRefusal refusal;
    std::size_t members;
  };
  using enum GroupRefusal;
  std::vector<MemberCandidate> leaving = Candidates({100, 100, 100});
  leaving[1].ready = false;
  std::vector<MemberCandidate> mixed = Candidates({100, 100, 1000});
  mixed[2].queue_delay = seconds(1);
  const Row rows[] = {{"over one engine", 120, Candidates({100, 100, 100, 100}), kNone, 2},
                      {"over twice an engine", 210, Candidates({100, 100, 100, 100}), kNone, 3},
                      {"over all engines", 410, Candidates({100, 100, 100, 100}), kTooLarge, 0},
                      {"no endpoint", 1, {}, kTooLarge, 0},
                      {"one endpoint leaving", 250, leaving, kNotEnoughReady, 0},
                      {"one endpoint leaving, two suffice", 150, leaving, kNone, 2},
                      {"needs the large endpoint", 900, mixed, kNone, 3}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      const GroupPlan plan = PlanGroup(row.kv, row.candidates, {.kv_fill = 1.0});
      CHECK(plan.refusal == row.refusal);
      CHECK(plan.members.size() == row.members);
      ByteCount total = 0;
      for (std::size_t i = 0; i < plan.members.size(); ++i) {
        total += plan.members[i].kv_bytes;
        if (i > 0) CHECK(plan.members[i - 1].endpoint < plan.members[i].endpoint);
      }
      CHECK(total >= (row.refusal == kNone ? row.kv : 0));
    }
  }
}

// Simulates one random schedule. Groups compete at real endpoint owners. Messages are delayed,
// reordered or lost, and coordinators die.
class Schedule {
 public:
  Schedule(std::uint64_t seed, bool faults) : random_(seed), faults_(faults) {
    permits::PolicyOptions options;
    options.preemption = false;
    for (int i = 0; i < kEndpoints; ++i) {
      owners_.push_back(std::make_unique<permits::EndpointOwner>(
          EndpointId(std::string(1, static_cast<char>('a' + i))), HostId("h"), 1, costs_, options,
          now_));
      owners_.back()->OnLoadReport({.incarnation = 1,
                                    .kv_capacity_bytes = 100,
                                    .kv_bytes_per_token = 1,
                                    .prefill_tokens_per_second = 1e6},
                                   now_);
    }
    const std::size_t groups = 2 + random_.Below(4);
    for (std::size_t i = 0; i < groups; ++i) AddGroup(i);
  }

  void Run() {
    for (int step = 0; step < 400; ++step) Step();
  }

  // Whether every live group has ended, and no owner has permits, queued requests or reserved
  // memory.
  bool Clean() const {
    for (const auto& owner : owners_) {
      if (owner->running() + owner->queued() > 0 || owner->reserved_kv_bytes() != 0) return false;
    }
    for (const Group& group : groups_) {
      if (!group.dead && !group.reservation->ended()) return false;
    }
    return true;
  }
  int completed() const { return completed_; }
  int failed() const { return failed_; }
  std::size_t groups() const { return groups_.size(); }

 private:
  static constexpr int kEndpoints = 5;
  struct Group {
    std::unique_ptr<GroupReservation> reservation;
    std::map<EndpointId, permits::PermitId> held_permits;
    TimePoint ready_until = TimePoint::max();
    bool dead = false;
  };
  struct Message {
    TimePoint at;
    std::size_t group;
    std::variant<GroupAction, std::pair<EndpointId, std::optional<permits::PermitId>>> content;
  };

  permits::EndpointOwner& Owner(const EndpointId& id) { return *owners_[id.value()[0] - 'a']; }
  HolderId Holder(std::size_t group) const { return {HostId("h"), 1, group}; }

  void AddGroup(std::size_t index) {
    std::vector<MemberCandidate> candidates = Candidates({100, 100, 100, 100, 100});
    for (int i = 0; i < kEndpoints; ++i) {
      candidates[i].endpoint = EndpointId(std::string(1, static_cast<char>('a' + i)));
      candidates[i].queue_delay = milliseconds(random_.Below(50));
    }
    const auto kv = static_cast<ByteCount>(100 + random_.Below(300));
    const GroupPlan plan = PlanGroup(kv, candidates, {});
    groups_.push_back({std::make_unique<GroupReservation>(plan.members, now_, PolicyOptions{}),
                       {},
                       TimePoint::max(),
                       false});
    Send(index, groups_.back().reservation->Start());
  }

  void Send(std::size_t group, const GroupActions& actions) {
    for (const GroupAction& action : actions) {
      if (std::holds_alternative<GroupReady>(action)) {
        groups_[group].ready_until = now_ + milliseconds(random_.Below(1'000));
        ++completed_;
      } else if (std::holds_alternative<GroupFailed>(action)) {
        ++failed_;
      } else {
        if (const auto* release = std::get_if<ReleaseMember>(&action)) {
          groups_[group].held_permits.erase(release->endpoint);
        }
        Post(group, action);
      }
    }
  }

  void Post(std::size_t group, decltype(Message::content) content) {
    if (faults_ && random_.Below(20) == 0) return;
    messages_.push_back({now_ + milliseconds(random_.Below(100)), group, std::move(content)});
  }

  void PostReplies(const EndpointId& endpoint, const permits::Actions& actions) {
    for (const permits::Action& action : actions) {
      if (const auto* grant = std::get_if<permits::Grant>(&action)) {
        Post(grant->holder.sequence, std::make_pair(endpoint, std::optional(grant->permit)));
      } else if (const auto* refusal = std::get_if<permits::Refusal>(&action)) {
        Post(refusal->holder.sequence,
             std::make_pair(endpoint, std::optional<permits::PermitId>()));
      }
    }
  }

  void Deliver(const Message& message) {
    Group& group = groups_[message.group];
    if (const auto* action = std::get_if<GroupAction>(&message.content)) {
      DeliverToOwner(message.group, *action);
      return;
    }
    if (group.dead) return;
    const auto& [endpoint, permit] =
        std::get<std::pair<EndpointId, std::optional<permits::PermitId>>>(message.content);
    if (permit) {
      group.held_permits[endpoint] = *permit;
      Send(message.group, group.reservation->OnGranted(endpoint, *permit, now_));
    } else {
      Send(message.group, group.reservation->OnRefused(endpoint, now_));
    }
  }

  void DeliverToOwner(std::size_t group, const GroupAction& action) {
    if (const auto* request = std::get_if<RequestMember>(&action)) {
      permits::PermitInput input;
      input.holder = Holder(group);
      input.kv_bytes = request->kv_bytes;
      // A request whose cancellation is lost must not stay queued at an owner forever.
      input.max_wait = PolicyOptions{}.reserve_timeout;
      PostReplies(request->endpoint, Owner(request->endpoint).Request(input, now_));
    } else if (const auto* cancel = std::get_if<CancelMember>(&action)) {
      PostReplies(cancel->endpoint, Owner(cancel->endpoint).Cancel(Holder(group), 1, now_));
    } else if (const auto* release = std::get_if<ReleaseMember>(&action)) {
      PostReplies(release->endpoint,
                  Owner(release->endpoint).Release({.permit = release->permit}, now_));
    }
  }

  void Step() {
    now_ += milliseconds(100);
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& message) {
      if (message.at > now_) return false;
      due.push_back(message);
      return true;
    });
    for (const Message& message : due) Deliver(message);
    for (std::size_t i = 0; i < groups_.size(); ++i) {
      Group& group = groups_[i];
      if (group.dead) continue;
      if (faults_ && random_.Below(2'000) == 0) group.dead = true;
      if (group.ready_until <= now_) Send(i, group.reservation->Finish());
      Send(i, group.reservation->OnTick(now_));
      for (const auto& [endpoint, permit] : group.held_permits) {
        const permits::HeldPermit held{.permit = permit, .holder = Holder(i)};
        Owner(endpoint).Renew({&held, 1}, now_);
      }
    }
    for (const auto& owner : owners_) {
      const EndpointId id(std::string(1, static_cast<char>('a' + (&owner - owners_.data()))));
      PostReplies(id, owner->OnTick(now_));
    }
  }

  SeededRandom random_;
  bool faults_;
  TimePoint now_ = kStart;
  cost::CostModel costs_;
  std::vector<std::unique_ptr<permits::EndpointOwner>> owners_;
  std::vector<Group> groups_;
  std::vector<Message> messages_;
  int completed_ = 0;
  int failed_ = 0;
};

// Guards against deadlock between groups, and against memory that stays reserved after lost or
// reordered messages and dead coordinators.
TEST_CASE("10,000 random schedules end without reservations") {
  struct Row {
    const char* name;
    bool faults;
    std::uint64_t schedules;
  };
  const Row rows[] = {{"messages arrive", false, 5'000}, {"messages are lost", true, 5'000}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      std::uint64_t incomplete = 0;
      for (std::uint64_t seed = 1; seed <= row.schedules; ++seed) {
        Schedule schedule(seed, row.faults);
        schedule.Run();
        CAPTURE(seed);
        REQUIRE(schedule.Clean());
        // Without faults every group has enough time, so one that fails was in a deadlock.
        if (schedule.completed() != static_cast<int>(schedule.groups())) ++incomplete;
      }
      if (!row.faults) CHECK(incomplete == 0);
    }
  }
}

}  // namespace
}  // namespace verbenaridge::groups
