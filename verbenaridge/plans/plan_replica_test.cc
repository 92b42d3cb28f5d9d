#include "verbenaridge/plans/plan_replica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

#include "verbenaridge/plans/plan_distributor.h"

namespace verbenaridge::plans {
namespace {

using std::chrono::milliseconds;

PlanDocumentPtr Version(PlanVersion version) {
  PlanDocument document;
  while (document.version() < version) document = MakeSuccessor(document, document, {});
  return std::make_shared<const PlanDocument>(std::move(document));
}

const std::vector<PlanPeer> kPeers = {{HostId("f2"), DataCentreId("furano")},
                                      {HostId("f3"), DataCentreId("furano")},
                                      {HostId("b1"), DataCentreId("biei")}};

struct ReplicaUnderTest {
  SeededRandom random{1};
  PlanReplica replica{{.host = HostId("f1"), .data_centre = DataCentreId("furano")}, random};
  ManualClock clock;
  SessionNumber session = 0;

  void Tick(milliseconds step) {
    clock.Advance(step);
    for (const ReplicaAction& action : replica.Tick(clock.Now(), kPeers)) {
      if (const auto* read = std::get_if<ReadStore>(&action)) session = read->session;
    }
  }
  // Runs from a start or a pause until replies permit the replica to serve.
  void Join() {
    Tick(milliseconds(0));
    Tick(milliseconds(1000));
    Tick(milliseconds(1000));
  }
  void Store(PlanVersion version) { replica.OnStoreReply(session, Version(version), clock.Now()); }
  void Peer(const char* host, const char* data_centre, bool serving, PlanVersion version,
            PlanVersion confirmed) {
    replica.OnPeerReply(session,
                        {HostId(host), DataCentreId(data_centre), serving, version, confirmed,
                         version > replica.version() ? Version(version) : nullptr},
                        clock.Now());
  }
  void WaitForRound() {
    for (int i = 0; i < 4; ++i) Tick(milliseconds(300));
  }
};

// Guards against a daemon that, after a start or a pause, serves a plan older than the one
// confirmed in its data centre, and against a version that decreases.
TEST_CASE("a replica serves only a version known not to be older than the confirmed one") {
  struct Row {
    std::string name;
    std::function<void(ReplicaUnderTest&)> steps;
    bool serving;
    PlanVersion version;
  };
  const Row rows[] = {
      {"store replies while joining",
       [](auto& r) {
         r.Tick(milliseconds(0));
         r.Store(4);
       },
       false, 4},
      {"no reply", [](auto& r) { r.Join(); }, false, 0},
      {"store replies",
       [](auto& r) {
         r.Join();
         r.Store(4);
       },
       true, 4},
      {"store has no plan",
       [](auto& r) {
         r.Join();
         r.replica.OnStoreReply(r.session, nullptr, r.clock.Now());
       },
       true, 0},
      {"serving peer in this data centre",
       [](auto& r) {
         r.Join();
         r.Peer("f2", "furano", true, 3, 3);
       },
       true, 3},
      {"starting peer in this data centre",
       [](auto& r) {
         r.Join();
         r.Peer("f2", "furano", false, 3, 3);
       },
       false, 3},
      {"peer older than confirmed",
       [](auto& r) {
         r.Join();
         r.Peer("f2", "furano", true, 3, 4);
       },
       false, 3},
      {"other data centre in the first round",
       [](auto& r) {
         r.Join();
         r.Peer("b1", "biei", true, 3, 3);
       },
       false, 3},
      {"other data centre after no peer in this one serves",
       [](auto& r) {
         r.Join();
         r.WaitForRound();
         r.Peer("f2", "furano", false, 0, 0);
         r.Peer("f3", "furano", false, 0, 0);
         r.Peer("b1", "biei", true, 3, 3);
       },
       true, 3},
      {"other data centre older than confirmed in this one",
       [](auto& r) {
         r.Join();
         r.WaitForRound();
         r.Peer("f2", "furano", false, 0, 4);
         r.Peer("f3", "furano", false, 0, 0);
         r.Peer("b1", "biei", true, 3, 3);
         r.WaitForRound();
       },
       false, 3},
      {"older document is ignored",
       [](auto& r) {
         r.Join();
         r.Store(4);
         r.replica.OnDocument(Version(3), r.clock.Now());
       },
       true, 4},
      {"push while serving",
       [](auto& r) {
         r.Join();
         r.Store(4);
         std::vector<ReplicaAction> actions;
         CHECK(r.replica.OnDelta(ComputeDelta(*Version(4), *Version(5)), r.clock.Now(), actions)
                   .has_value());
       },
       true, 5},
      {"pause",
       [](auto& r) {
         r.Join();
         r.Store(4);
         r.Tick(milliseconds(2001));
       },
       false, 4},
      {"pause before the tick",
       [](auto& r) {
         r.Join();
         r.Store(4);
         r.clock.Advance(milliseconds(2001));
       },
       false, 4},
      {"reply from before the pause",
       [](auto& r) {
         r.Join();
         r.Store(4);
         r.clock.Advance(milliseconds(2001));
         r.Store(4);
       },
       false, 4},
      {"store replies after the pause",
       [](auto& r) {
         r.Join();
         r.Store(4);
         r.Tick(milliseconds(2001));
         r.Join();
         r.Store(6);
       },
       true, 6},
      {"confirmed without this daemon",
       [](auto& r) {
         r.Join();
         r.Store(4);
         r.replica.OnConfirmed(DataCentreId("furano"), 5, r.clock.Now());
       },
       false, 4},
      {"confirmed in another data centre",
       [](auto& r) {
         r.Join();
         r.Store(4);
         r.replica.OnConfirmed(DataCentreId("biei"), 5, r.clock.Now());
       },
       true, 4},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ReplicaUnderTest test;
    row.steps(test);
    CHECK(test.replica.Serving(test.clock.Now()) == row.serving);
    CHECK(test.replica.version() == row.version);
  }
}

// Guards against the confirmation of a version that a member which may be serving does not have.
TEST_CASE("a version is confirmed only when every possibly live member has it") {
  struct Row {
    std::string name;
    PlanMember member;  // in addition to a live member with version 7
    PlanVersion confirmed;
  };
  const Row rows[] = {
      {"has an older version", {HostId("f2"), 1, true, true}, 6},
      {"dead by probing, listed live", {HostId("f2"), 1, false, true}, 6},
      {"live by probing, not listed", {HostId("f2"), 1, true, false}, 6},
      {"dead and not listed", {HostId("f2"), 1, false, false}, 7},
      {"restarted", {HostId("f2"), 2, true, true}, 0},
      {"no version known", {HostId("f3"), 1, false, true}, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ConfirmationTracker tracker;
    tracker.OnVersion(HostId("f1"), 1, 7);
    tracker.OnVersion(HostId("f2"), 1, 6);
    const std::vector<PlanMember> members = {{HostId("f1"), 1, true, true}, row.member};
    CHECK(tracker.Confirmed(members) == row.confirmed);
    CHECK(tracker.Missing(members, 7).size() == (row.confirmed == 7 ? 0 : 1));
  }
}

struct ActionCounts {
  std::size_t deltas = 0;
  std::size_t documents = 0;
  PlanVersion confirmed = 0;
};

ActionCounts CountActions(const std::vector<DistributorAction>& actions) {
  ActionCounts counts;
  for (const DistributorAction& action : actions) {
    if (const auto* push = std::get_if<PushPlan>(&action)) {
      ++(push->delta != nullptr ? counts.deltas : counts.documents);
    } else if (const auto* write = std::get_if<WriteConfirmed>(&action)) {
      counts.confirmed = write->version;
    }
  }
  return counts;
}

// Guards against a change that no watcher pushes, that both watchers push at once, or that is
// confirmed before every member has it.
TEST_CASE("two watchers push a change to each member and confirm it afterwards") {
  std::vector<PlanMember> members;
  for (int i = 0; i < 5; ++i) members.push_back({HostId("f" + std::to_string(i)), 1, true, true});
  std::size_t watchers = 0;
  std::size_t first_pushers = 0;
  for (const PlanMember& self : members) {
    ManualClock clock;
    PlanDistributor distributor({.host = self.host, .data_centre = DataCentreId("furano")});
    const ActionCounts first = CountActions(distributor.Tick(clock.Now(), members, Version(1)));
    CHECK(first.confirmed == 0);
    if (!distributor.watching()) {
      CHECK(first.documents == 0);
      continue;
    }
    ++watchers;
    if (first.documents == 4) ++first_pushers;
    clock.Advance(milliseconds(701));
    CHECK(CountActions(distributor.Tick(clock.Now(), members, Version(1))).documents +
              first.documents ==
          4);
    for (const PlanMember& member : members) distributor.OnVersion(member.host, 1, 1);
    CHECK(CountActions(distributor.Tick(clock.Now(), members, Version(1))).confirmed == 1);
    distributor.OnConfirmedWritten(1);
    distributor.Tick(clock.Now(), members, Version(2));
    clock.Advance(milliseconds(900));
    const ActionCounts again = CountActions(distributor.Tick(clock.Now(), members, Version(2)));
    CHECK(again.deltas == 4);
    CHECK(again.confirmed == 0);
    distributor.OnPushConflict(members[self.host == members[0].host ? 1 : 0].host);
    CHECK(CountActions(distributor.Tick(clock.Now(), members, Version(2))).documents == 1);
  }
  CHECK(watchers == 2);
  CHECK(first_pushers == 1);
}

}  // namespace
}  // namespace verbenaridge::plans
