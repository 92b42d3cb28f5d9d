#include "verbenaridge/forwarding/reservation_set.h"

#include <algorithm>
#include <utility>

#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {

// One call to one endpoint. Keeps itself alive until it ends.
class ReservationSet::Call final : public ExchangeObserver,
                                   public std::enable_shared_from_this<Call> {
 public:
  Call(asio::io_context& io_context, const MessageAdapter& adapter,
       std::function<void(CallResult)> done)
      : adapter_(adapter), timer_(io_context), done_(std::move(done)) {}

  void Start(EndpointPool& pool, const directory::Endpoint& endpoint, std::string bytes,
             Duration limit) {
    exchange_ = pool.Start(endpoint, {.head = std::move(bytes)}, *this);
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this()](std::error_code code) {
      if (code || self->exchange_ == nullptr) return;
      self->exchange_->Cancel();
      self->Finish(CallResult::kUnknown);
    });
  }

  // A response that names a request was sent late, or once more, for that request.
  void OnResponseHead(http1::ResponseHead head) override {
    const std::shared_ptr<Call> self = shared_from_this();
    accepted_ = head.status == 200;
    const std::string request = adapter_.ReadResponse(head).attempt_id;
    if (request.empty()) return;
    telemetry::Log(telemetry::Level::kInfo, "response_not_of_this_call", {{"id", request}});
    exchange_->Cancel();
    Finish(CallResult::kUnknown);
  }
  void OnResponseBody(std::string_view /*data*/) override {}
  void OnResponseEnd() override {
    Finish(accepted_ ? CallResult::kAccepted : CallResult::kRefused);
  }
  void OnExchangeFailed(ExchangeFailure /*failure*/, std::string_view /*detail*/) override {
    Finish(CallResult::kUnknown);
  }

 private:
  void Finish(CallResult result) {
    const std::shared_ptr<Call> self = shared_from_this();
    exchange_ = nullptr;
    timer_.cancel();
    if (const auto done = std::exchange(done_, nullptr)) done(result);
  }

  const MessageAdapter& adapter_;
  asio::steady_timer timer_;
  std::function<void(CallResult)> done_;
  std::shared_ptr<Exchange> exchange_;
  bool accepted_ = false;
};

std::shared_ptr<ReservationSet> ReservationSet::Create(asio::io_context& io_context,
                                                       const Clock& clock, EndpointPool& pool,
                                                       const MessageAdapter& adapter,
                                                       RequestMetrics& metrics, std::string name,
                                                       const ReservationOptions& options) {
  return std::shared_ptr<ReservationSet>(
      new ReservationSet(io_context, clock, pool, adapter, metrics, std::move(name), options));
}

ReservationSet::ReservationSet(asio::io_context& io_context, const Clock& clock, EndpointPool& pool,
                               const MessageAdapter& adapter, RequestMetrics& metrics,
                               std::string name, const ReservationOptions& options)
    : io_context_(io_context),
      clock_(clock),
      pool_(pool),
      adapter_(adapter),
      metrics_(metrics),
      name_(std::move(name)),
      options_(options),
      timer_(io_context) {}

void ReservationSet::Send(const directory::Endpoint& endpoint, std::string bytes,
                          std::function<void(CallResult)> done) {
  std::make_shared<Call>(io_context_, adapter_, std::move(done))
      ->Start(pool_, endpoint, std::move(bytes), options_.call_timeout);
}

void ReservationSet::Reserve(std::vector<directory::Endpoint> members,
                             std::vector<TokenCount> tokens, ReservationCallbacks callbacks) {
  members_ = std::move(members);
  tokens_ = std::move(tokens);
  callbacks_ = std::move(callbacks);
  last_calls_.assign(members_.size(), clock_.Now());
  unanswered_.assign(members_.size(), 0);
  pending_ = members_.size();
  results_.assign(members_.size(), CallResult::kUnknown);
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Send(members_[i],
         adapter_.WriteReservation(
             members_[i], {.ticket = name_, .tokens = tokens_[i], .lifetime = options_.lifetime}),
         [self = shared_from_this(), i](CallResult result) { self->OnReserved(i, result); });
  }
}

void ReservationSet::OnReserved(std::size_t member, CallResult result) {
  results_[member] = result;
  const bool accepted = result == CallResult::kAccepted;
  metrics_.reservations.With({accepted ? "reserved" : "not_reserved"}).Add();
  if (--pending_ > 0 || released_) return;
  const auto done = std::exchange(callbacks_.done, nullptr);
  ReservationResult outcome{.reserved = true};
  for (std::size_t i = 0; i < members_.size(); ++i) {
    outcome.reserved = outcome.reserved && results_[i] == CallResult::kAccepted;
    if (results_[i] == CallResult::kRefused) outcome.refused_by = members_[i].id;
  }
  if (outcome.reserved) {
    granted_ = true;
    metrics_.active_reservations.Add(static_cast<double>(members_.size()));
    ArmRenewal();
  } else {
    Release();
  }
  if (done) done(outcome);
}

void ReservationSet::ArmRenewal() {
  timer_.expires_after(options_.renewal_interval);
  timer_.async_wait([self = shared_from_this()](std::error_code code) {
    if (code || self->released_) return;
    const bool stalled = self->last_progress_ &&
                         self->clock_.Now() - *self->last_progress_ > self->options_.stalled_after;
    if (stalled) {
      if (!std::exchange(self->renewal_skipped_, true)) {
        telemetry::Log(telemetry::Level::kInfo, "ticket_renewal_paused",
                       {{"ticket", self->name_}, {"reason", "the response makes no progress"}});
      }
    } else {
      self->Renew();
    }
    self->ArmRenewal();
  });
}

void ReservationSet::Renew() {
  for (std::size_t i = 0; i < members_.size(); ++i) RenewAt(i);
}

void ReservationSet::RenewAt(std::size_t member) {
  last_calls_[member] = clock_.Now();
  Send(members_[member],
       adapter_.WriteReservation(
           members_[member],
           {.ticket = name_, .tokens = tokens_[member], .lifetime = options_.lifetime}),
       [self = shared_from_this(), member](CallResult result) { self->OnRenewed(member, result); });
}

void ReservationSet::OnRenewed(std::size_t member, CallResult result) {
  const bool accepted = result == CallResult::kAccepted;
  metrics_.reservations.With({accepted ? "renewed" : "not_renewed"}).Add();
  if (result != CallResult::kUnknown) unanswered_[member] = 0;
  if (accepted || released_) return;
  telemetry::Log(
      telemetry::Level::kWarning, "ticket_not_renewed",
      {{"ticket", name_},
       {"endpoint", members_[member].id.value()},
       {"reason", result == CallResult::kRefused ? std::string_view("the endpoint refused it")
                                                 : std::string_view("no answer")}});
  if (result == CallResult::kUnknown) OnRenewalUnanswered(member);
}

// Events show that the request runs, and without them the renewal pauses by itself.
void ReservationSet::OnRenewalUnanswered(std::size_t member) {
  if (last_progress_) return;
  if (++unanswered_[member] >= options_.max_unanswered_renewals) {
    metrics_.reservations.With({"member_lost"}).Add();
    if (const auto lost = std::exchange(callbacks_.member_lost, nullptr)) lost(members_[member].id);
    return;
  }
  // A call that failed at once, for example while the endpoint restarts, is not repeated at once.
  auto timer = std::make_shared<asio::steady_timer>(io_context_);
  timer->expires_after(
      std::max(last_calls_[member] + options_.renewal_retry_interval - clock_.Now(), Duration{}));
  timer->async_wait([self = shared_from_this(), member, timer](std::error_code code) {
    if (!code && !self->released_ && !self->last_progress_) self->RenewAt(member);
  });
}

void ReservationSet::OnProgress() {
  last_progress_ = clock_.Now();
  if (released_ || !std::exchange(renewal_skipped_, false)) return;
  Renew();
  ArmRenewal();
}

void ReservationSet::Release() {
  if (std::exchange(released_, true)) return;
  callbacks_ = {};
  timer_.cancel();
  if (granted_) metrics_.active_reservations.Add(-static_cast<double>(members_.size()));
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (results_[i] != CallResult::kRefused) ReleaseAt(i);  // else it reserved nothing
  }
}

void ReservationSet::ReleaseAt(std::size_t member) {
  Send(members_[member], adapter_.WriteRelease(members_[member], name_),
       [self = shared_from_this(), member](CallResult result) {
         const bool accepted = result == CallResult::kAccepted;
         self->metrics_.reservations.With({accepted ? "released" : "not_released"}).Add();
         if (result == CallResult::kUnknown) self->OnReleaseFailed(member);
       });
}

void ReservationSet::OnReleaseFailed(std::size_t member) {
  const Duration left = last_calls_[member] + options_.lifetime - clock_.Now();
  const bool expires_first = left <= options_.release_retry_delay;
  telemetry::Log(telemetry::Level::kWarning, "ticket_not_released",
                 {{"ticket", name_},
                  {"endpoint", members_[member].id.value()},
                  {"reason", expires_first ? std::string_view("the reservation expires by itself")
                                           : std::string_view("the call is repeated")}});
  if (expires_first) return;
  auto timer = std::make_shared<asio::steady_timer>(io_context_, options_.release_retry_delay);
  timer->async_wait([self = shared_from_this(), member, timer](std::error_code code) {
    if (!code) self->ReleaseAt(member);
  });
}

}  // namespace verbenaridge::forwarding
