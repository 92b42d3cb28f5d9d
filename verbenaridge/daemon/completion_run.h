// One completion at its ingress: routes it, asks endpoint owners for permits, streams tokens.
#ifndef VERBENARIDGE_DAEMON_COMPLETION_RUN_H_
#define VERBENARIDGE_DAEMON_COMPLETION_RUN_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "verbenaridge/admission/early_rejection.h"
#include "verbenaridge/daemon/group_permits.h"
#include "verbenaridge/daemon/request_run.h"
#include "verbenaridge/routing/candidate_sequence.h"

namespace verbenaridge::daemon {

struct CompletionInput {
  ModelId model;
  std::shared_ptr<const std::string> prompt;
  TokenCount prompt_tokens = 0;  // estimated
  TokenCount max_tokens = 0;
  std::vector<Digest> prefix_blocks;
};

class CompletionRun final : public RequestRun {
 public:
  CompletionRun(RunContext& context, RequestIdentity identity, RequestCharge charge,
                CompletionInput input, std::shared_ptr<calls::CompletionSink> sink);
  ~CompletionRun() override;

  // Connects the sink's callbacks; call once before Start.
  void WatchCaller();

 private:
  class Observer;
  struct PermitAsk {
    attempts::RequestPermit ask;
    SnapshotPtr snapshot;
    routing::CandidateSequence candidates;
    wire::CallId call = 0;
    wire::RefusalReason refusal = wire::RefusalReason::kNone;
    Duration retry_after{};
  };
  // What is held of the current attempt's endpoint.
  struct Attempt {
    AttemptNumber number = 0;
    EndpointId endpoint;
    std::string url;
    std::size_t route_index = 0;
    SnapshotPtr snapshot;
    std::vector<std::string> group_urls;  // other members of an endpoint group
    std::uint64_t permit = 0;
    bool local_permit = false;  // the policy uses no permits
    Incarnation owner_incarnation = 0;
    Incarnation endpoint_incarnation = 0;
    TokenCount cached_tokens = 0;
    engine::GenerationId generation = 0;
    TimePoint dispatched{};
    TimePoint first_token{};
    TokenCount tokens = 0;
    bool broken = false;
    bool completed = false;
  };

  void RequestPermit(const attempts::RequestPermit& ask) override;
  void Dispatch(const attempts::Dispatch& dispatch) override;
  void DeliverToken(const attempts::DeliverToken& token) override;
  void CancelAttempt(AttemptNumber attempt) override;
  void ReleasePermit(const attempts::ReleasePermit& release, std::function<void()> done) override;
  void Finish() override;
  void ReportFailure(const calls::Failure& failure) override;
  void WithdrawPermitRequest() override;
  TokenCount tokens_used() const override;

  routing::RouteRequest RouteRequestFor(const Snapshot& snapshot,
                                        std::span<const Digest> excluded) const;
  std::vector<Digest> OpenBreakers() const;
  routing::RouteDecision ChooseRoute(const Snapshot& snapshot);
  admission::RejectionCheck CheckFinish(const Snapshot& snapshot,
                                        const routing::Candidate& best) const;
  void AskNextCandidate();
  wire::PermitRequest PermitMessage(const routing::CandidateRequest& candidate_ask,
                                    const EndpointView& endpoint) const;
  void OnPermitReply(AttemptNumber attempt, const routing::Candidate& candidate,
                     Result<wire::Reply> reply);
  void AcceptPermit(const routing::Candidate& candidate, const wire::PermitReply& reply,
                    bool local);
  void AskGroup(const attempts::RequestPermit& ask, const SnapshotPtr& snapshot);
  void OnGroupReady(const attempts::RequestPermit& ask, const SnapshotPtr& snapshot);
  void OnGroupFailed(AttemptNumber attempt);
  wire::PermitRequest BasePermitMessage(AttemptNumber attempt) const;
  void RefuseRoute(routing::RouteFailure failure, AttemptNumber attempt);
  void HoldPermit();
  RequestId EngineRequestId() const;
  engine::Generation GenerationFor(const attempts::Dispatch& dispatch) const;
  void ReleaseGroup(const Attempt& attempt, std::function<void()> done);
  void ProbeEndpoint(const Attempt& attempt, std::function<void()> done);
  wire::ReleasePermitRequest ReleaseMessage(const Attempt& attempt,
                                            const attempts::ReleasePermit& release) const;

  void OnEngineToken(AttemptNumber attempt, TokenCount index, std::string_view text);
  void OnEngineEnd(AttemptNumber attempt, const engine::GenerationEnd& end);
  void ReportFirstToken();
  void OnDrained();

  const CompletionInput input_;
  std::shared_ptr<calls::CompletionSink> sink_;
  std::optional<PermitAsk> permit_ask_;
  std::shared_ptr<GroupPermits> group_;  // of a prompt over one engine's memory
  Attempt attempt_;
  std::vector<Digest> failed_endpoints_;  // hashes of their ids
  std::string delivered_text_;
  std::string_view token_text_;  // of the token being handled
  std::string finish_reason_;
  calls::Usage usage_;
  TimePoint last_token_{};
  bool paused_ = false;
};

}  // namespace verbenaridge::daemon

#endif  // VERBENARIDGE_DAEMON_COMPLETION_RUN_H_
