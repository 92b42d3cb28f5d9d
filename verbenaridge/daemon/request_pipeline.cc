#include "verbenaridge/daemon/request_pipeline.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/daemon/completion_run.h"
#include "verbenaridge/daemon/conversions.h"
#include "verbenaridge/daemon/owners.h"
#include "verbenaridge/daemon/service_run.h"
#include "verbenaridge/plan_codec/key_hash.h"
#include "verbenaridge/routing/prefix_blocks.h"

namespace verbenaridge::daemon {
namespace {

constexpr Duration kNotServingRetry = std::chrono::seconds(1);
constexpr Duration kLookUpDeadline = std::chrono::seconds(1);
// Plain service calls have no token cost; this bounds their concurrency under a plan's cost limit.
constexpr double kServiceCostSeconds = 0.01;

calls::Failure Refusal(calls::FailureKind kind, std::string detail) {
  return {.kind = kind, .outcome = Outcome::kNotRun, .detail = std::move(detail)};
}

calls::Failure NotReady(calls::FailureKind kind, std::string detail) {
  calls::Failure failure = Refusal(kind, std::move(detail));
  failure.retry_after = kNotServingRetry;
  return failure;
}

template <class List, class Value>
bool Contains(const List& list, const Value& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// A chain of digests over the prompt's leading blocks is not enough to tell two prompts apart, so
// the digest that names a request covers all of it.
Digest DigestOf(const ClientAccountId& account, const ModelId& model, std::string_view prompt) {
  return HashOf({account.value(), model.value(), prompt});
}

}  // namespace

std::variant<RequestPipeline::Caller, calls::Failure> RequestPipeline::Identify(
    const calls::CallHeader& header) const {
  const Snapshot* snapshot = context_.snapshot.get();
  if (snapshot == nullptr || !snapshot->serving || !snapshot->plan) {
    return NotReady(calls::FailureKind::kUnavailable, "no plan is in force at this daemon yet");
  }
  if (snapshot->draining) return NotReady(calls::FailureKind::kStopping, "this daemon is stopping");
  Caller caller;
  caller.account = snapshot->plan->AccountOfKey(plan_codec::HashBearerKey(header.bearer_key));
  if (caller.account == nullptr) {
    return Refusal(calls::FailureKind::kUnauthenticated, "the bearer key is not known");
  }
  caller.plan = snapshot->plan->FindPlan(caller.account->plan);
  if (caller.plan == nullptr) {
    return Refusal(calls::FailureKind::kForbidden, "the client account holds no plan");
  }
  const Priority priority = header.priority.value_or(caller.account->default_priority);
  if (!Contains(caller.plan->priorities, priority)) {
    return Refusal(calls::FailureKind::kForbidden, "the plan does not permit this priority");
  }
  const Duration deadline = std::min(header.deadline.value_or(caller.account->default_deadline),
                                     options_.limits.max_deadline);
  if (deadline <= Duration::zero()) {
    return Refusal(calls::FailureKind::kDeadlineExceeded, "the deadline has passed");
  }
  caller.identity = {.request_id = header.request_id,
                     .traceparent = header.traceparent,
                     .client_account = caller.account->client_account,
                     .weight = caller.account->weight,
                     .priority = priority,
                     .deadline = deadline};
  return caller;
}

void RequestPipeline::Complete(calls::CompletionCall call,
                               std::shared_ptr<calls::CompletionSink> sink) {
  auto identified = Identify(call.header);
  if (const auto* failure = std::get_if<calls::Failure>(&identified)) {
    sink->OnFailure(*failure);
    return;
  }
  Caller& caller = std::get<Caller>(identified);
  if (!Contains(caller.plan->models, call.model)) {
    sink->OnFailure(Refusal(calls::FailureKind::kForbidden, "the plan does not permit this model"));
    return;
  }
  const TokenCount prompt_tokens = context_.costs.EstimateTokens(call.model, call.prompt.size());
  if (caller.plan->max_prompt_tokens > 0 && prompt_tokens > caller.plan->max_prompt_tokens) {
    sink->OnFailure(
        Refusal(calls::FailureKind::kForbidden, "the prompt is longer than the plan permits"));
    return;
  }
  const cost::Prediction prediction = context_.costs.Predict(
      EndpointId(), call.model,
      {.prompt_tokens = prompt_tokens, .max_output_tokens = call.max_tokens});
  const RequestCharge charge = {
      .digest = DigestOf(caller.account->client_account, call.model, call.prompt),
      .tokens = prompt_tokens + call.max_tokens,
      .cost_seconds = prediction.cost_seconds};
  CompletionInput input = {.model = call.model,
                           .prompt_tokens = prompt_tokens,
                           .max_tokens = call.max_tokens,
                           .prefix_blocks = routing::PrefixBlocks(call.prompt)};
  input.prompt = std::make_shared<const std::string>(std::move(call.prompt));
  auto run = std::make_shared<CompletionRun>(context_, std::move(caller.identity), charge,
                                             std::move(input), std::move(sink));
  run->WatchCaller();
  Track(run);
  run->Start();
}

const settings::OperationSettings* RequestPipeline::FindOperation(
    const ServiceId& service, std::string_view operation) const {
  for (const settings::ServiceSettings& known : options_.services) {
    if (known.id != service) continue;
    for (const settings::OperationSettings& candidate : known.operations) {
      if (candidate.name == operation) return &candidate;
    }
  }
  return nullptr;
}

std::variant<RequestPipeline::Caller, calls::Failure> RequestPipeline::IdentifyForService(
    const calls::CallHeader& header, const ServiceId& service, std::string_view operation) const {
  auto identified = Identify(header);
  const auto* caller = std::get_if<Caller>(&identified);
  if (caller == nullptr) return identified;
  for (const plans::ServicePermission& permission : caller->plan->services) {
    if (permission.service == service && Contains(permission.operations, operation)) {
      return identified;
    }
  }
  return Refusal(calls::FailureKind::kForbidden, "the plan does not permit this operation");
}

void RequestPipeline::Call(calls::ServiceCall call, std::shared_ptr<calls::ServiceSink> sink) {
  auto identified = IdentifyForService(call.header, call.service, call.operation);
  if (const auto* failure = std::get_if<calls::Failure>(&identified)) {
    sink->OnFailure(*failure);
    return;
  }
  const settings::OperationSettings* operation = FindOperation(call.service, call.operation);
  if (operation == nullptr) {
    sink->OnFailure(Refusal(calls::FailureKind::kNotFound, "no such service or operation"));
    return;
  }
  if (!operation->repeatable && (call.idempotency_key.empty() || !call.key_expiry)) {
    sink->OnFailure(Refusal(calls::FailureKind::kBadRequest,
                            "this operation needs Idempotency-Key and Idempotency-Expires"));
    return;
  }
  Caller& caller = std::get<Caller>(identified);
  const RequestCharge charge = {.cost_seconds = kServiceCostSeconds};
  ServiceInput input = {.service = call.service,
                        .operation = call.operation,
                        .repeatable = operation->repeatable,
                        .idempotency_key = std::move(call.idempotency_key),
                        .key_expiry = call.key_expiry.value_or(WallTime{}),
                        .body = std::move(call.body)};
  auto run = std::make_shared<ServiceRun>(context_, std::move(caller.identity), charge,
                                          std::move(input), std::move(sink));
  Track(run);
  run->Start();
}

void RequestPipeline::LookUp(calls::ServiceLookup lookup,
                             std::shared_ptr<calls::ServiceSink> sink) {
  auto identified = IdentifyForService(lookup.header, lookup.service, lookup.operation);
  if (const auto* failure = std::get_if<calls::Failure>(&identified)) {
    sink->OnFailure(*failure);
    return;
  }
  const Caller& caller = std::get<Caller>(identified);
  const claims::ClaimKey key = {.client_account = caller.account->client_account,
                                .service = lookup.service,
                                .operation = lookup.operation,
                                .idempotency_key = lookup.idempotency_key};
  const HostId writer = ClaimWriterOf(*context_.snapshot, claims::BucketOf(key));
  context_.router.Call(
      writer, wire::LookUpClaimRequest{.key = ToWireKey(key)}, kLookUpDeadline,
      [sink = std::move(sink)](Result<wire::Reply> reply) {
        const auto* answer =
            reply.has_value() ? std::get_if<wire::ClaimReply>(&reply.value()) : nullptr;
        if (answer != nullptr && answer->verdict == wire::ClaimVerdict::kRecorded) {
          sink->OnAnswer({.status = answer->status,
                          .content_type = answer->content_type,
                          .body = answer->body,
                          .replayed = true});
        } else if (answer != nullptr && answer->verdict == wire::ClaimVerdict::kNotFound) {
          sink->OnFailure(Refusal(calls::FailureKind::kNotFound, "no call with this key is known"));
        } else {
          sink->OnFailure(
              {.kind = calls::FailureKind::kInterrupted,
               .outcome = Outcome::kUnknown,
               .detail = answer != nullptr && answer->verdict == wire::ClaimVerdict::kInProgress
                             ? "the call is running"
                             : "the result of the call is not known",
               .retry_after = kNotServingRetry});
        }
      });
}

std::vector<calls::ModelInfo> RequestPipeline::Models(std::string_view bearer_key) {
  std::vector<calls::ModelInfo> models;
  auto identified = Identify({.request_id = {},
                              .bearer_key = std::string(bearer_key),
                              .traceparent = {},
                              .priority = {},
                              .deadline = {}});
  const auto* caller = std::get_if<Caller>(&identified);
  if (caller == nullptr) return models;
  for (const ModelId& model : caller->plan->models) {
    models.push_back({.model = model, .max_prompt_tokens = caller->plan->max_prompt_tokens});
  }
  return models;
}

void RequestPipeline::Track(const std::shared_ptr<RequestRun>& run) { runs_[++last_run_] = run; }

void RequestPipeline::OnSnapshot() {
  for (auto& [id, weak] : runs_) {
    if (auto run = weak.lock()) run->PresentAdmission();
  }
}

std::size_t RequestPipeline::running() {
  std::erase_if(runs_, [](const auto& entry) {
    const auto run = entry.second.lock();
    return !run || run->ended();
  });
  return runs_.size();
}

}  // namespace verbenaridge::daemon
