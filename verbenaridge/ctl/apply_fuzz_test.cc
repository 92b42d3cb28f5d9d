// Guards against an operator who is told the wrong fate of a change, and against a change that
// another operator's write loses. Long runs:
//   RC_PARAMS="max_success=20000" build/bin/apply_fuzz_test
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "verbenaridge/ctl/plan_commands.h"
#include "verbenaridge/mutation/mutation.h"
#include "verbenaridge/plan_codec/plan_codec.h"
#include "verbenaridge/plans/plan_distributor.h"

namespace verbenaridge::ctl {
namespace {

enum class Fate { kAnswered, kLostReply, kLostRequest, kLate, kUnavailable, kLimited };

// A store whose calls meet the fates of a script, and where another operator may write before each
// call.
class FaultyStore final : public BlockingStore {
 public:
  FaultyStore(std::vector<int> script, ManualClock& clock)
      : script_(std::move(script)), clock_(clock) {}

  Result<store::StoredValue> Read(std::string_view key) override {
    BeforeCall();
    if (key != plans::kCurrentPlanKey) return store::StoredValue{};
    const Fate fate = Next();
    if (fate != Fate::kAnswered && fate != Fate::kLostReply) return Errc::kTimeout;
    return store::StoredValue{version_, value_};
  }

  Result<store::KeyVersion> CompareAndSwap(std::string_view, store::KeyVersion expected,
                                           std::string_view value) override {
    BeforeCall();
    const Fate fate = Next();
    if (fate == Fate::kLimited) return Errc::kResourceExhausted;
    if (fate == Fate::kUnavailable || fate == Fate::kLostRequest) return Errc::kUnavailable;
    if (fate == Fate::kLate) {
      late_ = [this, expected, text = std::string(value)] { Write(expected, text); };
      return Errc::kTimeout;
    }
    const bool written = Write(expected, std::string(value));
    if (fate == Fate::kLostReply) return Errc::kTimeout;
    if (!written) return Errc::kConflict;
    return version_;
  }

  void Wait(Duration time) override { clock_.Advance(time); }

  // A write that waited in the network takes effect at last.
  void DeliverLate() {
    if (late_) std::exchange(late_, nullptr)();
  }

  plans::PlanDocument document() const {
    auto decoded = plan_codec::DecodeDocument(value_);
    return decoded.value ? *decoded.value : plans::PlanDocument{};
  }

  const std::vector<std::string>& others() const { return others_; }

 private:
  int Take() { return next_ < script_.size() ? script_[next_++] : 0; }

  Fate Next() {
    const int number = Take();
    return number < 6 ? Fate::kAnswered : static_cast<Fate>(number - 6);
  }

  void BeforeCall() {
    const int number = Take();
    if (number == 10) DeliverLate();
    if (number != 11) return;
    const std::string id = "other-" + std::to_string(others_.size());
    const auto next = plans::MakeSuccessor(document(), document(), {0, id, "other", 0});
    Write(version_, plan_codec::EncodeDocument(next));
    others_.push_back(id);
  }

  bool Write(store::KeyVersion expected, const std::string& text) {
    if (expected != version_) return false;
    ++version_;
    value_ = text;
    return true;
  }

  const std::vector<int> script_;
  ManualClock& clock_;
  std::size_t next_ = 0;
  store::KeyVersion version_ = 0;
  std::string value_;
  std::function<void()> late_;
  std::vector<std::string> others_;
};

bool Holds(const plans::PlanDocument& document, const std::string& edit_id) {
  return document.edit.edit_id == edit_id ||
         std::any_of(document.history.begin(), document.history.end(),
                     [&](const plans::Edit& edit) { return edit.edit_id == edit_id; });
}

bool FatesAreTold() {
  return rc::check("the fate of every change is told", [] {
    ManualClock clock;
    FaultyStore store(*rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12)), clock);
    std::ostringstream out;
    PlanCommands commands(store, {out, out, true}, clock);
    std::map<std::string, ExitCode> told;
    for (int i = 0; i < 4; ++i) {
      const std::string id = "edit-" + std::to_string(i);
      told[id] = commands.Apply(R"({"client_accounts": [], "plans": []})",
                                {.author = "kaori",
                                 .edit_id = id,
                                 .data_centres = {DataCentreId("biei")},
                                 .wait = Duration::zero()});
    }
    store.DeliverLate();
    const plans::PlanDocument document = store.document();
    for (const auto& [id, code] : told) {
      RC_LOG() << id << " was told " << static_cast<int>(code) << '\n';
      RC_ASSERT(code != ExitCode::kSuccess);  // no data centre confirmed anything
      if (code == ExitCode::kPending) RC_ASSERT(Holds(document, id));
      if (code == ExitCode::kConflict) RC_ASSERT(!Holds(document, id));
      if (code == ExitCode::kUnavailable) RC_ASSERT(!Holds(document, id));
    }
    for (const std::string& id : store.others()) RC_ASSERT(Holds(document, id));
  });
}

#ifdef VERBENARIDGE_MUTABLE

// Guards against an oracle that cannot fail.
TEST_CASE("the fuzz test catches a wrong fate") {
  active_mutation = Mutation::kLostReplyIsConflict;
  CHECK_FALSE(FatesAreTold());
  active_mutation = Mutation::kNone;
}

#else

TEST_CASE("operators are told the fate of their changes") { CHECK(FatesAreTold()); }

#endif

}  // namespace
}  // namespace verbenaridge::ctl
