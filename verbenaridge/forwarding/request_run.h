// Serves one request of a client, from its arrival to the end of its response.
//
// RequestRun finds the route and client account, gets an endpoint from the dispatcher, forwards the
// request and returns the response. After each failed attempt it decides whether another one is
// allowed. A request that may have run is retried only if its route is idempotent.
//
//   auto run = std::make_shared<RequestRun>(context, std::move(request), std::move(sink));
//   run->Start();
#ifndef VERBENARIDGE_FORWARDING_REQUEST_RUN_H_
#define VERBENARIDGE_FORWARDING_REQUEST_RUN_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "verbenaridge/base/clock.h"
#include "verbenaridge/base/random.h"
#include "verbenaridge/dispatch/crash_suspects.h"
#include "verbenaridge/dispatch/retry_budget.h"
#include "verbenaridge/dispatch/stop_window.h"
#include "verbenaridge/dispatch/stream_pace.h"
#include "verbenaridge/forwarding/client_server.h"
#include "verbenaridge/forwarding/dispatcher.h"
#include "verbenaridge/forwarding/endpoint_pool.h"
#include "verbenaridge/forwarding/event_splitter.h"
#include "verbenaridge/forwarding/message_adapter.h"
#include "verbenaridge/forwarding/probe_permits.h"
#include "verbenaridge/forwarding/request_metrics.h"
#include "verbenaridge/forwarding/reservation_set.h"

namespace verbenaridge::forwarding {

struct RunOptions {
  // Attempts of one request, including those that an endpoint refuses before running it.
  int max_attempts = 5;
  // An attempt times out after this multiple of the predicted time to the first event plus the
  // margin, even if the connection works. Retrying too early doubles the load of engines that are
  // only slow.
  double first_event_timeout_factor = 4;
  Duration first_event_timeout_margin = std::chrono::milliseconds(1'200);
  // Timeout of the gap between two events, as a multiple of the target gap, and its minimum.
  // Clients abandon a stream after a gap of two seconds or eight target gaps, whichever is longer.
  // A stream that is cut off sooner than it must be costs its prefill again.
  double gap_timeout_factor = 6;
  Duration min_gap_timeout = std::chrono::milliseconds(1'600);
  // Maximum wait on a host without a configuration, and the interval between checks for one.
  Duration configuration_wait = std::chrono::milliseconds(900);
  Duration configuration_check = std::chrono::milliseconds(20);
  // Delay before the second attempt to reserve memory. It doubles with each failure in a row, since
  // each attempt costs a call to every member, and the memory is in use until a request ends.
  Duration reservation_retry_delay = std::chrono::milliseconds(80);
  // An attempt at a plain service times out after this fraction of the time left, if the request
  // may be repeated.
  double service_timeout_share = 0.4;
  // A response that is not a stream is held up to this size, so that a failed one can be replaced
  // by that of a retry. A longer one of known length passes through; one of unknown length is taken
  // for bytes without end.
  std::size_t max_held_response = std::size_t{256} * 1024;
  // While the requests of a traffic thread hold more than this, each may hold
  // `held_share_when_full` of its limit, so that many endpoints that send bytes without
  // end fill no memory.
  std::size_t max_held_total = std::size_t{32} * 1024 * 1024;
  double held_share_when_full = 0.125;
  // Reading from the endpoint pauses while more than this is not yet written to the client.
  std::size_t max_unsent_bytes = std::size_t{256} * 1024;
  // Events of a stream until its endpoint counts as having survived the request. An engine that
  // crashes on it may write some first.
  std::size_t sound_events = 4;
  // Minimum Retry-After of refused requests.
  Duration retry_after = std::chrono::milliseconds(300);
  dispatch::RetryBudgetOptions budget{};
  ReservationOptions reservations{};
  // Needed for requests with home regions; they reach no data centre that is not listed.
  directory::DataCentreRegions regions{};
};

// State shared by all requests of a traffic thread.
struct RunContext {
  asio::io_context& io_context;
  const Clock& clock;
  RandomSource& random;
  const MessageAdapter& adapter;
  EndpointPool& pool;
  Dispatcher& dispatcher;
  Placement& placement;
  dispatch::CrashSuspects& suspects;
  ProbePermits& probes;
  RequestMetrics& metrics;
  const RunOptions& options;
  std::unordered_map<ServiceId, dispatch::RetryBudget> budgets{};
  dispatch::StopWindow stop{};
  std::size_t held_bytes = 0;  // of responses and events that are not yet whole
  std::uint64_t reservations_made = 0;
  std::string ticket_prefix{};

  dispatch::RetryBudget& BudgetOf(const ServiceId& service);
  // Decide and report which requests and parts of prompts are refused.
  void JudgeCrashes();
  void OnRefusalOfPeer(const dispatch::CrashRefusal& refusal);
  void LogEndedRefusals();
};

class RequestRun final : public ActiveRequest,
                         public ExchangeObserver,
                         public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(RunContext& context, IncomingRequest request, std::shared_ptr<ResponseSink> sink);
  ~RequestRun() override;

  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  void Start();

  // ActiveRequest
  void OnClientGone() override;
  void OnClientDrained() override;
  void OnStopping() override;
  void OnServerStopped() override;

  // ExchangeObserver
  void OnResponseHead(http1::ResponseHead head) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure, std::string_view detail) override;

 private:
  enum class AttemptFailure : std::uint8_t {
    kNotConnected,  // nothing was sent
    kNotSent,       // nothing was sent, because this process was paused
    kRefused,       // the endpoint reports that it has not run the request
    kTimedOut,      // no event or response within the timeout
    kBroken,        // the connection was closed, or the response is invalid
    kServerError,   // a complete response that reports a failure
    kMemberLost,    // a member of the group stopped answering before the first event
  };
  // Name in logs and metrics.
  static std::string_view NameOf(AttemptFailure failure);
  // Clients take these statuses as a promise that the request has not run and will not.
  static bool IsPromise(int status);

  // Why another endpoint is sought although the attempt has not ended or its response is held.
  struct HandOver {
    AttemptFailure failure;
    std::string detail;
  };

  void Proceed();
  void AwaitConfiguration();
  // Checks the request before the dispatch. Returns false if it was refused or waits for a
  // decision.
  bool Admit();
  // Refuses the request if endpoints crash on such ones, unless it may be a probe. Returns as
  // above.
  bool CheckCrashRefusals();
  void OnProbeDecided(bool granted);
  void RefuseAsDeadly();
  // Dispatches an admitted request.
  void BeginDispatch();
  bool Authenticate();
  Duration Elapsed() const;
  void ArmDeadline();
  // When the response must have started: the deadline, or earlier on a host that stops, unless a
  // part of the response was sent already.
  TimePoint LatestStart() const;
  void OnDeadline();

  using AssignmentHandler = void (RequestRun::*)(Assignment);
  // Submits the request to the placement. Returns false if the handler ran before this returns.
  bool Place(std::vector<Digest> excluded, AssignmentHandler handler);
  void FindEndpoint();
  void OnAssigned(Assignment assignment);
  void RefuseUnplaced(std::string_view reason);
  void ReserveMemory();
  // `refused_by`: the member without enough memory; empty if no member was asked.
  void RetryReservation(const EndpointId& refused_by);
  void OnMemberLost(const EndpointId& member);
  // Whether a member told meanwhile that it leaves, so that the request must go elsewhere.
  bool HasLostMember();
  void StartAttempt(std::vector<Helper> helpers);
  void ArmAttemptTimeout(Duration limit);
  void OnAttemptTimeout();
  void EndTasks();
  void StopAttempt();

  // Looks for another endpoint while the attempt continues or its failed response is held. The
  // attempt ends only when an endpoint is found and a retry is taken from the budget. Returns false
  // if no retry is allowed or the rest of a stream would not end elsewhere.
  bool SeekHandOver(AttemptFailure failure, std::string_view detail);
  // Whether a stream that has begun may end at another endpoint before this host does. An estimate;
  // true for other requests and while the host does not stop.
  bool FitsElsewhere() const;
  void OnHandOverAssigned(Assignment assignment);
  // Continues the attempt, or returns its held response.
  void KeepAttempt(const HandOver& hand_over, std::string_view reason);
  void CancelHandOver();
  void LogHandOver(const HandOver& hand_over, std::string_view outcome,
                   std::string_view reason) const;
  // Whether a complete or long failed response is held until the hand-over is decided.
  bool HoldsResponse() const;
  // Returns the held response, or an error if it is a refusal that may not be true.
  void ReturnHeldResponse();

  bool IsOfThisRequest() const;
  // Ends the attempt if its response must not be returned, or holds the response while another
  // endpoint is sought that may give a better one. Returns false otherwise.
  bool TryElsewhere();
  void ObserveLatency();
  // Records the bytes of a response or event of this request that is not yet whole.
  void SetHeldBytes(std::size_t bytes);
  // Whether this request holds no more than `limit`, or its share if all requests hold too much.
  bool IsWithinLimit(std::size_t limit) const;
  void BeginPassThrough();
  void PassThrough(std::string_view data);
  void OnEvents(std::string_view data);
  bool AcceptEvent(const Event& event);
  void OnFirstEvent();
  // The endpoint began to write the response and did not crash.
  void OnSoundResponse();
  // Whether the endpoint of this attempt crashed and the request may be the cause.
  bool MayBeCauseOfCrash() const;
  // Whether the response of this attempt says that the endpoint has not run the request.
  bool IsRefusal() const;
  // The endpoint's connection ended during the attempt.
  void OnConnectionLost(std::string_view detail);
  // Whether the stream can end before its deadline only at another endpoint.
  bool IsTooSlow(TimePoint now) const;
  dispatch::StreamRest RestOfStream(const dispatch::PassModel& model, TimePoint now) const;
  void OnCompleteResponse();
  void ReturnResponse();
  http1::ResponseHead ClientHead() const;
  void AttemptFailed(AttemptFailure failure, std::string_view detail);
  // Counts and logs a failed attempt and its endpoint's failure.
  void RecordAttempt(AttemptFailure failure, std::string_view detail);
  // Whether another attempt is allowed now. Called before the failed attempt is counted.
  bool MayRetry(AttemptFailure failure);
  // Takes the retry from the budget, unless the failed attempt sent nothing.
  bool TakeRetry(AttemptFailure failure);
  void FailRequest(AttemptFailure failure);
  const directory::Endpoint& EndpointAtFault() const;
  void RecordHealth(AttemptFailure failure);
  void RecordCrash(Digest endpoint);

  void Refuse(int status, std::string_view reason);
  void Finish(std::string_view outcome, int status);
  // For the log: of the assignment, and of the prompt.
  std::string Endpoints() const;
  std::string PromptParts() const;
  void LogFailedAttempt(AttemptFailure failure, std::string_view detail) const;

  RunContext& context_;
  const IncomingRequest request_;
  const std::shared_ptr<ResponseSink> sink_;
  SnapshotPtr snapshot_;
  RequestMetadata request_metadata_;
  const directory::Route* route_ = nullptr;
  ClientAccountId account_;
  int priority_ = 0;
  directory::AllowedDataCentres allowed_;
  ServiceId service_;
  Digest digest_ = 0;
  // What other requests that crash endpoints may have too: the digest and parts of the prompt.
  std::vector<Digest> crash_keys_;
  TimePoint deadline_{};
  std::string_view deadline_reason_;
  asio::steady_timer deadline_timer_;
  asio::steady_timer wait_timer_;

  DispatchId dispatch_id_ = 0;
  std::optional<HandOver> hand_over_;
  TimePoint next_pace_check_{};  // earliest hand-over of a slow stream after one that failed
  Assignment assignment_;
  std::shared_ptr<ReservationSet> reservations_;
  int reservation_failures_ = 0;  // in a row
  bool moved_reservation_ = false;
  std::shared_ptr<Exchange> exchange_;
  std::vector<Digest> excluded_;
  TimePoint attempt_started_{};
  int attempts_ = 0;
  int runs_ = 0;  // attempts in which the request may have run

  std::optional<http1::ResponseHead> response_;
  ResponseMetadata response_metadata_;
  bool streaming_ = false;          // the response of this attempt is a stream of events
  bool passing_through_ = false;    // the response is forwarded while it arrives
  bool response_started_ = false;   // a part of the response was sent to the client
  std::size_t attempt_events_ = 0;  // received in this attempt
  bool connection_lost_ = false;    // in this attempt
  bool finished_ = false;
  bool probing_ = false;  // this request tests whether a refusal of its equals is right
  std::string body_;
  EventSplitter splitter_;
  std::size_t held_bytes_ = 0;
  dispatch::StreamPace pace_{{}};  // of this attempt
  std::optional<std::uint64_t> last_event_;
  std::size_t events_sent_ = 0;
  Duration first_event_after_{};
  Duration max_gap_{};
  TimePoint last_event_at_{};
};

}  // namespace verbenaridge::forwarding

#endif  // VERBENARIDGE_FORWARDING_REQUEST_RUN_H_
