#include "verbenaridge/permits/endpoint_owner.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "verbenaridge/base/random.h"

namespace verbenaridge::permits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr ByteCount kCapacity = 1'000'000;

HolderId Holder(std::uint64_t sequence) {
  return {.host = HostId("h1"), .incarnation = 1, .sequence = sequence};
}

// An endpoint that prefills 10,000 tokens/s and takes 10 bytes of KV memory per token.
struct Fixture {
  explicit Fixture(PolicyOptions options = {}, Incarnation incarnation = 1)
      : owner(EndpointId("e1"), HostId("h1"), incarnation, costs, options, kStart) {
    Report(kStart);
  }

  Actions Report(TimePoint now, bool leaving = false) {
    return owner.OnLoadReport({.incarnation = 1,
                               .kv_capacity_bytes = kCapacity,
                               .kv_used_bytes = 0,
                               .kv_bytes_per_token = 10,
                               .prefill_tokens_per_second = 10'000,
                               .decode_step = milliseconds(20),
                               .leaving = leaving},
                              now);
  }

  cost::CostModel costs;
  EndpointOwner owner;
};

PermitInput Input(std::uint64_t sequence, TokenCount tokens = 100,
                  Priority priority = Priority::kStandard) {
  PermitInput input;
  input.holder = Holder(sequence);
  input.account = ClientAccountId("a");
  input.priority = priority;
  input.prompt_tokens = tokens;
  input.preemptible = true;
  return input;
}

template <class T>
std::vector<T> ActionsOf(const Actions& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* one = std::get_if<T>(&action)) found.push_back(*one);
  }
  return found;
}

// Guards against memory that is reserved twice, against refusals without a reason, and against
// short prompts that wait for an entire long prefill.
TEST_CASE("a second request is granted, queued or refused beside the first") {
  struct Row {
    const char* name;
    PermitInput first, second;
    std::size_t grants;
    PermitReason refusal;
    std::size_t revocations;
  };
  const auto with = [](PermitInput input, auto change) {
    change(input);
    return input;
  };
  const PermitInput isolated = with(Input(2), [](auto& i) { i.isolate = true; });
  const PermitInput group = with(Input(2), [](auto& i) { i.kv_bytes = 500'000; });
  const PermitInput short_wait =
      with(Input(2, 100), [](auto& i) { i.max_wait = milliseconds(100); });
  const PermitInput spilled = with(Input(2, 100), [](auto& i) { i.spilled = true; });
  const PermitInput redirectable =
      with(Input(2, 100), [](auto& i) { i.redirect_above = milliseconds(50); });
  const PermitInput not_preemptible =
      with(Input(1, 90'000, Priority::kBackground), [](auto& i) { i.preemptible = false; });
  const Priority urgent = Priority::kUrgent, background = Priority::kBackground;
  using enum PermitReason;
  const Row rows[] = {
      {"both fit", Input(1), Input(2), 2, kNone, 0},
      {"memory taken", Input(1, 90'000), Input(2, 10'000), 1, kNone, 0},
      {"too large for the endpoint", Input(1), Input(2, 96'000), 1, kTooLarge, 0},
      {"group member takes stated memory", Input(1, 50'000), group, 1, kNone, 0},
      {"short beside a long prefill", Input(1, 50'000, urgent), Input(2, 1'000, urgent), 2, kNone,
       0},
      {"only one long prefill", Input(1, 20'000), Input(2, 20'000), 1, kNone, 0},
      {"prefill window full", Input(1, 4'000), Input(2, 1'000), 1, kNone, 0},
      {"higher priority has its own window", Input(1, 4'000), Input(2, 1'000, urgent), 2, kNone, 0},
      {"cannot start in time", Input(1, 4'000), short_wait, 1, kDeadline, 0},
      {"another endpoint is faster", Input(1, 4'000), redirectable, 1, kBusy, 0},
      {"no spill into a queue", Input(1, 4'000), spilled, 1, kBusy, 0},
      {"urgent preempts background", Input(1, 90'000, background), Input(2, 10'000, urgent), 1,
       kNone, 1},
      {"no preemption of what cannot resume", not_preemptible, Input(2, 10'000, urgent), 1, kNone,
       0},
      {"no preemption among equals", Input(1, 90'000, urgent), Input(2, 10'000, urgent), 1, kNone,
       0},
      {"suspect waits for an empty endpoint", Input(1), isolated, 1, kNone, 0},
      {"nothing beside a suspect", with(isolated, [](auto& i) { i.holder = Holder(1); }), Input(2),
       1, kNone, 0},
  };
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      Fixture fixture;
      Actions actions = fixture.owner.Request(row.first, kStart);
      for (const Action& action : fixture.owner.Request(row.second, kStart)) {
        actions.push_back(action);
      }
      const Actions later = fixture.owner.OnTick(kStart + milliseconds(60));
      actions.insert(actions.end(), later.begin(), later.end());
      CHECK(ActionsOf<Grant>(actions).size() == row.grants);
      const auto refusals = ActionsOf<Refusal>(actions);
      CHECK((refusals.empty() ? kNone : refusals[0].reason) == row.refusal);
      CHECK(ActionsOf<Revocation>(actions).size() == row.revocations);
      CHECK(fixture.owner.reserved_kv_bytes() <= kCapacity * 95 / 100);
    }
  }
}

// Guards against permits that outlive a holder which sends no renewal, and against losing the
// permits of live holders.
TEST_CASE("only renewed permits survive expiry and an owner change") {
  struct Row {
    const char* name;
    bool renew, new_owner, released_before;
    std::size_t running;  // 7 s after the grant
    std::size_t revoked;
  };
  const Row rows[] = {{"renewed", true, false, false, 1, 0},
                      {"not renewed", false, false, false, 0, 0},
                      {"presented to a new owner", true, true, false, 1, 0},
                      {"delayed renewal after release", true, false, true, 0, 1}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      Fixture first, second({}, 2);
      const Actions actions = first.owner.Request(Input(1), kStart);
      const PermitId id = ActionsOf<Grant>(actions).at(0).permit;
      const HeldPermit held{.permit = id, .holder = Holder(1), .kv_bytes = 1'000};
      EndpointOwner& owner = row.new_owner ? second.owner : first.owner;
      if (row.released_before) owner.Release({.permit = id}, kStart + seconds(1));
      std::size_t revoked = 0;
      for (int half_second = 2; half_second <= 14; ++half_second) {
        const TimePoint now = kStart + milliseconds(500) * half_second;
        owner.OnTick(now);
        if (row.renew && half_second == 4) revoked = owner.Renew({&held, 1}, now).size();
      }
      CHECK(owner.running() == row.running);
      CHECK(owner.reserved_kv_bytes() == 1'000 * static_cast<ByteCount>(row.running));
      CHECK(revoked == row.revoked);
    }
  }
}

// Guards against streams that hold engine memory without a permit for longer than 20 s, and against
// cancelling streams whose holder is alive.
TEST_CASE("streams without a permit are cancelled within 20 s") {
  struct Row {
    const char* name;
    bool renewed;
    bool known;  // the permit was granted by this owner
    bool cancelled;
  };
  const Row rows[] = {{"holder renews", true, true, false},
                      {"holder died", false, true, true},
                      {"new owner, holder presents", true, false, false},
                      {"new owner, holder died", false, false, true}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      Fixture fixture;
      PermitId id = 77;
      if (row.known) id = ActionsOf<Grant>(fixture.owner.Request(Input(1), kStart)).at(0).permit;
      const HeldPermit held{.permit = id, .holder = Holder(1), .kv_bytes = 1'000};
      const ListedStream stream{
          .request_id = RequestId("r"), .attempt = 1, .permit = id, .kv_bytes = 1'000};
      Duration cancelled_at{};
      for (Duration age{}; age <= seconds(30); age += milliseconds(500)) {
        const TimePoint now = kStart + age;
        Actions actions = fixture.owner.OnTick(now);
        if (row.renewed && age % seconds(2) == milliseconds(1'500)) {
          fixture.owner.Renew({&held, 1}, now);
        }
        if (age % seconds(5) == Duration::zero()) {
          actions = fixture.owner.OnStreamList({&stream, 1}, now);
        }
        const bool cancels = !ActionsOf<StreamCancel>(actions).empty();
        if (cancels && cancelled_at == Duration::zero()) cancelled_at = age;
      }
      CHECK((cancelled_at > Duration::zero()) == row.cancelled);
      CHECK(cancelled_at <= seconds(20));
    }
  }
}

// Guards against requests that are granted by a paused owner or at an endpoint that is leaving.
TEST_CASE("a leaving endpoint and a paused owner refuse requests") {
  struct Row {
    const char* name;
    void (*event)(Fixture&, TimePoint);
    PermitReason reason;
    std::size_t running;  // of one stream from before
  };
  const Row rows[] = {
      {"drained by an operator", [](Fixture& f, TimePoint now) { f.owner.SetLeaving(true, now); },
       PermitReason::kLeaving, 1},
      {"endpoint reports leaving", [](Fixture& f, TimePoint now) { f.Report(now, true); },
       PermitReason::kLeaving, 1},
      {"endpoint died and restarted",
       [](Fixture& f, TimePoint now) { f.owner.OnEndpointDeath(now); }, PermitReason::kNone, 0},
      {"paused", [](Fixture&, TimePoint) {}, PermitReason::kNotOwner, 1},
      {"paused and restarted",
       [](Fixture& f, TimePoint now) {
         f.owner.Restart(2, now);
         f.Report(now);
       },
       PermitReason::kNone, 0}};
  for (const Row& row : rows) {
    SUBCASE(row.name) {
      Fixture fixture;
      fixture.owner.Request(Input(1), kStart);
      const bool pause = std::string(row.name).starts_with("paused");
      const TimePoint now = kStart + (pause ? seconds(3) : seconds(1));
      row.event(fixture, now);
      CHECK(fixture.owner.running() == row.running);
      const Actions actions = fixture.owner.Request(Input(2), now);
      const auto refusals = ActionsOf<Refusal>(actions);
      CHECK((refusals.empty() ? PermitReason::kNone : refusals[0].reason) == row.reason);
      CHECK(ActionsOf<Grant>(actions).size() == (refusals.empty() ? 1 : 0));
    }
  }
}

// Guards against granting or queueing the same attempt twice when a holder repeats its request
// after a lost reply.
TEST_CASE("a repeated request is granted or queued once") {
  Fixture fixture;
  const auto first = ActionsOf<Grant>(fixture.owner.Request(Input(1), kStart));
  const auto again = ActionsOf<Grant>(fixture.owner.Request(Input(1), kStart));
  CHECK(first.at(0).permit == again.at(0).permit);
  CHECK(fixture.owner.running() == 1);
  fixture.owner.Request(Input(2, 94'950), kStart);
  fixture.owner.Request(Input(2, 94'950), kStart);
  CHECK(fixture.owner.queued() == 1);
  fixture.owner.Cancel(Holder(2), 1, kStart);
  CHECK(fixture.owner.queued() == 0);
}

// Guards against starvation of a large request by a steady flow of small ones.
TEST_CASE("a large request is overtaken for a bounded time") {
  Fixture fixture;
  std::vector<PermitId> running;
  bool large_granted = false;
  std::uint64_t sequence = 100;
  for (int step = 0; step < 200 && !large_granted; ++step) {
    const TimePoint now = kStart + milliseconds(100) * step;
    Actions actions;
    if (step == 1) actions = fixture.owner.Request(Input(1, 90'000), now);
    for (const Action& action : fixture.owner.Request(Input(++sequence, 500), now)) {
      actions.push_back(action);
    }
    if (running.size() > 20) {
      for (const Action& action : fixture.owner.Release({.permit = running.front()}, now)) {
        actions.push_back(action);
      }
      running.erase(running.begin());
    } else if (step > 30 && !running.empty()) {
      const Actions more = fixture.owner.Release({.permit = running.front()}, now);
      actions.insert(actions.end(), more.begin(), more.end());
      running.erase(running.begin());
    }
    std::vector<HeldPermit> held;
    for (const PermitId id : running) held.push_back({.permit = id, .holder = Holder(id)});
    fixture.owner.Renew(held, now);
    for (const Grant& grant : ActionsOf<Grant>(actions)) {
      large_granted = large_granted || grant.holder == Holder(1);
      running.push_back(grant.permit);
    }
  }
  CHECK(large_granted);
}

}  // namespace
}  // namespace verbenaridge::permits
