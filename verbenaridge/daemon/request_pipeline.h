// Serves callers' requests on one traffic thread: authenticates, checks the plan, and starts a run.
#ifndef VERBENARIDGE_DAEMON_REQUEST_PIPELINE_H_
#define VERBENARIDGE_DAEMON_REQUEST_PIPELINE_H_

#include <memory>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "verbenaridge/calls/calls.h"
#include "verbenaridge/daemon/request_run.h"
#include "verbenaridge/daemon/run_context.h"
#include "verbenaridge/settings/settings.h"

namespace verbenaridge::daemon {

// Used on its traffic thread's loop alone.
class RequestPipeline final : public calls::RequestHandler {
 public:
  struct Options {
    settings::LimitSettings limits;
    std::vector<settings::ServiceSettings> services;
  };

  RequestPipeline(Options options, RunContext& context)
      : options_(std::move(options)), context_(context) {}

  void Complete(calls::CompletionCall call, std::shared_ptr<calls::CompletionSink> sink) override;
  void Call(calls::ServiceCall call, std::shared_ptr<calls::ServiceSink> sink) override;
  void LookUp(calls::ServiceLookup lookup, std::shared_ptr<calls::ServiceSink> sink) override;
  std::vector<calls::ModelInfo> Models(std::string_view bearer_key) override;

  // Requests whose admission is presented when an account owner changes.
  void OnSnapshot();

  // Requests that have not ended.
  std::size_t running();

 private:
  struct Caller {
    const plans::AccountPlan* account = nullptr;
    const plans::Plan* plan = nullptr;
    RequestIdentity identity;
  };

  std::variant<Caller, calls::Failure> Identify(const calls::CallHeader& header) const;
  std::variant<Caller, calls::Failure> IdentifyForService(const calls::CallHeader& header,
                                                          const ServiceId& service,
                                                          std::string_view operation) const;
  const settings::OperationSettings* FindOperation(const ServiceId& service,
                                                   std::string_view operation) const;
  void Track(const std::shared_ptr<RequestRun>& run);

  const Options options_;
  RunContext& context_;
  std::unordered_map<std::uint64_t, std::weak_ptr<RequestRun>> runs_;
  std::uint64_t last_run_ = 0;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_REQUEST_PIPELINE_H_
