#include <doctest/doctest.h>

#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "verbenaridge/ctl/command_line.h"
#include "verbenaridge/ctl/operator_commands.h"
#include "verbenaridge/ctl/plan_commands.h"
#include "verbenaridge/fakes/platform/fake_platform.h"
#include "verbenaridge/plan_codec/plan_codec.h"
#include "verbenaridge/store/http_key_value_store.h"

namespace verbenaridge::ctl {
namespace {

const std::string kPlans = R"(, "plans": [{"id": "small", "models": ["m1"], "services": [],
  "priorities": ["urgent"], "requests_per_second": 1, "tokens_per_second": 100,
  "concurrent_cost_seconds": 5, "max_prompt_tokens": 8000}]})";

std::string Account(const std::string& name, char key, int weight) {
  return R"({"client_account": ")" + name + R"(", "plan": "small", "key_hashes": [")" +
         std::string(64, key) + R"("], "default_priority": "urgent", "default_deadline_ms": 30000,
         "weight": )" +
         std::to_string(weight) + "}";
}

std::string File(int weight) {
  return R"({"client_accounts": [)" + Account("biei", 'a', weight) + "]" + kPlans;
}

// Another operator writes between each read and its answer.
class RacingStore final : public store::KeyValueStore {
 public:
  explicit RacingStore(KeyValueStore& inner) : inner_(inner) {}

  void Read(std::string_view key, store::ReadCallback callback) override {
    inner_.Read(key, [this, name = std::string(key), callback](auto value) {
      const plans::PlanDocument other =
          plans::MakeSuccessor({}, *plan_codec::DecodeDocument(File(3)).value, {0, "o", "biei", 0});
      inner_.CompareAndSwap(name, value.value().version, plan_codec::EncodeDocument(other),
                            [value, callback](auto) { callback(value); });
    });
  }
  void CompareAndSwap(std::string_view key, store::KeyVersion expected, std::string_view value,
                      store::WriteCallback callback) override {
    inner_.CompareAndSwap(key, expected, value, std::move(callback));
  }
  void Watch(std::string_view, store::KeyVersion, Duration, store::ReadCallback) override {}
  void Lease(std::string_view, std::string_view, Duration, store::WriteCallback) override {}

 private:
  KeyValueStore& inner_;
};

struct Tool {
  asio::io_context io_context;
  fakes::FakePlatform fake{io_context, {}};
  net::CurlHttpClient client{io_context};
  store::HttpKeyValueStore key_value_store{client, fake.base_url()};
  LoopStore store{io_context, key_value_store};
  SystemClock clock;
  std::ostringstream out;
  std::ostringstream err;
  PlanCommands commands{store, {out, err, false}, clock};

  ExitCode Apply(const std::string& file, const std::string& edit_id,
                 Duration wait = Duration::zero(), bool allow_cut_off = false) {
    return commands.Apply(file, {.author = "kaori",
                                 .edit_id = edit_id,
                                 .data_centres = {DataCentreId("biei"), DataCentreId("furano")},
                                 .wait = wait,
                                 .allow_cut_off = allow_cut_off});
  }
  void Confirm(const char* data_centre, PlanVersion version) {
    const std::string key = std::string("plans/confirmed/") + data_centre;
    const auto now = store.Read(key).value().version;
    REQUIRE(store.CompareAndSwap(key, now, plan_codec::EncodeConfirmed(version)).has_value());
  }
  PlanVersion Stored() {
    const auto decoded = plan_codec::DecodeDocument(fake.Value("plans/current"));
    return decoded.value ? decoded.value->version() : 0;
  }
};

// Guards against a change that is called accepted before it is in force, written twice, lost, or
// written over another operator's change.
TEST_CASE("apply") {
  struct Row {
    std::string name;
    std::function<ExitCode(Tool&)> run;
    ExitCode code;
    PlanVersion stored;
    std::string text;
  };
  const Row rows[] = {
      {"pending everywhere", [](Tool& t) { return t.Apply(File(1), "e1"); }, ExitCode::kPending, 1,
       "pending: version 1 is not yet in force in biei, furano"},
      {"pending in one",
       [](Tool& t) {
         t.Confirm("biei", 1);
         return t.Apply(File(1), "e1");
       },
       ExitCode::kPending, 1, "in force in biei\npending: version 1 is not yet in force in furano"},
      {"accepted",
       [](Tool& t) {
         t.Confirm("biei", 1);
         t.Confirm("furano", 1);
         return t.Apply(File(1), "e1");
       },
       ExitCode::kSuccess, 1, "accepted"},
      {"waits for the confirmation",
       [](Tool& t) {
         t.Confirm("biei", 1);
         t.key_value_store.Watch("plans/current", 0, std::chrono::seconds(5), [&t](auto) {
           t.key_value_store.CompareAndSwap("plans/confirmed/furano", 0,
                                            plan_codec::EncodeConfirmed(1), [](auto) {});
         });
         return t.Apply(File(1), "e1", std::chrono::seconds(5));
       },
       ExitCode::kSuccess, 1, "accepted"},
      {"lost reply",
       [](Tool& t) {
         t.fake.faults().lose_replies = 1;
         return t.Apply(File(1), "e1");
       },
       ExitCode::kPending, 1, "written as version 1"},
      {"lost reply, then another operator's change",
       [](Tool& t) {
         t.fake.faults().lose_replies = 1;
         t.key_value_store.Watch("plans/current", 0, std::chrono::seconds(5), [&t](auto value) {
           auto first = plan_codec::DecodeDocument(value.value().value);
           const auto second =
               plans::MakeSuccessor(*first.value, *first.value, {0, "other", "biei", 0});
           t.key_value_store.CompareAndSwap("plans/current", value.value().version,
                                            plan_codec::EncodeDocument(second), [](auto) {});
         });
         return t.Apply(File(1), "e1");
       },
       ExitCode::kPending, 2, "written as version 1"},
      {"lost request",
       [](Tool& t) {
         t.fake.faults().lose_requests = 1;
         return t.Apply(File(1), "e1");
       },
       ExitCode::kUnknown, 0, ""},
      {"write refused",
       [](Tool& t) {
         t.fake.faults().writes_per_second = 0;
         return t.Apply(File(1), "e1");
       },
       ExitCode::kUnavailable, 0, ""},
      {"store down",
       [](Tool& t) {
         t.fake.faults().outage = fakes::Outage::kRefuse;
         return t.Apply(File(1), "e1");
       },
       ExitCode::kUnavailable, 0, ""},
      {"race",
       [](Tool& t) {
         t.Apply(File(1), "e1");
         std::ostringstream shown;
         PlanCommands(t.store, {shown, t.err, false}, t.clock).Show();
         t.Apply(File(2), "e2");
         return t.Apply(shown.str(), "e3");
       },
       ExitCode::kConflict, 2, ""},
      {"race between read and write",
       [](Tool& t) {
         RacingStore racing(t.key_value_store);
         LoopStore store(t.io_context, racing);
         PlanCommands commands(store, {t.out, t.err, false}, t.clock);
         return commands.Apply(
             File(1), {.author = "kaori", .edit_id = "e1", .data_centres = {DataCentreId("biei")}});
       },
       ExitCode::kConflict, 1, ""},
      {"cut off",
       [](Tool& t) {
         t.Apply(File(1), "e1");
         return t.Apply(R"({"client_accounts": [])" + kPlans, "e2");
       },
       ExitCode::kInvalid, 1, ""},
      {"cut off with the flag",
       [](Tool& t) {
         t.Apply(File(1), "e1");
         return t.Apply(R"({"client_accounts": [])" + kPlans, "e2", Duration::zero(), true);
       },
       ExitCode::kPending, 2, "pending"},
      {"invalid", [](Tool& t) { return t.Apply(File(0), "e1"); }, ExitCode::kInvalid, 0, ""},
      {"not JSON", [](Tool& t) { return t.Apply("{", "e1"); }, ExitCode::kInvalid, 0, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Tool tool;
    const ExitCode code = row.run(tool);
    CAPTURE(tool.err.str());
    CHECK(code == row.code);
    CHECK(tool.Stored() == row.stored);
    CAPTURE(tool.out.str());
    CHECK(tool.out.str().find(row.text) != std::string::npos);
    if (row.text.empty()) CHECK_FALSE(tool.err.str().empty());
  }
}

// Guards against a diff or check that is silent, or whose exit code a script cannot use.
TEST_CASE("check, diff and show") {
  Tool tool;
  CHECK(tool.commands.Check(File(1), nullptr, true, false) == ExitCode::kSuccess);
  CHECK(tool.commands.Check(File(0), nullptr, false, false) == ExitCode::kInvalid);
  const plans::Catalogue names{{ModelId("m2")}, {}};
  CHECK(tool.commands.Check(File(1), &names, false, false) == ExitCode::kInvalid);
  CHECK(tool.err.str().find("/plans/0/models/0: unknown model") != std::string::npos);
  tool.Apply(File(1), "e1");
  CHECK(tool.commands.Diff(File(1)) == ExitCode::kSuccess);
  CHECK(tool.commands.Diff(File(2)) == ExitCode::kDifferent);
  CHECK(tool.out.str().find("client account biei: weight 1 -> 2") != std::string::npos);
  std::ostringstream json;
  PlanCommands machine(tool.store, {json, tool.err, true}, tool.clock);
  CHECK(machine.Diff(File(2)) == ExitCode::kDifferent);
  CHECK(json.str().find("\"result\": \"different\"") != std::string::npos);
  json.str("");
  CHECK(machine.Show() == ExitCode::kSuccess);
  CHECK(plan_codec::DecodeDocument(json.str()).value->edit.author == "kaori");
  CHECK(machine.Check(File(1), nullptr, true, false) == ExitCode::kSuccess);
}

// Guards against options that are accepted without effect or that a command runs without.
TEST_CASE("command line") {
  struct Row {
    std::vector<std::string> words;
    bool accepted;
  };
  const Row rows[] = {
      {{"check", "f.json"}, true},
      {{"check"}, false},
      {{"check", "a", "b"}, false},
      {{"diff", "f.json"}, false},
      {{"diff", "f.json", "--store", "http://127.0.0.1:9"}, true},
      {{"apply", "f", "--store", "u", "--author", "me"}, false},
      {{"apply", "f", "--store", "u", "--author", "me", "--data-centres", "a,b"}, true},
      {{"apply", "f", "--store", "u", "--author", "me", "--data-centres", ","}, false},
      {{"apply", "f", "--store", "u", "--author", "m", "--data-centres", "a", "--wait", "x"},
       false},
      {{"status", "--daemon", "u", "--json"}, true},
      {{"drain", "h1", "--daemon", "u"}, false},
      {{"drain", "h1", "--daemon", "u", "--key-file", "k", "--undo"}, true},
      {{"drain", "h1", "--daemon", "u", "--key-file", "k", "--kind", "rack"}, false},
      {{"drain", "--help"}, true},
      {{"erase"}, false},
      {{}, false},
  };
  for (const Row& row : rows) {
    std::vector<std::string> words = row.words;
    words.insert(words.begin(), "verbenaridgectl");
    std::vector<char*> argv;
    for (std::string& word : words) argv.push_back(word.data());
    CAPTURE(words.size() > 1 ? words[1] : "");
    std::ostringstream err;
    const auto line = ParseCommandLine(static_cast<int>(argv.size()), argv.data(), err);
    CHECK(line.has_value() == row.accepted);
    CHECK(err.str().empty() == row.accepted);
  }
  CHECK(HelpText("apply").find("Exit codes") != std::string::npos);
}

// Guards against a daemon's refusal or absence that looks like success. The fake platform stands
// for a daemon that knows no such address.
TEST_CASE("operator commands") {
  Tool tool;
  OperatorCommands refused(tool.io_context, tool.client, tool.fake.base_url(),
                           {tool.out, tool.err, false});
  CHECK(refused.Status() == ExitCode::kRefused);
  CHECK(refused.Drain({.target = "f1"}, "key") == ExitCode::kRefused);
  OperatorCommands absent(tool.io_context, tool.client, "http://127.0.0.1:1",
                          {tool.out, tool.err, true});
  CHECK(absent.Status() == ExitCode::kUnavailable);
  CHECK(tool.out.str().find("\"result\": \"failed\"") != std::string::npos);
  OperatorCommands present(tool.io_context, tool.client, tool.fake.base_url() + "/hosts?",
                           {tool.out, tool.err, false});
  CHECK(present.Status() == ExitCode::kSuccess);
}

}  // namespace
}  // namespace verbenaridge::ctl
