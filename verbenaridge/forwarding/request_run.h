// One request of a client, from its arrival to the end of its answer.
//
// The run finds its route and client account, asks the dispatcher for an endpoint, passes the
// request on and the answer back. It decides by the outcome of each attempt whether another one is
// allowed: a request that may have run is sent again only if it may run more than once.
//
//   auto run = std::make_shared<RequestRun>(context, std::move(request), std::move(port));
//   run->Start();
#ifndef VERBENARIDGE_FORWARDING_REQUEST_RUN_H_
#define VERBENARIDGE_FORWARDING_REQUEST_RUN_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/dispatch/crash_memory.h"
#include "verbenaridge/dispatch/retry_budget.h"
#include "verbenaridge/forwarding/client_server.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/forwarding/endpoint_pool.h"
#include "verbenaridge/forwarding/event_splitter.h"
#include "verbenaridge/forwarding/message_adapter.h"
#include "verbenaridge/forwarding/request_metrics.h"
#include "verbenaridge/forwarding/reservation_set.h"

namespace verbenaridge::forwarding {

struct RunOptions {
  // Offers of one request to endpoints, also those that refuse it before they run it.
  int max_offers = 5;
  // An endpoint whose connection works is given up when the first event is this much later than
  // predicted. Sending again too soon doubles the load of engines that are only slow.
  double first_event_timeout_factor = 4;
  Duration first_event_timeout_margin = std::chrono::milliseconds(1'200);
  // The same for the pause between two events, in parts of the target, and at least so long.
  // Clients leave a stream after a pause of two seconds or more.
  double gap_timeout_factor = 3;
  Duration min_gap_timeout = std::chrono::milliseconds(1'600);
  // How long a request waits on a host that knows no configuration yet, and how often it looks.
  Duration configuration_wait = std::chrono::milliseconds(900);
  Duration configuration_check = std::chrono::milliseconds(20);
  // Between two tries to reserve memory.
  Duration reservation_pause = std::chrono::milliseconds(80);
  // A plain service is given up after this part of the time left, if the request may be repeated.
  double service_timeout_share = 0.4;
  // A whole answer is kept back up to this size, so that a broken one can be replaced.
  std::size_t max_whole_answer = std::size_t{256} * 1024;
  // Reading from the endpoint pauses while the client has so much left to take.
  std::size_t max_pending = std::size_t{256} * 1024;
  // When a refused client may come back.
  Duration retry_after = std::chrono::milliseconds(300);
  dispatch::RetryBudgetOptions budget{};
  ReservationOptions tickets{};
};

// What all runs of a traffic thread share.
struct RunContext {
  asio::io_context& io_context;
  const Clock& clock;
  RandomSource& random;
  const MessageAdapter& adapter;
  EndpointPool& pool;
  Dispatcher& dispatcher;
  Placement& placement;
  RequestMetrics& metrics;
  const RunOptions& options;
  std::unordered_map<ServiceId, dispatch::RetryBudget> budgets{};
  dispatch::CrashMemory crashes{};
  std::uint64_t tickets_made = 0;
  std::string ticket_prefix{};

  dispatch::RetryBudget& BudgetOf(const ServiceId& service);
};

class RequestRun final : public ActiveRequest,
                         public ExchangeObserver,
                         public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(RunContext& context, IncomingRequest request, std::shared_ptr<ResponseSink> port);

  void Start();

  // ActiveRequest
  void OnClientGone() override;
  void OnClientDrained() override;

  // ExchangeObserver
  void OnAnswerHead(http1::ResponseHead head) override;
  void OnAnswerBody(std::string_view data) override;
  void OnAnswerEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;

 private:
  enum class AttemptEnd : std::uint8_t {
    kNotConnected,  // nothing was sent
    kRefused,       // the endpoint says that it has not run
    kSilent,        // given up
    kBroken,        // the connection ended, or the answer is not to be trusted
    kServerError,   // a whole answer that reports a failure
  };

  void Proceed();
  void AwaitConfiguration();
  // The checks before any endpoint is asked. False if the request was answered.
  bool Admit();
  bool Authenticate();
  Duration Elapsed() const;
  void ArmDeadline();
  void OnDeadline();

  void FindEndpoint();
  void OnAssigned(Assignment assignment);
  void ReserveMemory();
  void RetryReservation();
  void Launch(std::vector<Helper> helpers);
  void ArmPatience(Duration limit);
  void EndWorks();
  void StopAttempt();

  void OnEvents(std::string_view data);
  bool AcceptEvent(const Event& event);
  void OnFirstEvent();
  void OnWholeAnswer();
  http1::ResponseHead ClientHead() const;
  void AttemptFailed(AttemptEnd end, std::string_view detail);
  bool MayTryAgain(AttemptEnd end);
  void GiveUp(AttemptEnd end);
  const directory::Endpoint& EndpointAtFault() const;
  void NoteHealth(AttemptEnd end);

  void Refuse(int status, std::string_view reason);
  void Finish(std::string_view outcome, int status);
  std::string Endpoints() const;  // of the assignment, for the log
  void LogAttempt(AttemptEnd end, std::string_view detail) const;

  RunContext& context_;
  const IncomingRequest request_;
  const std::shared_ptr<ResponseSink> port_;
  SnapshotPtr snapshot_;
  RequestMetadata facts_;
  const directory::Route* route_ = nullptr;
  ClientAccountId account_;
  int priority_ = 0;
  ServiceId service_;
  Digest digest_ = 0;
  TimePoint deadline_{};
  std::string_view deadline_reason_;
  asio::steady_timer deadline_timer_;
  asio::steady_timer patience_timer_;

  DispatchId dispatch_id_ = 0;
  Assignment assignment_;
  std::shared_ptr<ReservationSet> tickets_;
  std::shared_ptr<Exchange> exchange_;
  std::vector<Digest> excluded_;
  TimePoint attempt_started_{};
  int offers_ = 0;
  int runs_ = 0;  // attempts that may have run

  std::optional<http1::ResponseHead> answer_;
  ResponseMetadata answer_facts_;
  bool events_ = false;      // the answer of this attempt is a stream of events
  bool begun_ = false;       // a part of the answer is at the client
  bool first_seen_ = false;  // of this attempt
  bool finished_ = false;
  std::string body_;
  EventSplitter splitter_;
  std::optional<std::uint64_t> last_event_;
  std::size_t events_sent_ = 0;
  Duration first_event_after_{};
  Duration longest_pause_{};
  TimePoint last_event_at_{};
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_REQUEST_RUN_H_
