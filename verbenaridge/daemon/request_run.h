// Drives one request at its ingress: admission by the account owner, then the attempts that the
// request machine decides on. Completions and service calls derive from it.
#ifndef VERBENARIDGE_DAEMON_REQUEST_RUN_H_
#define VERBENARIDGE_DAEMON_REQUEST_RUN_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "verbenaridge/attempts/request_machine.h"
#include "verbenaridge/calls/calls.h"
#include "verbenaridge/daemon/run_context.h"
#include "verbenaridge/wire/messages.h"

namespace verbenaridge::daemon {

// Who asks, after authentication.
struct RequestIdentity {
  RequestId request_id;
  std::string traceparent;
  ClientAccountId client_account;
  double weight = 1;
  Priority priority = Priority::kStandard;
  Duration deadline{};  // remaining at the start
};

// What admission charges.
struct RequestCharge {
  Digest digest = 0;
  TokenCount tokens = 0;
  double cost_seconds = 0;
};

// Lives on the loop of its traffic thread; keeps itself alive through the callbacks it waits for.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  virtual ~RequestRun() = default;

  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  void Start();
  void OnCallerGone();

  // Presents the admission to a new account owner.
  void PresentAdmission();

  const RequestIdentity& identity() const { return identity_; }
  bool ended() const { return ended_; }

 protected:
  RequestRun(RunContext& context, RequestIdentity identity, RequestCharge charge,
             attempts::RequestOptions options);

  // Asks for a permit of an endpoint; ends in Granted or Refused.
  virtual void RequestPermit(const attempts::RequestPermit& ask) = 0;
  virtual void RequestClaim() {}
  virtual void Dispatch(const attempts::Dispatch& dispatch) = 0;
  virtual void DeliverToken(const attempts::DeliverToken&) {}
  virtual void CancelAttempt(AttemptNumber attempt) = 0;
  // Gives the permit back; calls `done` when the endpoint owner has said what it found.
  virtual void ReleasePermit(const attempts::ReleasePermit& release,
                             std::function<void()> done) = 0;
  virtual void Finish() = 0;
  virtual void ReportFailure(const calls::Failure& failure) = 0;
  // Withdraws a permit request that waits.
  virtual void WithdrawPermitRequest() {}
  virtual TokenCount tokens_used() const { return 0; }

  void Granted(const attempts::PermitGrant& grant);
  void Refused(const attempts::PermitRefusal& refusal, wire::RefusalReason reason);
  void Execute(const attempts::Actions& actions);
  void NoteDeath(const EndpointId& endpoint, Incarnation incarnation);

  // Sets what the caller is told if the machine fails the request.
  void SetFailure(calls::FailureKind kind, std::string detail, Duration retry_after = {});

  const RequestCharge& charge() const { return charge_; }
  TimePoint now() const { return context_.clock.Now(); }
  Duration remaining() const { return deadline_ - now(); }

  RunContext& context_;
  const RequestIdentity identity_;
  const HolderId holder_;
  const TimePoint started_;
  const TimePoint deadline_;
  attempts::RequestMachine machine_;
  bool isolate_ = false;

 private:
  void Admit(std::function<void()> admitted);
  void OnAdmitReply(const wire::AdmitReply& reply, std::function<void()> admitted);
  void RetryAdmission(Duration delay, std::function<void()> admitted);
  void FinishAdmission(bool completed);
  void AskWhenReleased(const attempts::RequestPermit& ask);
  void End(std::string_view result, bool completed);
  void ArmTimer();
  wire::AdmitRequest AdmitMessage(bool present) const;
  calls::Failure FailureFor(const attempts::Fail& fail) const;

  RequestCharge charge_;
  bool repeatable_;
  asio::steady_timer timer_;
  asio::steady_timer admission_timer_;
  HostId account_owner_;
  bool admitted_ = false;
  bool admitted_locally_ = false;
  bool machine_started_ = false;
  bool ended_ = false;
  int releases_in_flight_ = 0;
  bool release_since_admission_ = false;
  bool dispatched_since_admission_ = false;
  std::optional<attempts::RequestPermit> waiting_ask_;
  std::vector<wire::SuspectDeath> deaths_;
  std::optional<calls::FailureKind> failure_kind_;
  std::string failure_detail_;
  Duration failure_retry_after_{};
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_REQUEST_RUN_H_
