#include "verbenaridge/forwarding/request_run.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "verbenaridge/base/hash.h"
#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {
namespace {

using telemetry::Level;

constexpr int kLowestUrgency = 9;
constexpr int kMaxReservationDoublings = 2;
// Parts of a prompt that are compared with those of other prompts.
constexpr std::size_t kMaxSharedParts = 16;
constexpr std::string_view kStopping = "stopping";
constexpr std::string_view kCutByStop = "cut_by_stop";

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

double Milliseconds(Duration duration) { return ToSeconds(duration) * 1000; }

}  // namespace

dispatch::RetryBudget& RunContext::BudgetOf(const ServiceId& service) {
  return budgets.try_emplace(service, options.budget).first->second;
}

RequestRun::RequestRun(RunContext& context, IncomingRequest request,
                       std::shared_ptr<ResponseSink> sink)
    : context_(context),
      request_(std::move(request)),
      sink_(std::move(sink)),
      snapshot_(context.dispatcher.snapshot()),
      deadline_timer_(context.io_context),
      wait_timer_(context.io_context) {}

RequestRun::~RequestRun() { SetHeldBytes(0); }

Duration RequestRun::Elapsed() const { return context_.clock.Now() - request_.arrived; }

void RequestRun::Start() {
  request_metadata_ = context_.adapter.ReadRequest(request_.head);
  Proceed();
}

void RequestRun::Proceed() {
  snapshot_ = context_.dispatcher.snapshot();
  if (snapshot_->configuration == nullptr && Elapsed() < context_.options.configuration_wait) {
    AwaitConfiguration();
    return;
  }
  if (Admit()) BeginDispatch();
}

void RequestRun::BeginDispatch() {
  ArmDeadline();
  if (context_.stop.stopping() && context_.clock.Now() >= LatestStart()) {
    Refuse(503, kStopping);
    return;
  }
  FindEndpoint();
}

// A host that has just started receives a configuration within some hundred milliseconds.
void RequestRun::AwaitConfiguration() {
  wait_timer_.expires_after(context_.options.configuration_check);
  wait_timer_.async_wait([self = shared_from_this()](std::error_code code) {
    if (!code && !self->finished_) self->Proceed();
  });
}

bool RequestRun::Admit() {
  if (snapshot_->configuration == nullptr) {
    Refuse(503, "no_configuration");
    return false;
  }
  if (request_metadata_.attempt_id.empty()) {
    Refuse(400, "no_attempt_id");
    return false;
  }
  if (request_metadata_.bad_token_counts) {
    Refuse(400, "bad_token_counts");
    return false;
  }
  route_ =
      snapshot_->configuration->FindRoute(request_metadata_.host, PathOf(request_.head.target));
  if (route_ == nullptr) {
    Refuse(404, "no_route");
    return false;
  }
  if (!Authenticate()) return false;
  service_ = directory::ChooseService(*route_, context_.random.Uniform());
  if (service_.empty()) {
    Refuse(503, "route_without_service");
    return false;
  }
  digest_ = HashOf({request_.head.target, account_.value(),
                    request_.body ? std::string_view{*request_.body} : std::string_view{}});
  context_.BudgetOf(service_).OnRequest(context_.clock.Now());
  const std::vector<PromptPart>& parts = request_metadata_.prompt_parts;
  crash_keys_.push_back(digest_);
  for (std::size_t i = 0; i + 1 < parts.size() && i < kMaxSharedParts; ++i) {
    crash_keys_.push_back(parts[i].key);
  }
  return CheckCrashRefusals();
}

bool RequestRun::Authenticate() {
  priority_ = route_->priority;
  allowed_ = directory::DecideAllowed(route_->home_regions, {}, context_.options.regions);
  if (!snapshot_->configuration->needs_keys()) return true;
  const directory::ClientAccount* account =
      request_metadata_.api_key.empty()
          ? nullptr
          : snapshot_->configuration->FindAccount(request_metadata_.api_key);
  if (account == nullptr) {
    if (route_->allow_anonymous) return true;
    Refuse(401, "unknown_key");
    return false;
  }
  account_ = account->id;
  if (account->priority) priority_ = *account->priority;
  allowed_ = directory::DecideAllowed(route_->home_regions, account->home_regions,
                                      context_.options.regions);
  return true;
}

void RequestRun::ArmDeadline() {
  Duration limit = route_->timeout;
  deadline_reason_ = "route_timeout";
  if (request_metadata_.time_left &&
      (limit == Duration{} || *request_metadata_.time_left < limit)) {
    limit = *request_metadata_.time_left;
    deadline_reason_ = "client_deadline";
  }
  deadline_ = request_.arrived + limit;
  if (const auto end = context_.stop.end(); end && *end < deadline_) {
    deadline_ = *end;
    deadline_reason_ = kCutByStop;
  }
  deadline_timer_.expires_after(std::max(deadline_ - context_.clock.Now(), Duration{}));
  deadline_timer_.async_wait([self = shared_from_this()](std::error_code code) {
    if (!code && !self->finished_) self->OnDeadline();
  });
}

TimePoint RequestRun::LatestStart() const {
  if (response_started_ || deadline_ != context_.stop.end()) return deadline_;
  const dispatch::ResponseTime time =
      context_.stop.EstimateResponse({.model = context_.dispatcher.ModelOf(service_),
                                      .max_output_tokens = request_metadata_.max_output_tokens,
                                      .stream = route_->kind == directory::RequestKind::kStream,
                                      .target_latency = route_->target_latency});
  // The attempt that a hand-over would replace is not counted yet, but may have run.
  const bool may_have_run = runs_ > 0 || hand_over_.has_value();
  return context_.stop.LatestStart(time,
                                   {.arrived = request_.arrived, .may_have_run = may_have_run});
}

void RequestRun::OnDeadline() {
  if (HoldsResponse() && exchange_ == nullptr) {
    CancelHandOver();
    ReturnHeldResponse();
  } else if (response_started_) {
    Finish(deadline_reason_, 0);
    sink_->Abort();
  } else if (runs_ == 0 && exchange_ == nullptr) {
    Refuse(503, deadline_reason_);
  } else {
    Refuse(504, deadline_reason_);
  }
}

bool RequestRun::Place(std::vector<Digest> excluded, AssignmentHandler handler) {
  dispatch_id_ = 0;
  const auto decided = std::make_shared<bool>(false);
  const DispatchId id = context_.placement.Submit(
      {.service = service_,
       .demand = {.prompt_tokens = request_metadata_.prompt_tokens,
                  .output_tokens = request_metadata_.max_output_tokens,
                  .target_latency = route_->target_latency,
                  .target_gap = route_->target_gap},
       .arrived = request_.arrived,
       .deadline = LatestStart(),
       .end = deadline_,
       .urgency = priority_,
       .excluded = std::move(excluded),
       .digest = digest_,
       .account = account_.empty() ? 0 : HashOf(account_.value()),
       .in_progress = response_started_,
       .refusable = runs_ == 0 && exchange_ == nullptr,
       .allowed = allowed_},
      [self = shared_from_this(), decided, handler](Assignment assignment) {
        *decided = true;
        self->dispatch_id_ = 0;
        ((*self).*handler)(std::move(assignment));
      });
  if (*decided) return false;
  dispatch_id_ = id;
  return true;
}

void RequestRun::FindEndpoint() {
  if (!Place(excluded_, &RequestRun::OnAssigned)) return;
  telemetry::Log(Level::kInfo, "held",
                 {{"id", request_metadata_.attempt_id},
                  {"waited_ms", Milliseconds(Elapsed())},
                  {"held_requests", context_.dispatcher.queued()},
                  {"works_known", context_.dispatcher.tasks()}});
}

void RequestRun::OnAssigned(Assignment assignment) {
  if (finished_) return;
  assignment_ = std::move(assignment);
  switch (assignment_.outcome) {
    case Assignment::Outcome::kAssigned:
      break;
    case Assignment::Outcome::kNoEndpoint:
      RefuseUnplaced(allowed_.restricted() ? "no_endpoint_in_home_regions" : "no_endpoint");
      return;
    case Assignment::Outcome::kTooLarge:
      RefuseUnplaced("prompt_too_large_now");
      return;
    case Assignment::Outcome::kDeadlineExceeded:
      if (context_.clock.Now() < deadline_) {
        RefuseUnplaced(kStopping);
      } else {
        OnDeadline();
      }
      return;
    case Assignment::Outcome::kUnservable:
      RefuseUnplaced(context_.stop.stopping() ? kStopping : "deadline_unreachable");
      return;
    case Assignment::Outcome::kLimited:
      RefuseUnplaced(context_.stop.stopping() ? kStopping : "endpoints_limited");
      return;
    case Assignment::Outcome::kNoRoom:
      RefuseUnplaced("no_room");
      return;
    case Assignment::Outcome::kOverShare:
      RefuseUnplaced("over_share");
      return;
  }
  if (assignment_.reserve) {
    ReserveMemory();
    return;
  }
  std::vector<Helper> helpers;
  for (std::size_t i = 1; i < assignment_.members.size(); ++i) {
    helpers.push_back({.ip = assignment_.members[i].ip, .port = assignment_.members[i].port});
  }
  StartAttempt(std::move(helpers));
}

// A request that may have run cannot be refused as not run, and its response may have started.
void RequestRun::RefuseUnplaced(std::string_view reason) {
  if (runs_ > 0) {
    FailRequest(AttemptFailure::kBroken);
  } else {
    Refuse(503, reason);
  }
}

void RequestRun::ReserveMemory() {
  if (assignment_.kv_shares.empty()) {  // some member would refuse its share
    RetryReservation({});
    return;
  }
  reservations_ = ReservationSet::Create(
      context_.io_context, context_.clock, context_.pool, context_.adapter, context_.metrics,
      context_.ticket_prefix + std::to_string(++context_.reservations_made),
      context_.options.reservations);
  reservations_->Reserve(
      assignment_.members, assignment_.kv_shares,
      {.done =
           [self = shared_from_this()](const ReservationResult& result) {
             if (self->finished_) return;
             if (!result.reserved) {
               self->reservations_ = nullptr;
               self->RetryReservation(result.refused_by);
               return;
             }
             self->reservation_failures_ = 0;
             std::vector<Helper> helpers;
             for (const directory::Endpoint& member : self->assignment_.members) {
               helpers.push_back(
                   {.ip = member.ip, .port = member.port, .ticket = self->reservations_->name()});
             }
             self->StartAttempt(std::move(helpers));
           },
       .member_lost =
           [self = shared_from_this()](const EndpointId& member) { self->OnMemberLost(member); }});
}

// The member that received the request may be gone and no event come, or another one without which
// it cannot go on. The memory at the others must not wait for the timeout of the attempt.
void RequestRun::OnMemberLost(const EndpointId& member) {
  if (finished_ || exchange_ == nullptr) return;
  response_metadata_.endpoint_at_fault = member;
  AttemptFailed(AttemptFailure::kMemberLost, "renewals_unanswered");
}

// No request was sent, so waiting for memory is as safe as waiting for an endpoint.
void RequestRun::RetryReservation(const EndpointId& refused_by) {
  const int doublings = std::min(reservation_failures_++, kMaxReservationDoublings);
  const Duration delay = context_.options.reservation_retry_delay * (1 << doublings);
  telemetry::Log(Level::kInfo, "memory_not_free",
                 {{"id", request_metadata_.attempt_id},
                  {"members", assignment_.members.size()},
                  {"endpoint", refused_by.value()},
                  {"retry_ms", Milliseconds(delay)}});
  EndTasks();
  wait_timer_.expires_after(delay);
  wait_timer_.async_wait([self = shared_from_this()](std::error_code code) {
    if (!code && !self->finished_) self->FindEndpoint();
  });
}

bool RequestRun::HasLostMember() {
  for (const directory::Endpoint& member : assignment_.members) {
    if (!context_.dispatcher.MaySend(member)) return true;
    // Once only, because no other members may be left.
    const bool told_by_reservation =
        reservations_ != nullptr && context_.dispatcher.IsLeaving(member);
    if (told_by_reservation && !std::exchange(moved_reservation_, true)) return true;
  }
  return false;
}

void RequestRun::StartAttempt(std::vector<Helper> helpers) {
  const TimePoint now = context_.clock.Now();
  // After a pause, the assignment may arrive before the deadline's timer. On a host that stops, the
  // wait for memory may have lasted too long.
  if (now >= LatestStart()) {
    StopAttempt();
    if (now >= deadline_) {
      OnDeadline();
    } else {
      RefuseUnplaced(kStopping);
    }
    return;
  }
  if (HasLostMember()) {
    context_.metrics.endpoint_notices.With({"placed_again"}).Add();
    telemetry::Log(Level::kInfo, "placed_again",
                   {{"id", request_metadata_.attempt_id}, {"endpoints", Endpoints()}});
    StopAttempt();
    FindEndpoint();
    return;
  }
  const directory::Endpoint& endpoint = assignment_.members.front();
  ++attempts_;
  attempt_started_ = now;
  response_.reset();
  response_metadata_ = {};
  streaming_ = connection_lost_ = false;
  attempt_events_ = 0;
  body_.clear();
  splitter_.Reset();
  SetHeldBytes(0);
  pace_.Reset();
  const std::string priority = std::to_string(priority_);
  if (attempts_ == 1) context_.metrics.queued.With({priority}).Observe(ToSeconds(Elapsed()));
  if (context_.dispatcher.IsElsewhere(endpoint)) {
    context_.metrics.crossings.With({service_.value()}).Add();
  }
  context_.metrics.predicted.With({priority}).Observe(ToSeconds(assignment_.predicted));
  telemetry::Log(
      Level::kInfo, "offered",
      {{"id", request_metadata_.attempt_id},
       {"endpoints", Endpoints()},
       {"offer", attempts_},
       {"tickets", reservations_ ? std::string_view{reservations_->name()} : std::string_view{}},
       {"resume_after", last_event_.value_or(0)},
       {"held_ms", Milliseconds(Elapsed())},
       {"left_ms", Milliseconds(deadline_ - now)},
       {"start_left_ms", Milliseconds(LatestStart() - now)},
       {"predicted_ms", Milliseconds(assignment_.predicted)},
       {"cost", assignment_.cost},
       {"candidates", assignment_.candidates},
       {"works_known", context_.dispatcher.tasks()}});
  const http1::RequestHead head = context_.adapter.WriteRequest(
      request_.head, {.remaining = deadline_ - now,
                      .endpoint = endpoint.id,
                      .client_account = account_,
                      .urgency = std::clamp(priority_, 0, kLowestUrgency),
                      .helpers = helpers,
                      .resume_after = last_event_ ? last_event_ : request_metadata_.last_event_id,
                      .body_bytes = request_.body ? request_.body->size() : 0});
  exchange_ = context_.pool.Start(endpoint,
                                  {.head = http1::Serialize(head),
                                   .body = request_.body,
                                   .head_method = request_.head.method == "HEAD",
                                   // An idle connection may already be closed, and a request that
                                   // may run only once cannot be retried then.
                                   .new_connection = !route_->idempotent()},
                                  *this);
  if (route_->kind == directory::RequestKind::kStream) {
    ArmAttemptTimeout(FromSeconds(context_.options.first_event_timeout_factor *
                                  ToSeconds(assignment_.predicted)) +
                      context_.options.first_event_timeout_margin);
  } else if (route_->idempotent()) {
    ArmAttemptTimeout(
        FromSeconds(context_.options.service_timeout_share * ToSeconds(deadline_ - now)));
  }
}

void RequestRun::ArmAttemptTimeout(Duration limit) {
  wait_timer_.expires_after(limit);
  wait_timer_.async_wait([self = shared_from_this()](std::error_code code) {
    if (code || self->finished_ || self->exchange_ == nullptr) return;
    if (self->wait_timer_.expiry() > std::chrono::steady_clock::now()) return;
    if (self->sink_->unsent_bytes() > 0) {  // the client is slow, not the endpoint
      self->ArmAttemptTimeout(self->context_.options.min_gap_timeout);
      return;
    }
    self->OnAttemptTimeout();
  });
}

// A timeout of an endpoint is a reason to try another one, but not to fail the request.
void RequestRun::OnAttemptTimeout() {
  // Another group may need the memory that this one has reserved without using it.
  const bool release_first = reservations_ != nullptr && attempt_events_ == 0;
  if (release_first && MayRetry(AttemptFailure::kTimedOut)) {
    AttemptFailed(AttemptFailure::kTimedOut, "");
  } else if (release_first || !SeekHandOver(AttemptFailure::kTimedOut, "")) {
    ArmAttemptTimeout(context_.options.first_event_timeout_margin);
  }
}

void RequestRun::EndTasks() {
  for (const dispatch::TaskId task : assignment_.tasks) context_.dispatcher.OnEnd(task);
  assignment_.tasks.clear();
}

// Closes the exchange and releases the reservations and tasks of the attempt.
void RequestRun::StopAttempt() {
  wait_timer_.cancel();
  if (const auto exchange = std::exchange(exchange_, nullptr)) exchange->Cancel();
  if (const auto reservations = std::exchange(reservations_, nullptr)) reservations->Release();
  EndTasks();
}

void RequestRun::OnClientGone() {
  if (finished_) return;
  Finish("client_gone", 0);
}

void RequestRun::OnClientDrained() {
  if (exchange_ != nullptr && !HoldsResponse()) exchange_->Resume();
}

void RequestRun::OnStopping() {
  if (finished_ || route_ == nullptr) return;
  ArmDeadline();
  if (context_.clock.Now() >= deadline_) {
    OnDeadline();
    return;
  }
  if (dispatch_id_ == 0) return;
  context_.placement.Cancel(dispatch_id_);
  if (const auto hand_over = std::exchange(hand_over_, std::nullopt)) {
    if (!SeekHandOver(hand_over->failure, hand_over->detail)) KeepAttempt(*hand_over, "no_retry");
  } else {
    FindEndpoint();
  }
}

void RequestRun::OnServerStopped() {
  if (finished_) return;
  Finish(kCutByStop, 0);
}

void RequestRun::Refuse(int status, std::string_view reason) {
  if (finished_) return;
  context_.metrics.refusals.With({reason}).Add();
  http1::ResponseHead head{.status = status};
  if (status == 503) {
    char text[32];
    // Other hosts serve the client at once.
    const Duration retry_after =
        reason == kStopping ? Duration{}
                            : std::max(assignment_.retry_after, context_.options.retry_after);
    std::snprintf(text, sizeof text, "%.2f", ToSeconds(retry_after));
    head.headers.push_back({"Retry-After", text});
  }
  if (status == 401) head.headers.push_back({"WWW-Authenticate", "Bearer"});
  head.headers.push_back({"Content-Type", "application/json"});
  Finish(reason, status);
  sink_->Respond(std::move(head), "{\"error\":\"" + std::string(reason) + "\"}");
}

void RequestRun::Finish(std::string_view outcome, int status) {
  finished_ = true;
  deadline_timer_.cancel();
  hand_over_.reset();
  if (dispatch_id_ != 0) context_.placement.Cancel(dispatch_id_);
  const std::string endpoints = Endpoints();
  StopAttempt();
  const std::string_view route = route_ == nullptr ? std::string_view() : route_->name;
  context_.metrics.requests.With({route, outcome}).Add();
  telemetry::Log(
      Level::kInfo, "request",
      {{"id", request_metadata_.attempt_id},
       {"request_key", ToHex(digest_)},
       {"outcome", outcome},
       {"status", status},
       {"route", route},
       {"client_account", account_.value()},
       {"priority", priority_},
       {"service", service_.value()},
       {"endpoints", endpoints},
       {"offers", attempts_},
       {"runs", runs_},
       {"prompt_tokens", request_metadata_.prompt_tokens},
       {"output_tokens", request_metadata_.max_output_tokens},
       {"duration_ms", Milliseconds(Elapsed())},
       {"held_ms", attempts_ == 0 ? 0 : Milliseconds(attempt_started_ - request_.arrived)},
       {"predicted_ms", Milliseconds(assignment_.predicted)},
       {"first_event_ms", Milliseconds(first_event_after_)},
       {"longest_pause_ms", Milliseconds(max_gap_)},
       {"events", events_sent_},
       {"cost", assignment_.cost},
       {"candidates", assignment_.candidates},
       {"configuration",
        snapshot_->configuration == nullptr ? 0 : snapshot_->configuration->version()},
       {"endpoints_age_ms", Milliseconds(request_.arrived - snapshot_->endpoints_read)}});
}

std::string RequestRun::Endpoints() const {
  std::string endpoints;
  for (const directory::Endpoint& member : assignment_.members) {
    if (!endpoints.empty()) endpoints.push_back(',');
    endpoints.append(member.id.value());
  }
  return endpoints;
}

std::string RequestRun::PromptParts() const {
  std::string parts;
  for (const PromptPart& part : request_metadata_.prompt_parts) {
    if (!parts.empty()) parts.push_back(',');
    parts.append(part.id);
  }
  return parts;
}

}  // namespace verbenaridge::forwarding
