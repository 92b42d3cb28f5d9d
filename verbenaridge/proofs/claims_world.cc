// Three daemons, each ingress and claim writer, a store, and a service whose orders may not be
// repeated, around ClaimHolder and ClaimWriter. Messages wait in a bag and are delivered in any
// order, late, twice or never. The oracle counts executions and checks what callers are told.
#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "verbenaridge/claims/claim_holder.h"
#include "verbenaridge/claims/claim_writer.h"
#include "verbenaridge/proofs/steps.h"

namespace verbenaridge::proofs {
namespace {

using namespace claims;  // NOLINT(google-build-using-namespace): the world speaks its terms
using std::chrono::milliseconds;

constexpr int kHosts = 3;
constexpr int kKeys = 2;
constexpr int kNowhere = -1;  // the store and the service are never paused or cut off

// What the store does with a request; without a reply the writer times out.
enum class Store : std::uint8_t { kUp, kSilent, kFailsBefore, kFailsAfter, kBusy };

enum class Service : std::uint8_t { kRuns, kRefuses, kReplyLost, kRequestLost };

struct Host final : HolderDirectory {
  bool MayBeRunning(const HolderId& holder) const override { return holder.sequence % 2 == 0; }

  ManualClock clock;
  Duration wall_offset{};
  Incarnation incarnation = 1;
  bool paused = false;  // neither timers nor messages
  bool cut = false;     // timers, but no messages
  std::unique_ptr<ClaimWriter> book;
};

struct Message {
  int host = kNowhere;  // receiver
  Incarnation incarnation = 0;
  bool may_double = true;
  std::function<void()> deliver;
};

struct Call {  // one ask of one caller
  int key = 0;
  int body = 0;
  int host = 0;
  int writer = 0;
  TimePoint asked{};
  bool after_result = false;
  bool dispatched = false;
  bool refused = false;
  std::unique_ptr<ClaimHolder> holder;  // empty after a crash
};

struct BookCall {  // one call at a writer
  int host = 0;
  Incarnation incarnation = 0;
  TimePoint received{};
  bool answered = false;
  std::function<void(const ClaimReply&)> on_answer;
};

struct Order {
  ClaimKey key;
  WallTime expiry{};
  int executions = 0;
  std::string result;
  int bodies_seen = 0;  // bit set
  bool recorded = false;
  bool dispatched = false;
};

class World {
 public:
  World();
  void Apply(const Step& step);
  void CheckEnd();

 private:
  void Start(int host);
  void Crash(int host);
  void Submit(int key, int body, int host, int writer);
  void LookUp(int key, int writer);
  void Flow(int count);
  void Deliver(std::size_t position, bool keep);
  void Advance(Duration step);
  void CheckAnswers();
  bool FireTimers(TimePoint target);
  void Send(int host, std::function<void()> deliver, bool may_double = true);
  void ToBook(int writer, std::function<WriterActions(ClaimWriter&, CallTag)> call,
              std::function<void(const ClaimReply&)> on_answer);
  void ExecuteBook(int host, const WriterActions& actions);
  void Read(int host, Incarnation incarnation, const ReadBucket& read);
  Result<std::uint64_t> ApplyWrite(const WriteBucket& write);
  void Write(int host, Incarnation incarnation, const WriteBucket& write);
  void ExecuteHolder(std::size_t call, const HolderActions& actions);
  void Dispatch(std::size_t call);
  void Serve(std::size_t call);
  void CheckRefusal(const Call& call, const ClaimReply& answer);
  void CheckRecorded(int key, const ClaimReply& answer);

  SeededRandom random_{7};
  std::array<Host, kHosts> hosts_;
  TimePoint start_;
  TimePoint now_;
  std::deque<Message> messages_;
  std::vector<Call> calls_;
  std::vector<BookCall> book_calls_;
  std::map<BucketIndex, VersionedBucket> store_;
  std::array<Order, kKeys> orders_;
  Store store_mode_ = Store::kUp;
  bool crashed_ = false;
  Service service_ = Service::kRuns;
};

World::World() : start_(hosts_[0].clock.Now()), now_(start_) {
  // Both keys lie in one bucket, so that claims are batched and collide.
  BucketIndex bucket = 0;
  int found = 0;
  for (int i = 0; found < kKeys; ++i) {
    const ClaimKey key{ClientAccountId("account"), ServiceId("orders"), "fill", std::to_string(i)};
    if (found > 0 && BucketOf(key) != bucket) continue;
    bucket = BucketOf(key);
    orders_[found].key = key;
    orders_[found].expiry = hosts_[0].clock.WallNow() + std::chrono::seconds(found == 0 ? 6 : 90);
    ++found;
  }
  for (int host = 0; host < kHosts; ++host) Start(host);
}

void World::Start(int host) {
  Host& h = hosts_[host];
  h.book = std::make_unique<ClaimWriter>(ClaimWriterOptions{}, h.clock, random_, h);
}

void World::Crash(int host) {
  crashed_ = true;
  ++hosts_[host].incarnation;
  Start(host);
  for (Call& call : calls_) {
    if (call.host == host) call.holder.reset();
  }
}

void World::Send(int host, std::function<void()> deliver, bool may_double) {
  messages_.push_back(
      {host, host == kNowhere ? 0 : hosts_[host].incarnation, may_double, std::move(deliver)});
}

void World::ToBook(int writer, std::function<WriterActions(ClaimWriter&, CallTag)> call,
                   std::function<void(const ClaimReply&)> on_answer) {
  const auto deliver = [this, writer, call = std::move(call), on_answer = std::move(on_answer)] {
    const CallTag tag = book_calls_.size();
    book_calls_.push_back({writer, hosts_[writer].incarnation, now_, false, on_answer});
    ExecuteBook(writer, call(*hosts_[writer].book, tag));
  };
  Send(writer, deliver, false);
}

void World::Submit(int key, int body, int host, int writer) {
  Order& order = orders_[key];
  if (hosts_[host].clock.WallNow() > order.expiry) return;
  order.bodies_seen |= 1 << body;
  const HolderId id{HostId(std::to_string(host)), hosts_[host].incarnation, calls_.size()};
  const ClaimRequest request{order.key, static_cast<Digest>(body), id, order.expiry};
  calls_.push_back({key, body, host, writer, now_, order.recorded, false, false, {}});
  calls_.back().holder =
      std::make_unique<ClaimHolder>(ClaimHolderOptions{}, hosts_[host].clock, random_, request);
  ExecuteHolder(calls_.size() - 1, calls_.back().holder->RequestClaim());
}

void World::LookUp(int key, int writer) {
  const bool executed = orders_[key].executions > 0;
  const bool recorded = orders_[key].recorded;
  ToBook(
      writer,
      [this, key](ClaimWriter& book, CallTag tag) { return book.OnLookUp(tag, orders_[key].key); },
      [this, key, executed, recorded](const ClaimReply& answer) {
        const WallTime wall = hosts_[0].clock.WallNow() - hosts_[0].wall_offset;
        const bool not_found = answer.verdict == ClaimVerdict::kNotFound;
        Require(!not_found || !executed || wall > orders_[key].expiry,
                "look-up never denies what ran");
        Require(!recorded || answer.verdict != ClaimVerdict::kInProgress,
                "a repeat after a result gets it");
        if (answer.verdict == ClaimVerdict::kRecorded) CheckRecorded(key, answer);
      });
}

void World::ExecuteBook(int host, const WriterActions& actions) {
  for (const WriterAction& action : actions) {
    if (const auto* send = std::get_if<SendReply>(&action)) {
      BookCall& call = book_calls_[send->tag];
      Require(!call.answered, "a call is answered once");
      call.answered = true;
      call.on_answer(send->reply);
    } else if (const auto* read = std::get_if<ReadBucket>(&action)) {
      Send(
          kNowhere, [this, host, inc = hosts_[host].incarnation, r = *read] { Read(host, inc, r); },
          false);
    } else if (const auto* write = std::get_if<WriteBucket>(&action)) {
      Send(
          kNowhere,
          [this, host, inc = hosts_[host].incarnation, w = *write] { Write(host, inc, w); }, false);
    }
  }
}

void World::Read(int host, Incarnation incarnation, const ReadBucket& read) {
  if (store_mode_ == Store::kSilent || hosts_[host].incarnation != incarnation) return;
  Send(host, [this, host, read, mode = store_mode_, value = store_[read.bucket]] {
    ClaimWriter& book = *hosts_[host].book;
    const Errc error = mode == Store::kBusy ? Errc::kResourceExhausted : Errc::kUnavailable;
    ExecuteBook(host, mode == Store::kUp ? book.OnRead(read.bucket, read.operation, value)
                                         : book.OnRead(read.bucket, read.operation, error));
  });
}

Result<std::uint64_t> World::ApplyWrite(const WriteBucket& write) {
  if (store_mode_ == Store::kBusy) return Errc::kResourceExhausted;
  if (store_mode_ == Store::kFailsBefore) return Errc::kUnavailable;
  VersionedBucket& stored = store_[write.bucket];
  const bool matches = stored.version == write.expected_version;
  if (matches) stored = {stored.version + 1, write.value};
  if (store_mode_ == Store::kFailsAfter) return Errc::kTimeout;
  if (!matches) return Errc::kConflict;
  return stored.version;
}

void World::Write(int host, Incarnation incarnation, const WriteBucket& write) {
  if (store_mode_ == Store::kSilent) return;
  const Result<std::uint64_t> reply = ApplyWrite(write);
  if (hosts_[host].incarnation != incarnation) return;
  Send(host, [this, host, write, reply] {
    ExecuteBook(host, hosts_[host].book->OnWrite(write.bucket, write.operation, reply));
  });
}

void World::ExecuteHolder(std::size_t index, const HolderActions& actions) {
  for (const HolderAction& action : actions) {
    const int host = calls_[index].host;
    const int writer = calls_[index].writer;
    if (const auto* claim = std::get_if<SendClaim>(&action)) {
      const auto on_answer = [this, index, host](const ClaimReply& answer) {
        if (!calls_[index].holder) return;
        Send(host, [this, index, answer] {
          ExecuteHolder(index, calls_[index].holder->OnReply(answer));
        });
      };
      ToBook(
          writer, [r = claim->request](ClaimWriter& b, CallTag tag) { return b.OnClaim(tag, r); },
          on_answer);
    } else if (std::holds_alternative<Granted>(action)) {
      Send(
          host, [this, index] { Dispatch(index); }, false);
    } else if (const auto* refused = std::get_if<Refused>(&action)) {
      calls_[index].refused = true;
      CheckRefusal(calls_[index], refused->reply);
    } else if (const auto* outcome = std::get_if<SendOutcome>(&action)) {
      const auto on_answer = [this, index, host](const ClaimReply& answer) {
        if (!calls_[index].holder) return;
        Send(host, [this, index, answer] {
          ExecuteHolder(index, calls_[index].holder->OnOutcomeReply(answer));
        });
      };
      ToBook(
          writer,
          [r = outcome->request](ClaimWriter& b, CallTag tag) { return b.OnOutcome(tag, r); },
          on_answer);
    } else if (const auto* settled = std::get_if<Finished>(&action)) {
      const Call& call = calls_[index];
      if (settled->recorded && call.dispatched && !orders_[call.key].result.empty()) {
        orders_[call.key].recorded = true;
      }
    }
  }
}

void World::Dispatch(std::size_t index) {
  Call& call = calls_[index];
  HolderActions actions;
  const bool dispatch = call.holder->TryDispatch(actions);
  ExecuteHolder(index, actions);
  if (!dispatch) return;
  Require(!call.refused, "not_run only if it did not run");
  Require(!call.dispatched, "a call is dispatched once");
  Require(now_ - call.asked <= std::chrono::seconds(2), "a paused holder does not dispatch");
  call.dispatched = true;
  orders_[call.key].dispatched = true;
  Send(
      kNowhere, [this, index] { Serve(index); }, false);
}

void World::Serve(std::size_t index) {
  Call& call = calls_[index];
  Order& order = orders_[call.key];
  Outcome outcome = Outcome::kUnknown;
  ClaimResult result;
  if (service_ == Service::kRefuses) outcome = Outcome::kNotRun;
  if (service_ == Service::kRuns || service_ == Service::kReplyLost) {
    Require(++order.executions == 1, "at most once");
    result = {.status = 200, .content_type = "text/plain", .body = std::to_string(call.body)};
  }
  if (service_ == Service::kRuns) {
    outcome = Outcome::kRan;
    order.result = result.body;
  }
  if (!call.holder) return;
  Send(call.host, [this, index, outcome, result] {
    ExecuteHolder(index, calls_[index].holder->OnEnd(outcome, result));
  });
}

void World::CheckRefusal(const Call& call, const ClaimReply& answer) {
  Require(!call.dispatched, "not_run only if it did not run");
  if (answer.verdict == ClaimVerdict::kRecorded) {
    CheckRecorded(call.key, answer);
    Require(answer.result.body == std::to_string(call.body), "another body is refused");
  }
  if (answer.verdict == ClaimVerdict::kKeyReused) {
    Require(orders_[call.key].bodies_seen == 3, "the same body is not refused");
  }
  Require(!call.after_result || answer.verdict != ClaimVerdict::kInProgress,
          "a repeat after a result gets it");
}

void World::CheckRecorded(int key, const ClaimReply& answer) {
  const bool same = answer.result.status == 200 && answer.result.body == orders_[key].result;
  Require(orders_[key].executions == 1 && same, "a repeat after a result gets it");
}

void World::Deliver(std::size_t position, bool keep) {
  if (position >= messages_.size()) return;
  const Message message = messages_[position];
  if (message.host != kNowhere) {
    const Host& host = hosts_[message.host];
    if (host.paused || host.cut) return;
  }
  if (!keep || !message.may_double) {
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(position));
  }
  const bool gone =
      message.host != kNowhere && hosts_[message.host].incarnation != message.incarnation;
  if (!gone) message.deliver();
}

void World::Flow(int count) {
  for (std::size_t position = 0; count > 0 && position < messages_.size(); --count) {
    const std::size_t before = messages_.size();
    const int host = messages_[position].host;
    if (host != kNowhere && (hosts_[host].paused || hosts_[host].cut)) {
      ++position;
    } else {
      Deliver(position, false);
    }
    if (before == 0) break;
  }
}

bool World::FireTimers(TimePoint target) {
  TimePoint next = target;
  for (const Host& host : hosts_) {
    if (!host.paused) next = std::min(next, host.book->next_wake().value_or(target));
  }
  for (const Call& call : calls_) {
    if (call.holder && !hosts_[call.host].paused) {
      next = std::min(next, call.holder->next_wake().value_or(target));
    }
  }
  if (next > now_) {
    for (Host& host : hosts_) host.clock.Advance(next - now_);
    now_ = next;
  }
  bool fired = false;
  for (int i = 0; i < kHosts; ++i) {
    const auto wake = hosts_[i].book->next_wake();
    if (hosts_[i].paused || !wake || *wake > now_) continue;
    fired = true;
    ExecuteBook(i, hosts_[i].book->OnTimer());
  }
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    if (!calls_[i].holder || hosts_[calls_[i].host].paused) continue;
    const auto wake = calls_[i].holder->next_wake();
    if (!wake || *wake > now_) continue;
    fired = true;
    ExecuteHolder(i, calls_[i].holder->OnTimer());
  }
  return fired;
}

void World::Advance(Duration step) {
  const TimePoint target = now_ + step;
  for (int turns = 0; FireTimers(target) || now_ < target; ++turns) {
    CheckAnswers();
    Require(turns < 3000, "timers advance");
  }
  CheckAnswers();
}

void World::CheckAnswers() {
  for (const BookCall& call : book_calls_) {
    const Host& host = hosts_[call.host];
    if (call.answered || host.paused || host.incarnation != call.incarnation) continue;
    Require(now_ - call.received <= milliseconds(900), "every claim is answered in time");
  }
  for (const Call& call : calls_) {
    if (!call.holder || hosts_[call.host].paused) continue;
    Require(call.holder->state() != ClaimHolder::State::kRequested ||
                now_ - call.asked <= std::chrono::seconds(1),
            "every claim is answered in time");
  }
}

void World::Apply(const Step& step) {
  Host& host = hosts_[step.a % kHosts];
  if (step.kind < 10) {
    Flow(1 + step.a);
  } else if (step.kind < 12) {
    if (!messages_.empty()) Deliver(step.a % messages_.size(), step.b % 2 == 0);
  } else if (step.kind == 12) {
    if (messages_.empty()) return;
    messages_.erase(messages_.begin() + step.a % std::ssize(messages_));  // lost
  } else if (step.kind < 18) {
    Submit(step.b % kKeys, step.a == 15 ? 1 : 0, step.a % kHosts,
           step.b < 10 ? 0 : step.b % kHosts);
  } else if (step.kind < 20) {
    LookUp(step.b % kKeys, step.a % kHosts);
  } else if (step.kind < 25) {
    Advance(milliseconds(10 << (step.a % 10)));
  } else if (step.kind == 25) {
    host.paused = step.b < 8;
  } else if (step.kind == 26) {
    host.cut = step.b < 8;
  } else if (step.kind == 27) {
    store_mode_ = static_cast<Store>(step.b < 10 ? step.b / 2 : 0);
  } else if (step.kind == 28) {
    if (step.b < 2) Crash(step.a % kHosts);
  } else if (step.kind == 29) {
    service_ = static_cast<Service>(step.b % 4);
  } else if (step.kind == 30) {
    const Duration offset = milliseconds(2400) * (step.b % 3 - 1);
    host.clock.JumpWall(offset - host.wall_offset);
    host.wall_offset = offset;
  } else if (!calls_.empty()) {
    const std::size_t index = step.a % calls_.size();
    if (!calls_[index].holder || calls_[index].dispatched) return;
    calls_[index].refused = true;  // the caller is told "not_run"
    ExecuteHolder(index, calls_[index].holder->OnCancelled());
  }
}

// After the faults end, what is known must be told, and what never ran must be free again.
void World::CheckEnd() {
  for (Host& host : hosts_) host.paused = host.cut = false;
  store_mode_ = Store::kUp;
  service_ = Service::kRuns;
  const auto settle = [this] {
    for (int i = 0; i < 40; ++i) {
      Flow(1000);
      Advance(milliseconds(250));
    }
  };
  settle();
  const Order& order = orders_[1];
  if (now_ - start_ > std::chrono::seconds(60) || crashed_) return;
  const bool recorded = order.recorded;
  const bool dispatched = order.dispatched;
  const std::size_t index = calls_.size();
  Submit(1, 0, 0, 0);
  settle();
  const Call& last = calls_[index];
  Require(!recorded || !last.dispatched, "at most once");
  Require(dispatched || last.dispatched, "a claim of unknown fate is released");
}

}  // namespace

std::string RunClaims(std::span<const Step> steps) {
  try {
    World world;
    for (const Step& step : steps) world.Apply(step);
    world.CheckEnd();
  } catch (const Violation& violation) {
    return violation.invariant;
  }
  return {};
}

}  // namespace verbenaridge::proofs
