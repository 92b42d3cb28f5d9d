// The commands on plan files and the store: check, diff, apply and show. They print to a `Reporter`
// and return the exit code.
//
//   PlanCommands commands(store, reporter, clock);
//   ExitCode code = commands.Apply(file_text, {.author = "kaori", ...});
#ifndef VERBENARIDGE_CTL_PLAN_COMMANDS_H_
#define VERBENARIDGE_CTL_PLAN_COMMANDS_H_

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/ctl/blocking_store.h"
#include "verbenaridge/plans/plan_check.h"
#include "verbenaridge/plans/plan_document.h"

namespace verbenaridge::ctl {

// Stable: scripts act on them.
enum class ExitCode {
  kSuccess = 0,
  kUsage = 1,        // wrong options, unreadable file
  kInvalid = 2,      // the plan file has problems
  kConflict = 3,     // another operator changed the plans first; nothing was written
  kPending = 4,      // written, but not yet in force in every data centre
  kUnavailable = 5,  // the store or the daemon did not answer; certainly not written
  kUnknown = 6,      // the write may or may not have taken effect
  kRefused = 7,      // the daemon refused the operator's key or the target
  kDifferent = 8,    // diff: the file differs from the store; explain: no line is about it
};

// Where output goes. With `json`, exactly one JSON object per command goes to `out`.
struct Reporter {
  std::ostream& out;
  std::ostream& err;
  bool json = false;
};

struct ApplyOptions {
  std::string author;
  std::string edit_id;  // unique for each run
  std::vector<DataCentreId> data_centres;
  Duration wait = std::chrono::seconds(10);
  bool allow_cut_off = false;
  const plans::Catalogue* catalogue = nullptr;
};

// Not thread-safe.
class PlanCommands {
 public:
  PlanCommands(BlockingStore& store, Reporter reporter, const Clock& clock)
      : store_(store), reporter_(reporter), clock_(clock) {}

  // Checks a file, and against the store's document whether it cuts off client accounts.
  ExitCode Check(std::string_view file, const plans::Catalogue* catalogue, bool use_store,
                 bool allow_cut_off);
  ExitCode Diff(std::string_view file);
  ExitCode Apply(std::string_view file, const ApplyOptions& options);
  ExitCode Show();

 private:
  struct Current {
    store::KeyVersion key_version = 0;
    plans::PlanDocument document;
  };

  std::optional<plans::PlanDocument> Decode(std::string_view file);
  std::optional<Current> ReadCurrent();
  ExitCode Problems(const std::vector<plans::PlanProblem>& problems);
  ExitCode Fail(ExitCode code, std::string_view result, const std::string& message);
  ExitCode Write(const Current& current, const plans::PlanDocument& next);
  ExitCode SettleLostReply(const plans::PlanDocument& next);
  ExitCode AwaitConfirmations(const plans::PlanDocument& next, const ApplyOptions& options);
  PlanVersion ConfirmedVersion(const DataCentreId& data_centre);

  BlockingStore& store_;
  Reporter reporter_;
  const Clock& clock_;
};

}  // namespace verbenaridge::ctl

#endif  // VERBENARIDGE_CTL_PLAN_COMMANDS_H_
