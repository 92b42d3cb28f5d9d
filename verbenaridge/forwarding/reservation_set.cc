#include "verbenaridge/forwarding/reservation_set.h"

#include <utility>

#include "verbenaridge/telemetry/log.h"

namespace verbenaridge::forwarding {

// One call to one endpoint. Keeps itself alive until it ends.
class ReservationSet::Call final : public ExchangeObserver,
                                   public std::enable_shared_from_this<Call> {
 public:
  Call(asio::io_context& io_context, std::function<void(bool)> done)
      : timer_(io_context), done_(std::move(done)) {}

  void Start(EndpointPool& pool, const directory::Endpoint& endpoint, std::string bytes,
             Duration limit) {
    exchange_ = pool.Start(endpoint, {.head = std::move(bytes)}, *this);
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this()](std::error_code code) {
      if (code || self->exchange_ == nullptr) return;
      self->exchange_->Cancel();
      self->Finish(false);
    });
  }

  void OnResponseHead(http1::ResponseHead head) override { accepted_ = head.status == 200; }
  void OnResponseBody(std::string_view /*data*/) override {}
  void OnResponseEnd() override { Finish(accepted_); }
  void OnExchangeFailed(ExchangeFailure /*failure*/) override { Finish(false); }

 private:
  void Finish(bool accepted) {
    const std::shared_ptr<Call> self = shared_from_this();
    exchange_ = nullptr;
    timer_.cancel();
    if (const auto done = std::exchange(done_, nullptr)) done(accepted);
  }

  asio::steady_timer timer_;
  std::function<void(bool)> done_;
  std::shared_ptr<Exchange> exchange_;
  bool accepted_ = false;
};

std::shared_ptr<ReservationSet> ReservationSet::Create(asio::io_context& io_context,
                                                       EndpointPool& pool,
                                                       const MessageAdapter& adapter,
                                                       RequestMetrics& metrics, std::string name,
                                                       const ReservationOptions& options) {
  return std::shared_ptr<ReservationSet>(
      new ReservationSet(io_context, pool, adapter, metrics, std::move(name), options));
}

ReservationSet::ReservationSet(asio::io_context& io_context, EndpointPool& pool,
                               const MessageAdapter& adapter, RequestMetrics& metrics,
                               std::string name, const ReservationOptions& options)
    : io_context_(io_context),
      pool_(pool),
      adapter_(adapter),
      metrics_(metrics),
      name_(std::move(name)),
      options_(options),
      timer_(io_context) {}

void ReservationSet::Send(const directory::Endpoint& endpoint, std::string bytes,
                          std::function<void(bool)> done) {
  std::make_shared<Call>(io_context_, std::move(done))
      ->Start(pool_, endpoint, std::move(bytes), options_.call_timeout);
}

void ReservationSet::Reserve(std::vector<directory::Endpoint> members,
                             std::vector<TokenCount> tokens, std::function<void(bool)> done) {
  members_ = std::move(members);
  tokens_ = std::move(tokens);
  done_ = std::move(done);
  pending_ = members_.size();
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Send(members_[i],
         adapter_.WriteReservation(
             members_[i], {.ticket = name_, .tokens = tokens_[i], .lifetime = options_.lifetime}),
         [self = shared_from_this()](bool accepted) { self->OnReserved(accepted); });
  }
}

void ReservationSet::OnReserved(bool reserved) {
  refused_ = refused_ || !reserved;
  metrics_.reservations.With({reserved ? "reserved" : "not_reserved"}).Add();
  if (--pending_ > 0 || released_) return;
  const auto done = std::exchange(done_, nullptr);
  if (refused_) {
    Release();
  } else {
    granted_ = true;
    metrics_.active_reservations.Add(static_cast<double>(members_.size()));
    ArmRenewal();
  }
  if (done) done(!refused_);
}

void ReservationSet::ArmRenewal() {
  timer_.expires_after(options_.renewal_interval);
  timer_.async_wait([self = shared_from_this()](std::error_code code) {
    if (code || self->released_) return;
    for (std::size_t i = 0; i < self->members_.size(); ++i) {
      const directory::Endpoint& member = self->members_[i];
      self->Send(member,
                 self->adapter_.WriteReservation(member, {.ticket = self->name_,
                                                          .tokens = self->tokens_[i],
                                                          .lifetime = self->options_.lifetime}),
                 [self, id = member.id.value()](bool accepted) {
                   self->metrics_.reservations.With({accepted ? "renewed" : "not_renewed"}).Add();
                   if (accepted || self->released_) return;
                   telemetry::Log(telemetry::Level::kWarning, "ticket_not_renewed",
                                  {{"ticket", self->name_}, {"endpoint", id}});
                 });
    }
    self->ArmRenewal();
  });
}

void ReservationSet::Release() {
  if (std::exchange(released_, true)) return;
  done_ = nullptr;
  timer_.cancel();
  if (granted_) metrics_.active_reservations.Add(-static_cast<double>(members_.size()));
  for (const directory::Endpoint& member : members_) {
    Send(member, adapter_.WriteRelease(member, name_),
         [&metrics = metrics_, name = name_, id = member.id.value()](bool accepted) {
           metrics.reservations.With({accepted ? "released" : "not_released"}).Add();
           if (accepted) return;
           telemetry::Log(telemetry::Level::kWarning, "ticket_not_released",
                          {{"ticket", name},
                           {"endpoint", id},
                           {"reason", "the reservation expires by itself"}});
         });
  }
}

}  // namespace verbenaridge::forwarding
