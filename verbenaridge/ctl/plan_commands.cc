#include "verbenaridge/ctl/plan_commands.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "verbenaridge/mutation/mutation.h"
#include "verbenaridge/plan_codec/plan_codec.h"
#include "verbenaridge/plans/plan_delta.h"
#include "verbenaridge/plans/plan_distributor.h"

namespace verbenaridge::ctl {
namespace {

using Json = nlohmann::json;

// The store may take a write after the tool's time limit, so one read is not enough to call a write
// lost.
constexpr int kSettleReads = 6;
constexpr Duration kSettlePause = std::chrono::milliseconds(500);
constexpr Duration kConfirmPause = std::chrono::milliseconds(200);

void Print(std::ostream& out, const Json& json) {
  out << json.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

std::string Joined(const std::set<DataCentreId>& names) {
  std::string text;
  for (const DataCentreId& name : names) text += (text.empty() ? "" : ", ") + name.value();
  return text;
}

Json Names(const std::set<DataCentreId>& names) {
  Json list = Json::array();
  for (const DataCentreId& name : names) list.push_back(name.value());
  return list;
}

}  // namespace

ExitCode PlanCommands::Fail(ExitCode code, std::string_view result, const std::string& message) {
  if (reporter_.json) {
    Print(reporter_.out, {{"result", result}, {"message", message}});
  } else {
    reporter_.err << result << ": " << message << '\n';
  }
  return code;
}

ExitCode PlanCommands::Problems(const std::vector<plans::PlanProblem>& problems) {
  if (reporter_.json) {
    Json list = Json::array();
    for (const auto& problem : problems) {
      list.push_back({{"path", problem.path}, {"message", problem.message}});
    }
    Print(reporter_.out, {{"result", "invalid"}, {"problems", list}});
  } else {
    for (const auto& problem : problems) {
      reporter_.err << (problem.path.empty() ? "/" : problem.path) << ": " << problem.message
                    << '\n';
    }
    reporter_.err << "invalid: " << problems.size() << " problem(s)\n";
  }
  return ExitCode::kInvalid;
}

std::optional<plans::PlanDocument> PlanCommands::Decode(std::string_view file) {
  auto decoded = plan_codec::DecodeDocument(file);
  if (!decoded.problems.empty()) Problems(decoded.problems);
  return std::move(decoded.value);
}

std::optional<PlanCommands::Current> PlanCommands::ReadCurrent() {
  const auto value = store_.Read(plans::kCurrentPlanKey);
  if (value.has_error()) {
    Fail(ExitCode::kUnavailable, "unavailable",
         "the store did not answer: " + value.error().message());
    return std::nullopt;
  }
  Current current{value.value().version, {}};
  if (current.key_version == 0) return current;
  auto decoded = plan_codec::DecodeDocument(value.value().value);
  if (!decoded.value) {
    Fail(ExitCode::kUnavailable, "unavailable", "the stored plan document is not readable");
    return std::nullopt;
  }
  current.document = std::move(*decoded.value);
  return current;
}

ExitCode PlanCommands::Check(std::string_view file, const plans::Catalogue* catalogue,
                             bool use_store, bool allow_cut_off) {
  const auto document = Decode(file);
  if (!document) return ExitCode::kInvalid;
  std::vector<plans::PlanProblem> problems = plans::CheckDocument(*document, catalogue);
  if (use_store && !allow_cut_off) {
    const auto current = ReadCurrent();
    if (!current) return ExitCode::kUnavailable;
    for (auto& problem : plans::FindCutOffs(current->document, *document)) {
      problem.message += " (allow with --allow-cut-off)";
      problems.push_back(std::move(problem));
    }
  }
  if (!problems.empty()) return Problems(problems);
  if (reporter_.json) {
    Print(reporter_.out, {{"result", "valid"}, {"names_checked", catalogue != nullptr}});
  } else {
    reporter_.out << "valid\n";
    if (catalogue == nullptr) {
      reporter_.err << "note: names of models and services were not checked (no --catalogue)\n";
    }
  }
  return ExitCode::kSuccess;
}

ExitCode PlanCommands::Diff(std::string_view file) {
  auto document = Decode(file);
  if (!document) return ExitCode::kInvalid;
  const auto current = ReadCurrent();
  if (!current) return ExitCode::kUnavailable;
  plans::Normalise(*document);
  const auto lines = plans::DescribeDifferences(current->document, *document);
  if (reporter_.json) {
    Print(reporter_.out, {{"result", lines.empty() ? "equal" : "different"},
                          {"version", current->document.version()},
                          {"differences", lines}});
  } else {
    for (const std::string& line : lines) reporter_.out << line << '\n';
    if (lines.empty()) {
      reporter_.out << "no difference to version " << current->document.version() << '\n';
    }
  }
  return lines.empty() ? ExitCode::kSuccess : ExitCode::kDifferent;
}

ExitCode PlanCommands::Show() {
  const auto current = ReadCurrent();
  if (!current) return ExitCode::kUnavailable;
  // JSON in both cases: the output is a plan file that can be edited and applied.
  reporter_.out << plan_codec::EncodeDocument(current->document, plan_codec::Layout::kIndented)
                << '\n';
  return ExitCode::kSuccess;
}

ExitCode PlanCommands::Apply(std::string_view file, const ApplyOptions& options) {
  auto document = Decode(file);
  if (!document) return ExitCode::kInvalid;
  const auto current = ReadCurrent();
  if (!current) return ExitCode::kUnavailable;
  // A file from `show` names the version it was made from; an edit of an older one would undo what
  // others changed since.
  const PlanVersion based_on = document->version();
  if (based_on != 0 && based_on != current->document.version()) {
    return Fail(ExitCode::kConflict, "conflict",
                "the file is based on version " + std::to_string(based_on) +
                    ", but the store has version " + std::to_string(current->document.version()) +
                    " by " + current->document.edit.author + "; nothing was written");
  }
  std::vector<plans::PlanProblem> problems = plans::CheckDocument(*document, options.catalogue);
  if (!options.allow_cut_off) {
    for (auto& problem : plans::FindCutOffs(current->document, *document)) {
      problem.message += " (allow with --allow-cut-off)";
      problems.push_back(std::move(problem));
    }
  }
  if (!problems.empty()) return Problems(problems);
  const auto unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_.WallNow().time_since_epoch());
  const plans::PlanDocument next =
      plans::MakeSuccessor(current->document, std::move(*document),
                           {0, options.edit_id, options.author, unix_ms.count()});
  const ExitCode written = Write(*current, next);
  if (written != ExitCode::kSuccess) return written;
  return AwaitConfirmations(next, options);
}

ExitCode PlanCommands::Write(const Current& current, const plans::PlanDocument& next) {
  const std::string text = plan_codec::EncodeDocument(next);
  if (text.size() > store::kMaxValueBytes) {
    return Fail(ExitCode::kInvalid, "invalid",
                "the document has " + std::to_string(text.size()) +
                    " bytes; the store holds at most 1000000");
  }
  const auto written = store_.CompareAndSwap(plans::kCurrentPlanKey, current.key_version, text);
  if (written.has_value()) return ExitCode::kSuccess;
  if (written.error() == Errc::kConflict) {
    return Fail(ExitCode::kConflict, "conflict",
                "another operator changed the plans after version " +
                    std::to_string(current.document.version()) +
                    "; nothing was written, run diff and apply again");
  }
  if (written.error() == Errc::kResourceExhausted || written.error() == Errc::kTooLarge) {
    return Fail(ExitCode::kUnavailable, "unavailable",
                "the store refused the write: " + written.error().message());
  }
  return SettleLostReply(next);
}

ExitCode PlanCommands::SettleLostReply(const plans::PlanDocument& next) {
  if (Mutated(Mutation::kLostReplyIsConflict)) {
    return Fail(ExitCode::kConflict, "conflict", "nothing was written");
  }
  const std::string& edit_id = next.edit.edit_id;
  for (int i = 0; i < kSettleReads; ++i) {
    const auto value = store_.Read(plans::kCurrentPlanKey);
    const auto decoded = value.has_value() ? plan_codec::DecodeDocument(value.value().value)
                                           : plan_codec::Decoded<plans::PlanDocument>{};
    if (decoded.value) {
      const plans::PlanDocument& stored = *decoded.value;
      const bool in_history =
          std::any_of(stored.history.begin(), stored.history.end(),
                      [&](const plans::Edit& edit) { return edit.edit_id == edit_id; });
      if (stored.edit.edit_id == edit_id || in_history) return ExitCode::kSuccess;
      if (stored.version() >= next.version()) {
        return Fail(ExitCode::kConflict, "conflict",
                    "another operator changed the plans first; nothing was written");
      }
    }
    store_.Wait(kSettlePause);
  }
  return Fail(ExitCode::kUnknown, "unknown",
              "the store did not answer the write of edit " + edit_id +
                  "; it may still take effect, look for it with show");
}

PlanVersion PlanCommands::ConfirmedVersion(const DataCentreId& data_centre) {
  const auto value = store_.Read(plans::ConfirmedPlanKey(data_centre));
  if (value.has_error()) return 0;
  return plan_codec::DecodeConfirmed(value.value().value).value_or(0);
}

ExitCode PlanCommands::AwaitConfirmations(const plans::PlanDocument& next,
                                          const ApplyOptions& options) {
  std::set<DataCentreId> waiting(options.data_centres.begin(), options.data_centres.end());
  const TimePoint end = clock_.Now() + options.wait;
  const std::string version = std::to_string(next.version());
  if (!reporter_.json) reporter_.out << "written as version " << version << '\n';
  while (true) {
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (ConfirmedVersion(*it) < next.version()) {
        ++it;
        continue;
      }
      if (!reporter_.json) reporter_.out << "in force in " << *it << '\n' << std::flush;
      it = waiting.erase(it);
    }
    if (waiting.empty() || clock_.Now() >= end) break;
    store_.Wait(kConfirmPause);
  }
  const bool accepted = waiting.empty();
  if (reporter_.json) {
    Print(reporter_.out, {{"result", accepted ? "accepted" : "pending"},
                          {"version", next.version()},
                          {"edit_id", next.edit.edit_id},
                          {"not_in_force", Names(waiting)}});
  } else if (accepted) {
    reporter_.out << "accepted: version " << version << " is in force in every data centre\n";
  } else {
    reporter_.out << "pending: version " << version << " is not yet in force in " << Joined(waiting)
                  << "; it stays pending and needs no further command\n";
  }
  return accepted ? ExitCode::kSuccess : ExitCode::kPending;
}

}  // namespace verbenaridge::ctl
