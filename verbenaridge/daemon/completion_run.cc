#include "verbenaridge/daemon/completion_run.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/daemon/conversions.h"

namespace verbenaridge::daemon {
namespace {

// A stream without progress is stalled: prefill prediction x 3 + 2 s, then 5 s between tokens.
constexpr int kPrefillSlack = 3;
constexpr Duration kFirstTokenFloor = std::chrono::seconds(2);
constexpr Duration kTokenGapLimit = std::chrono::seconds(5);
constexpr Duration kNoticeDeadline = std::chrono::seconds(1);

std::string_view AttemptEndName(engine::AttemptEnd end) {
  switch (end) {
    case engine::AttemptEnd::kCompleted:
      return "completed";
    case engine::AttemptEnd::kNotSent:
      return "not_sent";
    case engine::AttemptEnd::kRefused:
      return "refused";
    case engine::AttemptEnd::kBroken:
      return "broken";
    case engine::AttemptEnd::kStalled:
      return "stalled";
  }
  return "broken";
}

}  // namespace

// Receives one generation on behalf of one attempt.
class CompletionRun::Observer final : public engine::GenerationObserver {
 public:
  Observer(std::shared_ptr<CompletionRun> run, AttemptNumber attempt)
      : run_(std::move(run)), attempt_(attempt) {}

  void OnToken(TokenCount index, std::string_view text) override {
    run_->OnEngineToken(attempt_, index, text);
  }
  void OnEnd(const engine::GenerationEnd& end) override { run_->OnEngineEnd(attempt_, end); }

 private:
  const std::shared_ptr<CompletionRun> run_;
  const AttemptNumber attempt_;
};

CompletionRun::CompletionRun(RunContext& context, RequestIdentity identity, RequestCharge charge,
                             CompletionInput input, std::shared_ptr<calls::CompletionSink> sink)
    : RequestRun(context, std::move(identity), charge, attempts::RequestOptions{}),
      input_(std::move(input)),
      sink_(std::move(sink)) {
  usage_.prompt_tokens = input_.prompt_tokens;
}

CompletionRun::~CompletionRun() = default;

void CompletionRun::WatchCaller() {
  const std::weak_ptr<RequestRun> weak = weak_from_this();
  sink_->SetCallbacks(
      [weak] {
        if (auto self = weak.lock()) self->OnCallerGone();
      },
      [weak] {
        if (auto self = weak.lock()) static_cast<CompletionRun&>(*self).OnDrained();
      });
}

// Callers choose their request ids, so two may be equal; endpoints know a stream by request and
// attempt, hence the unique part in front.
RequestId CompletionRun::EngineRequestId() const {
  return RequestId(holder_.host.value() + "." + std::to_string(holder_.incarnation) + "." +
                   std::to_string(holder_.sequence) + "." + identity_.request_id.value());
}

engine::Generation CompletionRun::GenerationFor(const attempts::Dispatch& dispatch) const {
  const cost::Prediction prediction =
      context_.costs.Predict(attempt_.endpoint, input_.model,
                             {.prompt_tokens = input_.prompt_tokens + dispatch.resume_from,
                              .max_output_tokens = input_.max_tokens - dispatch.resume_from});
  return {.request_id = EngineRequestId(),
          .attempt = dispatch.attempt,
          .model = input_.model,
          .prompt = input_.prompt,
          .max_tokens = input_.max_tokens,
          .resume_from = dispatch.resume_from,
          .resume_text = delivered_text_,
          .priority = permits::EnginePriority(identity_.priority,
                                              input_.prompt_tokens - attempt_.cached_tokens,
                                              context_.permit_options.short_prompt_tokens),
          .permit = dispatch.permit,
          .owner_incarnation = attempt_.owner_incarnation,
          .remaining = dispatch.remaining,
          .first_token_limit = kPrefillSlack * prediction.prefill + kFirstTokenFloor,
          .token_gap_limit = kTokenGapLimit,
          .group_urls = attempt_.group_urls,
          .traceparent = identity_.traceparent};
}

void CompletionRun::Dispatch(const attempts::Dispatch& dispatch) {
  attempt_.dispatched = now();
  const routing::EndpointView& view = attempt_.snapshot->routes[attempt_.route_index];
  context_.routing.OnDispatched(view, RouteRequestFor(*attempt_.snapshot, {}),
                                charge().cost_seconds);
  if (!context_.BreakerOf(attempt_.endpoint).Allow(now())) {
    context_.loop.Post([self = std::static_pointer_cast<CompletionRun>(shared_from_this()),
                        attempt = dispatch.attempt] {
      self->OnEngineEnd(attempt, {.end = engine::AttemptEnd::kNotSent});
    });
    return;
  }
  attempt_.generation = context_.endpoints.Generate(
      attempt_.url, GenerationFor(dispatch),
      std::make_shared<Observer>(std::static_pointer_cast<CompletionRun>(shared_from_this()),
                                 dispatch.attempt));
}

void CompletionRun::OnEngineToken(AttemptNumber attempt, TokenCount index, std::string_view text) {
  if (ended()) return;
  token_text_ = text;
  Execute(machine_.OnToken(attempt, index, now()));
}

void CompletionRun::DeliverToken(const attempts::DeliverToken&) {
  const TimePoint time = now();
  if (attempt_.tokens++ == 0) {
    attempt_.first_token = time;
    ReportFirstToken();
  }
  if (machine_.delivered() == 1) {
    context_.metrics.OnFirstToken(identity_.client_account, identity_.priority, time - started_);
  } else {
    context_.metrics.OnTokenGap(identity_.client_account, identity_.priority, time - last_token_);
  }
  last_token_ = time;
  delivered_text_.append(token_text_);
  sink_->OnToken(token_text_);
  if (!paused_ && attempt_.generation != 0 && sink_->unsent_bytes() > context_.unsent_limit) {
    paused_ = true;
    context_.endpoints.Pause(attempt_.generation);
  }
}

// Lets the endpoint owner start the next prefill without waiting for its prediction to pass.
void CompletionRun::ReportFirstToken() {
  const EndpointView* endpoint = context_.snapshot->FindEndpoint(attempt_.endpoint);
  if (attempt_.local_permit || endpoint == nullptr) return;
  context_.router.Call(
      endpoint->owner,
      wire::FirstTokenRequest{.permit = attempt_.permit, .endpoint = attempt_.endpoint},
      kNoticeDeadline, [](const Result<wire::Reply>&) {});
}

void CompletionRun::OnDrained() {
  if (!paused_ || sink_->unsent_bytes() > context_.unsent_limit / 2) return;
  paused_ = false;
  if (attempt_.generation != 0) context_.endpoints.Resume(attempt_.generation);
}

void CompletionRun::OnEngineEnd(AttemptNumber attempt, const engine::GenerationEnd& end) {
  if (attempt != attempt_.number) return;
  attempt_.generation = 0;
  paused_ = false;
  context_.metrics.OnAttempt(AttemptEndName(end.end));
  attempts::CircuitBreaker& breaker = context_.BreakerOf(attempt_.endpoint);
  const bool failed = end.end != engine::AttemptEnd::kCompleted;
  attempt_.broken =
      end.end == engine::AttemptEnd::kBroken || end.end == engine::AttemptEnd::kStalled;
  attempt_.completed = !failed;
  if (attempt_.broken || end.end == engine::AttemptEnd::kNotSent) {
    breaker.OnFailure(now());
    failed_endpoints_.push_back(HashOf(attempt_.endpoint.value()));
  } else {
    breaker.OnSuccess();
  }
  if (!failed) {
    finish_reason_ = end.finish_reason;
    usage_.prompt_tokens = end.prompt_tokens;
    usage_.cached_tokens = end.cached_tokens;
    context_.costs.OnTokenCount(input_.model, input_.prompt->size(), end.prompt_tokens);
  }
  Execute(machine_.OnAttemptEnd({.attempt = attempt, .end = ToAttemptEnd(end.end)}, now()));
}

void CompletionRun::CancelAttempt(AttemptNumber attempt) {
  if (attempt != attempt_.number || attempt_.generation == 0) return;
  context_.endpoints.Cancel(std::exchange(attempt_.generation, 0));
  context_.BreakerOf(attempt_.endpoint).OnAbandoned(now());
  context_.metrics.OnAttempt("cancelled");
  paused_ = false;
}

void CompletionRun::Finish() {
  usage_.completion_tokens = machine_.delivered();
  sink_->OnEnd(finish_reason_, usage_);
}

void CompletionRun::ReportFailure(const calls::Failure& failure) { sink_->OnFailure(failure); }

TokenCount CompletionRun::tokens_used() const {
  return usage_.prompt_tokens + machine_.delivered();
}

}  // namespace verbenaridge::daemon
