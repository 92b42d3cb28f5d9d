// One call of a plain service at its ingress. A call that may not be repeated is claimed in the
// platform's store before its first byte leaves, and its outcome is recorded there.
#ifndef VERBENARIDGE_DAEMON_SERVICE_RUN_H_
#define VERBENARIDGE_DAEMON_SERVICE_RUN_H_

#include <memory>
#include <optional>
#include <string>

#include "verbenaridge/claims/claim_holder.h"
#include "verbenaridge/daemon/request_run.h"

namespace verbenaridge::daemon {

struct ServiceInput {
  ServiceId service;
  std::string operation;
  bool repeatable = false;
  std::string idempotency_key;
  WallTime key_expiry{};
  std::string body;
};

class ServiceRun final : public RequestRun {
 public:
  ServiceRun(RunContext& context, RequestIdentity identity, RequestCharge charge,
             ServiceInput input, std::shared_ptr<calls::ServiceSink> sink);

 private:
  void RequestPermit(const attempts::RequestPermit& ask) override;
  void RequestClaim() override;
  void Dispatch(const attempts::Dispatch& dispatch) override;
  void CancelAttempt(AttemptNumber attempt) override;
  void ReleasePermit(const attempts::ReleasePermit& release, std::function<void()> done) override;
  void Finish() override;
  void ReportFailure(const calls::Failure& failure) override;

  const EndpointView* ChooseEndpoint(const Snapshot& snapshot) const;
  std::shared_ptr<ServiceRun> Self();
  claims::ClaimRequest ClaimMessage() const;
  void ExecuteHolder(const claims::HolderActions& actions);
  void SendClaim(const claims::ClaimRequest& request);
  void SendOutcome(const claims::OutcomeRequest& outcome);
  void OnClaimRefused(const claims::ClaimReply& answer);
  void OnServiceEnd(AttemptNumber attempt, engine::ServiceEnd end);
  void EndClaim(engine::AttemptEnd end);
  void ArmHolderTimer();

  const ServiceInput input_;
  std::shared_ptr<calls::ServiceSink> sink_;
  std::optional<claims::ClaimHolder> claim_;
  asio::steady_timer claim_timer_;
  EndpointId endpoint_;
  std::string url_;
  AttemptNumber dispatched_ = 0;  // 0: none in flight
  std::optional<calls::ServiceAnswer> answer_;
  bool answered_ = false;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_SERVICE_RUN_H_
